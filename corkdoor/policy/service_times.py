"""The usual service time that endpoints report, as a share of the latency objective.

Load reports contain service times. The usual service time is a low quantile of the recent reports, with an
upper bound, so that reports of overloaded endpoints don't raise it.
"""

from __future__ import annotations

from corkdoor.policy.latency_histogram import LatencyHistogram
from corkdoor.policy.latency_ratio import COMPUTE_INTERVAL_US, LONG_WINDOW_US, MIN_SAMPLES

USUAL_SHARE_ABOVE = 0.75  # share of the reported service times that exceed the usual service time
# Upper bound of the usual service time, as a share of the latency objective, divided by layer + 1.
MAX_USUAL_SHARE = 0.1


class ServiceTimes:
    """Estimates the usual service time of all endpoints together.

    Attributes:
        usual: the usual service time, as a share of the objective; 0.0 until there are enough reports.
        current_window: the reports of the current window.
    """

    def __init__(self, layer: int, now_us: int) -> None:
        self._max_usual = MAX_USUAL_SHARE / (layer + 1)
        self.reset(now_us)

    def reset(self, now_us: int) -> None:
        """Discard all samples: they are shares of latency objectives that have changed."""
        self.current_window, self._previous_window = LatencyHistogram(), LatencyHistogram()
        self._window_end_us = now_us + LONG_WINDOW_US
        self._next_compute_us = now_us
        self.usual = 0.0

    def record(self, now_us: int, service_time_share: float) -> None:
        """Record a reported service time, and compute the usual one if it is due."""
        self.current_window.add(service_time_share)
        if now_us < self._next_compute_us:
            return
        self._next_compute_us = now_us + COMPUTE_INTERVAL_US
        if now_us >= self._window_end_us:
            self._window_end_us = now_us + LONG_WINDOW_US
            self.current_window, self._previous_window = LatencyHistogram(), self.current_window
        if self.current_window.total + self._previous_window.total >= MIN_SAMPLES:
            self.usual = min(
                self._max_usual, self.current_window.upper_quantile(USUAL_SHARE_ABOVE, self._previous_window)
            )
