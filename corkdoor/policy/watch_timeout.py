"""How long a watch asks discovery to wait for news."""

from __future__ import annotations

from corkdoor.model import WatchEventKind

FIRST_MS = 4_000
LONGEST_MS = 30_000
LOSSY_MS = 1_000  # after a lost answer, and after any failure for so long:
LOSSY_US = 60_000_000
LEAST_SHARE = 0.75  # of a wait, that is drawn


class WatchWaits:
    """The wait of the next watch.

    Discovery works through its calls in turn, so they should be few: each answer doubles the wait. A watch
    whose answer is lost is found only once its wait is over. What it would have told counts later where it
    was open all the while; the first after a failure, or a pause, is short.
    """

    def __init__(self) -> None:
        self.wait_ms = FIRST_MS
        self.lossy_until_us = 0

    def draw(self, chance: float) -> int:
        """The next wait in ms; `chance` is drawn from 0..1.

        Guards against sidecars that began in step: their watches would end in step for good.
        """
        return int(self.wait_ms * (LEAST_SHARE + (1 - LEAST_SHARE) * chance))

    def answered(self) -> None:
        """A call was answered."""
        self.wait_ms = max(FIRST_MS, min(2 * self.wait_ms, LONGEST_MS))

    def failed(self, now_us: int, form: WatchEventKind) -> None:
        """A call has failed."""
        if form is WatchEventKind.LOST:
            self.lossy_until_us = now_us + LOSSY_US
        self.interrupted(now_us)

    def interrupted(self, now_us: int) -> None:
        """The next watch does not carry on the last one: changes between the two may have been missed."""
        self.wait_ms = LOSSY_MS if now_us < self.lossy_until_us else FIRST_MS
