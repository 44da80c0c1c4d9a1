#!/bin/sh
# Builds what the cases of the second review start beside the sidecars. The stand-ins need nothing but the
# interpreter that the build of the deploy file leaves in `.venv`; this checks that it can compile them.
cd "$(dirname "$0")/.." || exit 2
for part in review/standins2.py review/[6-9]/case.py review/10/case.py; do
    .venv/bin/python -B -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$part" || exit 1
done
