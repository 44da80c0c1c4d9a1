"""The latency ratio: the long-term 95th percentile of latencies divided by the short-term one.

Its inputs are latencies as shares of the latency objective. The ratio is near 1 in the normal state and
falls when latencies rise. Below `PRESSURE_RATIO` there is latency pressure, from 0 to 1, and requests of low
priority cost more at admission. This ratio is one value for the whole instance; the latency of one endpoint
relative to its peers is computed in `peer_latency`.
"""

from __future__ import annotations

from corkdoor.policy.latency_histogram import LatencyHistogram, bucket_index

SHORT_WINDOW_US = 1_500_000  # the short-term percentile covers one to two windows of this length
LONG_WINDOW_US = 20_000_000  # the long-term percentile covers one to two windows of this length
COMPUTE_INTERVAL_US = 250_000  # how often the ratio is computed
SHARE_ABOVE_P95 = 0.05
MIN_SAMPLES = 12  # with fewer short-term samples, a few long requests would move the percentile
MAX_NORMAL_SHARE = 0.5  # latencies above this share of the objective never count as the normal state
PRESSURE_RATIO = 0.7  # there is latency pressure while the ratio is below this


class LatencyRatio:
    """Computes the latency ratio over all requests of the instance.

    Attributes:
        value: the ratio; 1.0 while there are fewer than `MIN_SAMPLES` short-term samples.
    """

    def __init__(self, now_us: int) -> None:
        self.reset(now_us)

    def reset(self, now_us: int) -> None:
        """Discard all samples: they are shares of latency objectives that have changed."""
        self._short = (LatencyHistogram(), LatencyHistogram())  # current and previous window
        self._long = (LatencyHistogram(), LatencyHistogram())
        self._short_end_us = now_us + SHORT_WINDOW_US
        self._long_end_us = now_us + LONG_WINDOW_US
        self._next_compute_us = now_us + COMPUTE_INTERVAL_US
        self.value = 1.0

    def record(self, now_us: int, latency_share: float) -> None:
        """Record a latency, and compute the ratio if it is due."""
        bucket = bucket_index(latency_share)
        self._short[0].add_to_bucket(bucket)
        self._long[0].add_to_bucket(bucket)
        if now_us >= self._next_compute_us:
            self._update_value(now_us)

    def _update_value(self, now_us: int) -> None:
        self._next_compute_us = now_us + COMPUTE_INTERVAL_US
        self._rotate(now_us)
        if self._short[0].total + self._short[1].total < MIN_SAMPLES:
            self.value = 1.0
            return
        # Guards against a start during overload, when the long-term latencies would look normal.
        normal = min(self._long[0].upper_quantile(SHARE_ABOVE_P95, self._long[1]), MAX_NORMAL_SHARE)
        self.value = normal / self._short[0].upper_quantile(SHARE_ABOVE_P95, self._short[1])

    def _rotate(self, now_us: int) -> None:
        """Start new windows if the current ones have ended."""
        if now_us >= self._short_end_us:
            stale = now_us >= self._short_end_us + SHORT_WINDOW_US
            self._short_end_us = now_us + SHORT_WINDOW_US
            self._short = (LatencyHistogram(), LatencyHistogram() if stale else self._short[0])
        if now_us >= self._long_end_us:
            self._long_end_us = now_us + LONG_WINDOW_US
            self._long = (LatencyHistogram(), self._long[0])

    def pressure(self) -> float:
        """Return the latency pressure: 0 while the ratio is at least `PRESSURE_RATIO`, up to 1 below it."""
        return max(0.0, 1.0 - self.value / PRESSURE_RATIO)
