"""The requests to a process of endpoints, which it reads as JSON lines from its standard input."""

from __future__ import annotations

from enum import Enum, StrEnum

import msgspec

UNLIMITED = 1_000_000  # a limit that no run reaches


class EndpointProfile(msgspec.Struct, frozen=True):
    """The properties of an endpoint.

    Service times are lognormal, because those of real services are skewed to the right. With a `median_ms` of
    0 the endpoint responds at once. An endpoint that warms up starts with the share `initial_speed` of its
    full speed, and reaches full speed after `warm_up_s`.
    """

    median_ms: float = 0.0
    sigma: float = 0.0  # standard deviation of the natural logarithm of the service time
    cores: int = UNLIMITED  # requests that can run at the same time
    queue: int = UNLIMITED  # requests that can wait; further requests are declined
    connections: int = UNLIMITED  # open connections above which requests are declined
    idle_s: float = 3600.0  # time without a request after which a connection is closed
    errors: float = 0.0  # share of the requests that run whose response is 500
    initial_speed: float = 1.0
    warm_up_s: float = 0.0
    reports: tuple[str, ...] = ()  # fields of the load report in each response
    health_checks: bool = False  # whether the endpoint responds to health checks


class EndpointCounter(StrEnum):
    """The counters of a process of endpoints."""

    CONNECTIONS = "connections"  # connections accepted since the start
    OPEN = "open"  # connections that are open now
    SERVED = "served"
    ERRORS = "errors"
    DECLINED = "declined"
    HUNG = "hung"
    ABANDONED = "abandoned"  # requests that the sidecar gave up before the response
    HEALTH_CHECKS = "health_checks"


class EndpointAction(Enum):
    """What an endpoint is told to do."""

    HANG = "hang"
    DRAIN = "drain"
    SERVE = "serve"
    CRASH = "crash"  # reset all connections, and refuse new ones
    START = "start"  # listen at the previous address again, and warm up


class OpenEndpoints(msgspec.Struct, tag="open"):
    """Open `count` endpoints on free ports. Their names are `prefix` with numbers from `first` on."""

    prefix: str
    count: int
    profile: EndpointProfile = EndpointProfile()
    first: int = 0
    seed: int = 1
    warming_up: bool = False


class ChangeEndpoint(msgspec.Struct, tag="change"):
    """Apply an action to one endpoint."""

    id: str
    action: EndpointAction


class ReleaseRequests(msgspec.Struct, tag="release"):
    """Make a hanging endpoint respond to its pending requests, and serve requests again."""

    id: str


class ReadCounters(msgspec.Struct, tag="counters"):
    """Return the counters that all endpoints share."""


EndpointRequest = OpenEndpoints | ChangeEndpoint | ReleaseRequests | ReadCounters
