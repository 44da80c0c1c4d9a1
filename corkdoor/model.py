"""The values that the balancer and its host exchange: endpoints, outcomes, watch events and timers.

Most enum values are codes of the wire protocol or of the settings document. Only the modules that parse and
write those formats use them.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple


class Idempotency(Enum):
    """The effect that a repeated request of a class has at the endpoints."""

    IDEMPOTENT = "idempotent"  # a repeat does no harm, however often the request runs
    WITH_KEY = "deduplicated"  # endpoints drop repeats with the same idempotency key for a limited time
    NOT_IDEMPOTENT = "at_most_once"  # a repeat takes effect a second time


class DeduplicationScope(Enum):
    """The group of endpoints that share their idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt or a health check ended."""

    OK = 10
    ERROR = 20  # a response other than 200, or an unreadable response: the attempt may have run
    REJECTED = 30  # the endpoint declined the attempt without processing it: it did not run
    TIMEOUT = 40
    CONNECT_FAILED = 50  # the attempt was never completely written: it did not run
    RESET = 60  # the connection ended without a response: the attempt may have run
    CANCELLED = 70
    NOT_SENT = 80  # the host did not send the attempt: it did not run


class Readiness(Enum):
    """The state of an endpoint in discovery's list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class WatchEventKind(Enum):
    """The result of a call to discovery, or the source of an endpoint list."""

    DELTA = "D"  # the endpoints that changed
    FULL = "F"  # the complete endpoint list
    CACHED = "C"  # the list in the configuration file
    FAILED = "X"  # a call failed or the watch ended: discovery may be down
    REJECTED = "rejected"  # discovery responded that it has too many calls
    LOST = "lost"  # a response did not arrive completely; the changes in it are considered notified


class DiscoveryMode(Enum):
    """Who updates the endpoint list."""

    PUSH = "push"  # an agent of the platform; changes are considered notified as soon as the agent has them
    POLL = "ask"  # this instance, with long polls


class Timer(Enum):
    """The timers that the balancer has its host start."""

    DISCOVERY_POLL = "ask"
    QUEUE_SWEEP = "sweep"


class Endpoint(NamedTuple):
    """One entry of an endpoint list.

    Attributes:
        id: the endpoint's id, unique within the list.
        zone: the endpoint's zone; empty if unknown.
        machine_type: the type of the endpoint's machine; empty if unknown.
        cell: the endpoint's deduplication cell, or None if it belongs to none.
        readiness: the endpoint's state in the list.
        weight: the endpoint's capacity relative to its peers, above 0.
        started_us: when the endpoint's process started, in microseconds on the host's clock, or None if that
            was long ago.
    """

    id: str
    zone: str
    machine_type: str
    cell: int | None
    readiness: Readiness
    weight: float = 1.0
    started_us: int | None = None
