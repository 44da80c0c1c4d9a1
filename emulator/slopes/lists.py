"""Measures the cost of the endpoint list's length in the decision module, and of its changes in a sidecar."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

from emulator.sidecar import Sidecar
from emulator.slopes.decision_bench import DecisionBench
from emulator.slopes.fixtures import ListForm, ScriptedDiscovery, list_bodies, make_rows
from emulator.slopes.list_bench import ListBench
from emulator.slopes.points import Point, Scale
from testbed.http_messages import encode_response

INSTANCE_COUNT = 36  # sidecars in a service of the target size
CHANGE_RATES_PER_S = ((ListForm.RENEWAL, 50.0), (ListForm.DELTA, 50.0), (ListForm.FULL, 10.0))
WATCH_REQUEST = b"GET /discovery/hosts?after=1000000&wait_ms=30000 HTTP/1.1\r\nHost: 127.0.0.1:65000\r\n\r\n"


async def decision_cpu(scale: Scale) -> AsyncIterator[Point]:
    """Measure the decision module's time per request, with 36 sidecars and with one sidecar per endpoint."""
    for size in scale.sizes:
        for instance_count, name in ((INSTANCE_COUNT, "module_call"), (size, "module_call_even")):
            cost = DecisionBench(size, instance_count).measure()
            detail = {"in_use_us": cost.in_use_us, "subset": cost.subset, "copies": instance_count}
            yield Point(name, "endpoints", size, cost.request_us, "us", True, detail)


async def list_cpu(scale: Scale) -> AsyncIterator[Point]:
    """Measure the time to parse a list in this process and to apply it to pools and decision module."""
    for size in scale.sizes:
        bench = ListBench(size)
        for form in ListForm:
            cost = bench.measure(form)
            detail = {"parse_us": cost.parse_us, "take_us": cost.take_us}
            total_us = cost.parse_us + cost.take_us
            yield Point(f"list_{form.value}", "endpoints", size, total_us, "us", True, detail)


async def _measure_watch_responses(
    form: ListForm, size: int, rate: float, seconds: float, settle_s: float
) -> Point:
    """Measure a real sidecar's processor time while its watches get `rate` responses per second."""
    addresses = {row["instanceId"]: row["hostPort"] for row in make_rows(size)}
    bodies = list_bodies(form, size) if rate else []
    discovery = ScriptedDiscovery(bodies, 1 / rate if rate else 0.0)
    async with discovery, Sidecar(addresses, discovery.address) as sidecar:
        await asyncio.sleep(settle_s)
        count_before, started_s, cpu_before_s = (
            discovery.response_count,
            time.monotonic(),
            sidecar.precise_cpu_s(),
        )
        await asyncio.sleep(seconds)
        cpu_s, elapsed_s = sidecar.precise_cpu_s() - cpu_before_s, time.monotonic() - started_s
        responses_per_s = (discovery.response_count - count_before) / elapsed_s
        detail = {"endpoints": size, "rss_bytes": sidecar.usage().rss_bytes}
    return Point(
        f"watch_{form.value}", "answers_per_s", responses_per_s, cpu_s / elapsed_s, "cores", True, detail
    )


async def renewal_cpu(scale: Scale) -> AsyncIterator[Point]:
    """Measure a real sidecar's processor time by watch renewals per second, with 36 endpoints."""
    for rate in scale.renewals_per_s:
        yield await _measure_watch_responses(
            ListForm.RENEWAL, INSTANCE_COUNT, rate, scale.seconds / 2, scale.settle_s
        )


async def change_cpu(scale: Scale) -> AsyncIterator[Point]:
    """Measure a real sidecar's processor time for a renewal, a delta and a full list, by list length."""
    seconds = scale.seconds / 5
    for size in scale.sizes:
        idle = await _measure_watch_responses(ListForm.RENEWAL, size, 0.0, seconds, scale.settle_s)
        for form, rate in CHANGE_RATES_PER_S:
            busy = await _measure_watch_responses(form, size, rate, seconds, scale.settle_s)
            cost_us = (busy.y - idle.y) / busy.x * 1e6 if busy.x else 0.0
            detail = {"answers_per_s": busy.x, "idle_cores": idle.y, **busy.detail}
            yield Point(f"change_{form.value}_cpu", "endpoints", size, cost_us, "us", busy.x > 0, detail)


async def list_bytes(scale: Scale) -> AsyncIterator[Point]:
    """Compute the bytes of a full list, a change of one endpoint and a renewed watch, with its call."""
    for size in scale.sizes:
        for form in ListForm:
            response = encode_response(200, "OK", list_bodies(form, size)[0])
            total = len(WATCH_REQUEST) + len(response)
            yield Point(f"bytes_{form.value}", "endpoints", size, total, "bytes")
