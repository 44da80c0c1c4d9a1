"""Peer latency: the latency of each endpoint relative to the mean latency of all endpoints.

Endpoints with a high relative latency are chosen less often. Endpoints far above their peers are outliers:
their latencies count neither for the latency ratio of the instance nor for the concurrency limit, because
that would reduce the requests to their peers too.
"""

from __future__ import annotations

from corkdoor.policy.endpoint_state import EndpointState

MEAN_WEIGHT = 0.02  # weight of the newest latency in the smoothed mean of all endpoints
RELATIVE_LATENCY_WEIGHT = 0.2  # weight of the newest latency in an endpoint's smoothed relative latency
MAX_RELATIVE_LATENCY = 4.0  # a latency counts as at most this many times longer or shorter than the mean
OUTLIER_RELATIVE_LATENCY = 2.0  # an endpoint with a relative latency above this may be an outlier


class PeerLatency:
    """Tracks the mean latency of all endpoints, as a share of the objective, and their relative latencies."""

    def __init__(self) -> None:
        self._mean_share = 0.0  # 0.0 before the first latency

    def record(self, endpoint: EndpointState, latency_share: float) -> None:
        """Record the latency of one attempt in the mean and in the endpoint's relative latency."""
        if not self._mean_share:
            self._mean_share = latency_share
        self._mean_share += MEAN_WEIGHT * (latency_share - self._mean_share)
        ratio = min(max(latency_share / self._mean_share, 1 / MAX_RELATIVE_LATENCY), MAX_RELATIVE_LATENCY)
        if endpoint.relative_latency is None:
            endpoint.relative_latency = 0.5 + 0.5 * ratio
        else:
            endpoint.relative_latency += RELATIVE_LATENCY_WEIGHT * (ratio - endpoint.relative_latency)

    def is_outlier(self, endpoint: EndpointState, latency_share: float) -> bool:
        """Return whether the endpoint is much slower than its peers, and this latency is above the mean."""
        ratio = endpoint.relative_latency
        return ratio is not None and ratio > OUTLIER_RELATIVE_LATENCY and latency_share > self._mean_share
