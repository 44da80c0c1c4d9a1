"""The transport of a connected stream socket, with the methods of `asyncio.Transport` that are used here."""

from __future__ import annotations

import asyncio
import socket

from corkdoor.sidecar.error_references import drop_references
from corkdoor.sidecar.transport.receiver import READ_BYTES, Receiver
from corkdoor.sidecar.transport.sender import Sender
from corkdoor.sidecar.transport.socket_poller import INPUT, PEER_CLOSED, SocketPoller
from corkdoor.sidecar.transport.states import TRANSPORT_TRANSITIONS, TransportState
from corkdoor.sidecar.transport.stream_protocol import StreamProtocol

OPEN, CLOSING, CLOSED = TransportState  # module-level names: looking up enum members is slow


class StreamTransport:
    """Carries bytes between a socket and its protocol until either side, or an error, ends the connection.

    Args:
        loop: the event loop.
        sock: the connected, non-blocking socket; the transport closes it.
        protocol: the user of the connection.
        read_bytes: the maximum size of one read.
    """

    __slots__ = (
        "_loop",
        "_poller",
        "_protocol",
        "_receiver",
        "_sender",
        "_socket",
        "_state",
        "read_bytes",
        "write",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        protocol: StreamProtocol,
        read_bytes: int = READ_BYTES,
    ) -> None:
        self._loop = loop
        self._socket = sock
        self._protocol: StreamProtocol | None = protocol
        self._poller = SocketPoller(sock)
        self._state = OPEN
        self.read_bytes = read_bytes
        self._receiver = Receiver(loop, sock, protocol, self, read_bytes)
        self._sender = Sender(loop, sock, protocol, self)
        # Like `asyncio.Transport.write`. It is an attribute, to save one call on each write.
        self.write = self._sender.write
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        protocol.connection_made(self)
        self._receiver.start()

    def peer_port(self) -> int | None:
        """Return the port of the peer, or None if the connection has ended."""
        try:
            return int(self._socket.getpeername()[1])
        except OSError:
            return None

    def is_closing(self) -> bool:
        """Whether the connection is closing or closed; its descriptor may have been reused."""
        return self._state is not OPEN

    def has_input(self) -> bool:
        """Whether the kernel holds unread input or an unread end of input."""
        return self._state is not OPEN or self._poller.has(INPUT, default=True)

    def peer_closed(self) -> bool:
        """Whether the kernel has received the peer's close, half-close or reset, even after unread input."""
        return self._state is not OPEN or self._poller.has(PEER_CLOSED, default=False)

    def read_now(self) -> bytes:
        """Return input that the kernel holds, also while reading is paused; empty: none, or its end."""
        return self._receiver.read_now()

    def pause_reading(self) -> None:
        """Stop reading, and leave input in the kernel."""
        self._receiver.pause()

    def resume_reading(self) -> None:
        """Resume reading after `pause_reading`."""
        self._receiver.resume()

    def buffered_bytes(self) -> int:
        """Return the number of output bytes that the kernel has not accepted yet."""
        return len(self._sender.buffer)

    def set_write_buffer_limits(self, high: int) -> None:
        """Set the number of buffered output bytes above which the protocol must pause."""
        self._sender.set_high_water(high)

    def write_eof(self) -> None:
        """End the output after the buffer is sent; input is still read."""
        if not self._sender.is_open:
            return
        self._sender.end()
        if not self._sender.buffer:
            self._sender.shut_down()

    def close(self) -> None:
        """Stop reading, and end the connection after all output is sent."""
        if self._state is not OPEN:
            return
        self._set_state(CLOSING)
        self._receiver.end()
        self._sender.end()
        if not self._sender.buffer:
            self._end(None)

    def abort(self) -> None:
        """End the connection at once, and discard the output that is not sent yet."""
        self._end(None)

    def fail(self, error: Exception) -> None:
        """End the connection at once, because of this error."""
        self._end(error)

    def on_output_drained(self) -> None:
        """End the connection after `close`, or only its output after `write_eof`.

        The sender calls this once its buffer is empty.
        """
        if self._state is CLOSING:
            self._end(None)
        elif self._sender.is_ending:
            self._sender.shut_down()

    def _end(self, error: Exception | None) -> None:
        """Close the descriptor at once, and notify the protocol later, as one of its calls may be running."""
        if self._state is CLOSED:
            return
        self._set_state(CLOSED)
        self._receiver.end()
        self._sender.discard()
        self._socket.close()
        if error is not None:
            drop_references(error)  # the protocol is notified later
        self._loop.call_soon(self._report_end, error)

    def _report_end(self, error: Exception | None) -> None:
        """Notify the protocol, and break the reference cycles, which would wait for the garbage collector."""
        protocol, self._protocol = self._protocol, None
        self._receiver.detach()
        self._sender.detach()
        if protocol is not None:
            protocol.connection_lost(error)

    def _set_state(self, state: TransportState) -> None:
        self._state = TRANSPORT_TRANSITIONS.check(self._state, state)
