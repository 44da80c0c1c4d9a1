"""A queue of timed actions that uses a single timer of the event loop."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable


class TimerQueue:
    """Actions at monotonic times; those at the same time run in the order they were added."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._last_serial = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_s = 0.0

    def call_at(self, when_s: float, action: Callable[[], None]) -> None:
        """Run the action at a monotonic time in seconds."""
        self._last_serial += 1
        heapq.heappush(self._heap, (when_s, self._last_serial, action))
        self._update_timer()

    def clear(self) -> None:
        """Drop all actions."""
        self._heap.clear()
        self._update_timer()

    def _update_timer(self) -> None:
        next_s = self._heap[0][0] if self._heap else None
        if self._timer is not None:
            if next_s is not None and next_s >= self._timer_at_s:
                return
            self._timer.cancel()
            self._timer = None
        if next_s is not None:
            self._timer_at_s = next_s
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, next_s - time.monotonic()), self._run_due)

    def _run_due(self) -> None:
        self._timer = None
        while self._heap and self._heap[0][0] <= time.monotonic():
            heapq.heappop(self._heap)[2]()
        self._update_timer()
