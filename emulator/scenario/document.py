"""The schema of a scenario file: one class for each table of the TOML file.

A field whose name differs from its key in the file states that key as `name`. Times are in seconds unless the
name of the field says otherwise.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, field

from emulator.discovery.service_queue import ServiceCost

# The numbers of sidecars that one machine of the test machine's size can run.
MAX_SIMULATED_SIDECARS, MAX_REAL_SIDECARS = 2000, 24
MAX_REPLACEMENTS_PER_LIST = 60  # scenarios are not expected to replace more endpoints of one list
Share = Annotated[float, Meta(gt=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=3600)]
PerSecond = Annotated[float, Meta(ge=0, le=1000)]


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of the tables of a scenario file."""


class Topology(Table, frozen=True):
    """The services, and where their endpoints run.

    Each endpoint has one sidecar, so the number of services follows from the number of sidecars.
    """

    endpoints: Annotated[int, Meta(ge=1, le=2000)] = 36  # endpoints per service
    single_list: bool = False  # whether one service has all endpoints
    depth: Annotated[int, Meta(ge=1, le=27)] = 27  # layers over which the services are distributed
    regions: Annotated[int, Meta(ge=1, le=20)] = 5
    zones: Annotated[int, Meta(ge=1, le=60)] = 12


class Load(Table, frozen=True):
    """The load of synthetic requests, which are passed to the decision module without a socket."""

    requests_per_s: PerSecond = field(default=0.0, name="calls_per_s")  # rate of each sidecar at the start
    service_ms: Annotated[float, Meta(gt=0, le=10_000)] = 20.0  # mean service time
    service_sigma: Annotated[float, Meta(ge=0, le=3)] = 0.5  # standard deviation of the logarithm


class DiscoverySettings(Table, frozen=True):
    """How sidecars get their lists, and how much time discovery spends on each call."""

    mode: Annotated[str, Meta(pattern="^(push|ask)$")] = "push"  # same values as in the sidecar's settings
    call_cost_us: Annotated[float, Meta(ge=0, le=1e6)] = field(default=500.0, name="call_us")
    byte_ns: Annotated[float, Meta(ge=0, le=1e6)] = 10.0
    longest_wait_s: Annotated[float, Meta(gt=0, le=60)] = 2.0

    def cost(self) -> ServiceCost:
        """Return the cost of calls to discovery."""
        return ServiceCost(self.call_cost_us, self.byte_ns, self.longest_wait_s)


class Event(Table, frozen=True, tag_field="kind"):
    """Base class of events; `at_s` counts from the time at which the start of all sidecars begins."""

    at_s: Seconds

    def end_s(self) -> float:
        """Return the time at which the event is over, in seconds."""
        return self.at_s


class MeasureEvent(Event, frozen=True, tag="measure"):
    """Measures rates, processor time and memory over a window."""

    name: str
    seconds: Annotated[float, Meta(ge=1, le=600)]

    def end_s(self) -> float:
        """Return the time at which the window closes, in seconds."""
        return self.at_s + self.seconds


class LoadEvent(Event, frozen=True, tag="load"):
    """Sets the rate of synthetic requests."""

    requests_per_s: PerSecond = field(name="calls_per_s")  # rate of each sidecar


class ChangeEvent(Event, frozen=True, tag="change"):
    """Toggles one endpoint of a randomly chosen list between ready and draining, `times` times."""

    times: Annotated[int, Meta(ge=1, le=1000)] = 1
    every_s: Annotated[float, Meta(gt=0, le=60)] = 1.0

    def end_s(self) -> float:
        """Return the time of the last change, in seconds."""
        return self.at_s + (self.times - 1) * self.every_s


class ReplacementEvent(Event, frozen=True, tag="replace"):
    """Replaces a share of the endpoints of each list, one at a time.

    An endpoint drains, then leaves the list, and a new endpoint with a new id is listed in its place.
    """

    share: Share
    every_s: Annotated[float, Meta(gt=0, le=60)] = 1.0  # interval between two endpoints of a list

    def end_s(self) -> float:
        """Return the latest time at which the replacement is over, in seconds."""
        return self.at_s + MAX_REPLACEMENTS_PER_LIST * self.every_s


class ZoneLossEvent(Event, frozen=True, tag="zone_lost"):
    """Kills a zone's sidecars and removes its endpoints from the lists; later all return and warm up."""

    zone: Annotated[int, Meta(ge=0, le=59)]
    noticed_after_s: Seconds = 2.0
    back_after_s: Annotated[float, Meta(gt=0, le=600)] = 10.0

    def end_s(self) -> float:
        """Return the time at which the zone is back, in seconds."""
        return self.at_s + self.back_after_s


class OutageEvent(Event, frozen=True, tag="outage"):
    """Stops discovery for some time.

    One endpoint of each list changes during the outage, so that every sidecar has a change to receive when
    discovery returns.
    """

    seconds: Annotated[float, Meta(gt=0, le=600)]

    def end_s(self) -> float:
        """Return the time at which discovery is back, in seconds."""
        return self.at_s + self.seconds


class RestartEvent(Event, frozen=True, tag="restart"):
    """Restarts a randomly chosen share of all sidecars, at times spread evenly over `spread_s`."""

    share: Share
    spread_s: Seconds = 0.0

    def end_s(self) -> float:
        """Return the time at which the last sidecar starts, in seconds."""
        return self.at_s + self.spread_s


class SettingsEvent(Event, frozen=True, tag="settings"):
    """Reloads all sidecars, without a restart, with one changed value, spread evenly over `spread_s`."""

    spread_s: Seconds = 0.0

    def end_s(self) -> float:
        """Return the time at which the last sidecar gets the settings, in seconds."""
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


class Scenario(Table, frozen=True):
    """One scenario file; each of its sizes is a separate run."""

    name: Annotated[str, Meta(pattern="^[a-z0-9_-]+$")]
    seed: Annotated[int, Meta(ge=0)]
    sizes: tuple[Annotated[int, Meta(ge=1, le=MAX_SIMULATED_SIDECARS)], ...]  # numbers of simulated sidecars
    seconds: Annotated[float, Meta(gt=0, le=3600)]
    processes: Annotated[int, Meta(ge=1, le=16)] = 6  # processes that share the simulated sidecars
    real_sidecars: Annotated[int, Meta(ge=0, le=MAX_REAL_SIDECARS)] = field(default=0, name="real")
    start_spread_s: Seconds = 1.0
    # Limit on the 99th percentile of an event loop's lateness; a run that exceeds it is invalid.
    max_lateness_ms: Annotated[float, Meta(gt=0, le=10_000)] = field(default=100.0, name="latest_ms")
    topology: Topology = Topology()
    load: Load = Load()
    discovery: DiscoverySettings = DiscoverySettings()
    events: tuple[Event, ...] = ()
