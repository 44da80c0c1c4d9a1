"""`python -m emulator slopes`: what a sidecar spends by call, endpoint, connection and change of its list.

Each measurement is taken at four sizes or more, kept as one JSON line in `records/slopes-*.jsonl`, and a line
is fitted through those that held their rate.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import time
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Annotated, Any

import msgspec
import numpy as np
import typer
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from emulator import clients, endpoint
from emulator.fit import LEAST_POINTS, fit
from emulator.microbench import ListBench, ModuleBench, body_of, rows_of
from emulator.sidecar import Sidecar
from emulator.worker import ROOT, Worker

LIST_SIZES = (36, 250, 500, 1000, 2000)
RATES = (30.0, 60.0, 120.0, 240.0)
TARGET_RATE = 120.0  # calls a second of one sidecar
DEPTH = 27  # calls one behind the other
DRAWS = 20_000
WIDTH = 150  # of the table, also where it goes to a file
app = typer.Typer(add_completion=False)


class Point(msgspec.Struct):
    """One measurement: `y` in `unit` at `x`; one that didn't hold its rate counts for nothing."""

    name: str
    x_name: str
    x: float
    y: float
    unit: str
    held: bool = True
    detail: dict[str, Any] = {}


class Scale(msgspec.Struct, frozen=True):
    """How much is measured; the defaults are those of a full measurement."""

    sizes: Sequence[int] = LIST_SIZES
    rates: Sequence[float] = RATES
    seconds: float = 10.0
    runs: int = 3
    connections: Sequence[int] = (0, 100, 200, 400, 800)
    repeats: Sequence[float] = (0.0, 25.0, 50.0, 100.0, 200.0)  # watches answered a second
    settle_s: float = 1.0  # after the start, before processor time is counted


Measure = Callable[[Scale], AsyncIterator[Point]]


@asynccontextmanager
async def endpoints(count: int, **kind: Any) -> AsyncIterator[tuple[Worker, dict[str, str]]]:
    """So many stand-in endpoints in a process of their own, and their addresses by name."""
    async with Worker("emulator.endpoint") as worker:
        answer = await worker.ask(endpoint.Open("s", count, endpoint.Kind(**kind)))
        yield worker, answer["addresses"]


async def until(condition: Callable[[], Awaitable[bool]], seconds: float = 10.0) -> bool:
    """Wait for a condition; False where it didn't come about in time."""
    end = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.02)
    return True


class Feeder:
    """Answers each watch after `gap_s` with the next body; without a gap stated, never."""

    def __init__(self, bodies: Sequence[bytes] = (), gap_s: float = 0.0) -> None:
        self.bodies = bodies
        self.gap_s = gap_s
        self.answered = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Feeder:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                self.bytes_in += len(await reader.readuntil(b"\r\n\r\n"))
                if not self.bodies:
                    continue
                await asyncio.sleep(self.gap_s)
                body = self.bodies[self.answered % len(self.bodies)]
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(head + body)
                self.answered += 1
                self.bytes_out += len(head) + len(body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return  # cancelled where the loop ends while an answer waits for its gap


@asynccontextmanager
async def rig(
    count: int, settle_s: float, module: str = "corkdoor.sidecar"
) -> AsyncIterator[tuple[Sidecar, dict[str, str]]]:
    """A sidecar on so many endpoints, with a watch that stays open; settled."""
    async with endpoints(count) as (_, names), Feeder() as feeder:
        sidecar = Sidecar(names, feeder.address, module)
        async with sidecar:
            await asyncio.sleep(settle_s)
            yield sidecar, names


# --- memory ---


def _memory(name: str, x_name: str, x: float, sidecar: Sidecar, **detail: Any) -> Point:
    usage = sidecar.usage()
    return Point(name, x_name, x, usage.rss_bytes, "bytes", True, {"pss_bytes": usage.pss_bytes, **detail})


async def memory_by_endpoint(scale: Scale) -> AsyncIterator[Point]:
    """Resident memory by the length of the list, before any call."""
    for size in scale.sizes:
        names = {row["instanceId"]: row["hostPort"] for row in rows_of(size)}
        async with Feeder() as feeder, Sidecar(names, feeder.address) as sidecar:
            yield _memory("memory_by_endpoint", "endpoints", size, sidecar)


async def _ask_each(sockets: Sequence[tuple[asyncio.StreamReader, asyncio.StreamWriter]], wait: bool) -> None:
    for number, (reader, writer) in enumerate(sockets):
        _write_call(writer, f"c{number:x}")
        if wait:
            await reader.readuntil(b"done")


def _write_call(writer: asyncio.StreamWriter, name: str) -> None:
    lines = [
        "GET /look/a HTTP/1.1",
        "Host: a",
        f"Req-Id: {name}",
        "Req-Owner: acme",
        "Req-Deadline-Ms: 20000",
    ]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())


async def _connect(sidecar: Sidecar, count: int) -> list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    return [await asyncio.open_connection("127.0.0.1", sidecar.port) for _ in range(count)]


async def memory_by_caller(scale: Scale) -> AsyncIterator[Point]:
    """Resident memory by open connections of callers, each of which has had one answer."""
    async with endpoints(36) as (_, names), Feeder() as feeder:
        for count in scale.connections:
            async with Sidecar(names, feeder.address) as sidecar:
                warm = await _connect(sidecar, 1)
                await _ask_each(warm * 200, True)
                sockets = await _connect(sidecar, count)
                await _ask_each(sockets, True)
                yield _memory("memory_by_caller_connection", "connections", count, sidecar)
                _abort(warm + sockets)


def _abort(sockets: Iterable[tuple[asyncio.StreamReader, asyncio.StreamWriter]]) -> None:
    for _, writer in sockets:
        writer.transport.abort()


async def memory_by_upstream(scale: Scale) -> AsyncIterator[Point]:
    """Resident memory by connections to endpoints: few calls at once, spread over many endpoints."""
    most = max(scale.connections)
    async with endpoints(most) as (worker, names), Feeder() as feeder:
        for count in scale.connections:
            async with Sidecar(names, feeder.address, Balancers=1) as sidecar:
                sockets = await _connect(sidecar, 1)
                for _ in range(count // 25 * 2):
                    await _ask_each(sockets * 25, True)
                opened = int((await worker.ask(endpoint.Count()))["counts"].get("open", 0))
                yield _memory(
                    "memory_by_upstream_connection", "connections", opened, sidecar, calls=count // 25 * 50
                )
                _abort(sockets)
            await until(lambda: _counted(worker, "open", 0))


async def _counted(worker: Worker, name: str, count: int) -> bool:
    return int((await worker.ask(endpoint.Count()))["counts"].get(name, 0)) == count


async def memory_by_request(scale: Scale) -> AsyncIterator[Point]:
    """Resident memory by open requests, each with a connection of its own on both sides."""
    for count in scale.connections:
        async with endpoints(200) as (worker, names), Feeder() as feeder:
            for name in names:
                await worker.ask(endpoint.Change(name, "hang"))
            async with Sidecar(names, feeder.address, Balancers=1) as sidecar:
                sockets = await _connect(sidecar, count)
                await _ask_each(sockets, False)
                hangs = await until(lambda worker=worker, count=count: _counted(worker, "hung", count))  # type: ignore[misc]
                point = _memory("memory_by_open_request", "requests", count, sidecar)
                point.held = hangs
                yield point
                _abort(sockets)


# --- processor time ---


def _quantiles(stream: dict[str, Any]) -> dict[str, int]:
    kept = HdrHistogram.decode(stream["histogram"])
    return {f"p{q}_us": kept.get_value_at_percentile(q) for q in (50, 90, 99, 99.9)}


def _tail(stream: dict[str, Any]) -> dict[str, Any]:
    return {**_quantiles(stream), **{k: v for k, v in stream.items() if k != "name"}}


async def played(
    sidecar: Sidecar, names: dict[str, str], rate: float, seconds: float, seed: int
) -> tuple[dict[str, Any], float]:
    """Call through the sidecar and directly, each at this rate: the result, and the core seconds spent."""
    targets = [
        clients.Target("via", [sidecar.address], rate),
        clients.Target("direct", list(names.values()), rate),
    ]
    async with Worker("emulator.clients") as worker:
        before = sidecar.runtime_s()
        result = await worker.ask(
            clients.Job(targets, seconds, seed, warm_s=min(1.0, seconds / 4)), seconds + 20
        )
        return result, sidecar.runtime_s() - before


async def _idle(sidecar: Sidecar, seconds: float) -> float:
    before, begun = sidecar.runtime_s(), time.monotonic()
    await asyncio.sleep(seconds)
    return (sidecar.runtime_s() - before) / (time.monotonic() - begun)


def _call_points(result: dict[str, Any], spent_s: float, scale: Scale, size: int, rate: float) -> Point:
    via, direct = result["streams"]
    detail = {
        "endpoints": size,
        "call_us": spent_s / max(1, via["served"]) * 1e6,
        "via": _tail(via),
        "direct": _tail(direct),
    }
    return Point(
        "cpu_by_rate", "calls_per_s", via["served"] / scale.seconds, spent_s / scale.seconds, "cores",
        result["held"] and via["failed"] == 0, {"rate": rate, **detail},
    )  # fmt: skip


async def calls(scale: Scale) -> AsyncIterator[Point]:
    """Processor time by calls a second, 36 endpoints; and by the length of the list at 120 a second."""
    async with rig(36, scale.settle_s) as (sidecar, names):
        yield Point("cpu_by_rate", "calls_per_s", 0, await _idle(sidecar, scale.seconds), "cores")
        for rate in scale.rates:
            result, spent = await played(sidecar, names, rate, scale.seconds, int(rate))
            yield _call_points(result, spent, scale, 36, rate)


async def busy(scale: Scale) -> AsyncIterator[Point]:
    """Processor time a call at rates far above the target's: what the same work takes in warm caches."""
    half = msgspec.structs.replace(scale, seconds=scale.seconds / 2)
    async with rig(36, scale.settle_s) as (sidecar, names):
        for rate in (480.0, 960.0, 1500.0):
            result, spent = await played(sidecar, names, rate, half.seconds, int(rate))
            point = _call_points(result, spent, half, 36, rate)
            point.name = "cpu_busy"
            yield point


async def breakdown(scale: Scale) -> AsyncIterator[Point]:
    """Where the time of a call goes at 30, 120 and 960 calls a second: microseconds a call by step."""
    for rate in (30.0, TARGET_RATE, 960.0):
        async with rig(36, scale.settle_s, "emulator.breakdown") as (sidecar, names):
            before = await sidecar.breakdown()
            result, _ = await played(sidecar, names, rate, scale.seconds, int(rate))
            yield _steps(before, await sidecar.breakdown(), result, rate)


def _steps(before: dict[str, Any], after: dict[str, Any], result: dict[str, Any], rate: float) -> Point:
    served = max(1, result["streams"][0]["served"])
    steps = {k: (v - before["self_us"].get(k, 0.0)) / served for k, v in after["self_us"].items()}
    counts = {k: (v - before["counts"].get(k, 0)) / served for k, v in after["counts"].items()}
    total = (after["cpu_us"] - before["cpu_us"]) / served
    detail = {"us_by_step": steps, "times_by_step": counts, "outside_us": total - sum(steps.values())}
    return Point("call_cpu_breakdown", "calls_per_s", rate, total, "us", result["held"], detail)


async def sizes(scale: Scale) -> AsyncIterator[Point]:
    """Processor time a call and added latency by the length of the list, at 120 calls a second."""
    for size in scale.sizes:
        async with rig(size, scale.settle_s) as (sidecar, names):
            idle = await _idle(sidecar, min(4.0, scale.seconds))
            result, spent = await played(sidecar, names, TARGET_RATE, scale.seconds, size)
            point = _call_points(result, spent, scale, size, TARGET_RATE)
            served = point.x * scale.seconds
            point.name, point.x_name, point.x = "call_cpu_by_endpoint", "endpoints", size
            point.y, point.unit = (spent - idle * scale.seconds) / max(1.0, served) * 1e6, "us"
            point.detail["idle_cores"] = idle
            point.detail["rss_bytes"] = sidecar.usage().rss_bytes
            yield point


def summed(via: str, direct: str, depth: int, draws: int = DRAWS) -> tuple[float, float]:
    """Median and 99th of the sum of `depth` added parts in microseconds.

    Each part is an independent draw of a latency through the sidecar less one of a direct call, each from its
    histogram, with a fixed seed. The noise of the direct calls stays in, so the spread is stated too wide.
    """
    rng = np.random.default_rng(1)
    total = np.zeros(draws)
    for text, sign in ((via, 1), (direct, -1)):
        kept = HdrHistogram.decode(text)
        items = [(i.value_iterated_to, i.count_added_in_this_iter_step) for i in kept.get_recorded_iterator()]
        values = np.array([v for v, _ in items], dtype=float)
        weights = np.array([n for _, n in items], dtype=float)
        for _ in range(depth):
            total += sign * rng.choice(values, draws, p=weights / weights.sum())
    return float(np.percentile(total, 50)), float(np.percentile(total, 99))


def added(result: dict[str, Any], size: int, run: int) -> list[Point]:
    """The latency that the sidecar adds at the median and the 99th, and summed over a chain of calls."""
    via, direct = result["streams"]
    q, d = _quantiles(via), _quantiles(direct)
    detail = {"run": run, "via": _tail(via), "direct": _tail(direct)}
    held = result["held"] and via["failed"] == direct["failed"] == 0
    above = {"above_direct_median_us": q["p99_us"] - d["p50_us"]}
    chain = summed(via["histogram"], direct["histogram"], DEPTH)
    return [
        Point("added_p50", "endpoints", size, q["p50_us"] - d["p50_us"], "us", held, detail),
        Point("added_p99", "endpoints", size, q["p99_us"] - d["p99_us"], "us", held, {"run": run, **above}),
        Point(f"added_p50_{DEPTH}_deep", "endpoints", size, chain[0], "us", held, {"run": run}),
        Point(f"added_p99_{DEPTH}_deep", "endpoints", size, chain[1], "us", held, {"run": run}),
    ]


async def latency(scale: Scale) -> AsyncIterator[Point]:
    """Added latency at 120 calls a second with 36 and 400 endpoints, some runs each."""
    for size in (36, 400):
        async with rig(size, scale.settle_s) as (sidecar, names):
            for run in range(scale.runs):
                result, _ = await played(sidecar, names, TARGET_RATE, scale.seconds, 100 * size + run)
                for point in added(result, size, run):
                    yield point


async def module(scale: Scale) -> AsyncIterator[Point]:
    """The module's own time a call, by the length of the list, as one of 36 copies and as one of as many."""
    for size in scale.sizes:
        for copies, name in ((36, "module_call"), (size, "module_call_even")):
            cost = ModuleBench(size, copies).measure()
            detail = {"in_use_us": cost.in_use_us, "subset": cost.subset, "copies": copies}
            yield Point(name, "endpoints", size, cost.call_us, "us", True, detail)


async def lists(scale: Scale) -> AsyncIterator[Point]:
    """Taking a list in this process: reading it, and telling pools and module."""
    for size in scale.sizes:
        bench = ListBench(size)
        for name, cost in (("whole", bench.whole()), ("delta", bench.delta()), ("renewal", bench.renewal())):
            detail = {"parse_us": cost.parse_us, "take_us": cost.take_us}
            total = cost.parse_us + cost.take_us
            yield Point(f"list_{name}", "endpoints", size, total, "us", True, detail)


def _bodies(form: str, size: int) -> list[bytes]:
    rows = rows_of(size)
    if form == "renewal":
        return [body_of(2, False, [])]
    if form == "whole":
        return [body_of(2, True, rows)]
    return [body_of(2, False, [{**rows[0], "lifecycle": state}]) for state in ("draining", "ready")]


async def _fed(form: str, size: int, rate: float, seconds: float, settle_s: float) -> Point:
    """A real sidecar's processor time while its watch is answered so many times a second."""
    names = {row["instanceId"]: row["hostPort"] for row in rows_of(size)}
    bodies = _bodies(form, size) if rate else []
    feeder = Feeder(bodies, 1 / rate if rate else 0.0)
    async with feeder, Sidecar(names, feeder.address) as sidecar:
        await asyncio.sleep(settle_s)
        answered, begun, before = feeder.answered, time.monotonic(), sidecar.runtime_s()
        await asyncio.sleep(seconds)
        spent, took = sidecar.runtime_s() - before, time.monotonic() - begun
        told = (feeder.answered - answered) / took
        detail = {"endpoints": size, "rss_bytes": sidecar.usage().rss_bytes}
    return Point(f"watch_{form}", "answers_per_s", told, spent / took, "cores", True, detail)


async def watch(scale: Scale) -> AsyncIterator[Point]:
    """A real sidecar's processor time by renewals of its watch a second, 36 endpoints."""
    for rate in scale.repeats:
        yield await _fed("renewal", 36, rate, scale.seconds / 2, scale.settle_s)


async def changes(scale: Scale) -> AsyncIterator[Point]:
    """A real sidecar's processor time for a renewal, a delta and a whole list, by the length of the list."""
    for size in scale.sizes:
        idle = await _fed("renewal", size, 0.0, scale.seconds / 5, scale.settle_s)
        for form, rate in (("renewal", 50.0), ("delta", 50.0), ("whole", 10.0)):
            busy = await _fed(form, size, rate, scale.seconds / 5, scale.settle_s)
            cost = (busy.y - idle.y) / busy.x * 1e6 if busy.x else 0.0
            detail = {"answers_per_s": busy.x, "idle_cores": idle.y, **busy.detail}
            yield Point(f"change_{form}_cpu", "endpoints", size, cost, "us", busy.x > 0, detail)


async def sent_bytes(scale: Scale) -> AsyncIterator[Point]:
    """Bytes of a whole list, of a change of one endpoint, and of a renewed watch with its call, both ways."""
    for size in scale.sizes:
        for form in ("whole", "delta", "renewal"):
            body = _bodies(form, size)[0]
            head = len(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            asked = len(
                b"GET /discovery/hosts?after=1000000&wait_ms=30000 HTTP/1.1\r\nHost: 127.0.0.1:65000\r\n\r\n"
            )
            yield Point(f"bytes_{form}", "endpoints", size, asked + head + len(body), "bytes")


MEASURES: dict[str, Measure] = {
    "memory-endpoint": memory_by_endpoint,
    "memory-caller": memory_by_caller,
    "memory-upstream": memory_by_upstream,
    "memory-request": memory_by_request,
    "calls": calls,
    "busy": busy,
    "breakdown": breakdown,
    "sizes": sizes,
    "latency": latency,
    "module": module,
    "lists": lists,
    "watch": watch,
    "changes": changes,
    "bytes": sent_bytes,
}


# --- what is kept and shown ---


def commit() -> str:
    """The commit that is measured, with a plus where the tree differs from it."""
    try:
        head = subprocess.run(
            ["git", "describe", "--always", "--dirty=+"], cwd=ROOT, capture_output=True, text=True, check=True
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return head.stdout.strip()


async def collect(measure: Measure, scale: Scale, keep: Callable[[Point], None]) -> list[Point]:
    """Take one measurement at all its sizes; each point is kept as soon as it is there."""
    points = []
    async for point in measure(scale):
        keep(point)
        points.append(point)
    return points


def processor_ticks() -> tuple[int, int, int]:
    """Ticks of all cores since the start of the machine: in all, idle, and stolen by its host."""
    fields = [int(text) for text in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:9]]
    return sum(fields), fields[3] + fields[4], fields[7]


class Record:
    """Appends points to a file of JSON lines; made with its first point."""

    def __init__(self, folder: Path, name: str) -> None:
        stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
        self.path = folder / f"slopes-{name}-{stamp}.jsonl"
        self.about = {"measurement": name, "commit": commit(), "load1": os.getloadavg()[0]}
        self.ticks = processor_ticks()

    def machine(self) -> dict[str, float]:
        """The cores in use, and stolen by the machine's host, on average since the last point."""
        before, self.ticks = self.ticks, processor_ticks()
        all_ticks, idle, stolen = (now - then for now, then in zip(self.ticks, before, strict=True))
        cores = (os.cpu_count() or 1) / max(1, all_ticks)
        return {"cores_used": (all_ticks - idle - stolen) * cores, "cores_stolen": stolen * cores}

    def keep(self, point: Point) -> None:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
        line = msgspec.json.encode(
            {"at": at, **self.about, **self.machine(), **msgspec.structs.asdict(point)}
        )
        with self.path.open("ab") as sink:
            sink.write(line + b"\n")


def read_points(paths: Iterable[Path]) -> list[Point]:
    """The points of these records. OSError, msgspec.MsgspecError: a file that is none."""
    decoder = msgspec.json.Decoder(Point)
    return [decoder.decode(line) for path in paths for line in path.read_bytes().splitlines()]


def table(points: Iterable[Point]) -> Table:
    """A line fitted through each measurement; what didn't hold its rate is counted apart."""
    shown = Table("measurement", "by", "unit", "points", "not held", "intercept", "slope", "R²", "furthest")
    groups: dict[str, list[Point]] = defaultdict(list)
    for point in points:
        groups[point.name].append(point)
    for name, group in groups.items():
        held = [p for p in group if p.held]
        first = group[0]
        row = [name, first.x_name, first.unit, str(len(held)), str(len(group) - len(held))]
        if len(held) >= LEAST_POINTS and len({p.x for p in held}) > 1:
            line = fit([p.x for p in held], [p.y for p in held])
            row.append(f"{line.intercept:.4g} ± {line.intercept_error:.2g}")
            row.append(f"{line.slope:.4g} ± {line.slope_error:.2g}")
            row.append(f"{line.r2:.4f}")
            row.append(f"{max(held, key=lambda p: p.x).y:.5g} at {line.furthest:g}")
        shown.add_row(*row)
    return shown


@app.callback(invoke_without_command=True)
def slopes(
    only: Annotated[list[str] | None, typer.Option(help=f"one of {', '.join(MEASURES)}; may repeat")] = None,
    seconds: Annotated[float, typer.Option(help="of each run", min=0.2, max=60)] = 10.0,
    runs: Annotated[int, typer.Option(help="of the latency", min=1, max=20)] = 3,
    records: Annotated[Path, typer.Option(help="where the measurements are kept")] = Path("records"),
    show: Annotated[list[Path] | None, typer.Option(help="show these records, measure nothing")] = None,
) -> None:
    """Measure what a sidecar spends, keep each measurement as a line of JSON, and show the fitted lines."""
    console = Console(width=WIDTH)
    if show:
        console.print(table(read_points(show)))
        return
    unknown = set(only or ()) - set(MEASURES)
    if unknown:
        raise typer.BadParameter(f"unknown: {', '.join(sorted(unknown))}")
    points: list[Point] = []
    for name in only or MEASURES:
        record = Record(records, name)
        scale = Scale(seconds=seconds, runs=runs)
        points += asyncio.run(collect(MEASURES[name], scale, record.keep))
    console.print(table(points))
