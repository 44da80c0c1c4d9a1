"""Scenarios: what a TOML file may state, and the plan that a seed makes of it. No I/O but to read the file.

The plan is drawn before anything runs: lists, sidecars, and each step with its time. The same file, size and
seed give the same plan.
"""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
import numpy as np
from msgspec import Meta

from emulator.discovery import Cost, Row

T = TypeVar("T")
Share = Annotated[float, Meta(gt=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=3600)]
PerSecond = Annotated[float, Meta(ge=0, le=1000)]
MOST_HOLLOW, MOST_REAL = 2000, 24  # what one machine of this size carries


class ScenarioError(Exception):
    """A scenario that can't be played: where, the value, and what is legal, in one line."""


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class Topology(Section, frozen=True):
    """Each endpoint has one sidecar, so the number of services follows from the number of sidecars."""

    endpoints: Annotated[int, Meta(ge=1, le=2000)] = 36  # of each service
    single_list: bool = False  # one service that holds all endpoints
    depth: Annotated[int, Meta(ge=1, le=27)] = 27  # layers that the services stand in
    regions: Annotated[int, Meta(ge=1, le=20)] = 5
    zones: Annotated[int, Meta(ge=1, le=60)] = 12


class Load(Section, frozen=True):
    """Synthetic calls: they reach the module, and no socket."""

    calls_per_s: PerSecond = 0.0  # of each sidecar, at the start
    service_ms: Annotated[float, Meta(gt=0, le=10_000)] = 20.0  # mean
    service_sigma: Annotated[float, Meta(ge=0, le=3)] = 0.5  # of the logarithm


class DiscoveryPart(Section, frozen=True):
    mode: Annotated[str, Meta(pattern="^(push|ask)$")] = "push"
    call_us: Annotated[float, Meta(ge=0, le=1e6)] = 500.0
    byte_ns: Annotated[float, Meta(ge=0, le=1e6)] = 10.0
    longest_wait_s: Annotated[float, Meta(gt=0, le=60)] = 2.0

    def cost(self) -> Cost:
        return Cost(self.call_us, self.byte_ns, self.longest_wait_s)


class Event(Section, frozen=True, tag_field="kind"):
    """Something at a time, in seconds after all sidecars were asked to start."""

    at_s: Seconds

    def until_s(self) -> float:
        return self.at_s


class Measure(Event, frozen=True, tag="measure"):
    """Rates, CPU and memory over a window."""

    name: str
    seconds: Annotated[float, Meta(ge=1, le=600)]

    def until_s(self) -> float:
        return self.at_s + self.seconds


class SetLoad(Event, frozen=True, tag="load"):
    calls_per_s: PerSecond


class Change(Event, frozen=True, tag="change"):
    """One endpoint of a drawn list begins to drain; so many times."""

    times: Annotated[int, Meta(ge=1, le=1000)] = 1
    every_s: Annotated[float, Meta(gt=0, le=60)] = 1.0

    def until_s(self) -> float:
        return self.at_s + (self.times - 1) * self.every_s


class Replace(Event, frozen=True, tag="replace"):
    """A rolling replacement: endpoints of each list drain, leave, and come back under new ids."""

    share: Share
    every_s: Annotated[float, Meta(gt=0, le=60)] = 1.0  # from one endpoint of a list to the next

    def until_s(self) -> float:
        return self.at_s + 60 * self.every_s


class ZoneLost(Event, frozen=True, tag="zone_lost"):
    """A zone's sidecars vanish, its endpoints leave the lists, and all come back cold."""

    zone: Annotated[int, Meta(ge=0, le=59)]
    noticed_after_s: Seconds = 2.0
    back_after_s: Annotated[float, Meta(gt=0, le=600)] = 10.0

    def until_s(self) -> float:
        return self.at_s + self.back_after_s


class Outage(Event, frozen=True, tag="outage"):
    """Discovery is down; meanwhile one endpoint of each list changes, so that its return has news for all."""

    seconds: Annotated[float, Meta(gt=0, le=600)]

    def until_s(self) -> float:
        return self.at_s + self.seconds


class Restart(Event, frozen=True, tag="restart"):
    """A drawn share of all sidecars restarts, spread evenly over a time."""

    share: Share
    spread_s: Seconds = 0.0

    def until_s(self) -> float:
        return self.at_s + self.spread_s


class NewSettings(Event, frozen=True, tag="settings"):
    """All sidecars get settings with one value changed, with no restart, spread evenly over a time."""

    spread_s: Seconds = 0.0

    def until_s(self) -> float:
        return self.at_s + self.spread_s


EVENTS: dict[str, type[Event]] = {
    "measure": Measure,
    "load": SetLoad,
    "change": Change,
    "replace": Replace,
    "zone_lost": ZoneLost,
    "outage": Outage,
    "restart": Restart,
    "settings": NewSettings,
}


class Scenario(Section, frozen=True):
    name: Annotated[str, Meta(pattern="^[a-z0-9_-]+$")]
    seed: Annotated[int, Meta(ge=0)]
    sizes: tuple[Annotated[int, Meta(ge=1, le=MOST_HOLLOW)], ...]  # hollow sidecars; each is a run of its own
    seconds: Annotated[float, Meta(gt=0, le=3600)]
    processes: Annotated[int, Meta(ge=1, le=16)] = 6  # that share the hollow sidecars
    real: Annotated[int, Meta(ge=0, le=MOST_REAL)] = 0
    start_spread_s: Seconds = 1.0
    latest_ms: Annotated[float, Meta(gt=0, le=10_000)] = 100.0  # p99 of a loop's lateness: above it, void
    topology: Topology = Topology()
    load: Load = Load()
    discovery: DiscoveryPart = DiscoveryPart()
    events: tuple[Event, ...] = ()


# --- reading ---


def read(path: Path) -> Scenario:
    """Read and check a scenario file. Raises ScenarioError, worded in one line."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: no TOML: {error}") from None
    try:
        return parse(document)
    except ScenarioError as error:
        raise ScenarioError(f"{path}: {error}") from None


def parse(document: dict[str, Any]) -> Scenario:
    """Check a scenario that was read. Raises ScenarioError with the path of the key at fault."""
    rows = document.get("events", [])
    if not isinstance(rows, list):
        raise ScenarioError(f"events: {rows!r}: must be a list of tables, [[events]]")
    events = tuple(_event(row, f"events[{i}]") for i, row in enumerate(rows))
    # Apart from the events: those are told apart by their kind, and errors in them by their place.
    plain = {key: value for key, value in document.items() if key != "events"}
    scenario = msgspec.structs.replace(_convert(plain, Scenario, ""), events=events)
    _check(scenario)
    return scenario


def _event(row: Any, where: str) -> Event:
    kind = row.get("kind") if isinstance(row, dict) else None
    if not isinstance(kind, str) or kind not in EVENTS:
        raise ScenarioError(f"{where}.kind: {kind!r}: must be one of {', '.join(EVENTS)}")
    return _convert(row, EVENTS[kind], where)


def _convert(value: Any, kind: type[T], where: str) -> T:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise ScenarioError(_worded(str(error), value, kind, where)) from None


def _worded(message: str, value: Any, kind: type[Any], where: str) -> str:
    """msgspec's complaint as path, value, and what is legal."""
    what, _, at = message.partition(" - at `$")
    path = at.rstrip("`")
    found, place, owner = value, "", kind
    for step in re.findall(r"\[\d+\]|[^.\[\]]+", path):
        if step.startswith("["):
            found, place = found[int(step[1:-1])], f"{place}{step}"
        elif isinstance(found, dict) and step in found:
            found, owner, place = found[step], _owner(owner, step), f"{place}.{step}"
    place = (where + place).lstrip(".")
    if "unknown field" in what or "missing required field" in what:
        key = what.split("`")[1]
        legal = ", ".join(f.name for f in msgspec.structs.fields(owner))
        said = f"{found[key]!r}: no such key" if key in found else "missing"
        return f"{f'{place}.{key}'.lstrip('.')}: {said}; legal are {legal}"
    legal = what.replace("Expected", "must be").replace("`", "")
    return f"{place or 'scenario'}: {found!r}: {legal[0].lower() + legal[1:]}"


def _owner(owner: type[Any], key: str) -> type[Any]:
    """The struct that the key's value is read as, or the owner itself where it is a plain value."""
    for field in msgspec.structs.fields(owner):
        if field.name == key and isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            return field.type
    return owner


def _check(scenario: Scenario) -> None:
    """What spans several keys."""
    if not scenario.sizes:
        raise ScenarioError("sizes: []: must hold at least one number of sidecars")
    topology = scenario.topology
    if topology.regions > topology.zones:
        raise ScenarioError(f"topology.regions: {topology.regions}: must be at most zones, {topology.zones}")
    downs: list[Outage] = []
    for i, event in enumerate(scenario.events):
        if event.until_s() > scenario.seconds and not isinstance(event, Replace):
            said = f"events[{i}]: ends at {event.until_s():g} s"
            raise ScenarioError(f"{said}: must end by seconds, {scenario.seconds:g}")
        if isinstance(event, ZoneLost):
            if event.zone >= topology.zones:
                raise ScenarioError(f"events[{i}].zone: {event.zone}: must be below {topology.zones}")
            if event.noticed_after_s > event.back_after_s:
                said = f"events[{i}].noticed_after_s: {event.noticed_after_s:g}"
                raise ScenarioError(f"{said}: must be at most back_after_s, {event.back_after_s:g}")
        if isinstance(event, Outage):
            if any(event.at_s <= d.until_s() and d.at_s <= event.until_s() for d in downs):
                raise ScenarioError(f"events[{i}].at_s: {event.at_s:g}: must not overlap another outage")
            downs.append(event)


# --- draws ---


def stream(seed: int, *name: str | int) -> np.random.Generator:
    """Random numbers for one purpose: drawing more for one changes nothing for another."""
    words = [seed, *(byte for part in name for byte in [*str(part).encode(), 0])]
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence(words)))


# --- the plan ---


class Sidecar(msgspec.Struct, frozen=True):
    """One sidecar: which list it has, where it stands, and its number among those of its service."""

    name: str
    service: str
    zone: str
    region: str
    layer: int
    rank: int


class Step(msgspec.Struct, frozen=True):
    """One thing to do. `about` names what a measurement of it is called."""

    at_s: float
    about: str


class ChangeList(Step, frozen=True, tag=True):
    service: str
    rows: list[Row]
    fresh: bool = False  # the rows' endpoints start at this moment


class Down(Step, frozen=True, tag=True):
    on: bool


class Kill(Step, frozen=True, tag=True):
    who: list[int]


class Start(Step, frozen=True, tag=True):
    who: list[int]
    spread_s: float = 0.0


class LoadStep(Step, frozen=True, tag=True):
    calls_per_s: float


class Window(Step, frozen=True, tag=True):
    on: bool


class SettingsStep(Step, frozen=True, tag=True):
    revision: int
    spread_s: float = 0.0


class Plan(msgspec.Struct, frozen=True):
    services: dict[str, list[Row]]
    sidecars: list[Sidecar]
    steps: list[Step]


def _service(index: int) -> str:
    return f"svc-{index:02d}"


def _row(identity: str, zone: str, service: int, index: int, lifecycle: str = "ready") -> Row:
    return {
        "instanceId": identity,
        # Never connected to by a hollow sidecar; spread so that its length is that of a real address.
        "hostPort": f"127.{1 + service}.{index >> 8}.{index & 255}:7070",
        "zone": zone,
        "machineType": f"m{1 + index % 3}",
        "cell": index % 4,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


class _Planner:
    """Expands events into steps; it follows the lists so that each step is legal where it stands."""

    def __init__(self, scenario: Scenario, size: int) -> None:
        self.scenario = scenario
        topology = scenario.topology
        each = size if topology.single_list else topology.endpoints
        self.names = [_service(i) for i in range(math.ceil(size / each))]
        self.lists: dict[str, list[Row]] = {name: [] for name in self.names}
        self.sidecars: list[Sidecar] = []
        draw = stream(scenario.seed, "ids")
        for number in range(size):
            service, rank = divmod(number, each)
            zone = rank % topology.zones
            name = self.names[service]
            self.lists[name].append(self._new_row(draw, f"z{zone}", service, rank))
            layer = service * topology.depth // len(self.names)
            region = f"r{zone % topology.regions}"
            self.sidecars.append(Sidecar(f"n{number}", name, f"z{zone}", region, layer, rank))

    @staticmethod
    def _new_row(draw: np.random.Generator, zone: str, service: int, index: int) -> Row:
        return _row(f"s-{int(draw.integers(1 << 32)):08x}", zone, service, index)

    def plan(self) -> Plan:
        services = {name: list(rows) for name, rows in self.lists.items()}
        steps: list[Step] = []
        for index, event in enumerate(self.scenario.events):
            draw = stream(self.scenario.seed, "event", index)
            steps += EXPANDERS[type(event)](self, event, index, draw)
        # Stable: what is stated first goes first where times are equal.
        return Plan(services, self.sidecars, sorted(steps, key=lambda step: step.at_s))

    def measure(self, event: Measure, index: int, draw: np.random.Generator) -> Iterator[Step]:
        yield Window(event.at_s, event.name, True)
        yield Window(event.until_s(), event.name, False)

    def load(self, event: SetLoad, index: int, draw: np.random.Generator) -> Iterator[Step]:
        yield LoadStep(event.at_s, f"load[{index}]", event.calls_per_s)

    def change(self, event: Change, index: int, draw: np.random.Generator) -> Iterator[Step]:
        for turn in range(event.times):
            name = self.names[int(draw.integers(len(self.names)))]
            yield self._toggled(event.at_s + turn * event.every_s, "change", name, draw)

    def _toggled(self, at_s: float, about: str, name: str, draw: np.random.Generator) -> ChangeList:
        """One endpoint drains, or takes work again if it drained."""
        rows = self.lists[name]
        index = int(draw.integers(len(rows)))
        now = "ready" if rows[index]["lifecycle"] == "draining" else "draining"
        rows[index] = {**rows[index], "lifecycle": now}
        return ChangeList(at_s, about, name, [rows[index]])

    def replace(self, event: Replace, index: int, draw: np.random.Generator) -> Iterator[Step]:
        for service, name in enumerate(self.names):
            count = math.ceil(event.share * len(self.lists[name]))
            phase = float(draw.random()) * event.every_s  # lists are replaced by nobody in step
            for turn in range(count):
                at = event.at_s + phase + turn * event.every_s
                if at + event.every_s > self.scenario.seconds:
                    break
                old = self.lists[name][turn]
                yield ChangeList(at, "replace", name, [{**old, "lifecycle": "draining"}])
                new = self._new_row(draw, old["zone"], service, turn)
                gone = {**old, "lifecycle": "gone"}
                self.lists[name][turn] = new
                yield ChangeList(at + event.every_s, "replace", name, [gone, new], True)

    def zone_lost(self, event: ZoneLost, index: int, draw: np.random.Generator) -> Iterator[Step]:
        zone = f"z{event.zone}"
        who = [i for i, sidecar in enumerate(self.sidecars) if sidecar.zone == zone]
        yield Kill(event.at_s, "zone_lost", who)
        yield Start(event.until_s(), "zone_back", who)
        for name in self.names:
            lost = [row for row in self.lists[name] if row["zone"] == zone]
            if lost:
                gone = [{**row, "lifecycle": "gone"} for row in lost]
                yield ChangeList(event.at_s + event.noticed_after_s, "zone_lost", name, gone)
                yield ChangeList(event.until_s(), "zone_back", name, lost, True)

    def outage(self, event: Outage, index: int, draw: np.random.Generator) -> Iterator[Step]:
        yield Down(event.at_s, "outage", True)
        for name in self.names:
            yield self._toggled(event.at_s + event.seconds / 2, "outage", name, draw)
        yield Down(event.until_s(), "outage", False)

    def restart(self, event: Restart, index: int, draw: np.random.Generator) -> Iterator[Step]:
        count = math.ceil(event.share * len(self.sidecars))
        who = sorted(int(i) for i in draw.permutation(len(self.sidecars))[:count])
        yield Kill(event.at_s, "restart", who)
        yield Start(event.at_s, "restart", who, event.spread_s)

    def settings(self, event: NewSettings, index: int, draw: np.random.Generator) -> Iterator[Step]:
        yield SettingsStep(event.at_s, "settings", index + 1, event.spread_s)


EXPANDERS: dict[type[Event], Callable[[_Planner, Any, int, np.random.Generator], Iterator[Step]]] = {
    Measure: _Planner.measure,
    SetLoad: _Planner.load,
    Change: _Planner.change,
    Replace: _Planner.replace,
    ZoneLost: _Planner.zone_lost,
    Outage: _Planner.outage,
    Restart: _Planner.restart,
    NewSettings: _Planner.settings,
}


def plan(scenario: Scenario, size: int) -> Plan:
    """What is to be played with `size` hollow sidecars; the same for the same scenario and size."""
    return _Planner(scenario, size).plan()


def settings_document(
    sidecar: Sidecar, balancers: int, depth: int, mode: str, revision: int = 0
) -> dict[str, Any]:
    """The settings object of one sidecar, in the form that it is told; a revision changes one value."""
    classes: Sequence[tuple[str, int, str]] = (
        ("read", 1_000_000, "idempotent"),
        ("hold", 1_000_000, "deduplicated"),
        ("pay", 2_000_000, "at_most_once"),
    )
    return {
        "Categories": [
            {
                "Name": name,
                "AimUs": aim + 1000 * revision,
                "DeadlineUs": 3_000_000,
                "Effect": effect,
                "Group": "all",
                "DedupWindowUs": 2_000_000,
                "LateShare": 0.5,
            }
            for name, aim, effect in classes
        ],
        "Allowed": {"MaxAttempts": 3, "MayCancel": True, "RetryAfter": True, "ConnIdleUs": 5_000_000},
        "Parties": [{"Name": "acme", "Share": 1.0, "QuotaPerS": 1000.0}],
        "Discovery": mode,
        "MyZone": sidecar.zone,
        "Rank": sidecar.rank,
        "Balancers": balancers,
        "Layer": sidecar.layer,
        "Tiers": [f"t{i}" for i in range(depth)],
    }
