"""Measures the latency that a sidecar adds to a request, and computes that of a chain of requests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import NamedTuple

import numpy as np
from hdrh.histogram import HdrHistogram

from emulator.slopes.fixtures import settled_sidecar
from emulator.slopes.points import Point, Scale
from emulator.slopes.requests import TARGET_RATE_PER_S, LoadedRun, quantiles, run_load, stream_detail

CHAIN_DEPTH = 27  # consecutive requests of a chain
CHAIN_SAMPLES = 20_000
SIZES = (36, 400)  # endpoints of the list
SEEDS_PER_SIZE = 100  # seeds reserved for the runs of each size


class ChainLatency(NamedTuple):
    """The latency that a chain of sidecars adds."""

    median_us: float
    p99_us: float


def chain_latency(via: str, direct: str, depth: int, samples: int = CHAIN_SAMPLES) -> ChainLatency:
    """Return the median and the 99th percentile of the sum of `depth` added latencies.

    An added latency is a random latency through the sidecar minus a random latency of a direct request. Both
    are drawn independently from encoded histograms in microseconds, with a fixed seed. The noise of the
    direct requests is not removed, so the spread of the result is overstated.
    """
    rng = np.random.default_rng(1)
    total_us = np.zeros(samples)
    for encoded, sign in ((via, 1), (direct, -1)):
        histogram = HdrHistogram.decode(encoded)
        items = [
            (item.value_iterated_to, item.count_added_in_this_iter_step)
            for item in histogram.get_recorded_iterator()
        ]
        values_us = np.array([value for value, _ in items], dtype=float)
        weights = np.array([count for _, count in items], dtype=float)
        for _ in range(depth):
            total_us += sign * rng.choice(values_us, samples, p=weights / weights.sum())
    return ChainLatency(float(np.percentile(total_us, 50)), float(np.percentile(total_us, 99)))


def _added_points(loaded: LoadedRun, size: int, run: int) -> list[Point]:
    """Return the latency that the sidecar adds at the median and the 99th percentile, and over a chain."""
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
    """Measure the added latency at 120 requests per second with 36 and 400 endpoints, several runs each."""
    for size in SIZES:
        async with settled_sidecar(size, scale.settle_s) as (sidecar, addresses):
            for run in range(scale.runs):
                seed = SEEDS_PER_SIZE * size + run
                loaded = await run_load(sidecar, addresses, TARGET_RATE_PER_S, scale.seconds, seed)
                for point in _added_points(loaded, size, run):
                    yield point
