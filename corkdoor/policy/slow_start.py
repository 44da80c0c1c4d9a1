"""Slow start: an endpoint that has just started is sent a growing share of the requests of its peers.

Two bounds hold. A draw that falls on a warming endpoint stands with the probability of its capacity share, so
that all instances together keep to it. And each instance has a token budget for it, which is refilled in
proportion to what the endpoints of the pool usually get, for the times when most of a subset is warming.
"""

from __future__ import annotations

import random

from corkdoor.policy.endpoint_pool import EndpointPool
from corkdoor.policy.endpoint_state import EndpointState
from corkdoor.settings import Settings

OVERLOAD_USE = 0.5  # the share used of the overload that a warming endpoint bears, by all instances together
MAX_TOKENS = 1.0
FIRST_RATE_PER_S = 7.0  # what all instances send an endpoint, assumed until the pool has sent anything
MIN_RATE_PER_S = (
    1.0  # likewise, where the pool has hardly sent anything: an endpoint must get some to warm up
)


class SlowStart:
    """Decides how much a warming endpoint may be sent."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._random = rng
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Take the rules of the settings; they hold for endpoints that are warming up already."""
        self._rules = settings.lifecycle
        self._instance_count = settings.instance_count

    def capacity_share(self, now_us: int, endpoint: EndpointState) -> float:
        """Return the least share of its capacity that the endpoint has, by the time since its start."""
        if endpoint.started_us is None:
            return 1.0
        rules = self._rules
        age_us = now_us - endpoint.started_us
        if age_us >= rules.slow_start_us:
            return 1.0
        initial = rules.slow_start_initial_share
        return initial + (1 - initial) * max(age_us, 0) / rules.slow_start_us

    def refill_and_check(
        self, now_us: int, endpoint: EndpointState, pool: EndpointPool, capacity_share: float
    ) -> bool:
        """Refill the token budget of a warming endpoint, and return whether it allows another attempt."""
        if endpoint.slow_start_tokens is None:
            endpoint.slow_start_tokens = self._random.random()  # all instances learn of the start at once
        else:
            least_per_s = MIN_RATE_PER_S if pool.sent_per_s else FIRST_RATE_PER_S
            sent_per_s = pool.sent_per_s / len(pool.subset.members)
            peer_rate_per_s = max(sent_per_s, least_per_s / self._instance_count)
            rate_per_s = peer_rate_per_s * min(
                1.0, OVERLOAD_USE * self._rules.overload_factor * capacity_share
            )
            refill = rate_per_s * (now_us - endpoint.slow_start_updated_us) / 1e6
            endpoint.slow_start_tokens = min(MAX_TOKENS, endpoint.slow_start_tokens + refill)
        endpoint.slow_start_updated_us = now_us
        return endpoint.slow_start_tokens >= 1.0

    @staticmethod
    def take_token(endpoint: EndpointState) -> None:
        """Take a token for an attempt, where there is one."""
        tokens = endpoint.slow_start_tokens
        if tokens is not None and tokens >= 1.0:
            endpoint.slow_start_tokens = tokens - 1.0
