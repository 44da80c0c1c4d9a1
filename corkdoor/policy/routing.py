"""Routing: the pool and the endpoint of an attempt.

A first attempt or a hedge goes to the first pool with capacity, and the local pool is tried before the remote
one. A retry replaces an attempt that has ended, so it needs no capacity of its own.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from corkdoor.policy.availability import Availability
from corkdoor.policy.capacity_shortage import CapacityShortage
from corkdoor.policy.endpoint_choice import EndpointChooser
from corkdoor.policy.endpoint_pool import EndpointPool
from corkdoor.policy.endpoint_state import EndpointState
from corkdoor.policy.priorities import Priorities
from corkdoor.policy.request import Request
from corkdoor.policy.zone_spillover import ZoneSpillover

# Share of the capacity that requests of low priority may use, so that other requests find capacity at once.
LOW_PRIORITY_SHARE = 0.8


class Route(NamedTuple):
    """The pool and the endpoint of an attempt."""

    pool: EndpointPool
    endpoint: EndpointState


class Router:
    """Chooses the route of each attempt."""

    def __init__(
        self,
        priorities: Priorities,
        shortage: CapacityShortage,
        availability: Availability,
        spillover: ZoneSpillover,
        chooser: EndpointChooser,
        rng: random.Random,
    ) -> None:
        self._priorities = priorities
        self._shortage = shortage
        self._availability = availability
        self._spillover = spillover
        self._chooser = chooser
        self._random = rng

    def find_route(self, now_us: int, request: Request) -> Route | None:
        """Return a route whose pool has capacity, or None, also if waiting for local capacity is better."""
        placement = request.placement
        share = LOW_PRIORITY_SHARE if self._priorities.is_low(request.priority) else 1.0
        local_may_free_up = False  # whether waiting for local capacity is useful
        for pool in placement.pools:
            if not pool.subset.members:
                continue
            if self._is_full(now_us, pool, share):
                local_may_free_up = True
                continue
            if pool is placement.remote and local_may_free_up and not self._spillover.allows(now_us, request):
                return None
            endpoint = self._chooser.choose(now_us, pool, request)
            if endpoint is not None:
                return Route(pool, endpoint)
        return None

    def _is_full(self, now_us: int, pool: EndpointPool, share: float) -> bool:
        limit = pool.limit
        limit.available_share = self._availability.pool_share(now_us, pool)
        return limit.update_and_check_full(now_us, share * limit.capacity(self._shortage.rate), self._random)

    def find_retry_route(self, now_us: int, request: Request) -> Route | None:
        """Return a route for a retry, regardless of capacity, or None."""
        for pool in request.placement.pools:
            if pool.subset.members:
                endpoint = self._chooser.choose(now_us, pool, request)
                if endpoint is not None:
                    return Route(pool, endpoint)
        return None
