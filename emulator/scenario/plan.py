"""The plan of a run: the initial endpoint lists, the sidecars, and the steps with their times."""

from __future__ import annotations

import msgspec

from testbed.discovery_wire import Row


class SidecarPlacement(msgspec.Struct, frozen=True):
    """One sidecar: its service, where it runs, and its rank among the sidecars of its service."""

    name: str
    service: str
    zone: str
    region: str
    layer: int
    rank: int


class Step(msgspec.Struct, frozen=True):
    """One action at a time in seconds; `measurement` is the name under which its effect is measured."""

    at_s: float
    measurement: str


class ChangeList(Step, frozen=True, tag=True):
    """Change rows of one service's list."""

    service: str
    rows: list[Row]
    starting: bool = False  # whether the endpoints of these rows start at this time


class SetOutage(Step, frozen=True, tag=True):
    """Stop discovery, or start it again."""

    down: bool


class KillSidecars(Step, frozen=True, tag=True):
    """Kill these sidecars."""

    sidecars: list[int]


class StartSidecars(Step, frozen=True, tag=True):
    """Start these sidecars, spread evenly over `spread_s`."""

    sidecars: list[int]
    spread_s: float = 0.0


class SetLoad(Step, frozen=True, tag=True):
    """Set the rate of synthetic requests of each sidecar."""

    requests_per_s: float


class MeasureWindow(Step, frozen=True, tag=True):
    """Open or close a measurement window."""

    opens: bool


class ReloadSettings(Step, frozen=True, tag=True):
    """Give all sidecars another revision of their settings, spread evenly over `spread_s`."""

    revision: int
    spread_s: float = 0.0


class Plan(msgspec.Struct, frozen=True):
    """All that a run does: the lists at the start, the sidecars by number, and the steps in order of time."""

    services: dict[str, list[Row]]
    sidecars: list[SidecarPlacement]
    steps: list[Step]
