"""How long a watch lets discovery wait for a change before discovery responds without one.

Inputs: the results of the calls, and jitter. Returns the timeout of the next watch in milliseconds, which the
call states to discovery.

Discovery serves its calls one after another, so there should be few calls: each response doubles the timeout.
If the response to a watch is lost, that is detected only after the timeout of the watch. The timeout is
therefore short after a failure, and even shorter while responses get lost. Discovery responds to a poll at
once, so the time that a poll takes shows how busy discovery is.
"""

from __future__ import annotations

from corkdoor.model import WatchEventKind

FIRST_TIMEOUT_MS = 4_000
POLL_TIMEOUT_MS = 100  # timeout of a poll: a call to which discovery is to respond at once
MAX_TIMEOUT_MS = 30_000
LOSSY_TIMEOUT_MS = 1_000  # timeout of the first watch after an interruption, while responses get lost
LOSSY_PERIOD_US = 60_000_000  # after a lost response, others are expected to get lost during this time
MIN_TIMEOUT_SHARE = 0.75  # jitter shortens a timeout at most to this share


class WatchTimeout:
    """The timeout of the next watch."""

    def __init__(self) -> None:
        self._timeout_ms = FIRST_TIMEOUT_MS
        self._lossy_until_us: int | None = None

    def draw_ms(self, jitter: float) -> int:
        """Return the timeout of the next watch, in milliseconds.

        Jitter guards against instances that start in step: without it their watches would always end in step.

        Args:
            jitter: a random number from 0 to 1.
        """
        return int(self._timeout_ms * (MIN_TIMEOUT_SHARE + (1 - MIN_TIMEOUT_SHARE) * jitter))

    def on_response(self) -> None:
        """Lengthen the timeout after a response."""
        self._timeout_ms = max(FIRST_TIMEOUT_MS, min(2 * self._timeout_ms, MAX_TIMEOUT_MS))

    def on_start(self, poll_first: bool) -> None:
        """Make the next call a poll if `poll_first` is set."""
        if poll_first:
            self._timeout_ms = POLL_TIMEOUT_MS

    def on_failure(self, now_us: int, kind: WatchEventKind) -> None:
        """Shorten the timeout after a failed call.

        After a lost response, others are expected to get lost during `LOSSY_PERIOD_US`.
        """
        if kind is WatchEventKind.LOST:
            self._lossy_until_us = now_us + LOSSY_PERIOD_US
        self.on_interruption(now_us)

    def on_interruption(self, now_us: int) -> None:
        """Shorten the timeout if the next watch does not continue the last one.

        Changes may then have been missed.
        """
        lossy = self._lossy_until_us is not None and now_us < self._lossy_until_us
        self._timeout_ms = LOSSY_TIMEOUT_MS if lossy else FIRST_TIMEOUT_MS
