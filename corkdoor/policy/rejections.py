"""Rejections: their reasons, when they are legal, and the Retry-After that is sent with them."""

from __future__ import annotations

import random
from collections import Counter
from enum import Enum

from corkdoor.policy.request import Request
from corkdoor.policy.retry_safety import may_reject
from corkdoor.settings import Settings

MIN_RETRY_AFTER_SHARE = 0.5  # Retry-After is drawn between this share of the maximum and twice this share


class RejectionReason(Enum):
    """Why a request got a final response without a result."""

    EXPIRED = "expired"  # its client had given up when it arrived
    TOO_LATE = "too_late"  # a response in time was unlikely
    OVER_QUOTA = "over_quota"  # its tenant was over its quota while capacity was short
    QUEUE_DELAY = "queue_delay"  # requests had been waiting too long in the queue
    LOW_PRIORITY = "low_priority"  # it had low priority, and there was no capacity for it
    NO_TIME_TO_QUEUE = "no_time_to_queue"  # there was no capacity, and it had no time to wait for some
    QUEUE_TIMEOUT = "queue_timeout"  # it reached its longest wait in the queue
    ATTEMPTS_FAILED = "attempts_failed"  # its attempts failed, and no other attempt was allowed


class Rejections:
    """Counts rejections by reason, and decides their form: whether they are legal, and their Retry-After."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._random = rng
        self._counts: Counter[RejectionReason] = Counter()
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply the limits of Retry-After of the settings."""
        self._limits = settings.limits

    def record(self, reason: RejectionReason) -> None:
        """Count a request that gets a final response without a result."""
        self._counts[reason] += 1

    def take_counts(self) -> dict[RejectionReason, int]:
        """Return the counts since the last call of this method, and reset them."""
        counts = dict(self._counts)
        self._counts.clear()
        return counts

    @staticmethod
    def may_reject(request: Request) -> bool:
        """Return whether the request may be rejected: a rejection promises that it had no effect."""
        request_class = request.request_class
        may_have_run = request.first_run is not None or bool(request.outstanding)
        return may_reject(request_class.idempotency, request_class.deduplication_scope, may_have_run)

    def draw_retry_after_us(self) -> int | None:
        """Return the Retry-After of one rejection, in microseconds; None if none is sent.

        It is drawn separately for each rejection: otherwise clients would all retry at the same time.
        """
        limits = self._limits
        if not limits.retry_after_allowed:
            return None
        return int(limits.max_retry_after_us * MIN_RETRY_AFTER_SHARE * (1 + self._random.random()))
