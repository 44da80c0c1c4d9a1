"""Draws the plan of a scenario: its lists, its sidecars, and the steps of its events.

All random numbers come from streams that depend only on the scenario's seed and on their purpose.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import Any

import numpy as np

from emulator.scenario.document import (
    ChangeEvent,
    Event,
    LoadEvent,
    MeasureEvent,
    OutageEvent,
    ReplacementEvent,
    RestartEvent,
    Scenario,
    SettingsEvent,
    ZoneLossEvent,
)
from emulator.scenario.plan import (
    ChangeList,
    KillSidecars,
    MeasureWindow,
    Plan,
    ReloadSettings,
    SetLoad,
    SetOutage,
    SidecarPlacement,
    StartSidecars,
    Step,
)
from emulator.scenario.random_streams import random_stream
from testbed.discovery_wire import Row, endpoint_row

ID_BOUND = 1 << 32  # ids are drawn below this number
MACHINE_TYPES = 3
CELLS = 4


def make_plan(scenario: Scenario, size: int) -> Plan:
    """Return the plan for `size` simulated sidecars; the same scenario and size always give the same plan."""
    return _Planner(scenario, size).plan()


class _Planner:
    """Expands events into steps, and tracks the lists so that each step is valid at its time."""

    def __init__(self, scenario: Scenario, size: int) -> None:
        self.scenario = scenario
        topology = scenario.topology
        endpoints_per_service = size if topology.single_list else topology.endpoints
        self.service_names = [f"svc-{index:02d}" for index in range(math.ceil(size / endpoints_per_service))]
        self.lists: dict[str, list[Row]] = {name: [] for name in self.service_names}
        self.sidecars: list[SidecarPlacement] = []
        rng = random_stream(scenario.seed, "ids")
        for number in range(size):
            self._add_sidecar(number, endpoints_per_service, rng)

    def _add_sidecar(self, number: int, endpoints_per_service: int, rng: np.random.Generator) -> None:
        """Add an endpoint to the list of its service, and the sidecar that runs with it."""
        topology = self.scenario.topology
        service, rank = divmod(number, endpoints_per_service)
        zone = rank % topology.zones
        name = self.service_names[service]
        self.lists[name].append(_draw_row(rng, f"z{zone}", service, rank))
        layer = service * topology.depth // len(self.service_names)
        region = f"r{zone % topology.regions}"
        self.sidecars.append(SidecarPlacement(f"n{number}", name, f"z{zone}", region, layer, rank))

    def plan(self) -> Plan:
        services = {name: list(rows) for name, rows in self.lists.items()}
        steps: list[Step] = []
        for index, event in enumerate(self.scenario.events):
            rng = random_stream(self.scenario.seed, "event", index)
            steps += EVENT_EXPANDERS[type(event)](self, event, index, rng)
        # The sort is stable: steps with equal times keep the order of the scenario file.
        return Plan(services, self.sidecars, sorted(steps, key=lambda step: step.at_s))

    # --- event expanders; all have the same signature, because EVENT_EXPANDERS calls them alike ---

    def measure(self, event: MeasureEvent, _index: int, _rng: np.random.Generator) -> Iterator[Step]:
        yield MeasureWindow(event.at_s, event.name, True)
        yield MeasureWindow(event.end_s(), event.name, False)

    def load(self, event: LoadEvent, index: int, _rng: np.random.Generator) -> Iterator[Step]:
        yield SetLoad(event.at_s, f"load[{index}]", event.requests_per_s)

    def change(self, event: ChangeEvent, _index: int, rng: np.random.Generator) -> Iterator[Step]:
        for repetition in range(event.times):
            name = self.service_names[int(rng.integers(len(self.service_names)))]
            yield self._toggle_drain(event.at_s + repetition * event.every_s, "change", name, rng)

    def replace(self, event: ReplacementEvent, _index: int, rng: np.random.Generator) -> Iterator[Step]:
        for service, name in enumerate(self.service_names):
            count = math.ceil(event.share * len(self.lists[name]))
            # A random phase for each list, so that the lists are not replaced in step.
            phase_s = float(rng.random()) * event.every_s
            for index in range(count):
                at_s = event.at_s + phase_s + index * event.every_s
                if at_s + event.every_s > self.scenario.seconds:
                    break
                old = self.lists[name][index]
                yield ChangeList(at_s, "replace", name, [{**old, "lifecycle": "draining"}])
                new = _draw_row(rng, old["zone"], service, index)
                self.lists[name][index] = new
                rows = [{**old, "lifecycle": "gone"}, new]
                yield ChangeList(at_s + event.every_s, "replace", name, rows, True)

    def zone_loss(self, event: ZoneLossEvent, _index: int, _rng: np.random.Generator) -> Iterator[Step]:
        zone = f"z{event.zone}"
        in_zone = [number for number, sidecar in enumerate(self.sidecars) if sidecar.zone == zone]
        yield KillSidecars(event.at_s, "zone_lost", in_zone)
        yield StartSidecars(event.end_s(), "zone_back", in_zone)
        for name in self.service_names:
            lost = [row for row in self.lists[name] if row["zone"] == zone]
            if lost:
                removed = [{**row, "lifecycle": "gone"} for row in lost]
                yield ChangeList(event.at_s + event.noticed_after_s, "zone_lost", name, removed)
                yield ChangeList(event.end_s(), "zone_back", name, lost, True)

    def outage(self, event: OutageEvent, _index: int, rng: np.random.Generator) -> Iterator[Step]:
        yield SetOutage(event.at_s, "outage", True)
        for name in self.service_names:
            yield self._toggle_drain(event.at_s + event.seconds / 2, "outage", name, rng)
        yield SetOutage(event.end_s(), "outage", False)

    def restart(self, event: RestartEvent, _index: int, rng: np.random.Generator) -> Iterator[Step]:
        count = math.ceil(event.share * len(self.sidecars))
        restarted = sorted(int(number) for number in rng.permutation(len(self.sidecars))[:count])
        yield KillSidecars(event.at_s, "restart", restarted)
        yield StartSidecars(event.at_s, "restart", restarted, event.spread_s)

    def settings(self, event: SettingsEvent, index: int, _rng: np.random.Generator) -> Iterator[Step]:
        yield ReloadSettings(event.at_s, "settings", index + 1, event.spread_s)

    def _toggle_drain(self, at_s: float, measurement: str, name: str, rng: np.random.Generator) -> ChangeList:
        """Return a step that makes a ready endpoint drain, or a draining endpoint ready again."""
        rows = self.lists[name]
        index = int(rng.integers(len(rows)))
        lifecycle = "ready" if rows[index]["lifecycle"] == "draining" else "draining"
        rows[index] = {**rows[index], "lifecycle": lifecycle}
        return ChangeList(at_s, measurement, name, [rows[index]])


EVENT_EXPANDERS: dict[type[Event], Callable[[_Planner, Any, int, np.random.Generator], Iterator[Step]]] = {
    MeasureEvent: _Planner.measure,
    LoadEvent: _Planner.load,
    ChangeEvent: _Planner.change,
    ReplacementEvent: _Planner.replace,
    ZoneLossEvent: _Planner.zone_loss,
    OutageEvent: _Planner.outage,
    RestartEvent: _Planner.restart,
    SettingsEvent: _Planner.settings,
}


def _draw_row(rng: np.random.Generator, zone: str, service: int, index: int) -> Row:
    # Simulated sidecars never connect to this address; it has the length of a real address.
    address = f"127.{1 + service}.{index >> 8}.{index & 255}:7070"
    identity = f"s-{int(rng.integers(ID_BOUND)):08x}"
    machine_type = f"m{1 + index % MACHINE_TYPES}"
    return endpoint_row(identity, address, zone=zone, machine_type=machine_type, cell=index % CELLS)
