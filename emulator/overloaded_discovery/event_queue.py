"""The clock of a simulation, and the actions that are scheduled on it."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from emulator.overloaded_discovery.scenario import S

START_US = 1_000 * S  # the clock's time at the start of a simulation


class EventQueue:
    """Actions at simulated times in microseconds; those at the same time run in the order they were added."""

    def __init__(self) -> None:
        self.now_us = START_US
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._last_serial = 0

    def call_after(self, delay_us: int, action: Callable[[], None]) -> None:
        """Run the action `delay_us` microseconds from now."""
        self._last_serial += 1
        heapq.heappush(self._heap, (self.now_us + delay_us, self._last_serial, action))

    def run(self, until_us: int) -> None:
        """Run all actions that are due by `until_us`, and set the clock to it."""
        while self._heap and self._heap[0][0] <= until_us:
            self.now_us, _, action = heapq.heappop(self._heap)
            action()
        self.now_us = until_us
