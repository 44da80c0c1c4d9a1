"""The requests that a process of endpoints takes, as JSON lines on its standard input."""

from __future__ import annotations

from enum import Enum, StrEnum

import msgspec

UNLIMITED = 1_000_000


class EndpointProfile(msgspec.Struct, frozen=True):
    """What an endpoint is like.

    A service time is lognormal, as those of real services are skewed to the right; with `median_ms` 0 it
    responds at once. An endpoint that warms up has the share `initial_speed` of its speed at its start, and
    all of it `warm_up_s` later.
    """

    median_ms: float = 0.0
    sigma: float = 0.0  # of the natural logarithm
    cores: int = UNLIMITED  # requests that run at once
    queue: int = UNLIMITED  # requests that wait; one more is declined
    connections: int = UNLIMITED
    idle_s: float = 3600.0  # a connection without a request for so long is closed
    errors: float = 0.0  # share of the requests that run and end as 500
    initial_speed: float = 1.0
    warm_up_s: float = 0.0
    reports: tuple[str, ...] = ()  # fields of the load report that goes with each response
    health_checks: bool = False  # whether health checks are answered


class EndpointCounter(StrEnum):
    """What a process of endpoints counts."""

    CONNECTIONS = "connections"  # since the start
    OPEN = "open"  # connections now
    SERVED = "served"
    ERRORS = "errors"
    DECLINED = "declined"
    HUNG = "hung"
    ABANDONED = "abandoned"  # the sidecar gave up before the response
    HEALTH_CHECKS = "health_checks"


class EndpointAction(Enum):
    """How an endpoint is to act from now on."""

    HANG = "hang"
    DRAIN = "drain"
    SERVE = "serve"
    CRASH = "crash"  # connections are reset, new ones refused
    START = "start"  # back at its old address, warming up


class OpenEndpoints(msgspec.Struct, tag="open"):
    """Open `count` endpoints named `prefix` and a number from `first` on, on free ports."""

    prefix: str
    count: int
    profile: EndpointProfile = EndpointProfile()
    first: int = 0
    seed: int = 1
    warming_up: bool = False


class ChangeEndpoint(msgspec.Struct, tag="change"):
    """Change how one endpoint acts."""

    id: str
    action: EndpointAction


class ReleaseRequests(msgspec.Struct, tag="release"):
    """Answer all requests that a hanging endpoint has, and serve from here on."""

    id: str


class ReadCounters(msgspec.Struct, tag="counters"):
    """Return the counters of all endpoints together."""


EndpointRequest = OpenEndpoints | ChangeEndpoint | ReleaseRequests | ReadCounters
