"""The monotonic clock in integer microseconds, and timers that never expire early."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

# Unix time minus monotonic time, read only once so that setting the system clock does not look like a restart
# of the endpoints. Endpoint lists state start times in Unix time: converted with a new offset for each list,
# the start times would change whenever the clock is set.
UNIX_OFFSET_US = (time.time_ns() - time.monotonic_ns()) // 1000
TIMER_SLACK_S = 0.0005  # half of the event loop's resolution of 1 ms, to which it rounds delays


def now_us() -> int:
    """Return the time of the monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1000


class DeadlineTimer:
    """Runs a callback once the clock has reached `due_us`.

    The event loop keeps time in whole milliseconds and rounds delays, so the callback of a plain `call_later`
    may run up to one millisecond early. It would then find that its own deadline has not passed yet.

    Args:
        due_us: when to run the callback, on the clock of `now_us`.
        callback: called once, on the event loop, unless the timer is cancelled before.
    """

    __slots__ = ("_callback", "_handle", "due_us")

    def __init__(self, due_us: int, callback: Callable[[], object]) -> None:
        self.due_us = due_us
        self._callback = callback
        self._schedule()

    def _schedule(self) -> None:
        delay_s = max(0, self.due_us - now_us()) / 1e6
        self._handle = asyncio.get_running_loop().call_later(delay_s + TIMER_SLACK_S, self._on_timer)

    def _on_timer(self) -> None:
        if now_us() < self.due_us:
            self._schedule()
        else:
            self._callback()

    def cancel(self) -> None:
        """Cancel the timer: the callback is not called."""
        self._handle.cancel()
