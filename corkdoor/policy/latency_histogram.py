"""A histogram of latencies with buckets of equal width on a logarithmic scale."""

from __future__ import annotations

import math

BUCKETS_PER_DOUBLING = 4  # the upper bound of a bucket is 19% above its lower bound
MIN_SHARE = 1 / 1024  # the shortest latency that is distinguished, as a share of the latency objective
BUCKET_COUNT = 64  # the longest latency that is distinguished is 64 times the objective


def bucket_index(share: float) -> int:
    """Return the bucket of a latency, given as a share of the latency objective."""
    if share <= MIN_SHARE:
        return 0
    return min(int(math.log2(share / MIN_SHARE) * BUCKETS_PER_DOUBLING), BUCKET_COUNT - 1)


class LatencyHistogram:
    """Counts latencies, given as shares of the latency objective of their request class.

    Attributes:
        counts: the number of latencies in each bucket.
        total: the number of latencies in all buckets.
    """

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * BUCKET_COUNT
        self.total = 0

    def add(self, share: float) -> None:
        """Count one latency."""
        self.add_to_bucket(bucket_index(share))

    def add_to_bucket(self, bucket: int) -> None:
        """Count one latency whose bucket is known."""
        self.counts[bucket] += 1
        self.total += 1

    def upper_quantile(self, share_above: float, older: LatencyHistogram | None = None) -> float:
        """Return the latency that a share of the samples exceeds, to the resolution of the buckets.

        Args:
            share_above: that share: 0.05 for the 95th percentile.
            older: a histogram whose samples are included.
        """
        remaining = share_above * (self.total + (older.total if older else 0))
        bucket = BUCKET_COUNT - 1
        while bucket > 0:
            remaining -= self.counts[bucket] + (older.counts[bucket] if older else 0)
            if remaining < 0:
                break
            bucket -= 1
        return float(MIN_SHARE * 2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING))
