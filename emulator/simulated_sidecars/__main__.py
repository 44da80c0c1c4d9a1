"""`python -m emulator.simulated_sidecars FILE`: one process of simulated sidecars.

It reads commands as lines of JSON from standard input, and writes one line to standard output for each sample
command. It ends when its input ends or its time limit has passed.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import sys
from pathlib import Path

import msgspec
import uvloop

from emulator.lateness import monitor_lateness
from emulator.simulated_sidecars.messages import Command, WorkerConfig
from emulator.simulated_sidecars.process import SimulatedProcess
from emulator.worker import read_input, write_line

GC_THRESHOLDS = (20_000, 20, 50)  # the same as in a real sidecar


async def serve(config: WorkerConfig) -> None:
    """Handle commands until the input ends or the time limit has passed."""
    reader = await read_input()
    process = SimulatedProcess(config)
    lateness = asyncio.get_running_loop().create_task(monitor_lateness(process.record_lateness))
    process.load.set_rate(config.load.requests_per_s)
    write_line(msgspec.json.encode({"ready": config.process}))
    decoder = msgspec.json.Decoder(Command)
    try:
        async with asyncio.timeout(config.longest_s):
            while line := await reader.readline():
                process.handle(decoder.decode(line))
    except TimeoutError:
        pass
    finally:
        lateness.cancel()
        for number in list(process.proxies):
            process.kill(number)


def main(arguments: list[str]) -> int:
    """Serve with the configuration in the file that the first argument names."""
    # Scenarios contain failures of discovery on purpose. Each sidecar would log them, thousands of lines in
    # total.
    logging.basicConfig(level=logging.ERROR)
    config = msgspec.json.decode(Path(arguments[1]).read_bytes(), type=WorkerConfig)
    gc.set_threshold(*GC_THRESHOLDS)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(config))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
