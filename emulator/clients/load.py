"""Runs a load: sends the requests of all streams at the times at which they are due."""

from __future__ import annotations

import asyncio

import msgspec
import numpy as np

from emulator.clients.messages import LoadRequest, LoadResult
from emulator.clients.stream import Stream, now_us
from emulator.worker import serve_requests

# The event loop's timers have a resolution of 1 ms. The last part of each wait is therefore spent spinning.
SPIN_US = 1200
MIN_SLEEP_US = 1000  # a shorter wait is spent spinning
MAX_SECONDS = 600  # of one load


async def run_load(load: LoadRequest) -> LoadResult:
    """Send all requests of a load, and wait for responses until the deadline of the last request.

    Raises:
        ValueError: the load has no targets, or its duration is out of range.
        OSError: an address can't be reached at the start.
    """
    if not load.targets or not 0 < load.seconds <= MAX_SECONDS:
        raise ValueError(f"a load needs at least 1 target and a duration above 0 s and up to {MAX_SECONDS} s")
    rng = np.random.default_rng(load.seed)
    streams = [Stream(target, load, rng) for target in load.targets]
    for stream in streams:
        await stream.connect_all()
    await _send_all(streams)
    for stream in streams:
        await stream.finish()
    results = [stream.result() for stream in streams]
    for stream in streams:
        stream.close()
    return LoadResult(results, all(result.sustained for result in results))


async def _send_all(streams: list[Stream]) -> None:
    """Send the requests of all streams in the order of their arrivals, each when it is due."""
    arrivals = sorted((at_us, index) for index, stream in enumerate(streams) for at_us in stream.arrivals_us)
    start_us = now_us()
    for stream in streams:
        stream.start_us = start_us
        stream.arrivals_us.clear()
    for offset_us, index in arrivals:
        due_us = start_us + offset_us
        while (left_us := due_us - now_us()) > 0:
            sleeps = left_us > SPIN_US + MIN_SLEEP_US
            await asyncio.sleep((left_us - SPIN_US) / 1e6 if sleeps else 0)
        streams[index].send(due_us)


async def serve() -> None:
    """Run the loads that are requested on standard input until it ends."""
    decoder = msgspec.json.Decoder(LoadRequest)
    await serve_requests(lambda line: run_load(decoder.decode(line)))
