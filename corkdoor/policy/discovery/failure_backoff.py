"""Exponential backoff with jitter after a failed call to discovery.

Inputs: how the call failed, how long it took, and jitter. Returns the backoff before the next call in
microseconds.

An interval counts from the start of the failed call, so that slow failures do not lengthen it, and doubles up
to a limit. After a rejection the intervals are longer and spread less: discovery serves its calls one after
another, so instances that poll sooner, or in step, keep it from recovering.
"""

from __future__ import annotations

from enum import Enum

from corkdoor.model import WatchEventKind
from corkdoor.policy.discovery.poll_limits import (
    FIRST_INTERVAL_US,
    MAX_INTERVAL_REJECTED_US,
    MAX_INTERVAL_US,
    PollLimits,
)
from corkdoor.state_machine import TransitionTable

# Longest backoff interval after a failure at a new address. It is shorter than MAX_INTERVAL_US, because
# changes at a new address are considered notified earlier.
MAX_INTERVAL_NEW_ADDRESS_US = 1_000_000
MAX_INTERVAL_NEW_ADDRESS_REJECTED_US = MAX_INTERVAL_REJECTED_US // 2
MIN_BACKOFF_US = 100_000  # backoff, before jitter, after a call that took as long as the interval, or longer
MIN_SHARE_FAILED = 0.5  # jitter shortens the interval after a failure at most to this share
MIN_SHARE_REJECTED = 0.75  # jitter shortens the interval after a rejection at most to this share


class BackoffPhase(Enum):
    """What happened to the calls since the last response."""

    NONE_FAILED = "none_failed"
    RETRYING = "retrying"
    NEW_ADDRESS = "new_address"  # discovery has another address, which has not responded yet


BACKOFF_TRANSITIONS = TransitionTable(
    "discovery_backoff",
    {
        BackoffPhase.NONE_FAILED: frozenset(BackoffPhase),
        BackoffPhase.RETRYING: frozenset(BackoffPhase),
        BackoffPhase.NEW_ADDRESS: frozenset((BackoffPhase.NONE_FAILED, BackoffPhase.NEW_ADDRESS)),
    },
)


class FailureBackoff:
    """The interval to the next call, which grows with each failure.

    Attributes:
        limits: the longest intervals between the starts of two calls.
        phase: what happened to the calls since the last response.
        interval_us: the next interval before jitter and limits, in microseconds.
    """

    def __init__(self, limits: PollLimits) -> None:
        self.limits = limits
        self.phase = BackoffPhase.NONE_FAILED
        self.interval_us = FIRST_INTERVAL_US

    def on_response(self) -> None:
        """Start over: discovery has responded."""
        self._restart(BackoffPhase.NONE_FAILED)

    def on_address_changed(self) -> None:
        """Start over at another address."""
        self._restart(BackoffPhase.NEW_ADDRESS)

    def on_failure(self) -> None:
        """Record a failed call."""
        if self.phase is not BackoffPhase.NEW_ADDRESS:
            self.phase = BACKOFF_TRANSITIONS.check(self.phase, BackoffPhase.RETRYING)

    def take_backoff_us(
        self, kind: WatchEventKind, spent_us: int, was_immediate_retry: bool, jitter: float
    ) -> int:
        """Return the backoff after a failed call, in microseconds, and lengthen the next one.

        Args:
            kind: how the call failed.
            spent_us: how long it took to fail, in microseconds.
            was_immediate_retry: whether the failed call was an immediate retry. A call that was no retry of
                any kind is a watch. Its duration is not deducted, because it may have been open for long.
            jitter: a random number from 0 to 1.
        """
        if kind is WatchEventKind.REJECTED:
            min_share, interval_us = MIN_SHARE_REJECTED, self._rejected_interval_us()
        else:
            min_share, interval_us = MIN_SHARE_FAILED, self._failed_interval_us()
        share = min_share + (1 - min_share) * jitter
        deducted_us = spent_us if was_immediate_retry or self.phase is not BackoffPhase.NONE_FAILED else 0
        self.interval_us = min(2 * self.interval_us, MAX_INTERVAL_US)
        self.on_failure()
        return max(int(interval_us * share) - deducted_us, int(MIN_BACKOFF_US * share))

    def _failed_interval_us(self) -> int:
        interval_us = min(self.interval_us, self.limits.after_failure_us)
        if self.phase is BackoffPhase.NEW_ADDRESS:
            return min(interval_us, MAX_INTERVAL_NEW_ADDRESS_US)
        return interval_us

    def _rejected_interval_us(self) -> int:
        # The growing interval is not used here, except at a new address. It would let instances return in
        # step to a discovery that lets calls wait before it rejects them, and that would then respond to none
        # of them in time.
        if self.phase is BackoffPhase.NONE_FAILED:
            return min(self.limits.after_rejection_us, MAX_INTERVAL_US)
        limit_us = min(self.limits.after_rejection_us, MAX_INTERVAL_REJECTED_US)
        if self.phase is BackoffPhase.NEW_ADDRESS:
            return min(limit_us, self.interval_us, MAX_INTERVAL_NEW_ADDRESS_REJECTED_US)
        return limit_us

    def _restart(self, phase: BackoffPhase) -> None:
        self.phase = BACKOFF_TRANSITIONS.check(self.phase, phase)
        self.interval_us = FIRST_INTERVAL_US
