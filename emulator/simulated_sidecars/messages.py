"""The configuration of a process of simulated sidecars, the commands to it, and the samples it returns."""

from __future__ import annotations

from enum import Enum

import msgspec

from emulator.scenario.document import Load
from emulator.scenario.plan import SidecarPlacement
from testbed.discovery_wire import Row


class WorkerConfig(msgspec.Struct):
    """The configuration file that the process is started with."""

    seed: int
    process: int  # the number of the process
    first: int  # the number of its first sidecar among those of all processes
    sidecars: list[SidecarPlacement]
    balancers: dict[str, int]  # the number of sidecars of each service
    lists: dict[str, list[Row]]  # the endpoints of each service at generation 1
    discovery: dict[str, str]  # discovery's address for each service
    mode: str  # the mode of discovery, with its name in the settings
    depth: int  # the number of layers that the services are spread over
    load: Load
    longest_s: float  # time limit after which the process ends by itself


class StartCommand(msgspec.Struct, tag="start"):
    """Start sidecars, each at a random time within `spread_s` seconds."""

    sidecars: list[int]
    spread_s: float = 0.0


class KillCommand(msgspec.Struct, tag="kill"):
    """Kill sidecars."""

    sidecars: list[int]


class LoadCommand(msgspec.Struct, tag="load"):
    """Set the rate of synthetic requests of each sidecar."""

    requests_per_s: float


class SettingsCommand(msgspec.Struct, tag="settings"):
    """Give all sidecars a revision of their settings, each at a random time within `spread_s` seconds."""

    revision: int
    spread_s: float = 0.0


class SampleCommand(msgspec.Struct, tag="sample"):
    """Write a sample to standard output."""


Command = StartCommand | KillCommand | LoadCommand | SettingsCommand | SampleCommand


class RequestOutcome(Enum):
    """How a synthetic request ended. The values appear in the records."""

    SERVED = "ok"
    REJECTED = "shed"
    FAILED = "surrendered"


class Notification(msgspec.Struct, frozen=True, array_like=True):
    """A sidecar applied a list, or changes of it, at a monotonic time."""

    sidecar: int
    generation: int
    at_ns: int


class AppliedSettings(msgspec.Struct, frozen=True, array_like=True):
    """A sidecar applied a revision of its settings, at a monotonic time."""

    sidecar: int
    revision: int
    at_ns: int


class Sample(msgspec.Struct):
    """What the process did since its start; lateness and the lists cover the time since the last sample."""

    process: int
    cpu_s: float
    rss_mb: float
    initial_rss_mb: float  # before the first sidecar was created
    running: int  # sidecars that are running now
    requests: int  # synthetic requests
    outcomes: dict[str, int]  # number of requests by the value of their RequestOutcome
    lateness_p99_ms: float
    lateness_max_ms: float
    notifications: list[Notification]
    applied_settings: list[AppliedSettings]
