"""Availability: an endpoint's available share, relative to the requests of a peer that is not impaired.

The available share of an endpoint is the product of the shares that slow start, ejection with its recovery
ramp, reported load and unresponsiveness leave to it. The available share of a whole pool scales the pool's
concurrency limit, so that the requests of impaired endpoints are not sent to the other endpoints instead.
"""

from __future__ import annotations

from corkdoor.policy.endpoint_pool import EndpointPool
from corkdoor.policy.endpoint_state import EndpointState, OrderedEndpoints
from corkdoor.policy.outlier_ejection import recovery_share
from corkdoor.policy.overload import OVERLOAD_THRESHOLD, share_by_load
from corkdoor.policy.slow_start import SlowStart
from corkdoor.policy.unresponsive import MIN_IN_FLIGHT, UNRESPONSIVE_SHARE, UnresponsiveDetector


class Availability:
    """Computes available shares.

    Args:
        slow_start: computes the capacity shares of warming endpoints.
        unresponsive: detects unresponsive endpoints.
        impaired: the endpoints whose share may be below 1; those whose share is 1 again are removed.
    """

    def __init__(
        self, slow_start: SlowStart, unresponsive: UnresponsiveDetector, impaired: OrderedEndpoints
    ) -> None:
        self._slow_start = slow_start
        self._unresponsive = unresponsive
        self._impaired = impaired

    def share(self, now_us: int, endpoint: EndpointState) -> float:
        """Return the share, 0 to 1, of its normal requests that an endpoint may get now."""
        return self.share_of_capacity(now_us, endpoint, self._slow_start.capacity_share(now_us, endpoint))

    def share_of_capacity(self, now_us: int, endpoint: EndpointState, capacity_share: float) -> float:
        """Return what `share` returns, for an endpoint whose capacity share by slow start is given."""
        share = capacity_share
        if endpoint.ejected_until_us is not None:
            share *= recovery_share(now_us, endpoint.ejected_until_us)
        if endpoint.load > OVERLOAD_THRESHOLD:
            share *= share_by_load(now_us, endpoint)
        if endpoint.in_flight >= MIN_IN_FLIGHT and self._unresponsive.is_unresponsive(now_us, endpoint):
            share *= UNRESPONSIVE_SHARE
        return share

    def pool_share(self, now_us: int, pool: EndpointPool) -> float:
        """Return the mean share, 0 to 1, of normal requests that the endpoints in a pool's subset get."""
        if not self._impaired:
            return 1.0
        members = pool.subset.members
        self._remove_unimpaired(now_us)
        if 2 * len(self._impaired) >= len(members):
            return sum(self.share(now_us, endpoint) for endpoint in members) / len(members)
        lost = sum(
            1.0 - self.share(now_us, endpoint) for endpoint in self._impaired if pool.in_subset(endpoint)
        )
        return max(0.0, 1.0 - lost / len(members))

    def _remove_unimpaired(self, now_us: int) -> None:
        """Remove the endpoints whose share is 1 and that have too few attempts in flight to be unresponsive.

        The share of an endpoint with attempts in flight may fall as time passes, without any event.
        """
        for endpoint in list(self._impaired):
            if endpoint.in_flight < MIN_IN_FLIGHT and self.share(now_us, endpoint) >= 1.0:
                del self._impaired[endpoint]
