"""Flow control of a client's input: pauses reading, and tracks since when input may wait in the kernel."""

from __future__ import annotations

from corkdoor.sidecar.clients.states import READ_TRANSITIONS, ReadState
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.transport.stream import StreamTransport

READING, PAUSED = ReadState  # module-level names: looking up enum members is slow


class ReadFlow:
    """Pauses and resumes reading from a client connection.

    Args:
        transport: the transport of the connection.
    """

    __slots__ = ("_state", "_transport", "_unread_since_us")

    def __init__(self, transport: StreamTransport) -> None:
        self._transport = transport
        self._state = READING
        self._unread_since_us: int | None = None  # since when input may be waiting in the kernel

    @property
    def is_paused(self) -> bool:
        """Whether reading is paused."""
        return self._state is PAUSED

    def unread_us(self) -> int:
        """Return for how long input may have waited in the kernel, in microseconds; 0: none waits."""
        if self._unread_since_us is None or not self.is_paused or not self._transport.has_input():
            return 0
        return now_us() - self._unread_since_us

    def pause(self) -> None:
        """Stop reading, and leave input in the kernel."""
        if self.is_paused or self._transport.is_closing():
            return
        self._state = READ_TRANSITIONS.check(self._state, PAUSED)
        if self._unread_since_us is None:
            self._unread_since_us = now_us()
        self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if not self.is_paused or self._transport.is_closing():
            return
        self._state = READ_TRANSITIONS.check(self._state, READING)
        if not self._transport.has_input():
            self._unread_since_us = None  # no input arrived while reading was paused
        self._transport.resume_reading()

    def record_read(self, size: int, read_us: int) -> int:
        """Record that `size` bytes of input were read at `read_us`.

        Returns:
            The earliest time at which that input may have arrived, in microseconds on the clock of `read_us`.
        """
        arrived_us = read_us if self._unread_since_us is None else self._unread_since_us
        if size < self._transport.read_bytes:
            self.record_empty(read_us)
        return arrived_us

    def record_empty(self, time_us: int) -> None:
        """Record that the kernel holds no input at this time."""
        self._unread_since_us = time_us if self.is_paused else None
