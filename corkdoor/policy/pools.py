"""The endpoints that calls may go to: by zone, by constraint, and the subset in use."""

from __future__ import annotations

from bisect import bisect_left, insort

from corkdoor.policy.buckets import REFILL_WINDOW_US
from corkdoor.policy.concurrency import ConcurrencyLimit
from corkdoor.policy.endpoints import EndpointState, shared_order
from corkdoor.settings import RequestClass

SUBSET_MIN = 5  # endpoints a copy keeps in use: few, so that a quiet one has evidence and warm connections
SUBSET_PER_CALL = 2.0  # endpoints for each call of the cap: a hot copy spreads wider
SUBSET_WIDE = 64  # endpoints past which more have to be needed: by this copy's part of them, or its calls
SUBSET_PER_FAIR = 2.0  # endpoints for each one that is this copy's part: all are covered, by two copies each
SUBSET_PER_OPEN_CALL = 4.0  # endpoints for each call that is out
RATE_RISE, RATE_FALL = 0.2, 0.01  # weight of the newest window in a pool's rate


def subset_size(cap: float, fair: float, in_flight: int) -> int:
    """How many endpoints a copy keeps in use: `fair` is its part of them, `in_flight` its calls that are out.

    Danger: the cap stands for what a copy's part of the endpoints bears. With many small endpoints to a copy
    it is far from any call: the copy would keep connections to a third of them, for some tens of calls.
    """
    needed = max(SUBSET_WIDE, SUBSET_PER_FAIR * fair, SUBSET_PER_OPEN_CALL * in_flight)
    return max(SUBSET_MIN, int(min(SUBSET_PER_CALL * cap, needed)))


class Subset:
    """The random subset of one pool: an even block of a random order that all copies share."""

    def __init__(self) -> None:
        self.members: list[EndpointState] = []
        self.start = 0  # where the block begins in the order

    def fill(
        self, endpoints: list[EndpointState], instance_index: int, instance_count: int, size: int
    ) -> None:
        """Blocks that start at even distances load all endpoints alike, where free picks would leave gaps.

        `endpoints` stand in the order that all copies share.
        """
        count = len(endpoints)
        if size >= count:
            self.members, self.start = endpoints, 0
            return
        self.start = instance_index % instance_count * count // instance_count
        block = endpoints[self.start : self.start + size]
        self.members = block + endpoints[: size - len(block)]


class Pool:
    """The endpoints of this zone, or of the others: a subset and the cap on calls into it."""

    def __init__(self, layer: int) -> None:
        self.listed: list[EndpointState] = []  # those that are open to it and ready, in the shared order
        self.subset = Subset()
        self.limit = ConcurrencyLimit(layer)
        self.sent = 0  # in this refill window
        self.rate = 0.0  # calls sent a second; falls slowly, so that slow start does not feed on itself

    def add(self, endpoint: EndpointState) -> None:
        insort(self.listed, endpoint, key=shared_order)

    def remove(self, endpoint: EndpointState) -> None:
        place = bisect_left(self.listed, shared_order(endpoint), key=shared_order)
        if place < len(self.listed) and self.listed[place] is endpoint:
            del self.listed[place]

    def offers(self, endpoint: EndpointState) -> bool:
        """Whether the endpoint is a member of the subset."""
        place = bisect_left(self.listed, shared_order(endpoint), key=shared_order)
        if place >= len(self.listed) or self.listed[place] is not endpoint:
            return False
        return (place - self.subset.start) % len(self.listed) < len(self.subset.members)

    def turn(self) -> None:
        rate = self.sent * 1e6 / REFILL_WINDOW_US
        self.rate += (RATE_RISE if rate > self.rate else RATE_FALL) * (rate - self.rate)
        self.sent = 0


class Placement:
    """The endpoints that the classes of one constraint may use: a pool in this zone and one in the others.

    Rule 5: subsets are drawn from the allowed endpoints alone, and every send draws from such a subset.
    Filtering a subset drawn from all could leave none, or the same few to all copies.
    """

    def __init__(self, request_class: RequestClass, layer: int) -> None:
        self.zones = request_class.allowed_zones
        self.machine_types = request_class.allowed_machine_types
        self.local, self.remote = Pool(layer), Pool(layer)
        self.local.limit.peer, self.remote.limit.peer = self.remote.limit, self.local.limit
        self.pools = (self.local, self.remote)
        self.sent = 0.0  # work sent lately, of all its classes
        self.narrower: list[tuple[Placement, float]] = []  # with the part of an even share that they leave

    @property
    def size(self) -> int:
        """How many endpoints are open to it and ready."""
        return len(self.local.listed) + len(self.remote.listed)

    def spare(self, e: EndpointState) -> float:
        """The part of an even share that narrower classes leave at an endpoint."""
        part = 1.0
        for narrow, left in self.narrower:
            if narrow.allows(e):
                part = left
        return part

    def pool_for(self, e: EndpointState, zone: str) -> Pool:
        """The pool that an allowed endpoint belongs to, for a sidecar in `zone`."""
        return self.local if e.zone == zone else self.remote

    def allows(self, e: EndpointState) -> bool:
        return (self.zones is None or e.zone in self.zones) and (
            self.machine_types is None or e.machine_type in self.machine_types
        )
