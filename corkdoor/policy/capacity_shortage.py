"""Capacity shortage: the share of recent requests within their quota that found no capacity on arrival."""

from __future__ import annotations

RATE_WEIGHT = 0.1  # weight of the newest request in the smoothed rate
SHORTAGE_RATE = 0.2  # capacity is short while the rate is above this, even if the latency ratio is normal


class CapacityShortage:
    """Tracks the capacity shortage.

    Attributes:
        rate: the share of recent requests that found no capacity, smoothed.
    """

    def __init__(self) -> None:
        self.rate = 0.0

    def record(self, sent_at_once: bool) -> None:
        """Record whether a request within its tenant's quota found capacity on arrival."""
        self.rate += RATE_WEIGHT * ((not sent_at_once) - self.rate)

    @property
    def is_short(self) -> bool:
        """Whether the share of requests that found no capacity is above `SHORTAGE_RATE`."""
        return self.rate > SHORTAGE_RATE
