"""Flow control of a client's input: pausing, and since when input may have waited in the kernel."""

from __future__ import annotations

from corkdoor.sidecar.clients.states import READ_TRANSITIONS, ReadState
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.transport.receiver import READ_BYTES
from corkdoor.sidecar.transport.stream import StreamTransport

READING, PAUSED = ReadState  # bound once: members are slow to look up


class ReadFlow:
    """Pauses and resumes reading.

    Args:
        transport: the connection.
    """

    __slots__ = ("_state", "_transport", "_unread_since_us")

    def __init__(self, transport: StreamTransport) -> None:
        self._transport = transport
        self._state = READING
        self._unread_since_us: int | None = None  # from when on input may have waited in the kernel

    @property
    def is_paused(self) -> bool:
        """Whether nothing is read for now."""
        return self._state is PAUSED

    def pause(self) -> None:
        """Leave input in the kernel."""
        if self.is_paused or self._transport.is_closing():
            return
        self._state = READ_TRANSITIONS.check(self._state, PAUSED)
        if self._unread_since_us is None:
            self._unread_since_us = now_us()
        self._transport.pause_reading()

    def resume(self) -> None:
        """Read again."""
        if not self.is_paused or self._transport.is_closing():
            return
        self._state = READ_TRANSITIONS.check(self._state, READING)
        if not self._transport.has_input():
            self._unread_since_us = None  # nothing came meanwhile
        self._transport.resume_reading()

    def arrived_us(self, size: int, now: int) -> int:
        """When input of this size, read at `now`, came at the earliest; both in microseconds."""
        arrived_us = now if self._unread_since_us is None else self._unread_since_us
        if size < READ_BYTES:
            self._unread_since_us = None  # the kernel holds no more of it
        return arrived_us
