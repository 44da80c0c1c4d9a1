"""Outcome feedback: passes the outcome of an attempt to the rules that use it.

Latencies are passed as shares of the request's latency objective. A rejection says that the endpoint is busy.
It counts as a fixed latency for the concurrency limit, and for no other rule that uses latencies. Latencies
and rejections of an outlier count neither for the concurrency limit of its pool nor for the latency ratio of
the instance.
"""

from __future__ import annotations

from corkdoor.load_report import LoadReport
from corkdoor.model import Outcome
from corkdoor.policy.idle_connections import IdleConnections
from corkdoor.policy.latency_ratio import LatencyRatio
from corkdoor.policy.outlier_ejection import OutlierEjection, is_shutting_down
from corkdoor.policy.overload import OverloadDetector
from corkdoor.policy.peer_latency import PeerLatency
from corkdoor.policy.request import Attempt, Request
from corkdoor.policy.retry_safety import WITHOUT_RESPONSE
from corkdoor.policy.token_buckets import TokenBuckets
from corkdoor.policy.unresponsive import UnresponsiveDetector

REJECTION_LATENCY_SHARE = 1.0  # a rejection counts as this share of the objective in the concurrency limit


class OutcomeFeedback:
    """Passes outcomes to the rules."""

    def __init__(
        self,
        idle: IdleConnections,
        overload: OverloadDetector,
        ejection: OutlierEjection,
        peers: PeerLatency,
        unresponsive: UnresponsiveDetector,
        ratio: LatencyRatio,
        buckets: TokenBuckets,
    ) -> None:
        self._idle = idle
        self._overload = overload
        self._ejection = ejection
        self._peers = peers
        self._unresponsive = unresponsive
        self._ratio = ratio
        self._buckets = buckets

    def record(
        self,
        now_us: int,
        request: Request,
        attempt: Attempt,
        elapsed_us: int,
        outcome: Outcome,
        load: LoadReport | None,
    ) -> None:
        """Record an attempt that ended after `elapsed_us`, and the load report of its response."""
        limit = attempt.pool.limit
        self._idle.record(attempt.idle_step, outcome, elapsed_us, limit.median, request.objective_us)
        if outcome not in WITHOUT_RESPONSE and outcome is not Outcome.NOT_SENT:
            attempt.endpoint.waiting_since_us = now_us
        if load is not None:
            limit.endpoints_report_load = True
            self._overload.record(now_us, request, attempt.endpoint, limit.unloaded_median, elapsed_us, load)
        if outcome is not Outcome.NOT_SENT and outcome is not Outcome.CANCELLED:
            self._record_result(now_us, request, attempt, elapsed_us, outcome)

    def _record_result(
        self, now_us: int, request: Request, attempt: Attempt, elapsed_us: int, outcome: Outcome
    ) -> None:
        endpoint, limit = attempt.endpoint, attempt.pool.limit
        latency_share = elapsed_us / request.objective_us
        has_latency = outcome is Outcome.OK or outcome is Outcome.TIMEOUT
        self._ejection.record(now_us, endpoint, attempt.sent_us, outcome)
        if has_latency:
            self._peers.record(endpoint, latency_share)
            self._unresponsive.set_usual_latency(limit.median, request.objective_us)
        # Outliers are left out: otherwise one slow endpoint would cause rejections while its peers are idle.
        if not self._peers.is_outlier(endpoint, latency_share):
            if has_latency:
                self._ratio.record(now_us, latency_share)
                limit.record(now_us, attempt.sent_us, latency_share)
            elif outcome is Outcome.REJECTED and not is_shutting_down(endpoint):
                limit.record(now_us, attempt.sent_us, REJECTION_LATENCY_SHARE)
        self._buckets.charge_latency(
            request.bucket, request.cost_ru, request.charged_ru, elapsed_us, outcome is Outcome.OK
        )
