"""Limits how much input of clients is parsed only to be discarded, since parsing takes the time of others."""

from __future__ import annotations

MAX_BYTES = 4 << 20  # at once: as much as one client's kernel buffers by default
BYTES_PER_S = 256 << 10
REQUEST_BYTES = 512  # what a discarded request counts besides its bytes: it gets a response


class DiscardQuota:
    """A token bucket of input bytes, shared by all clients.

    Args:
        now_us: the current time, in microseconds.
    """

    __slots__ = ("_available_bytes", "_updated_us")

    def __init__(self, now_us: int) -> None:
        self._available_bytes = float(MAX_BYTES)
        self._updated_us = now_us

    def is_available(self, now_us: int) -> bool:
        """Whether input may be discarded at this time."""
        refill_bytes = BYTES_PER_S * (now_us - self._updated_us) / 1e6
        self._available_bytes = min(float(MAX_BYTES), self._available_bytes + refill_bytes)
        self._updated_us = now_us
        return self._available_bytes > 0

    def use(self, size: int) -> None:
        """Record that `size` bytes are discarded."""
        self._available_bytes -= size
