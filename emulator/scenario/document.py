"""The typed form of a scenario file; keys that the code names otherwise are mapped here."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, field

from emulator.discovery.service_queue import ServiceCost

MAX_SIMULATED, MAX_REAL = 2000, 24  # sidecars that one machine of this size carries
REPLACEMENT_INTERVALS = 60  # more endpoints of one list than this are not expected to be replaced
Share = Annotated[float, Meta(gt=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=3600)]
PerSecond = Annotated[float, Meta(ge=0, le=1000)]


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of a scenario file."""


class Topology(Section, frozen=True):
    """Each endpoint has one sidecar, so the number of services follows from the number of sidecars."""

    endpoints: Annotated[int, Meta(ge=1, le=2000)] = 36  # of each service
    single_list: bool = False  # one service that has all endpoints
    depth: Annotated[int, Meta(ge=1, le=27)] = 27  # layers that the services are spread over
    regions: Annotated[int, Meta(ge=1, le=20)] = 5
    zones: Annotated[int, Meta(ge=1, le=60)] = 12


class Load(Section, frozen=True):
    """Synthetic requests: they reach the decision module, and no socket."""

    requests_per_s: PerSecond = field(default=0.0, name="calls_per_s")  # of each sidecar, at the start
    service_ms: Annotated[float, Meta(gt=0, le=10_000)] = 20.0  # mean
    service_sigma: Annotated[float, Meta(ge=0, le=3)] = 0.5  # of the logarithm


class DiscoverySettings(Section, frozen=True):
    """How sidecars get their lists, and what discovery spends."""

    mode: Annotated[str, Meta(pattern="^(push|ask)$")] = "push"  # as in the sidecar's settings
    poll_us: Annotated[float, Meta(ge=0, le=1e6)] = field(default=500.0, name="call_us")
    byte_ns: Annotated[float, Meta(ge=0, le=1e6)] = 10.0
    longest_wait_s: Annotated[float, Meta(gt=0, le=60)] = 2.0

    def cost(self) -> ServiceCost:
        """Return what discovery spends."""
        return ServiceCost(self.poll_us, self.byte_ns, self.longest_wait_s)


class Event(Section, frozen=True, tag_field="kind"):
    """Something at a time, in seconds after the start of all sidecars began."""

    at_s: Seconds

    def end_s(self) -> float:
        """Return when it is over, in seconds."""
        return self.at_s


class MeasureEvent(Event, frozen=True, tag="measure"):
    """Rates, processor time and memory over a window."""

    name: str
    seconds: Annotated[float, Meta(ge=1, le=600)]

    def end_s(self) -> float:
        """Return when the window closes, in seconds."""
        return self.at_s + self.seconds


class LoadEvent(Event, frozen=True, tag="load"):
    """Another rate of synthetic requests."""

    requests_per_s: PerSecond = field(name="calls_per_s")  # of each sidecar


class ChangeEvent(Event, frozen=True, tag="change"):
    """One endpoint of a drawn list begins to drain; so many times."""

    times: Annotated[int, Meta(ge=1, le=1000)] = 1
    every_s: Annotated[float, Meta(gt=0, le=60)] = 1.0

    def end_s(self) -> float:
        """Return when the last change is made, in seconds."""
        return self.at_s + (self.times - 1) * self.every_s


class ReplacementEvent(Event, frozen=True, tag="replace"):
    """A rolling replacement: endpoints of each list drain, leave, and come back under new ids."""

    share: Share
    every_s: Annotated[float, Meta(gt=0, le=60)] = 1.0  # from one endpoint of a list to the next

    def end_s(self) -> float:
        """Return when it is over at the latest, in seconds."""
        return self.at_s + REPLACEMENT_INTERVALS * self.every_s


class ZoneLossEvent(Event, frozen=True, tag="zone_lost"):
    """A zone's sidecars vanish, its endpoints leave the lists, and all come back and warm up."""

    zone: Annotated[int, Meta(ge=0, le=59)]
    noticed_after_s: Seconds = 2.0
    back_after_s: Annotated[float, Meta(gt=0, le=600)] = 10.0

    def end_s(self) -> float:
        """Return when the zone is back, in seconds."""
        return self.at_s + self.back_after_s


class OutageEvent(Event, frozen=True, tag="outage"):
    """Discovery is down; meanwhile one endpoint of each list changes, so that its return concerns all."""

    seconds: Annotated[float, Meta(gt=0, le=600)]

    def end_s(self) -> float:
        """Return when discovery is back, in seconds."""
        return self.at_s + self.seconds


class RestartEvent(Event, frozen=True, tag="restart"):
    """A drawn share of all sidecars restarts, spread evenly over a time."""

    share: Share
    spread_s: Seconds = 0.0

    def end_s(self) -> float:
        """Return when the last one starts, in seconds."""
        return self.at_s + self.spread_s


class SettingsEvent(Event, frozen=True, tag="settings"):
    """All sidecars get settings with one value changed, with no restart, spread evenly over a time."""

    spread_s: Seconds = 0.0

    def end_s(self) -> float:
        """Return when the last one gets them, in seconds."""
        return self.at_s + self.spread_s


EVENTS: dict[str, type[Event]] = {
    "measure": MeasureEvent,
    "load": LoadEvent,
    "change": ChangeEvent,
    "replace": ReplacementEvent,
    "zone_lost": ZoneLossEvent,
    "outage": OutageEvent,
    "restart": RestartEvent,
    "settings": SettingsEvent,
}


class Scenario(Section, frozen=True):
    """One scenario file; each of its sizes is a run of its own."""

    name: Annotated[str, Meta(pattern="^[a-z0-9_-]+$")]
    seed: Annotated[int, Meta(ge=0)]
    sizes: tuple[Annotated[int, Meta(ge=1, le=MAX_SIMULATED)], ...]  # simulated sidecars
    seconds: Annotated[float, Meta(gt=0, le=3600)]
    processes: Annotated[int, Meta(ge=1, le=16)] = 6  # that share the simulated sidecars
    real_sidecars: Annotated[int, Meta(ge=0, le=MAX_REAL)] = field(default=0, name="real")
    start_spread_s: Seconds = 1.0
    # The 99th percentile of an event loop's lateness; a run above it counts for nothing.
    max_lateness_ms: Annotated[float, Meta(gt=0, le=10_000)] = field(default=100.0, name="latest_ms")
    topology: Topology = Topology()
    load: Load = Load()
    discovery: DiscoverySettings = DiscoverySettings()
    events: tuple[Event, ...] = ()
