"""Debouncing of changes of discovery's address.

Input: the time at which each change is applied. Returns the delay until the new address is polled in
microseconds. If the address changes several times in a row, only the last address is polled, since each first
call costs discovery a complete list.
"""

from __future__ import annotations

# An address that comes sooner than this after another is polled with a delay, which has the same length.
SETTLE_US = 300_000


class AddressDebounce:
    """Delays the first poll of an address that comes soon after another."""

    def __init__(self) -> None:
        self.settled_at_us: int | None = None

    def take_delay_us(self, now_us: int) -> int:
        """Record a change of the address, and return the delay of its first poll, in microseconds."""
        settling = self.settled_at_us is not None and now_us < self.settled_at_us
        self.settled_at_us = now_us + SETTLE_US
        return SETTLE_US if settling else 0
