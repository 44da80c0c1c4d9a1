"""Retries: when another attempt follows one that failed, and the budget for retries and hedges."""

from __future__ import annotations

from corkdoor.model import Idempotency, Outcome
from corkdoor.policy.request import Request
from corkdoor.policy.retry_safety import NEVER_RAN
from corkdoor.settings import Settings

BUDGET_SHARE = 0.1  # retries and hedges that each first attempt adds to the budget
MAX_BUDGET = 5.0  # upper bound of the budget, in retries and hedges
MAX_ATTEMPTS_OUTERMOST = 3  # most attempts of one request in the outermost layer, the first one included
MAX_ATTEMPTS_INNER = 2  # most attempts in an inner layer: fewer, because retries of several layers multiply


class RetryBudget:
    """Limits retries and hedges to a share of the first attempts, so that faults don't multiply the load.

    Attributes:
        tokens: the number of retries and hedges left.
    """

    def __init__(self) -> None:
        self.tokens = MAX_BUDGET

    @property
    def has_token(self) -> bool:
        """Whether another retry or hedge is within the budget."""
        return self.tokens >= 1.0

    def refill(self) -> None:
        """Add `BUDGET_SHARE` of a token for a first attempt, up to `MAX_BUDGET` tokens."""
        self.tokens = min(MAX_BUDGET, self.tokens + BUDGET_SHARE)

    def take(self) -> bool:
        """Take the token of one retry or hedge; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RetryPolicy:
    """Decides on retries."""

    def __init__(self, settings: Settings, budget: RetryBudget) -> None:
        self._budget = budget
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply the maximum number of attempts of the settings, or that of the layer if it is lower."""
        own_limit = MAX_ATTEMPTS_INNER if settings.layer else MAX_ATTEMPTS_OUTERMOST
        self._max_attempts = min(own_limit, settings.limits.max_attempts)

    def take_retry(self, now_us: int, request: Request, outcome: Outcome) -> bool:
        """Return whether the request may be retried after this outcome; if so, take the retry's token."""
        unsafe = request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT
        if request.first_run is not None and unsafe:
            return False
        if len(request.attempts) >= self._max_attempts:
            return False
        if now_us >= request.respond_by_us - request.response_margin_us:
            return False
        # An attempt that never ran caused no load, so its retry doesn't count against the budget.
        return outcome in NEVER_RAN or self._budget.take()
