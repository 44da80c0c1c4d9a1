"""Capacity shortage: the share of recent requests within their quota that found no capacity on arrival."""

from __future__ import annotations

RATE_WEIGHT = 0.1  # weight of the newest request
SHORTAGE_RATE = 0.2  # above this, capacity is short, even where the latency ratio looks normal


class CapacityShortage:
    """Follows the shortage.

    Attributes:
        rate: the share of recent requests that found no capacity, smoothed.
    """

    def __init__(self) -> None:
        self.rate = 0.0

    def record(self, sent_at_once: bool) -> None:
        """Count a request within its quota."""
        self.rate += RATE_WEIGHT * ((not sent_at_once) - self.rate)

    @property
    def is_short(self) -> bool:
        """Whether capacity is short."""
        return self.rate > SHORTAGE_RATE
