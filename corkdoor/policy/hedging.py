"""Hedged requests: a second attempt is sent when the first one takes much longer than usual.

A hedge guards against an endpoint that stalls on an idempotent request. Only the outermost layer hedges,
because hedges of several layers would multiply. A hedge is sent only without latency pressure, with an empty
request queue and with a retry token left.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from corkdoor.model import Idempotency
from corkdoor.policy.latency_ratio import LatencyRatio
from corkdoor.policy.request import Request
from corkdoor.policy.request_queue import RequestQueue
from corkdoor.policy.retries import RetryBudget
from corkdoor.settings import Settings

HEDGE_DELAY_MEDIANS = 3.0  # a hedge is due when the first attempt has taken this many median latencies


class PendingHedge(NamedTuple):
    """A request, and when its hedge is due."""

    due_us: int
    request: Request


class Hedging:
    """Decides on hedged requests.

    Attributes:
        pending: the scheduled hedges, in the order in which their requests were sent.
    """

    def __init__(
        self, settings: Settings, ratio: LatencyRatio, queue: RequestQueue, budget: RetryBudget
    ) -> None:
        self._ratio = ratio
        self._queue = queue
        self._budget = budget
        self.pending: deque[PendingHedge] = deque()
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply the settings that say whether hedges are allowed."""
        self._allowed = settings.limits.hedging_allowed and settings.layer == 0

    def schedule(self, now_us: int, request: Request, usual_latency_us: float) -> bool:
        """Schedule the hedge of a request whose first attempt is sent now; return whether it may have one."""
        if not usual_latency_us or not self._allowed:
            return False
        if request.request_class.idempotency is not Idempotency.IDEMPOTENT:
            return False
        self.pending.append(PendingHedge(now_us + int(HEDGE_DELAY_MEDIANS * usual_latency_us), request))
        return True

    def pop_due(self, now_us: int) -> Request | None:
        """Remove and return the next request whose hedge is due, or None."""
        if self.pending and self.pending[0].due_us <= now_us:
            return self.pending.popleft().request
        return None

    def drop_unneeded(self) -> None:
        """Remove pending hedges from the front, as long as their requests need no response any more."""
        while self.pending and self.pending[0].request.needs_no_response:
            self.pending.popleft()

    def allows(self, request: Request) -> bool:
        """Return whether a hedge that is due may be sent now."""
        if (
            not self._allowed
            or request.needs_no_response
            or len(request.attempts) != 1
            or not request.outstanding
        ):
            return False
        return self._ratio.pressure() <= 0 and not self._queue.count and self._budget.has_token
