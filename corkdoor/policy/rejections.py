"""Rejections: their reasons, and the Retry-After that goes with them."""

from __future__ import annotations

import random
from collections import Counter
from enum import Enum

from corkdoor.policy.request import Request
from corkdoor.policy.retry_safety import may_reject
from corkdoor.settings import Settings

MIN_RETRY_AFTER_SHARE = 0.5  # Retry-After is drawn from this share of the greatest, up to twice it


class RejectionReason(Enum):
    """Why a request was answered without a result."""

    EXPIRED = "expired"  # its client had given up when it arrived
    TOO_LATE = "too_late"  # no answer could come in time
    OVER_QUOTA = "over_quota"  # its tenant was over its quota while capacity was short
    QUEUE_DELAY = "queue_delay"  # requests waited in the queue for too long
    LOW_PRIORITY = "low_priority"  # it was of low priority while there was no capacity for it
    NO_TIME_TO_QUEUE = "no_time_to_queue"  # it could not wait for capacity
    QUEUE_TIMEOUT = "queue_timeout"  # it waited in the queue for as long as it could
    ATTEMPTS_FAILED = "attempts_failed"  # its attempts failed, and no other one was allowed


class Rejections:
    """Counts rejections and decides their form."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._random = rng
        self._counts: Counter[RejectionReason] = Counter()
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Take the limits of Retry-After from the settings."""
        self._limits = settings.limits

    def record(self, reason: RejectionReason) -> None:
        """Count a request that is answered without a result."""
        self._counts[reason] += 1

    def take_counts(self) -> dict[RejectionReason, int]:
        """Return the counts since the last call."""
        counts = dict(self._counts)
        self._counts.clear()
        return counts

    @staticmethod
    def may_reject(request: Request) -> bool:
        """Return whether a rejection, with its promise of no effect, is a legal answer."""
        request_class = request.request_class
        may_have_run = request.first_run is not None or bool(request.outstanding)
        return may_reject(request_class.idempotency, request_class.deduplication_scope, may_have_run)

    def draw_retry_after_us(self) -> int | None:
        """Return the Retry-After of one rejection, None where none is sent.

        It is drawn anew each time, or clients would come back together.
        """
        limits = self._limits
        if not limits.retry_after_allowed:
            return None
        return int(limits.max_retry_after_us * MIN_RETRY_AFTER_SHARE * (1 + self._random.random()))
