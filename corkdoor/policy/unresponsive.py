"""Unresponsive endpoints: those that accept requests without responding get a small share of the requests.

Without this rule, capacity would be lost to such endpoints until their attempts time out.
"""

from __future__ import annotations

from corkdoor.policy.endpoint_state import EndpointState

MAX_SILENCE_MEDIANS = 3.0  # an endpoint is unresponsive after this many median latencies without a response
MIN_IN_FLIGHT = 2  # least attempts in flight at an unresponsive endpoint: a single one may just be slow
UNRESPONSIVE_SHARE = 0.1  # the share of its requests that an unresponsive endpoint gets


class UnresponsiveDetector:
    """Tracks how long an endpoint may go without a response, and decides which endpoints are unresponsive."""

    def __init__(self) -> None:
        self._max_silence_us: int | None = None  # None: no median latency is known

    def set_usual_latency(self, median_share: float, objective_us: int) -> None:
        """Set the longest time without a response from the median latency of the newest attempt's pool.

        Args:
            median_share: that median, as a share of the objective; 0.0 where it is unknown.
            objective_us: the latency objective of the attempt's request, in microseconds.
        """
        if median_share:
            self._max_silence_us = int(MAX_SILENCE_MEDIANS * median_share * objective_us)

    def is_unresponsive(self, now_us: int, endpoint: EndpointState) -> bool:
        """Return whether enough attempts are in flight there, and too long has passed without a response."""
        if endpoint.in_flight < MIN_IN_FLIGHT or self._max_silence_us is None:
            return False
        return self._max_silence_us < now_us - endpoint.waiting_since_us
