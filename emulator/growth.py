"""`python -m emulator growth`: what a sidecar needs with 16 times the endpoints, row by row with its limit.

The same day is played at the usual size and at the larger one: half of the endpoints are replaced while the
sidecar is called, one message of changes each 50 ms. The traffic of the sidecar and the capacity of all
endpoints together stay the same.
"""

from __future__ import annotations

import asyncio
import os
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from emulator import clients, endpoint
from emulator.discovery import DiscoveryServer, Registry
from emulator.sidecar import Sidecar, entry
from emulator.slopes import endpoints
from emulator.worker import Worker

SERVICE = "all"
USUAL, LARGE = 200, 3200
BALANCERS = 40  # sidecars that share the endpoints
CAPACITY = 3200  # requests that all endpoints together run at once
MEDIAN_MS = 20.0
CALLS_PER_S = 75.0
SECONDS = 20.0
CHANGE_EVERY_S = 0.05
SAMPLE_EVERY_S = 0.2
MEGABYTE = 1 << 20
app = typer.Typer(add_completion=False)


class Needs(msgspec.Struct):
    """What one sidecar needed over the day."""

    endpoints: int
    cpu_s: float
    peak_memory_bytes: int
    descriptors: int
    connections: int  # made to endpoints
    list_bytes: int  # from discovery, while it told changes
    share_served: float
    held: bool  # whether the clients kept their rate


class Row(msgspec.Struct):
    """One line of the table: a need at both sizes, and the most (or least) that is allowed at the larger."""

    need: str
    usual: float
    large: float
    limit: float
    held: bool


def rows(usual: Needs, large: Needs) -> list[Row]:
    """The limits of the standing test on growth; the thousands are those of the larger size."""
    thousands = large.endpoints / 1000
    at_most = (
        ("processor time, s", usual.cpu_s, large.cpu_s, 1.4 * usual.cpu_s + 0.02 + 0.12 * thousands),
        (
            "peak memory, MB",
            usual.peak_memory_bytes / MEGABYTE,
            large.peak_memory_bytes / MEGABYTE,
            1.5 * usual.peak_memory_bytes / MEGABYTE + 8 + 4 * thousands,
        ),
        ("descriptors", usual.descriptors, large.descriptors, 2 * usual.descriptors + 40),
        ("connections to endpoints", usual.connections, large.connections, 2.5 * usual.connections + 40),
        (
            "bytes of lists, KB",
            usual.list_bytes / 1024,
            large.list_bytes / 1024,
            2 * usual.list_bytes / 1024 + 64 + 500 * thousands,
        ),
    )
    found = [Row(need, few, many, limit, many <= limit) for need, few, many, limit in at_most]
    least = 0.85 * usual.share_served
    found.append(
        Row("share served", usual.share_served, large.share_served, least, large.share_served >= least)
    )
    return found


class Sampler:
    """Follows the descriptors of a process; the kernel keeps its peak of memory."""

    def __init__(self, pid: int) -> None:
        self.folder = Path("/proc") / str(pid)
        self.descriptors = 0

    async def run(self) -> None:
        while True:
            self.descriptors = max(self.descriptors, len(os.listdir(self.folder / "fd")))
            await asyncio.sleep(SAMPLE_EVERY_S)

    def peak_memory_bytes(self) -> int:
        text = (self.folder / "status").read_text(encoding="utf-8")
        line = next(line for line in text.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024


async def replace_half(server: DiscoveryServer, names: dict[str, str], size: int, seconds: float) -> None:
    """Replace half of the endpoints in even steps: the old ones go as the new ones come."""
    old = list(names)[: size // 2]
    new = list(names)[size:]
    messages = max(1, int(seconds / CHANGE_EVERY_S))
    begun = time.monotonic()
    for number in range(messages):
        until = (number + 1) * len(old) // messages
        done = number * len(old) // messages
        changed = [entry(name, names[name], lifecycle="gone") for name in old[done:until]]
        changed += [entry(name, names[name]) for name in new[done:until]]
        if changed:
            server.change(SERVICE, changed)
        await asyncio.sleep(max(0.0, begun + (number + 1) * CHANGE_EVERY_S - time.monotonic()))


async def measure(size: int, seconds: float) -> Needs:
    """Play the day with so many endpoints."""
    kind = {"median_ms": MEDIAN_MS, "cores": max(1, CAPACITY // size)}
    async with endpoints(size + size // 2, **kind) as (worker, names):
        listed = {name: names[name] for name in list(names)[:size]}
        server = DiscoveryServer(Registry({SERVICE: [entry(n, a) for n, a in listed.items()]}))
        await server.start()
        settings: dict[str, Any] = {"Discovery": "ask", "Balancers": BALANCERS}
        async with (
            Sidecar(listed, server.address(SERVICE), **settings) as sidecar,
            Worker("emulator.clients") as caller,
        ):
            await asyncio.sleep(1.0)  # the first list has come, and the watch is open
            needs = await _played(sidecar, server, worker, caller, names, size, seconds)
        await server.stop()
        return needs


async def _played(
    sidecar: Sidecar,
    server: DiscoveryServer,
    worker: Worker,
    caller: Worker,
    names: dict[str, str],
    size: int,
    seconds: float,
) -> Needs:
    sampler = Sampler(sidecar.pid)
    sampling = asyncio.create_task(sampler.run())
    cpu_before, bytes_before = sidecar.runtime_s(), server.figures.bytes_out
    job = clients.Job([clients.Target("via", [sidecar.address], CALLS_PER_S)], seconds, 1)
    result, _ = await asyncio.gather(
        caller.ask(job, seconds + 20), replace_half(server, names, size, seconds - 1)
    )
    sampling.cancel()
    (stream,) = result["streams"]
    counts = (await worker.ask(endpoint.Count()))["counts"]
    return Needs(
        endpoints=size,
        cpu_s=sidecar.runtime_s() - cpu_before,
        peak_memory_bytes=sampler.peak_memory_bytes(),
        descriptors=sampler.descriptors,
        connections=int(counts.get("connections", 0)),
        list_bytes=server.figures.bytes_out - bytes_before,
        share_served=stream["served"] / max(1, stream["planned"]),
        held=bool(result["held"]),
    )


async def compare(usual_size: int, large_size: int, seconds: float) -> tuple[Needs, Needs]:
    """Both sizes, one after the other."""
    return await measure(usual_size, seconds), await measure(large_size, seconds)


@app.callback(invoke_without_command=True)
def growth(
    usual: Annotated[int, typer.Option(help="endpoints of the usual size")] = USUAL,
    large: Annotated[int, typer.Option(help="endpoints of the larger size")] = LARGE,
    seconds: Annotated[float, typer.Option(help="how long each day lasts")] = SECONDS,
    records: Annotated[Path, typer.Option(help="where the measurement is kept")] = Path("records"),
) -> None:
    """Measure both sizes, print each row with its limit, and keep them as one line of JSON."""
    few, many = asyncio.run(compare(usual, large, seconds))
    found = rows(few, many)
    stamp = datetime.now(UTC).strftime("%Y%m%dT%H%M%S")
    kept = {"usual": few, "large": many, "rows": found}
    (records / f"growth-{stamp}.jsonl").write_bytes(msgspec.json.encode(kept) + b"\n")
    table = Table("need", str(usual), str(large), "limit", "held")
    for row in found:
        held = "held" if row.held else "NOT HELD"
        table.add_row(row.need, f"{row.usual:.3f}", f"{row.large:.3f}", f"{row.limit:.3f}", held)
    Console(width=100).print(table)
    if not (few.held and many.held):
        print("the clients did not keep their rate: this run counts for nothing")
        raise typer.Exit(2)
    raise typer.Exit(0 if all(row.held for row in found) else 1)
