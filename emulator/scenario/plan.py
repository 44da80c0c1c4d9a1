"""What a plan consists of: endpoint lists, sidecars, and timed steps."""

from __future__ import annotations

import msgspec

from testbed.discovery_wire import Row


class SidecarPlacement(msgspec.Struct, frozen=True):
    """One sidecar: which list it has, where it runs, and its rank among those of its service."""

    name: str
    service: str
    zone: str
    region: str
    layer: int
    rank: int


class Step(msgspec.Struct, frozen=True):
    """One thing to do at a time in seconds; `measurement` is the name of what is measured of it."""

    at_s: float
    measurement: str


class ChangeList(Step, frozen=True, tag=True):
    """Change rows of one service's list."""

    service: str
    rows: list[Row]
    starting: bool = False  # the rows' endpoints start at this moment


class SetOutage(Step, frozen=True, tag=True):
    """Take discovery down, or bring it back."""

    down: bool


class KillSidecars(Step, frozen=True, tag=True):
    """Kill these sidecars."""

    sidecars: list[int]


class StartSidecars(Step, frozen=True, tag=True):
    """Start these sidecars, spread evenly over a time."""

    sidecars: list[int]
    spread_s: float = 0.0


class SetLoad(Step, frozen=True, tag=True):
    """Set the rate of synthetic requests of each sidecar."""

    requests_per_s: float


class MeasureWindow(Step, frozen=True, tag=True):
    """Open or close a window of measurement."""

    opens: bool


class ReloadSettings(Step, frozen=True, tag=True):
    """Give all sidecars another revision of their settings, spread evenly over a time."""

    revision: int
    spread_s: float = 0.0


class Plan(msgspec.Struct, frozen=True):
    """What is played: the lists at the start, the sidecars by number, and the steps by time."""

    services: dict[str, list[Row]]
    sidecars: list[SidecarPlacement]
    steps: list[Step]
