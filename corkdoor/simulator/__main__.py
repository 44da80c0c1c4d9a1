"""Runs the adapter on standard input and output: `python -m corkdoor.simulator`."""

from __future__ import annotations

import sys

from corkdoor.simulator.adapter import SimulatorAdapter
from corkdoor.simulator.errors import ProtocolError


def main() -> int:
    """Run until the end of the input, and return the exit status."""
    adapter = SimulatorAdapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except (ProtocolError, UnicodeDecodeError) as error:
        print(f"corkdoor: line {adapter.reader.line_number}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
