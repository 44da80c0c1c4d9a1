"""Measures a sidecar's processor time by request rate, by list length, and by step of a request."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from emulator.clients.messages import LoadRequest, LoadResult, LoadTarget, StreamResult
from emulator.sidecar import Sidecar
from emulator.slopes.fixtures import settled_sidecar
from emulator.slopes.points import Point, Scale
from emulator.worker import Worker

TARGET_RATE_PER_S = 120.0  # requests of one sidecar
ENDPOINT_COUNT = 36  # endpoints of a service of the target size
HIGH_RATES_PER_S = (480.0, 960.0, 1500.0)
BREAKDOWN_RATES_PER_S = (30.0, TARGET_RATE_PER_S, 960.0)
WARM_UP_S = 1.0  # but at most a quarter of a run
EXTRA_TIMEOUT_S = 20.0  # time that a run may take beyond its length
MAX_IDLE_S = 4.0
QUANTILES = (50, 90, 99, 99.9)


class LoadedRun(NamedTuple):
    """Results of requests sent through a sidecar and, at the same time, directly to its endpoints."""

    via: StreamResult
    direct: StreamResult
    sustained: bool
    cpu_s: float  # processor time of the sidecar


async def run_load(
    sidecar: Sidecar, addresses: dict[str, str], rate: float, seconds: float, seed: int
) -> LoadedRun:
    """Send requests through the sidecar and directly for `seconds`, each at `rate` requests per second."""
    targets = [
        LoadTarget("via", [sidecar.address], rate),
        LoadTarget("direct", list(addresses.values()), rate),
    ]
    async with Worker("emulator.clients") as worker:
        cpu_before_s = sidecar.precise_cpu_s()
        load = LoadRequest(targets, seconds, seed, warm_up_s=min(WARM_UP_S, seconds / 4))
        reply = await worker.request(load, seconds + EXTRA_TIMEOUT_S)
        cpu_s = sidecar.precise_cpu_s() - cpu_before_s
    result = msgspec.convert(reply, LoadResult)
    via, direct = result.streams
    return LoadedRun(via, direct, result.sustained, cpu_s)


def quantiles(stream: StreamResult) -> dict[str, int]:
    """Return latency percentiles of a stream in microseconds, with the keys of the records."""
    histogram = HdrHistogram.decode(stream.histogram)
    return {f"p{q}_us": histogram.get_value_at_percentile(q) for q in QUANTILES}


def stream_detail(stream: StreamResult) -> dict[str, Any]:
    """Return the result of a stream in the form of the records."""
    kept = {key: value for key, value in msgspec.to_builtins(stream).items() if key != "name"}
    return {**quantiles(stream), **kept}


async def _idle_cores(sidecar: Sidecar, seconds: float) -> float:
    cpu_before_s, started_s = sidecar.precise_cpu_s(), time.monotonic()
    await asyncio.sleep(seconds)
    return (sidecar.precise_cpu_s() - cpu_before_s) / (time.monotonic() - started_s)


def _cpu_point(run: LoadedRun, seconds: float, size: int, rate: float) -> Point:
    detail = {
        "rate": rate,
        "endpoints": size,
        "call_us": run.cpu_s / max(1, run.via.served) * 1e6,
        "via": stream_detail(run.via),
        "direct": stream_detail(run.direct),
    }
    valid = run.sustained and run.via.failed == 0
    served_per_s, cores = run.via.served / seconds, run.cpu_s / seconds
    return Point("cpu_by_rate", "calls_per_s", served_per_s, cores, "cores", valid, detail)


async def cpu_by_rate(scale: Scale) -> AsyncIterator[Point]:
    """Measure processor time by request rate, with 36 endpoints."""
    async with settled_sidecar(ENDPOINT_COUNT, scale.settle_s) as (sidecar, addresses):
        idle = await _idle_cores(sidecar, scale.seconds)
        yield Point("cpu_by_rate", "calls_per_s", 0, idle, "cores")
        for rate in scale.rates_per_s:
            run = await run_load(sidecar, addresses, rate, scale.seconds, int(rate))
            yield _cpu_point(run, scale.seconds, ENDPOINT_COUNT, rate)


async def cpu_at_high_rates(scale: Scale) -> AsyncIterator[Point]:
    """Measure processor time per request far above the target rate, where caches are warm."""
    seconds = scale.seconds / 2
    async with settled_sidecar(ENDPOINT_COUNT, scale.settle_s) as (sidecar, addresses):
        for rate in HIGH_RATES_PER_S:
            run = await run_load(sidecar, addresses, rate, seconds, int(rate))
            point = _cpu_point(run, seconds, ENDPOINT_COUNT, rate)
            point.name = "cpu_busy"
            yield point


async def cpu_by_list_size(scale: Scale) -> AsyncIterator[Point]:
    """Measure processor time per request by list length, at 120 requests per second."""
    for size in scale.sizes:
        async with settled_sidecar(size, scale.settle_s) as (sidecar, addresses):
            idle = await _idle_cores(sidecar, min(MAX_IDLE_S, scale.seconds))
            run = await run_load(sidecar, addresses, TARGET_RATE_PER_S, scale.seconds, size)
            point = _cpu_point(run, scale.seconds, size, TARGET_RATE_PER_S)
            served = point.x * scale.seconds
            point.name, point.x_name, point.x = "call_cpu_by_endpoint", "endpoints", size
            point.y, point.unit = (run.cpu_s - idle * scale.seconds) / max(1.0, served) * 1e6, "us"
            point.detail["idle_cores"] = idle
            point.detail["rss_bytes"] = sidecar.usage().rss_bytes
            yield point


async def cpu_by_step(scale: Scale) -> AsyncIterator[Point]:
    """Measure the processor time of each step of a request, in microseconds per request, at three rates."""
    for rate in BREAKDOWN_RATES_PER_S:
        async with settled_sidecar(ENDPOINT_COUNT, scale.settle_s, "emulator.breakdown") as (
            sidecar,
            addresses,
        ):
            before = await sidecar.breakdown()
            run = await run_load(sidecar, addresses, rate, scale.seconds, int(rate))
            yield _step_point(before, await sidecar.breakdown(), run, rate)


def _step_point(before: dict[str, Any], after: dict[str, Any], run: LoadedRun, rate: float) -> Point:
    served = max(1, run.via.served)
    steps_us = {
        step: (us - before["self_us"].get(step, 0.0)) / served for step, us in after["self_us"].items()
    }
    counts = {
        step: (count - before["counts"].get(step, 0)) / served for step, count in after["counts"].items()
    }
    total_us = (after["cpu_us"] - before["cpu_us"]) / served
    outside_us = total_us - sum(steps_us.values())
    detail = {"us_by_step": steps_us, "times_by_step": counts, "outside_us": outside_us}
    return Point("call_cpu_breakdown", "calls_per_s", rate, total_us, "us", run.sustained, detail)
