"""The latency that a sidecar adds to a request, and to a chain of requests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import NamedTuple

import numpy as np
from hdrh.histogram import HdrHistogram

from emulator.slopes.fixtures import settled_sidecar
from emulator.slopes.points import Point, Scale
from emulator.slopes.requests import TARGET_RATE, LoadedRun, quantiles, run_load, stream_detail

CHAIN_DEPTH = 27  # requests one behind the other
CHAIN_DRAWS = 20_000
SIZES = (36, 400)
SEEDS_EACH = 100  # of each size


class ChainLatency(NamedTuple):
    """The latency that a chain of sidecars adds, in microseconds."""

    median_us: float
    p99_us: float


def chain_latency(via: str, direct: str, depth: int, draws: int = CHAIN_DRAWS) -> ChainLatency:
    """Return median and 99th percentile of the sum of `depth` added latencies.

    Each is an independent draw of a latency through the sidecar less one of a direct request, from encoded
    histograms in microseconds, with a fixed seed. The noise of the direct requests stays in, so the spread is
    overstated.
    """
    rng = np.random.default_rng(1)
    total_us = np.zeros(draws)
    for encoded, sign in ((via, 1), (direct, -1)):
        histogram = HdrHistogram.decode(encoded)
        items = [
            (item.value_iterated_to, item.count_added_in_this_iter_step)
            for item in histogram.get_recorded_iterator()
        ]
        values_us = np.array([value for value, _ in items], dtype=float)
        weights = np.array([count for _, count in items], dtype=float)
        for _ in range(depth):
            total_us += sign * rng.choice(values_us, draws, p=weights / weights.sum())
    return ChainLatency(float(np.percentile(total_us, 50)), float(np.percentile(total_us, 99)))


def _added_points(loaded: LoadedRun, size: int, run: int) -> list[Point]:
    """The latency that the sidecar adds at the median and the 99th, and summed over a chain."""
    via_us, direct_us = quantiles(loaded.via), quantiles(loaded.direct)
    valid = loaded.sustained and loaded.via.failed == loaded.direct.failed == 0
    chain = chain_latency(loaded.via.histogram, loaded.direct.histogram, CHAIN_DEPTH)

    def point(name: str, added_us: float, **detail: object) -> Point:
        return Point(name, "endpoints", size, added_us, "us", valid, {"run": run, **detail})

    streams = {"via": stream_detail(loaded.via), "direct": stream_detail(loaded.direct)}
    above_median_us = via_us["p99_us"] - direct_us["p50_us"]
    return [
        point("added_p50", via_us["p50_us"] - direct_us["p50_us"], **streams),
        point("added_p99", via_us["p99_us"] - direct_us["p99_us"], above_direct_median_us=above_median_us),
        point(f"added_p50_{CHAIN_DEPTH}_deep", chain.median_us),
        point(f"added_p99_{CHAIN_DEPTH}_deep", chain.p99_us),
    ]


async def added_latency(scale: Scale) -> AsyncIterator[Point]:
    """Added latency at 120 requests a second with 36 and 400 endpoints, some runs each."""
    for size in SIZES:
        async with settled_sidecar(size, scale.settle_s) as (sidecar, addresses):
            for run in range(scale.runs):
                seed = SEEDS_EACH * size + run
                loaded = await run_load(sidecar, addresses, TARGET_RATE, scale.seconds, seed)
                for point in _added_points(loaded, size, run):
                    yield point
