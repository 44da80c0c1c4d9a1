"""`python -m emulator growth`: compares what a sidecar needs with 16 times the endpoints with its limits.

The same load is run at the usual size and at the larger one. Requests are sent through the sidecar while half
of the endpoints are replaced, with one message of changes every 50 ms. The traffic of the sidecar and the
capacity of all endpoints together are the same at both sizes.
"""

from __future__ import annotations

import asyncio
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any, NamedTuple, NoReturn

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from emulator.clients.messages import LoadRequest, LoadResult, LoadTarget
from emulator.discovery.registry import Registry
from emulator.discovery.server import DiscoveryServer
from emulator.endpoints.messages import EndpointCounter
from emulator.process_usage import count_descriptors, read_peak_memory_bytes
from emulator.sidecar import Sidecar
from emulator.slopes.fixtures import open_endpoints, read_counter
from emulator.worker import Worker
from testbed.discovery_wire import endpoint_row

SERVICE = "all"
USUAL_SIZE, LARGE_SIZE = 200, 3200
INSTANCE_COUNT = 40  # number of sidecars that share the endpoints
CAPACITY = 3200  # requests that all endpoints together run concurrently
SERVICE_TIME_MEDIAN_MS = 20.0
REQUESTS_PER_S = 75.0
DURATION_S = 20.0
CHANGE_INTERVAL_S = 0.05
SAMPLE_INTERVAL_S = 0.2
SETTLE_S = 1.0  # delay in which the first list arrives and the watch is opened
EXTRA_TIMEOUT_S = 20.0  # time that the clients may take beyond the length of the run
KIB = 1 << 10
MEGABYTE = 1 << 20
TABLE_WIDTH = 100
EXIT_LIMIT_EXCEEDED = 1
EXIT_INVALID = 2
app = typer.Typer(add_completion=False)


class ResourceUsage(msgspec.Struct):
    """What one sidecar needed during a run."""

    endpoints: int
    cpu_s: float
    peak_memory_bytes: int
    descriptors: int
    connections: int  # connections opened to endpoints
    list_bytes: int  # bytes from discovery while endpoints were replaced
    share_served: float
    valid: bool = msgspec.field(name="held")  # whether the clients sustained their rate


class Comparison(msgspec.Struct):
    """One need at both sizes, and the maximum (or minimum) that is allowed at the larger size."""

    need: str
    usual: float
    large: float
    limit: float
    within_limit: bool = msgspec.field(name="held")


class _Limit(NamedTuple):
    """The maximum at the larger size.

    It is a factor of the value at the usual size, plus a constant, plus an amount per 1000 endpoints.
    """

    factor: float
    constant: float
    per_thousand: float = 0.0

    def at(self, usual: float, thousands: float) -> float:
        return self.factor * usual + self.constant + self.per_thousand * thousands


LIMITS = {
    "processor time, s": _Limit(1.4, 0.02, 0.12),
    "peak memory, MB": _Limit(1.5, 8, 4),
    "descriptors": _Limit(2, 40),
    "connections to endpoints": _Limit(2.5, 40),
    "bytes of lists, KB": _Limit(2, 64, 500),
}
MIN_SERVED_RATIO = 0.85  # minimum share served at the larger size, relative to that at the usual size


def compare_usage(usual: ResourceUsage, large: ResourceUsage) -> list[Comparison]:
    """Return each need with its limit; the limit depends on the number of endpoints at the larger size."""
    thousands = large.endpoints / 1000
    compared = []
    for need, limit in LIMITS.items():
        usual_value, large_value = _values_by_need(usual)[need], _values_by_need(large)[need]
        max_value = limit.at(usual_value, thousands)
        compared.append(Comparison(need, usual_value, large_value, max_value, large_value <= max_value))
    min_value = MIN_SERVED_RATIO * usual.share_served
    within = large.share_served >= min_value
    compared.append(Comparison("share served", usual.share_served, large.share_served, min_value, within))
    return compared


def _values_by_need(usage: ResourceUsage) -> dict[str, float]:
    return {
        "processor time, s": usage.cpu_s,
        "peak memory, MB": usage.peak_memory_bytes / MEGABYTE,
        "descriptors": usage.descriptors,
        "connections to endpoints": usage.connections,
        "bytes of lists, KB": usage.list_bytes / KIB,
    }


class DescriptorSampler:
    """Records the largest number of descriptors that a process has open.

    Args:
        pid: the id of the process.
    """

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.max_count = 0

    async def run(self) -> NoReturn:
        """Sample until cancelled."""
        while True:
            self.max_count = max(self.max_count, count_descriptors(self.pid))
            await asyncio.sleep(SAMPLE_INTERVAL_S)


async def replace_half(server: DiscoveryServer, addresses: dict[str, str], size: int, seconds: float) -> None:
    """Replace half of the endpoints in even steps: each step removes old endpoints and adds new ones.

    Args:
        server: the discovery server whose list is changed.
        addresses: the addresses of all endpoints by name; those after the first `size` are the new ones.
        size: the number of endpoints in the list.
        seconds: the duration of the replacement.
    """
    old = list(addresses)[: size // 2]
    new = list(addresses)[size:]
    messages = max(1, int(seconds / CHANGE_INTERVAL_S))
    started_s = time.monotonic()
    for number in range(messages):
        first, end = number * len(old) // messages, (number + 1) * len(old) // messages
        rows = [endpoint_row(name, addresses[name], lifecycle="gone") for name in old[first:end]]
        rows += [endpoint_row(name, addresses[name]) for name in new[first:end]]
        if rows:
            server.change(SERVICE, rows)
        await asyncio.sleep(max(0.0, started_s + (number + 1) * CHANGE_INTERVAL_S - time.monotonic()))


class _Processes(NamedTuple):
    """The processes of one run."""

    endpoints: Worker
    clients: Worker
    sidecar: Sidecar
    server: DiscoveryServer


async def measure(size: int, seconds: float) -> ResourceUsage:
    """Make a run with `size` endpoints, and return what the sidecar needed."""
    profile = {"median_ms": SERVICE_TIME_MEDIAN_MS, "cores": max(1, CAPACITY // size)}
    async with open_endpoints(size + size // 2, **profile) as (endpoints, addresses):
        initial = {name: addresses[name] for name in list(addresses)[:size]}
        rows = [endpoint_row(name, address) for name, address in initial.items()]
        server = DiscoveryServer(Registry({SERVICE: rows}))
        await server.start()
        settings: dict[str, Any] = {"Discovery": "ask", "Balancers": INSTANCE_COUNT}
        async with (
            Sidecar(initial, server.address(SERVICE), **settings) as sidecar,
            Worker("emulator.clients") as clients,
        ):
            await asyncio.sleep(SETTLE_S)
            usage = await _run_load(_Processes(endpoints, clients, sidecar, server), addresses, size, seconds)
        await server.stop()
        return usage


async def _run_load(
    processes: _Processes, addresses: dict[str, str], size: int, seconds: float
) -> ResourceUsage:
    sidecar, statistics = processes.sidecar, processes.server.statistics
    sampler = DescriptorSampler(sidecar.pid)
    sampling = asyncio.create_task(sampler.run())
    cpu_before_s, bytes_before = sidecar.precise_cpu_s(), statistics.bytes_out
    load = LoadRequest([LoadTarget("via", [sidecar.address], REQUESTS_PER_S)], seconds, 1)
    reply, _ = await asyncio.gather(
        processes.clients.request(load, seconds + EXTRA_TIMEOUT_S),
        replace_half(processes.server, addresses, size, seconds - 1),
    )
    sampling.cancel()
    result = msgspec.convert(reply, LoadResult)
    (stream,) = result.streams
    return ResourceUsage(
        endpoints=size,
        connections=await read_counter(processes.endpoints, EndpointCounter.CONNECTIONS),
        cpu_s=sidecar.precise_cpu_s() - cpu_before_s,
        peak_memory_bytes=read_peak_memory_bytes(sidecar.pid),
        descriptors=sampler.max_count,
        list_bytes=statistics.bytes_out - bytes_before,
        share_served=stream.served / max(1, stream.planned),
        valid=result.sustained,
    )


async def measure_both(
    usual_size: int, large_size: int, seconds: float
) -> tuple[ResourceUsage, ResourceUsage]:
    """Measure both sizes, one after the other."""
    return await measure(usual_size, seconds), await measure(large_size, seconds)


@app.callback(invoke_without_command=True)
def growth(
    usual: Annotated[int, typer.Option(help="endpoints of the usual size")] = USUAL_SIZE,
    large: Annotated[int, typer.Option(help="endpoints of the larger size")] = LARGE_SIZE,
    seconds: Annotated[float, typer.Option(help="length of each run")] = DURATION_S,
    records: Annotated[Path, typer.Option(help="folder for the measurement")] = Path("records"),
) -> None:
    """Measure both sizes, print each need with its limit, and save them as one line of JSON."""
    usual_usage, large_usage = asyncio.run(measure_both(usual, large, seconds))
    rows = compare_usage(usual_usage, large_usage)
    stamp = datetime.now(UTC).strftime("%Y%m%dT%H%M%S")
    record = {"usual": usual_usage, "large": large_usage, "rows": rows}
    (records / f"growth-{stamp}.jsonl").write_bytes(msgspec.json.encode(record) + b"\n")
    table = Table("need", str(usual), str(large), "limit", "within")
    for row in rows:
        within = "yes" if row.within_limit else "NO"
        table.add_row(row.need, f"{row.usual:.3f}", f"{row.large:.3f}", f"{row.limit:.3f}", within)
    Console(width=TABLE_WIDTH).print(table)
    if not (usual_usage.valid and large_usage.valid):
        print("the clients did not sustain their rate: this run is invalid")
        raise typer.Exit(EXIT_INVALID)
    raise typer.Exit(0 if all(row.within_limit for row in rows) else EXIT_LIMIT_EXCEEDED)
