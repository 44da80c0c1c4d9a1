"""Outlier ejection: failing endpoints receive no requests for a limited time, and then a growing share.

An endpoint is ejected when its failure rate is far above that of all endpoints, or when it rejects all
attempts. An endpoint does so if it shuts down before discovery reports that.
"""

from __future__ import annotations

import random
from enum import Enum

from corkdoor.interface import Actions
from corkdoor.model import Outcome
from corkdoor.policy.endpoint_state import EndpointState, OrderedEndpoints
from corkdoor.policy.endpoint_table import EndpointTable

FAILURE_RATE_WEIGHT = 0.3  # weight of the newest outcome in an endpoint's failure rate
TOTAL_FAILURE_RATE_WEIGHT = 0.02  # weight of the newest outcome in the failure rate of all endpoints
EJECTION_FAILURE_RATE = 0.45  # ejection threshold while no others fail; two failures in a row exceed it
# This share of the failure rate of all endpoints is added to the ejection threshold, so that shared faults
# eject none.
TOTAL_FAILURE_RATE_SHARE = 0.5
SHUTDOWN_REJECTIONS = 3  # rejections in a row after which an endpoint is shutting down rather than busy
MAX_EJECTED_SHARE = 0.5  # the largest share of the ready endpoints that may be ejected at the same time
INITIAL_EJECTION_US = 3_000_000  # time of a first ejection; each further one in close succession doubles it
MAX_EJECTION_US = 24_000_000  # the longest ejection, before jitter
EJECTION_RESET_US = 4_000_000  # after this time in full use, earlier ejections no longer count
MIN_JITTER = 0.75  # the least random factor on the time of an ejection
JITTER_RANGE = 0.5  # the random factor on the time of an ejection exceeds MIN_JITTER by up to this
RECOVERY_US = 4_000_000  # length of the ramp from RECOVERY_INITIAL_SHARE to all requests after an ejection
RECOVERY_INITIAL_SHARE = 0.15  # share of its requests that an endpoint gets right after an ejection


class EjectionReason(Enum):
    """Why an endpoint was ejected."""

    FAILING = "failing"
    REJECTS_ATTEMPTS = "rejects_attempts"


def recovery_share(now_us: int, ejected_until_us: int) -> float:
    """Return the share of its requests that an endpoint may receive during an ejection and after it."""
    since_us = now_us - ejected_until_us
    if since_us >= RECOVERY_US:
        return 1.0
    if since_us < 0:
        return 0.0
    return RECOVERY_INITIAL_SHARE + (1 - RECOVERY_INITIAL_SHARE) * since_us / RECOVERY_US


def is_shutting_down(endpoint: EndpointState) -> bool:
    """Return whether the endpoint rejects all attempts, so that it is shutting down rather than busy."""
    return endpoint.consecutive_rejections >= SHUTDOWN_REJECTIONS


class OutlierEjection:
    """Records failure rates, and ejects endpoints.

    Args:
        endpoints: the endpoint table.
        impaired: the endpoints whose available share may be below 1; ejected endpoints are added.
        actions: logs ejections.
        rng: the source of random jitter.

    Attributes:
        ejected: the endpoints that are ejected or on their recovery ramp.
    """

    def __init__(
        self, endpoints: EndpointTable, impaired: OrderedEndpoints, actions: Actions, rng: random.Random
    ) -> None:
        self._endpoints = endpoints
        self._impaired = impaired
        self._actions = actions
        self._random = rng
        self._total_failure_rate = 0.0
        self.ejected: list[EndpointState] = []

    def record(self, now_us: int, endpoint: EndpointState, sent_us: int, outcome: Outcome) -> None:
        """Record the outcome of an attempt that was sent at `sent_us`.

        Ejects the endpoint if its failure rate reaches the threshold, or if it is shutting down and has no
        attempt in flight, unless too many endpoints would then be ejected.
        """
        if outcome is Outcome.REJECTED:
            endpoint.consecutive_rejections += 1
            if is_shutting_down(endpoint) and not endpoint.in_flight:
                self._eject(now_us, endpoint, EjectionReason.REJECTS_ATTEMPTS)
            return
        endpoint.consecutive_rejections = 0
        failed = 0.0 if outcome is Outcome.OK else 1.0
        self._total_failure_rate += TOTAL_FAILURE_RATE_WEIGHT * (failed - self._total_failure_rate)
        # Guards against a single interruption that fails all attempts in flight: they count as one failure.
        last_failure_us = endpoint.last_failure_us
        if not failed or last_failure_us is None or sent_us >= last_failure_us:
            endpoint.failure_rate += FAILURE_RATE_WEIGHT * (failed - endpoint.failure_rate)
        if failed:
            endpoint.last_failure_us = now_us
            threshold = EJECTION_FAILURE_RATE + TOTAL_FAILURE_RATE_SHARE * self._total_failure_rate
            if endpoint.failure_rate >= threshold:
                self._eject(now_us, endpoint, EjectionReason.FAILING)

    def _eject(self, now_us: int, endpoint: EndpointState, reason: EjectionReason) -> None:
        if _is_ejected(now_us, endpoint) or not self._may_eject_another(now_us, endpoint):
            return
        self.ejected.append(endpoint)
        self._impaired[endpoint] = None
        endpoint.ejection_count = _next_ejection_count(now_us, endpoint)
        duration_us = min(INITIAL_EJECTION_US * 2 ** (endpoint.ejection_count - 1), MAX_EJECTION_US)
        duration_us = int(duration_us * (MIN_JITTER + JITTER_RANGE * self._random.random()))
        endpoint.ejected_until_us = now_us + duration_us
        endpoint.failure_rate = 0.0
        self._actions.log_event(
            "endpoint_ejected", endpoint=endpoint.id, duration_s=duration_us / 1e6, reason=reason.value
        )

    def _may_eject_another(self, now_us: int, endpoint: EndpointState) -> bool:
        self.ejected = [
            other
            for other in self.ejected
            if other is not endpoint
            and other.ejected_until_us is not None
            and now_us < other.ejected_until_us + RECOVERY_US
        ]
        ejected_count = sum(_is_ejected(now_us, other) for other in self.ejected)
        return ejected_count + 1 <= MAX_EJECTED_SHARE * self._endpoints.ready_count


def _is_ejected(now_us: int, endpoint: EndpointState) -> bool:
    return endpoint.ejected_until_us is not None and now_us < endpoint.ejected_until_us


def _next_ejection_count(now_us: int, endpoint: EndpointState) -> int:
    if endpoint.ejected_until_us is None:
        return 1
    recovered_for_us = now_us - endpoint.ejected_until_us - RECOVERY_US
    return endpoint.ejection_count + 1 if recovered_for_us < EJECTION_RESET_US else 1
