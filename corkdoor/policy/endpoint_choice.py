"""Endpoint choice: the less loaded of two random members of the pool's subset ("power of two choices").

A draw is repeated if the endpoint must not receive the request:

- an earlier attempt of the request was sent there,
- a random number is not below the product of its available share and the share that narrower placements leave
  there,
- its slow-start budget is empty, or
- resending the request there is not safe.

The load of an endpoint is the number of this instance's attempts in flight to it, the new one included,
divided by its weight and by this product of shares, and multiplied by its latency relative to its peers.
"""

from __future__ import annotations

import random

from corkdoor.policy.availability import Availability
from corkdoor.policy.endpoint_pool import EndpointPool
from corkdoor.policy.endpoint_state import EndpointState
from corkdoor.policy.request import Request
from corkdoor.policy.retry_safety import may_resend
from corkdoor.policy.slow_start import SlowStart
from corkdoor.settings import Settings

CANDIDATES = 2  # usable endpoints that are compared for an attempt
MAX_DRAWS = 8  # draws for an attempt, repeated ones included; if none is usable, there is no endpoint for now


class EndpointChooser:
    """Chooses the endpoint of each attempt."""

    def __init__(
        self, settings: Settings, slow_start: SlowStart, availability: Availability, rng: random.Random
    ) -> None:
        self._slow_start = slow_start
        self._availability = availability
        self._random = rng
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply the connect timeout of the settings."""
        self._connect_timeout_us = settings.limits.connect_timeout_us

    def choose(self, now_us: int, pool: EndpointPool, request: Request) -> EndpointState | None:
        """Return an endpoint of the pool's subset for the next attempt of the request, or None."""
        members = pool.subset.members
        count = len(members)
        draw = self._random.random
        best: EndpointState | None = None
        best_load = 0.0
        candidates = 0
        for _ in range(MAX_DRAWS):
            endpoint = members[int(draw() * count)]
            if endpoint is best or (request.attempts and request.was_sent_to(endpoint)):
                continue
            load = self._load_if_usable(now_us, endpoint, pool, request)
            if load is None:
                continue
            if best is None or load < best_load:
                best, best_load = endpoint, load
            candidates += 1
            if candidates == CANDIDATES:
                break
        return best

    def _load_if_usable(
        self, now_us: int, endpoint: EndpointState, pool: EndpointPool, request: Request
    ) -> float | None:
        """Return the endpoint's load, or None if it must not receive the request now."""
        capacity_share = self._slow_start.capacity_share(now_us, endpoint)
        share = self._availability.share_of_capacity(now_us, endpoint, capacity_share)
        share *= request.placement.share_left(endpoint)
        if share < 1.0 and self._random.random() >= share:
            return None
        if capacity_share < 1.0 and not self._slow_start.refill_and_check(
            now_us, endpoint, pool, capacity_share
        ):
            return None
        if request.first_run is not None and not self._may_resend(now_us, endpoint, request):
            return None
        load = (endpoint.in_flight + 1) / (endpoint.weight * share)
        return load if endpoint.relative_latency is None else load * endpoint.relative_latency

    def _may_resend(self, now_us: int, endpoint: EndpointState, request: Request) -> bool:
        request_class = request.request_class
        # The attempt is sent once its connection is established, which must also be within the window.
        window_us = request_class.deduplication_window_us - self._connect_timeout_us
        return may_resend(
            request_class.idempotency,
            request_class.deduplication_scope,
            window_us,
            request.first_run,
            now_us,
            endpoint.zone,
            endpoint.cell,
        )
