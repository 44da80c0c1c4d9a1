"""Immediate retries after a response of discovery was lost.

Inputs: how each call failed, and jitter. Returns the delay of the next call in microseconds, or None if
another rule decides.

The changes that a lost response held are considered notified soon after it. The calls that follow it are
therefore retried without backoff, however they fail. This applies to a few calls only, after which the
lost response is no longer urgent.
"""

from __future__ import annotations

from corkdoor.model import WatchEventKind

MAX_IMMEDIATE_RETRIES = 2
REJECTED_DELAY_US = 220_000  # least delay after a rejected call: discovery is busy
REJECTED_JITTER_SHARE = 0.4  # jitter adds up to this share of the delay after a rejected call


class ImmediateRetry:
    """Counts consecutive immediate retries."""

    def __init__(self) -> None:
        self.count = 0

    def reset(self) -> None:
        """Reset the count of retries, after a response or a change of the address."""
        self.count = 0

    def take_delay_us(self, kind: WatchEventKind, jitter: float) -> int | None:
        """Count a failed call, and return the delay of the next call, in microseconds.

        Returns None if no immediate retry is due.

        Args:
            kind: how the call failed.
            jitter: a random number from 0 to 1.
        """
        due = kind is WatchEventKind.LOST or self.count > 0
        if not due or self.count >= MAX_IMMEDIATE_RETRIES:
            self.count = 0
            return None
        self.count += 1
        if kind is WatchEventKind.REJECTED:
            return int(REJECTED_DELAY_US * (1 + REJECTED_JITTER_SHARE * jitter))
        return 0
