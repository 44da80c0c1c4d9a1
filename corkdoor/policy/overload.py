"""Overloaded endpoints, by their own load reports: their share of the requests falls as the load rises.

A load report covers the requests of all instances together, and only the endpoint itself. The latency of an
attempt is less suitable: it consists mostly of the latency of the layers behind the endpoint.
"""

from __future__ import annotations

from corkdoor.load_report import LoadReport
from corkdoor.policy.endpoint_state import EndpointState, OrderedEndpoints
from corkdoor.policy.request import Request
from corkdoor.policy.service_times import ServiceTimes

OVERLOAD_THRESHOLD = 2.0  # above this load, an endpoint's share falls in inverse proportion to its load
MAX_LOAD = 30.0  # a higher load counts as this
LOAD_WEIGHT = 0.5  # weight of the newest report in the smoothed load
LOAD_HALF_LIFE_US = 1_000_000  # how fast old reports lose weight: endpoints with a small share seldom report


def share_by_load(now_us: int, endpoint: EndpointState) -> float:
    """Return the share of its requests that an endpoint may get according to its load, 0 to 1."""
    decay: float = 0.5 ** ((now_us - endpoint.load_updated_us) / LOAD_HALF_LIFE_US)
    return min(1.0, OVERLOAD_THRESHOLD / (1 + (endpoint.load - 1) * decay))


class OverloadDetector:
    """Computes the load of endpoints from their reports."""

    def __init__(self, service_times: ServiceTimes, impaired: OrderedEndpoints) -> None:
        self._service_times = service_times
        self._impaired = impaired

    def record(
        self,
        now_us: int,
        request: Request,
        endpoint: EndpointState,
        unloaded_median: float,
        elapsed_us: int,
        report: LoadReport,
    ) -> None:
        """Record the load report that came with a response.

        Args:
            now_us: when the response came.
            request: the request of the attempt.
            endpoint: the endpoint that sent the report.
            unloaded_median: the median latency of its pool while not overloaded, as a share of the objective.
            elapsed_us: how long the attempt took.
            report: the load report.
        """
        service_share = report.service_time_us / request.objective_us
        self._service_times.record(now_us, service_share)
        usual = self._service_times.usual
        if not usual:
            return
        if unloaded_median:  # The reported mean may lag behind: a faster attempt bounds the service time.
            latency_share = elapsed_us / request.objective_us
            service_share = min(service_share, max(usual, usual + latency_share - unloaded_median))
        in_service = max(1.0, report.requests_per_s * report.service_time_us / 1e6)
        load = min(MAX_LOAD, service_share / usual * (1 + report.queued_requests / in_service))
        endpoint.load += LOAD_WEIGHT * (load - endpoint.load)
        endpoint.load_updated_us = now_us
        if endpoint.load > OVERLOAD_THRESHOLD:
            self._impaired[endpoint] = None
