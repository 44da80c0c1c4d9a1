"""A pool: the ready endpoints of this zone or of the others, the subset in use, and the concurrency limit."""

from __future__ import annotations

from bisect import bisect_left, insort

from corkdoor.policy.concurrency_limit import ConcurrencyLimit
from corkdoor.policy.endpoint_state import EndpointState, shared_order_key
from corkdoor.policy.token_buckets import REFILL_WINDOW_US

# Least endpoints in a subset: an instance with little traffic also needs outcomes from several endpoints, and
# warm connections.
MIN_SUBSET_SIZE = 5
SUBSET_SIZE_PER_LIMIT = 2.0  # most endpoints in the subset for each request of the concurrency limit
WIDE_SUBSET_SIZE = 64  # a subset exceeds this only if the fair share or the requests in flight require it
# Endpoints in the subset for each endpoint of the fair share, so that two instances cover each endpoint.
SUBSET_SIZE_PER_FAIR_SHARE = 2.0
SUBSET_SIZE_PER_IN_FLIGHT = 4.0  # endpoints in the subset for each request in flight
RATE_RISE_WEIGHT = 0.2  # weight of the newest refill window in the send rate while the rate rises
# Slow start takes the send rate as its reference. The rate falls slowly so that slow start does not lower it.
RATE_FALL_WEIGHT = 0.01  # weight of the newest refill window in the send rate while the rate falls


def subset_size(limit: float, fair_share: float, in_flight: int) -> int:
    """Return how many endpoints of a pool an instance uses.

    Args:
        limit: the concurrency limit, in requests.
        fair_share: this instance's share of the pool, in endpoints.
        in_flight: its requests in flight to the pool.
    """
    needed = max(
        WIDE_SUBSET_SIZE, SUBSET_SIZE_PER_FAIR_SHARE * fair_share, SUBSET_SIZE_PER_IN_FLIGHT * in_flight
    )
    return max(MIN_SUBSET_SIZE, int(min(SUBSET_SIZE_PER_LIMIT * limit, needed)))


class Subset:
    """The subset of one pool: a contiguous block of the shared order, which wraps around at its end.

    The shared order is the same at all instances and random with respect to ids. The blocks of the instances
    start at even distances, so that all endpoints are used evenly.

    Attributes:
        members: the endpoints in use.
        start: the index in the shared order at which the block begins.
    """

    def __init__(self) -> None:
        self.members: list[EndpointState] = []
        self.start = 0

    def select(
        self, endpoints: list[EndpointState], instance_index: int, instance_count: int, size: int
    ) -> None:
        """Select `size` of the endpoints, which are given in the shared order."""
        count = len(endpoints)
        if size >= count:
            self.members, self.start = endpoints, 0
            return
        self.start = instance_index % instance_count * count // instance_count
        block = endpoints[self.start : self.start + size]
        self.members = block + endpoints[: size - len(block)]


class EndpointPool:
    """The ready endpoints of this zone, or of all other zones, that one placement allows.

    Attributes:
        endpoints: all endpoints of the pool, in the shared order.
        subset: the endpoints that this instance uses.
        limit: the limit on requests in flight to the subset.
        sent_in_window: attempts sent in the current refill window.
        sent_per_s: the send rate in attempts per second, smoothed so that it falls slowly.
    """

    def __init__(self, layer: int) -> None:
        self.endpoints: list[EndpointState] = []
        self.subset = Subset()
        self.limit = ConcurrencyLimit(layer)
        self.sent_in_window = 0
        self.sent_per_s = 0.0

    def add(self, endpoint: EndpointState) -> None:
        """Add a ready endpoint."""
        insort(self.endpoints, endpoint, key=shared_order_key)

    def remove(self, endpoint: EndpointState) -> None:
        """Remove an endpoint if the pool holds it."""
        index = self._index(endpoint)
        if index is not None:
            del self.endpoints[index]

    def in_subset(self, endpoint: EndpointState) -> bool:
        """Return whether the endpoint is a member of the subset."""
        index = self._index(endpoint)
        if index is None:
            return False
        return (index - self.subset.start) % len(self.endpoints) < len(self.subset.members)

    def _index(self, endpoint: EndpointState) -> int | None:
        index = bisect_left(self.endpoints, shared_order_key(endpoint), key=shared_order_key)
        found = index < len(self.endpoints) and self.endpoints[index] is endpoint
        return index if found else None

    def end_window(self) -> None:
        """End a refill window: update the send rate with the attempts sent in it, and reset their count."""
        rate = self.sent_in_window * 1e6 / REFILL_WINDOW_US
        weight = RATE_RISE_WEIGHT if rate > self.sent_per_s else RATE_FALL_WEIGHT
        self.sent_per_s += weight * (rate - self.sent_per_s)
        self.sent_in_window = 0
