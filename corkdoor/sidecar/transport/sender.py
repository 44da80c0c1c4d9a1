"""The output side of a stream transport."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from corkdoor.sidecar.transport.errors import MEMORY_SHORTAGE
from corkdoor.sidecar.transport.readiness_watch import ReadinessWatch
from corkdoor.sidecar.transport.states import SEND_TRANSITIONS, WRITER_TRANSITIONS, SendState, WriterState
from corkdoor.sidecar.transport.stream_protocol import StreamProtocol

if TYPE_CHECKING:
    from corkdoor.sidecar.transport.stream import StreamTransport

DEFAULT_HIGH_WATER_BYTES = 64 * 1024  # buffered bytes above which the protocol must pause writing
LOW_WATER_DIVISOR = 4  # writing may resume when the buffer is down to the high-water mark divided by this
OPEN, ENDING, ENDED = SendState  # module-level names: looking up enum members is slow
WRITABLE, PAUSED = WriterState


class Sender(ReadinessWatch):
    """Writes to a socket as much as the kernel accepts, and buffers the rest until there is room.

    Args:
        loop: the event loop.
        sock: the connected, non-blocking socket.
        protocol: is notified when to pause and when to resume writing.
        transport: is notified of errors, and when the buffer has been sent.
    """

    __slots__ = (
        "_high_water",
        "_low_water",
        "_protocol",
        "_socket",
        "_state",
        "_transport",
        "_writer_state",
        "buffer",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        protocol: StreamProtocol,
        transport: StreamTransport,
    ) -> None:
        super().__init__(loop, sock.fileno())
        self._state = OPEN
        self._writer_state = WRITABLE
        self.buffer = bytearray()
        self.set_high_water(DEFAULT_HIGH_WATER_BYTES)
        self._socket = sock
        self._protocol: StreamProtocol | None = protocol
        self._transport: StreamTransport | None = transport

    @property
    def is_open(self) -> bool:
        """Whether output is accepted."""
        return self._state is OPEN

    @property
    def is_ending(self) -> bool:
        """Whether the output ends after the buffer has been sent."""
        return self._state is ENDING

    def set_high_water(self, size: int) -> None:
        """Set the buffer size above which the protocol must pause; it may resume at a quarter of `size`."""
        self._high_water, self._low_water = size, size // LOW_WATER_DIVISOR

    def write(self, data: bytes) -> None:
        """Send as much as the kernel accepts now, and the rest when it has room."""
        if self._state is not OPEN or not data:
            return
        sent = 0 if self.buffer else self._send(data)
        if sent is None or sent == len(data):
            return
        self.buffer += memoryview(data)[sent:]
        self._start_watching()
        if self._writer_state is WRITABLE and len(self.buffer) > self._high_water:
            self._pause_writer()

    def end(self) -> None:
        """Accept no more output; buffered output is still sent."""
        if self._state is OPEN:
            self._set_state(ENDING)

    def shut_down(self) -> None:
        """Signal the end of output to the peer; the buffer must be empty."""
        self._set_state(ENDED)
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            self._fail(error)

    def discard(self) -> None:
        """Discard the buffered output, and send no more."""
        self.buffer.clear()
        self._stop_watching()
        if self._state is not ENDED:
            self._set_state(ENDED)

    def detach(self) -> None:
        """Drop the references to the protocol and the transport, which refer back to this object."""
        self._protocol = self._transport = None

    def _add_to_loop(self) -> None:
        self._loop.add_writer(self._descriptor, self._on_writable)

    def _remove_from_loop(self) -> None:
        self._loop.remove_writer(self._descriptor)

    def _on_retry(self) -> None:
        self._on_writable()

    def _send(self, data: bytes | bytearray) -> int | None:
        """Return the number of bytes that the kernel accepted, or None if the connection is broken."""
        try:
            return self._socket.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            if error.errno in MEMORY_SHORTAGE:
                self._retry_later()
                return 0
            self._fail(error)
            return None

    def _on_writable(self) -> None:
        if not self.buffer:
            return
        sent = self._send(self.buffer)
        if sent is None:
            return
        del self.buffer[:sent]
        if self._writer_state is PAUSED and len(self.buffer) <= self._low_water:
            self._resume_writer()
        if self.buffer:
            self._start_watching()
            return
        self._stop_watching()
        if self._transport is not None:
            self._transport.on_output_drained()

    def _pause_writer(self) -> None:
        self._writer_state = WRITER_TRANSITIONS.check(self._writer_state, PAUSED)
        if self._protocol is not None:
            self._protocol.pause_writing()

    def _resume_writer(self) -> None:
        self._writer_state = WRITER_TRANSITIONS.check(self._writer_state, WRITABLE)
        if self._protocol is not None:
            self._protocol.resume_writing()

    def _fail(self, error: Exception) -> None:
        if self._transport is not None:
            self._transport.fail(error)

    def _set_state(self, state: SendState) -> None:
        self._state = SEND_TRANSITIONS.check(self._state, state)
