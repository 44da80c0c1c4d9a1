"""Admission: sets the cost and priority of an arriving request, and decides whether to reject it at once.

Costs are in request units (RU). Under latency pressure, which `latency_ratio` computes, requests of low
priority cost more, so they exceed their tenant's quota sooner. Only the outermost layer sheds load: rejecting
a request in an inner layer would waste the work that the outer layers have already done for it.
"""

from __future__ import annotations

from corkdoor.policy.capacity_shortage import CapacityShortage
from corkdoor.policy.client_timeouts import UsualTimeout
from corkdoor.policy.latency_ratio import LatencyRatio
from corkdoor.policy.priorities import Priorities
from corkdoor.policy.rejections import RejectionReason
from corkdoor.policy.request import Request
from corkdoor.policy.request_queue import RequestQueue
from corkdoor.policy.token_buckets import BASE_COST_RU
from corkdoor.settings import Settings

HINT_COST_RU_PER_US = 1e-5  # cost per microsecond of the cost hint: a hint of 100 ms doubles the base cost
MAX_PRESSURE_PENALTY = 3.0  # at a latency pressure of 1, a request of weight 0 costs (1 + this) times as much
TOO_LATE_SHARE = 0.5  # a request with at most this share of the median latency left is too late


class Admission:
    """Decides on arriving requests.

    Attributes:
        usual_timeouts: the estimate of the usual client timeout, by class name.
    """

    def __init__(
        self,
        settings: Settings,
        priorities: Priorities,
        ratio: LatencyRatio,
        queue: RequestQueue,
        shortage: CapacityShortage,
    ) -> None:
        self._priorities = priorities
        self._ratio = ratio
        self._queue = queue
        self._shortage = shortage
        self.usual_timeouts: dict[str, UsualTimeout] = {}
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply the classes of the settings; classes that stay keep their estimates of client timeouts."""
        self._outermost = settings.layer == 0
        previous = self.usual_timeouts
        self.usual_timeouts = {c.name: previous.get(c.name) or UsualTimeout() for c in settings.classes}

    def set_cost_and_priority(self, request: Request, cost_hint_us: int | None) -> float:
        """Set a request's cost, quota state and priority; return its cost under latency pressure, in RU."""
        class_name = request.request_class.name
        weight = self._priorities.weights[self._priorities.find(class_name, False)]
        request.cost_ru = BASE_COST_RU + HINT_COST_RU_PER_US * (cost_hint_us or 0)
        adjusted_cost_ru = request.cost_ru * (
            1 + MAX_PRESSURE_PENALTY * self._ratio.pressure() * (1 - weight)
        )
        request.over_quota = request.bucket.tokens_ru < adjusted_cost_ru
        request.priority = self._priorities.find(class_name, request.over_quota)
        return adjusted_cost_ru

    def process_arrival(self, now_us: int, request: Request, timeout_us: int) -> RejectionReason | None:
        """Record an arriving request's timeout; return why it is rejected before any attempt, or None.

        Where a late response has no value, this also limits the request's `respond_by_us` to the end of its
        latency objective, counted from when its client first sent it.
        """
        age_us = self._record_timeout(request, timeout_us)
        if timeout_us <= 0:
            return RejectionReason.EXPIRED
        if not request.request_class.late_answer_value:
            # A response after the objective has no value, so the objective acts as the deadline.
            request.respond_by_us = min(request.respond_by_us, now_us + request.objective_us - age_us)
            if self._is_too_late(now_us, request):
                return RejectionReason.TOO_LATE
        if not self._outermost:
            return None
        if request.over_quota and (self._ratio.pressure() > 0 or self._shortage.is_short):
            return RejectionReason.OVER_QUOTA
        if self._queue.rejects_arrivals(now_us):
            return RejectionReason.QUEUE_DELAY
        return None

    def _record_timeout(self, request: Request, timeout_us: int) -> int:
        """Record the request's timeout; return how long ago its client first sent it, 0 in inner layers."""
        if not self._outermost:
            return 0
        request_class = request.request_class
        return self.usual_timeouts[request_class.name].record_timeout(timeout_us, request_class.deadline_us)

    @staticmethod
    def _is_too_late(now_us: int, request: Request) -> bool:
        """Return whether the request has so little time left that a response in time is unlikely."""
        min_share = request.placement.local.limit.median * TOO_LATE_SHARE
        return request.respond_by_us - now_us <= request.objective_us * min_share

    @staticmethod
    def charge(request: Request, adjusted_cost_ru: float) -> None:
        """Charge an admitted request to its tenant, unless the tenant is over its quota."""
        if request.over_quota:
            return
        request.bucket.tokens_ru -= adjusted_cost_ru
        request.charged_ru = adjusted_cost_ru

    def may_skip_queue(self, request: Request) -> bool:
        """Return whether the request may be sent before the requests that are queued.

        Requests of low priority may: they don't queue behind others, and only a part of the capacity is
        open to them.
        """
        return not self._queue.count or self._priorities.is_low(request.priority)

    def unsent_rejection_reason(self, request: Request) -> RejectionReason | None:
        """Return why a request that found no capacity is rejected instead of queued, or None."""
        if not self._outermost or not self._priorities.is_low(request.priority):
            return None
        if self._ratio.pressure() > 0 or self._queue.count:
            return RejectionReason.LOW_PRIORITY
        return None
