"""The input side of a stream transport."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import TYPE_CHECKING

from corkdoor.log_events import LogEvent
from corkdoor.sidecar.transport.errors import MEMORY_SHORTAGE
from corkdoor.sidecar.transport.readiness_watch import ReadinessWatch
from corkdoor.sidecar.transport.states import RECEIVE_TRANSITIONS, ReceiveState
from corkdoor.sidecar.transport.stream_protocol import StreamProtocol

if TYPE_CHECKING:
    from corkdoor.sidecar.transport.stream import StreamTransport

READ_BYTES = 16 * 1024  # maximum size of one read, unless the transport is given another
log = logging.getLogger(__name__)
READING, PAUSED, ENDED = ReceiveState  # module-level names: looking up enum members is slow


class Receiver(ReadinessWatch):
    """Reads a socket whenever it has input, and passes the input to the protocol.

    Args:
        loop: the event loop.
        sock: the connected, non-blocking socket.
        protocol: receives the input.
        transport: the transport to close at the end of input, or to fail after an error.
        read_bytes: the maximum size of one read.
    """

    __slots__ = ("_protocol", "_read_bytes", "_socket", "_state", "_transport")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        protocol: StreamProtocol,
        transport: StreamTransport,
        read_bytes: int,
    ) -> None:
        super().__init__(loop, sock.fileno())
        self._state = READING
        self._read_bytes = read_bytes
        self._socket = sock
        self._protocol: StreamProtocol | None = protocol
        self._transport: StreamTransport | None = transport

    def start(self) -> None:
        """Start to read, unless reading is paused or the input has ended."""
        if self._state is READING:
            self._start_watching()

    def pause(self) -> None:
        """Stop reading, and leave input in the kernel."""
        if self._state is READING:
            self._set_state(PAUSED)
            self._stop_watching()

    def resume(self) -> None:
        """Resume reading after `pause`."""
        if self._state is PAUSED:
            self._set_state(READING)
            self._start_watching()

    def read_now(self) -> bytes:
        """Return input that the kernel holds, also while reading is paused.

        Empty: there is none, or it has ended or failed. The end is reported once reading is resumed.
        """
        if self._state is ENDED:
            return b""
        try:
            return self._socket.recv(self._read_bytes)
        except OSError:
            return b""

    def end(self) -> None:
        """Stop reading for good."""
        if self._state is not ENDED:
            self._set_state(ENDED)
            self._stop_watching()

    def detach(self) -> None:
        """Drop the references to the protocol and the transport, which refer back to this object."""
        self._protocol = self._transport = None

    def _add_to_loop(self) -> None:
        self._loop.add_reader(self._descriptor, self._on_readable)

    def _remove_from_loop(self) -> None:
        self._loop.remove_reader(self._descriptor)

    def _on_retry(self) -> None:
        self.start()

    def _on_readable(self) -> None:
        protocol = self._protocol
        if self._state is not READING or protocol is None:
            return
        try:
            data = self._socket.recv(self._read_bytes)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if error.errno in MEMORY_SHORTAGE:
                self._retry_later()
            else:
                self._fail(error)
            return
        try:
            if data:
                protocol.data_received(data)
            else:
                self._on_end_of_input(protocol)
        except Exception as error:
            log.exception(LogEvent("input_handler_failed"))
            self._fail(error)

    def _on_end_of_input(self, protocol: StreamProtocol) -> None:
        self.end()
        if not protocol.eof_received() and self._transport is not None:
            self._transport.close()

    def _fail(self, error: Exception) -> None:
        if self._transport is not None:
            self._transport.fail(error)

    def _set_state(self, state: ReceiveState) -> None:
        self._state = RECEIVE_TRANSITIONS.check(self._state, state)
