"""Plays a scenario: starts discovery's stand-in, hollow and real sidecars, takes the steps, and measures.

Each measurement is a line of JSON in `records/<scenario>.jsonl`; a run whose loops were late counts for
nothing, and its lines say so (`held` is false).
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import uvloop
from rich.console import Console
from rich.progress import BarColumn, Progress, TaskID, TextColumn
from rich.table import Table

from emulator.discovery import DiscoveryServer, Registry
from emulator.hollow import Command, Orders, Sample
from emulator.scenario import (
    MOST_HOLLOW,
    ChangeList,
    Down,
    Kill,
    LoadStep,
    Plan,
    Scenario,
    ScenarioError,
    SettingsStep,
    Sidecar,
    Start,
    Step,
    Window,
    plan,
    read,
    settings_document,
    stream,
)

READY_S = 30.0  # within which a process must be up
REPLY_S = 20.0  # within which it must answer a sample
END_S = 5.0  # within which it ends when told to, before it is killed
PROFILE_S = 10.0  # how long calls are profiled after an event
FINE_S = 0.1  # the steps of the profile
LATE_EVERY_S = 0.02
STRETCH_S = 3.0  # lateness is judged by the worst of such stretches: over a whole run a burst would not show


class PlayError(Exception):
    """The emulator itself failed: nothing of the run counts."""


class Record(msgspec.Struct):
    """One measurement."""

    scenario: str
    size: int  # hollow sidecars
    measurement: str
    value: float | None  # None: it did not come about, or was not measured
    unit: str
    held: bool  # whether the emulator kept its own times, so that the value counts
    note: str = ""
    detail: dict[str, Any] = {}


# --- what is worked out from what came in: no I/O ---


class Changed(msgspec.Struct, frozen=True):
    """A change of a list as it was made."""

    about: str
    service: str
    generation: int
    at_ns: int


class Told(msgspec.Struct, frozen=True):
    """A list or changes as a sidecar applied them."""

    sidecar: int
    generation: int
    at_ns: int


def last_applied_s(change: Changed, who: Iterable[int], told: Mapping[int, Sequence[Told]]) -> float | None:
    """Seconds until the last of these sidecars had the change; None where one never had it."""
    last = 0.0
    for sidecar in who:
        first = next((t for t in told.get(sidecar, ()) if t.generation >= change.generation), None)
        if first is None:
            return None
        last = max(last, (first.at_ns - change.at_ns) / 1e9)
    return last


def running_at(
    at_ns: int, members: Iterable[int], lives: Iterable[tuple[int, Sequence[int], bool]]
) -> list[int]:
    """Those of `members` that run at that moment, or begin to in it.

    `lives` are the monotonic ns, the sidecars and whether they start; of one moment, kills come first.
    """
    running: set[int] = set()
    for when, who, starts in sorted(lives, key=lambda life: (life[0], life[2])):
        if when <= at_ns:
            (running.update if starts else running.difference_update)(who)
    return [number for number in members if number in running]


def last_told_s(since_ns: int, who: Iterable[int], told: Mapping[int, Sequence[Told]]) -> float | None:
    """Seconds from then until the last of these sidecars was told anything; None where one never was."""
    last = 0.0
    for sidecar in who:
        first = next((t for t in told.get(sidecar, ()) if t.at_ns >= since_ns), None)
        if first is None:
            return None
        last = max(last, (first.at_ns - since_ns) / 1e9)
    return last


def last_asked_s(since_s: float, count: int, arrivals: Sequence[tuple[float, int]]) -> float | None:
    """Seconds from then until these calls had come on `count` connections; None where they never did.

    Equals the time until the last of `count` sidecars asked as long as none needed a second connection;
    where some did, it is a lower bound of that.
    """
    seen: set[int] = set()
    for at, connection in arrivals:
        seen.add(connection)
        if len(seen) >= count:
            return max(0.0, at - since_s)
    return None


def spread(values: Sequence[float]) -> dict[str, float]:
    """Median and extremes, with the number of values."""
    return {
        "count": len(values),
        "least": round(min(values), 4),
        "median": round(float(np.median(values)), 4),
        "most": round(max(values), 4),
    }


# --- processes ---


class HollowProcess:
    """A process of hollow sidecars, as the player sees it."""

    def __init__(self, process: asyncio.subprocess.Process, numbers: range) -> None:
        self.process = process
        self.numbers = numbers

    @classmethod
    async def begin(cls, orders: Orders, folder: Path) -> HollowProcess:
        path = folder / f"orders-{orders.process}.json"
        path.write_bytes(msgspec.json.encode(orders))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "emulator.hollow",
            str(path),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 26,
        )
        begun = cls(process, range(orders.first, orders.first + len(orders.sidecars)))
        await begun._line(READY_S)
        return begun

    async def _line(self, patience_s: float) -> bytes:
        assert self.process.stdout is not None
        try:
            async with asyncio.timeout(patience_s):
                line = await self.process.stdout.readline()
        except TimeoutError:
            raise PlayError(f"a process of hollow sidecars said nothing for {patience_s:g} s") from None
        if not line:
            raise PlayError("a process of hollow sidecars has ended")
        return line

    def tell(self, command: Command) -> None:
        """Send a command, with as much of it as concerns this process."""
        assert self.process.stdin is not None
        mine = [number for number in command.who if number in self.numbers]
        if command.who and not mine:
            return
        if self.process.stdin.is_closing():
            raise PlayError("a process of hollow sidecars has ended")
        self.process.stdin.write(msgspec.json.encode(msgspec.structs.replace(command, who=mine)) + b"\n")

    async def sample(self) -> Sample:
        self.tell(Command("sample"))
        return msgspec.json.decode(await self._line(REPLY_S), type=Sample)

    async def end(self) -> None:
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            async with asyncio.timeout(END_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class RealSidecar:
    """The program in service, as a process of its own; it is watched by the kernel's figures only."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self.process = process

    @classmethod
    def begin(cls, document: dict[str, Any], folder: Path) -> RealSidecar:
        path = folder / f"{document['name']}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        environ = {key: value for key, value in os.environ.items() if not key.startswith("GW_")}
        with (folder / f"{document['name']}.log").open("wb") as log:
            return cls(
                subprocess.Popen(
                    [sys.executable, "-B", "-m", "corkdoor.sidecar"],
                    env={**environ, "GW_CONFIG": str(path)},
                    stderr=log,
                )
            )

    def usage(self) -> tuple[float, float]:
        """CPU seconds so far and resident MB. Raises PlayError where it has ended."""
        if self.process.poll() is not None:
            raise PlayError(f"a real sidecar has ended with {self.process.returncode}")
        folder = Path(f"/proc/{self.process.pid}")
        ticks = folder.joinpath("stat").read_text(encoding="ascii").rpartition(")")[2].split()[11:13]
        pages = int(folder.joinpath("statm").read_text(encoding="ascii").split()[1])
        cpu = sum(map(int, ticks)) / os.sysconf("SC_CLK_TCK")
        return cpu, pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def end(self) -> None:
        """Killed outright: it has no callers to drain."""
        self.process.kill()
        self.process.wait()


# --- the play ---


class Snapshot(msgspec.Struct):
    """All counts at one moment."""

    at_s: float
    samples: list[Sample]
    calls: int
    bytes_moved: int
    busy_s: float
    real: list[tuple[float, float]]


class Player:
    """One scenario at one size."""

    def __init__(self, scenario: Scenario, size: int, folder: Path) -> None:
        self.scenario = scenario
        self.size = size
        self.folder = folder
        self.plan: Plan = plan(scenario, size)
        self.server = DiscoveryServer(Registry(self.plan.services), scenario.discovery.cost())
        self.hollow: list[HollowProcess] = []
        self.real: list[RealSidecar] = []
        self.members: dict[str, list[int]] = {name: [] for name in self.plan.services}
        for number, sidecar in enumerate(self.plan.sidecars):
            self.members[sidecar.service].append(number)
        self.changes: list[Changed] = []
        self.told: dict[int, list[Told]] = {}
        self.in_force: dict[int, dict[int, int]] = {}  # by settings revision: sidecar, monotonic ns
        self.settings_at: dict[int, int] = {}
        self.returns: list[int] = []  # monotonic ns at which discovery came back
        self.kills: list[tuple[Kill, int]] = []
        self.starts: list[tuple[Start, int]] = []
        self.windows: dict[str, tuple[Snapshot, Snapshot]] = {}
        self.opened: dict[str, Snapshot] = {}
        self.late_p99_ms: list[float] = []  # of each stretch between two samples, the worst of all processes
        self.late_most_ms = 0.0
        self.ended: Counter[str] = Counter()
        self.own_late: list[float] = []  # seconds, of the loop that discovery is on, in this stretch
        self.own_p99_ms = 0.0
        self.sampling = asyncio.Lock()
        self._records: list[Record] = []
        self._held = False

    @property
    def expected(self) -> int:
        """Sidecars that discovery serves."""
        return self.size + self.scenario.real

    # --- begin and end ---

    async def begin(self) -> None:
        await self.server.start()
        count = min(self.scenario.processes, self.size)
        edges = [self.size * i // count for i in range(count + 1)]
        orders = [self._orders(i, edges[i], edges[i + 1]) for i in range(count)]
        # Not all at once: processes that start together take the machine from each other.
        for one in orders:
            self.hollow.append(await HollowProcess.begin(one, self.folder))
        for number in range(self.scenario.real):
            self.real.append(RealSidecar.begin(self._real_document(number), self.folder))

    def _orders(self, process: int, first: int, end: int) -> Orders:
        scenario = self.scenario
        sidecars = self.plan.sidecars[first:end]
        services = {sidecar.service for sidecar in sidecars}
        return Orders(
            seed=scenario.seed,
            process=process,
            first=first,
            sidecars=sidecars,
            balancers={name: len(self.members[name]) for name in services},
            known={name: self.plan.services[name] for name in services},
            discovery={name: self.server.address(name) for name in services},
            mode=scenario.discovery.mode,
            depth=scenario.topology.depth,
            load=scenario.load,
            most_s=scenario.seconds + scenario.start_spread_s + 3 * READY_S,
        )

    def _real_document(self, number: int) -> dict[str, Any]:
        like = self.plan.sidecars[number % len(self.plan.sidecars)]
        sidecar: Sidecar = msgspec.structs.replace(like, name=f"real-{number}")
        scenario = self.scenario
        count = len(self.members[sidecar.service])
        rows = self.plan.services[sidecar.service]
        seed = int(stream(scenario.seed, "real", number).integers(1 << 62))
        return {
            "name": sidecar.name,
            "listen": "127.0.0.1:0",
            "discovery": self.server.address(sidecar.service),
            "seed": f"{seed:x}",
            "known": {"generation": 1, "reset": True, "instances": rows},
            "settings": settings_document(sidecar, count, scenario.topology.depth, scenario.discovery.mode),
        }

    async def end(self) -> None:
        """End what was started, whatever became of the play."""
        for real in self.real:
            real.end()
        await asyncio.gather(*(process.end() for process in self.hollow))
        await self.server.stop()

    # --- steps ---

    async def play(self, progress: Progress, task: TaskID) -> None:
        loop = asyncio.get_running_loop()
        watches = [loop.create_task(watch) for watch in (self._watch_lateness(), self._watch_stretches())]
        everyone = list(range(self.size))
        begun = time.monotonic()
        await self._step(Start(0.0, "start", everyone, self.scenario.start_spread_s))
        for step in [*self.plan.steps, None]:
            until = self.scenario.seconds if step is None else step.at_s
            while (left := begun + until - time.monotonic()) > 0:
                progress.update(task, completed=time.monotonic() - begun)
                for watch in watches:
                    if watch.done():
                        watch.result()  # neither ends but by an error
                await asyncio.sleep(min(left, 1.0))
            if step is not None:
                await self._step(step)
        await self._snapshot()
        for watch in watches:
            watch.cancel()

    async def _watch_lateness(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(LATE_EVERY_S)
            self.own_late.append(time.monotonic() - before - LATE_EVERY_S)

    async def _watch_stretches(self) -> None:
        while True:
            await asyncio.sleep(STRETCH_S)
            await self._snapshot()

    async def _step(self, step: Step) -> None:
        now_ns = time.monotonic_ns()
        match step:
            case ChangeList():
                self._change(step, now_ns)
            case Down():
                await self.server.outage(step.on)
                if not step.on:
                    self.returns.append(time.monotonic_ns())
            case Kill():
                self.kills.append((step, now_ns))
                self._tell(Command("kill", who=step.who))
            case Start():
                self.starts.append((step, now_ns))
                self._tell(Command("start", who=step.who, spread_s=step.spread_s))
            case LoadStep():
                self._tell(Command("load", calls_per_s=step.calls_per_s))
            case SettingsStep():
                self.settings_at[step.revision] = now_ns
                self._tell(Command("settings", revision=step.revision, spread_s=step.spread_s))
            case Window(on=True):
                self.opened[step.about] = await self._snapshot()
            case Window():
                self.windows[step.about] = (self.opened[step.about], await self._snapshot())

    def _change(self, step: ChangeList, now_ns: int) -> None:
        rows = step.rows
        if step.fresh:
            started_ms = time.time_ns() // 1_000_000
            rows = [r if r["lifecycle"] == "gone" else {**r, "startedAtMs": started_ms} for r in rows]
        generation = self.server.change(step.service, rows)
        self.changes.append(Changed(step.about, step.service, generation, now_ns))

    def _tell(self, command: Command) -> None:
        for process in self.hollow:
            process.tell(command)

    async def _snapshot(self) -> Snapshot:
        async with self.sampling:  # each process answers one at a time
            samples = list(await asyncio.gather(*(process.sample() for process in self.hollow)))
        if self.own_late:
            self.own_p99_ms = max(self.own_p99_ms, float(np.percentile(self.own_late, 99)) * 1000)
            self.own_late.clear()
        self.late_p99_ms.append(max(sample.late_p99_ms for sample in samples))
        self.ended.clear()
        for sample in samples:
            for told in sample.told:
                self.told.setdefault(told[0], []).append(Told(*told))
            for number, revision, at_ns in sample.in_force:
                self.in_force.setdefault(revision, {})[number] = at_ns
            self.late_most_ms = max(self.late_most_ms, sample.late_most_ms)
            self.ended.update(sample.ended)
        figures = self.server.figures
        return Snapshot(
            at_s=time.monotonic(),
            samples=samples,
            calls=len(figures.arrivals),
            bytes_moved=figures.bytes_in + figures.bytes_out,
            busy_s=self.server.queue.busy_s,
            real=[real.usage() for real in self.real],
        )

    # --- measurements ---

    def measured(self) -> list[Record]:
        """All measurements of the play, the emulator's own lateness first: the others stand on it."""
        worst_ms = max(*self.late_p99_ms, self.own_p99_ms)
        held = worst_ms <= self.scenario.latest_ms
        figures = self.server.figures
        self._records, self._held = [], held
        self._add(
            "emulator.late_p99",
            worst_ms,
            "ms",
            "the worst of its loops"
            if held
            else "it could not hold its own times: the run counts for nothing",
            most_ms=round(self.late_most_ms, 1),
            discovery_p99_ms=round(self.own_p99_ms, 2),
            bound_ms=self.scenario.latest_ms,
            by_stretch_ms=[round(p99, 1) for p99 in self.late_p99_ms],
        )
        self._add(
            "run.calls",
            sum(count for kind, count in figures.calls.items() if kind != "failed"),
            "calls",
            "on discovery, all the run",
            peak_per_s=figures.peak,
            kinds=dict(figures.calls),
            per_second=figures.per_second(),
            bytes_out=figures.bytes_out,
            synthetic=dict(self.ended),
        )
        self._starts()
        self._windows()
        self._changes()
        self._returns()
        self._settings()
        return self._records

    def _add(self, name: str, value: float | None, unit: str, note: str = "", **detail: Any) -> None:
        rounded = None if value is None else round(value, 4)
        self._records.append(
            Record(self.scenario.name, self.size, name, rounded, unit, self._held, note, detail)
        )

    def _profile(self, since_ns: int) -> dict[str, Any]:
        """Calls on discovery after a moment: by 100 ms, and the most in any one second."""
        since = since_ns / 1e9
        fine = self.server.figures.profile(since, since + PROFILE_S, FINE_S)
        per_second = round(1 / FINE_S)
        peak = max(sum(fine[i : i + per_second]) for i in range(len(fine) - per_second + 1))
        return {"calls_per_100ms": fine, "peak_in_1s": peak, "calls_in_6s": sum(fine[:60])}

    def _starts(self) -> None:
        for step, at_ns in self.starts:
            at_s, count, arrivals = at_ns / 1e9, len(step.who), self._fresh_arrivals(at_ns)
            if step.about == "start":
                # The real ones join in the same moments, or had asked before: all are counted from the first.
                count, arrivals = self.expected, self.server.figures.arrivals
            self._add(
                f"{step.about}.last_asked",
                last_asked_s(at_s, count, arrivals),
                "s",
                f"{count} sidecars, spread over {step.spread_s:g} s",
                **self._profile(at_ns),
            )

    def _fresh_arrivals(self, since_ns: int) -> list[tuple[float, int]]:
        """Calls on connections that brought none before that moment."""
        arrivals = self.server.figures.arrivals
        old = {connection for at, connection in arrivals if at < since_ns / 1e9}
        return [(at, connection) for at, connection in arrivals if connection not in old]

    def _windows(self) -> None:
        for name, (a, b) in self.windows.items():
            seconds = b.at_s - a.at_s
            calls, moved = b.calls - a.calls, b.bytes_moved - a.bytes_moved
            self._add(f"{name}.calls_per_s", calls / seconds, "1/s", "on discovery")
            self._add(
                f"{name}.bytes_per_s", moved / seconds / self.expected, "B/s", "discovery, each sidecar"
            )
            self._add(f"{name}.discovery_busy", 100 * (b.busy_s - a.busy_s) / seconds, "%", "assumed costs")
            self._usage(name, a, b, seconds)

    def _usage(self, name: str, a: Snapshot, b: Snapshot, seconds: float) -> None:
        cpu = sum(y.cpu_s - x.cpu_s for x, y in zip(a.samples, b.samples, strict=True))
        made = sum(y.made - x.made for x, y in zip(a.samples, b.samples, strict=True))
        rss = sum(sample.rss_mb for sample in b.samples)
        base = sum(sample.base_rss_mb for sample in b.samples)
        self._add(
            f"{name}.cpu",
            100 * cpu / seconds / self.size,
            "% of a core",
            "each hollow sidecar, with its share of the emulator's own",
            synthetic_calls_per_s=round(made / seconds / self.size, 3),
        )
        self._add(
            f"{name}.rss",
            (rss - base) / self.size,
            "MB",
            "each hollow sidecar, above an empty process; they share one copy of the known list",
            processes_mb=round(rss, 1),
            base_mb=round(base, 1),
        )
        for x, y in [(a.real, b.real)] if b.real else []:
            shares = [100 * (v[0] - u[0]) / seconds for u, v in zip(x, y, strict=True)]
            self._add(f"{name}.real_cpu", sum(shares) / len(shares), "% of a core", "each real sidecar, idle")
            self._add(f"{name}.real_rss", sum(v[1] for v in y) / len(y), "MB", "each real sidecar, whole")

    def _changes(self) -> None:
        outages = {change.about for change in self.changes} & {"outage"}
        for about in dict.fromkeys(c.about for c in self.changes if c.about not in outages):
            lasts: list[float | None] = []
            for change in (c for c in self.changes if c.about == about):
                lasts.append(last_applied_s(change, self._running(change), self.told))
            had = [last for last in lasts if last is not None]
            missing = len(lasts) - len(had)
            self._add(
                f"{about}.last_applied",
                max(had) if not missing else None,
                "s",
                f"{missing} of {len(lasts)} changes did not reach all" if missing else "the slowest change",
                **(spread(had) if had else {}),
            )

    def _running(self, change: Changed) -> list[int]:
        lives = [(at, kill.who, False) for kill, at in self.kills]
        lives += [(at, start.who, True) for start, at in self.starts]
        return running_at(change.at_ns, self.members[change.service], lives)

    def _returns(self) -> None:
        for at_ns in self.returns:
            profile = self._profile(at_ns)
            note = "after discovery's return"
            everyone = range(self.size)
            self._add(
                "outage.last_asked",
                last_asked_s(at_ns / 1e9, self.expected, self._fresh_arrivals(at_ns)),
                "s",
                note,
                **profile,
            )
            told = [
                (first.at_ns - at_ns) / 1e9
                for number in everyone
                if (first := next((t for t in self.told.get(number, ()) if t.at_ns >= at_ns), None))
            ]
            self._add(
                "outage.last_told",
                last_told_s(at_ns, everyone, self.told),
                "s",
                f"{note}; {len(told)} of {self.size} were told",
                **({**spread(told), "told_within_6s": sum(t <= 6 for t in told)} if told else {}),
            )
            self._add("outage.peak", profile["peak_in_1s"], "calls", "in the busiest second after the return")
            self._add(
                "outage.failed", self.server.figures.calls["failed"], "calls", "answered 503, all the run"
            )

    def _settings(self) -> None:
        for revision, at_ns in self.settings_at.items():
            reached = self.in_force.get(revision, {})
            times = [(at - at_ns) / 1e9 for at in reached.values()]
            whole = len(times) == self.size
            self._add(
                "settings.last_in_force",
                max(times) if whole else None,
                "s",
                "" if whole else f"not held: in force at {len(times)} of {self.size}",
                **self._profile(at_ns),
            )


# --- records ---


def origin() -> dict[str, Any]:
    """When the run was made, and of which state of the program."""

    def git(*words: str) -> str:
        done = subprocess.run(["git", *words], capture_output=True, text=True, timeout=10, check=False)
        return done.stdout.strip()

    return {
        "taken": datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ"),
        "commit": git("rev-parse", "--short", "HEAD"),
        "changed": bool(git("status", "--porcelain", "--untracked-files=no", "--", "corkdoor", "emulator")),
    }


def keep(records: Sequence[Record], scenario: Scenario, folder: Path, trial: bool = False) -> Path:
    """Add the measurements to those kept; nothing that stands there is changed.

    A trial's figures say so: the machine did other things meanwhile, or the copy was a scratch one.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{scenario.name}.jsonl"
    cost = msgspec.to_builtins(scenario.discovery)
    head = {
        **origin(),
        "trial": trial,
        "seed": scenario.seed,
        "processes": scenario.processes,
        "discovery": cost,
    }
    with path.open("ab") as file:
        for record in records:
            file.write(msgspec.json.encode({**head, **msgspec.to_builtins(record)}) + b"\n")
    return path


def show(records: Sequence[Record], console: Console) -> None:
    table = Table("size", "measurement", "value", "unit", "held", "note")
    for record in records:
        value = "-" if record.value is None else f"{record.value:g}"
        held = "yes" if record.held else "NO"
        table.add_row(str(record.size), record.measurement, value, record.unit, held, record.note)
    console.print(table)


async def play(scenario: Scenario, size: int, console: Console) -> list[Record]:
    """Play one scenario at one size. Raises PlayError where the emulator itself fails."""
    columns = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.completed:.0f} s"))
    with tempfile.TemporaryDirectory() as folder, Progress(*columns, console=console) as progress:
        task = progress.add_task(f"{scenario.name}, {size} hollow", total=scenario.seconds)
        player = Player(scenario, size, Path(folder))
        try:
            async with asyncio.timeout(scenario.seconds + scenario.start_spread_s + 3 * READY_S):
                await player.begin()
                await player.play(progress, task)
            return player.measured()
        except TimeoutError:
            raise PlayError("the run did not end within its bound") from None
        finally:
            await player.end()


def play_kept(scenario: Scenario, size: int, folder: Path, console: Console, trial: bool = False) -> bool:
    """Play, show and keep; returns whether the run counts."""
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            records = runner.run(play(scenario, size, console))
    except (PlayError, OSError) as error:
        records = [Record(scenario.name, size, "run", None, "", False, f"failed: {error}")]
    show(records, console)
    console.print(f"kept in {keep(records, scenario, folder, trial)}")
    return all(record.held for record in records)


def main(path: Path, size: int, records: Path, trial: bool) -> int:
    """Returns the exit status: 0, 1 for a scenario that can't be played, 2 where a run counts for nothing."""
    try:
        scenario = read(path)
        if not 0 <= size <= MOST_HOLLOW:
            raise ScenarioError(f"--size: {size}: must be at most {MOST_HOLLOW}, or 0 for all stated")
    except ScenarioError as error:
        print(f"fleet: {error}", file=sys.stderr)
        return 1
    console = Console(stderr=True)
    sizes = [size] if size else scenario.sizes
    counted = [play_kept(scenario, one, records, console, trial) for one in sizes]
    return 0 if all(counted) else 2
