"""Runs a load to its end: all streams, each request at its moment."""

from __future__ import annotations

import asyncio

import msgspec
import numpy as np

from emulator.clients.messages import LoadRequest, LoadResult
from emulator.clients.stream import Stream, now_us
from emulator.worker import serve_requests

SPIN_US = 1200  # the loop's timers are whole milliseconds: the loop spins for the rest
LEAST_SLEEP_US = 1000
LONGEST_S = 600


async def run_load(load: LoadRequest) -> LoadResult:
    """Send all streams; responses are waited for as long as the deadline of the last request.

    Raises:
        ValueError: no targets, or no legal length.
        OSError: an address can't be reached at the start.
    """
    if not load.targets or not 0 < load.seconds <= LONGEST_S:
        raise ValueError(f"a load needs targets and 0 to {LONGEST_S} seconds")
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
    """Send all arrivals of all streams in their order, each at its moment."""
    arrivals = sorted((at_us, index) for index, stream in enumerate(streams) for at_us in stream.arrivals_us)
    start_us = now_us()
    for stream in streams:
        stream.start_us = start_us
        stream.arrivals_us.clear()
    for offset_us, index in arrivals:
        due_us = start_us + offset_us
        while (left_us := due_us - now_us()) > 0:
            sleeps = left_us > SPIN_US + LEAST_SLEEP_US
            await asyncio.sleep((left_us - SPIN_US) / 1e6 if sleeps else 0)
        streams[index].send(due_us)


async def serve() -> None:
    """Run the loads that standard input requests, until it ends."""
    decoder = msgspec.json.Decoder(LoadRequest)
    await serve_requests(lambda line: run_load(decoder.decode(line)))
