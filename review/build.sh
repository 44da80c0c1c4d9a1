#!/bin/sh
# Builds what the cases start beside the sidecar. The stand-ins are Python files that run as they are, on the
# interpreter that the `build` of the deploy file has installed; this checks that it can read them.
cd "$(dirname "$0")/.." || exit 1
for file in review/standins.py review/[0-9]/case.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1], "rb").read(), sys.argv[1], "exec")' "$file" || exit 1
done
