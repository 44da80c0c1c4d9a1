"""A pool: the ready endpoints of one locality, the subset of them in use, and the concurrency limit."""

from __future__ import annotations

from bisect import bisect_left, insort

from corkdoor.policy.concurrency_limit import ConcurrencyLimit
from corkdoor.policy.endpoint_state import EndpointState, shared_order
from corkdoor.policy.token_buckets import REFILL_WINDOW_US

MIN_SUBSET_SIZE = 5  # an instance with little traffic needs evidence and warm connections too
SUBSET_PER_LIMIT = 2.0  # endpoints for each request of the concurrency limit
WIDE_SUBSET_SIZE = 64  # a subset grows past this only as the next two require
SUBSET_PER_FAIR_SHARE = 2.0  # endpoints for each that is this instance's share: two instances cover each
SUBSET_PER_IN_FLIGHT = 4.0  # endpoints for each request in flight
RATE_RISE_WEIGHT = 0.2  # weight of the newest window in the send rate where it rises
RATE_FALL_WEIGHT = 0.01  # and where it falls: slow start must not reduce its own reference


def subset_size(limit: float, fair_share: float, in_flight: int) -> int:
    """Return how many endpoints an instance keeps in use.

    Args:
        limit: the concurrency limit, in requests.
        fair_share: the endpoints that are this instance's share of the pool.
        in_flight: its requests in flight.
    """
    needed = max(WIDE_SUBSET_SIZE, SUBSET_PER_FAIR_SHARE * fair_share, SUBSET_PER_IN_FLIGHT * in_flight)
    return max(MIN_SUBSET_SIZE, int(min(SUBSET_PER_LIMIT * limit, needed)))


class Subset:
    """The subset of one pool: a block of the random order that all instances share.

    The blocks of the instances start at even distances, so that all endpoints are in use evenly.

    Attributes:
        members: the endpoints in use.
        start: where the block begins in the shared order.
    """

    def __init__(self) -> None:
        self.members: list[EndpointState] = []
        self.start = 0

    def fill(
        self, endpoints: list[EndpointState], instance_index: int, instance_count: int, size: int
    ) -> None:
        """Choose `size` of the endpoints, which stand in the shared order."""
        count = len(endpoints)
        if size >= count:
            self.members, self.start = endpoints, 0
            return
        self.start = instance_index % instance_count * count // instance_count
        block = endpoints[self.start : self.start + size]
        self.members = block + endpoints[: size - len(block)]


class EndpointPool:
    """The ready endpoints of this zone, or of all the others, that one placement allows.

    Attributes:
        endpoints: all of them, in the shared order.
        subset: those in use.
        limit: the limit on requests in flight to the subset.
        sent_in_window: attempts sent in the present refill window.
        sent_per_s: attempts sent a second, smoothed; it falls slowly.
    """

    def __init__(self, layer: int) -> None:
        self.endpoints: list[EndpointState] = []
        self.subset = Subset()
        self.limit = ConcurrencyLimit(layer)
        self.sent_in_window = 0
        self.sent_per_s = 0.0

    def add(self, endpoint: EndpointState) -> None:
        """Add an endpoint that is ready."""
        insort(self.endpoints, endpoint, key=shared_order)

    def remove(self, endpoint: EndpointState) -> None:
        """Remove an endpoint, if it is here."""
        index = self._index(endpoint)
        if index is not None:
            del self.endpoints[index]

    def uses(self, endpoint: EndpointState) -> bool:
        """Return whether the endpoint is a member of the subset."""
        index = self._index(endpoint)
        if index is None:
            return False
        return (index - self.subset.start) % len(self.endpoints) < len(self.subset.members)

    def _index(self, endpoint: EndpointState) -> int | None:
        index = bisect_left(self.endpoints, shared_order(endpoint), key=shared_order)
        found = index < len(self.endpoints) and self.endpoints[index] is endpoint
        return index if found else None

    def end_window(self) -> None:
        """Take the attempts sent in the refill window that ends into the send rate."""
        rate = self.sent_in_window * 1e6 / REFILL_WINDOW_US
        weight = RATE_RISE_WEIGHT if rate > self.sent_per_s else RATE_FALL_WEIGHT
        self.sent_per_s += weight * (rate - self.sent_per_s)
        self.sent_in_window = 0
