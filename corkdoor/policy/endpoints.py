"""What an instance knows of one endpoint, and of those that have left the list."""

from __future__ import annotations

import zlib
from typing import NamedTuple

from corkdoor.model import Endpoint, Readiness

MAX_DEPARTED = 4096  # endpoints that left the list whose starts are kept: ids may be ever new


class Start(NamedTuple):
    """When an endpoint last started, as it was stated and as it is taken; 0: long ago."""

    stated_us: int
    taken_us: int


class DepartedEndpoints:
    """The starts of endpoints that left the list: one that returns with its old stamp has not restarted."""

    def __init__(self) -> None:
        self._starts: dict[str, Start] = {}  # the one that left longest ago first

    def add(self, endpoint: EndpointState) -> None:
        self._starts.pop(endpoint.id, None)
        self._starts[endpoint.id] = Start(endpoint.stated_launch, endpoint.launched)
        if len(self._starts) > MAX_DEPARTED:
            del self._starts[next(iter(self._starts))]

    def take(self, endpoint: str) -> Start | None:
        return self._starts.pop(endpoint, None)


class EndpointState:
    """What this instance knows of one endpoint: its listing, own calls, health and slow start."""

    __slots__ = (
        "cell",
        "credit",
        "credit_at",
        "crowd",
        "crowd_at",
        "declines",
        "ejected_until",
        "ejections",
        "failed_at",
        "failing",
        "id",
        "in_flight",
        "launched",
        "machine_type",
        "order",
        "quiet_since",
        "ready",
        "slow",
        "stated_launch",
        "used",
        "weight",
        "zone",
    )  # fmt: skip

    def __init__(self, entry: Endpoint, start: Start | None, earliest: int, now: int) -> None:
        self.id = entry.id
        self.order = zlib.crc32(entry.id.encode())  # one order for all copies, which the ids tell nothing of
        self.in_flight = 0
        self.failing = 0.0
        self.slow = 0.0  # mean latency over that of the peers; 0 unknown
        self.failed_at = 0
        self.declines = 0  # calls turned away in a row
        self.credit = -1.0  # sends that it may have while cold; below 0: not begun
        self.credit_at = 0
        self.crowd = 1.0  # reported service time over the usual one, with what waits
        self.crowd_at = 0
        self.quiet_since = 0  # its last answer, or the send from which one is awaited
        self.used = 0  # when a connection to it was last in use; 0: never
        self.ejected_until = 0
        self.ejections = 0
        self.stated_launch, self.launched = start or Start(0, 0)
        self.take(entry, earliest, now)

    def take(self, entry: Endpoint, earliest: int, now: int) -> None:
        """Follow a listing; a launch that it states anew lay between `earliest` and now, whatever it states.

        Danger: wall clocks are wrong or set. By stamps that lie behind, a cold endpoint would count as warm.
        """
        self.zone, self.machine_type, self.cell, self.weight = (
            entry.zone,
            entry.machine_type,
            entry.cell,
            entry.weight,
        )
        self.ready = entry.readiness is Readiness.READY
        if entry.started_us != self.stated_launch:  # a new process under a known id: what we knew is void
            self.stated_launch = entry.started_us
            self.launched = min(max(entry.started_us, earliest), now) if entry.started_us else 0
            self.credit = -1.0
            self.crowd = 1.0
            self.failing = self.slow = 0.0
            self.ejected_until = self.ejections = 0


def shared_order(endpoint: EndpointState) -> tuple[int, str]:
    """Where the endpoint stands in the random order that all copies share."""
    return endpoint.order, endpoint.id
