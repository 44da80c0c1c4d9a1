"""Slow start: a newly started endpoint receives a growing share of the requests that its peers receive.

Two rules bound what a warming endpoint is sent:

- A random draw of the endpoint is accepted with the probability of its capacity share, so that all instances
  together keep to that share.
- Each instance has a token budget for the endpoint, one token for each attempt. The budget is refilled in
  proportion to what the endpoints of the pool usually receive. It is needed when most of a subset is warming.
"""

from __future__ import annotations

import random

from corkdoor.policy.endpoint_pool import EndpointPool
from corkdoor.policy.endpoint_state import EndpointState
from corkdoor.settings import Settings

# Share of the overload factor of the settings that all instances together use at a warming endpoint.
OVERLOAD_FACTOR_USE = 0.5
MAX_TOKENS = 1.0  # tokens that the budget of one instance for an endpoint holds at most
# The attempts per second that all instances together are assumed to send to an endpoint until the pool has a
# send rate. The number equals INITIAL_PER_ENDPOINT of `concurrency_limit`, which is a number of requests in
# flight; here it is used as a rate.
INITIAL_RATE_PER_S = 7.0
# The least attempts per second that all instances together are assumed to send to an endpoint once the pool
# has a send rate. It is for pools that send hardly anything: an endpoint must get some requests to warm up.
MIN_RATE_PER_S = 1.0


class SlowStart:
    """Decides how many attempts a warming endpoint may be sent."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._random = rng
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply the rules of the settings, also to endpoints that are already warming up."""
        self._rules = settings.lifecycle
        self._instance_count = settings.instance_count

    def capacity_share(self, now_us: int, endpoint: EndpointState) -> float:
        """Return the share of its capacity that the endpoint has at least, by the time since its start."""
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
        """Refill the token budget of a warming endpoint, and return whether it holds a token."""
        if endpoint.slow_start_tokens is None:
            # All instances are notified of the start at once: random budgets spread their first attempts.
            endpoint.slow_start_tokens = self._random.random()
        else:
            least_per_s = MIN_RATE_PER_S if pool.sent_per_s else INITIAL_RATE_PER_S
            sent_per_s = pool.sent_per_s / len(pool.subset.members)
            peer_rate_per_s = max(sent_per_s, least_per_s / self._instance_count)
            rate_per_s = peer_rate_per_s * min(
                1.0, OVERLOAD_FACTOR_USE * self._rules.overload_factor * capacity_share
            )
            refill = rate_per_s * (now_us - endpoint.slow_start_updated_us) / 1e6
            endpoint.slow_start_tokens = min(MAX_TOKENS, endpoint.slow_start_tokens + refill)
        endpoint.slow_start_updated_us = now_us
        return endpoint.slow_start_tokens >= 1.0

    @staticmethod
    def take_token(endpoint: EndpointState) -> None:
        """Take a token for an attempt, if the budget holds one."""
        tokens = endpoint.slow_start_tokens
        if tokens is not None and tokens >= 1.0:
            endpoint.slow_start_tokens = tokens - 1.0
