"""`python -m emulator.endpoints`: a process of endpoints, controlled through its standard input."""

from __future__ import annotations

import asyncio

import uvloop

from emulator.endpoints.process import serve

if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve())
