"""One connected stream socket, with those methods of the loop's own transports that are in use here."""

from __future__ import annotations

import asyncio
import socket

from corkdoor.sidecar.transport.receiver import Receiver
from corkdoor.sidecar.transport.sender import Sender
from corkdoor.sidecar.transport.socket_poller import INPUT, PEER_CLOSED, SocketPoller
from corkdoor.sidecar.transport.states import TRANSPORT_TRANSITIONS, TransportState
from corkdoor.sidecar.transport.stream_protocol import StreamProtocol

OPEN, CLOSING, CLOSED = TransportState  # bound once: members are slow to look up


class StreamTransport:
    """Carries bytes between a socket and its protocol until one side, or an error, ends the connection.

    Args:
        loop: the event loop.
        sock: the connected socket, which does not block; the transport closes it.
        protocol: the user of the connection.
    """

    __slots__ = ("_loop", "_poller", "_protocol", "_receiver", "_sender", "_socket", "_state", "write")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, protocol: StreamProtocol
    ) -> None:
        self._loop = loop
        self._socket = sock
        self._protocol: StreamProtocol | None = protocol
        self._poller = SocketPoller(sock)
        self._state = OPEN
        self._receiver = Receiver(loop, sock, protocol, self)
        self._sender = Sender(loop, sock, protocol, self)
        self.write = self._sender.write  # as `asyncio.Transport.write`; bound, since it is on every path
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        protocol.connection_made(self)
        self._receiver.start()

    def peer_port(self) -> int | None:
        """The port of the other side; None where the connection has ended."""
        try:
            return int(self._socket.getpeername()[1])
        except OSError:
            return None

    def is_closing(self) -> bool:
        """Whether the connection has ended here, or is about to: its descriptor may be another's by now."""
        return self._state is not OPEN

    def has_input(self) -> bool:
        """Whether the kernel holds input or an end that has not been read."""
        return self._state is not OPEN or self._poller.has(INPUT, otherwise=True)

    def peer_closed(self) -> bool:
        """Whether the kernel knows of the peer's close, half-close or reset, whatever is unread before it."""
        return self._state is not OPEN or self._poller.has(PEER_CLOSED, otherwise=False)

    def pause_reading(self) -> None:
        """Leave what comes in the kernel."""
        self._receiver.pause()

    def resume_reading(self) -> None:
        """Undo `pause_reading`."""
        self._receiver.resume()

    def buffered_bytes(self) -> int:
        """How many bytes of output the kernel has not taken yet."""
        return len(self._sender.buffer)

    def set_write_buffer_limits(self, high: int) -> None:
        """How many bytes the kernel may have not taken before the protocol is told to pause."""
        self._sender.set_high_water(high)

    def write_eof(self) -> None:
        """End the output once it is sent; input still comes."""
        if not self._sender.is_open:
            return
        self._sender.end()
        if not self._sender.buffer:
            self._sender.shut_down()

    def close(self) -> None:
        """Read no more, and end the connection once all is sent."""
        if self._state is not OPEN:
            return
        self._set_state(CLOSING)
        self._receiver.end()
        self._sender.end()
        if not self._sender.buffer:
            self._end(None)

    def abort(self) -> None:
        """End the connection with whatever is not yet sent."""
        self._end(None)

    def fail(self, error: Exception) -> None:
        """End the connection at once, for that error."""
        self._end(error)

    def on_output_drained(self) -> None:
        """The sender's buffer is empty."""
        if self._state is CLOSING:
            self._end(None)
        elif self._sender.is_ending:
            self._sender.shut_down()

    def _end(self, error: Exception | None) -> None:
        """Give the descriptor back at once, and tell the protocol later: it may be in one of its calls."""
        if self._state is CLOSED:
            return
        self._set_state(CLOSED)
        self._receiver.end()
        self._sender.discard()
        self._socket.close()
        self._loop.call_soon(self._report_end, error)

    def _report_end(self, error: Exception | None) -> None:
        """Tell the protocol, and undo the references in a circle: they would wait for the collector."""
        protocol, self._protocol = self._protocol, None
        self._receiver.detach()
        self._sender.detach()
        if protocol is not None:
            protocol.connection_lost(error)

    def _set_state(self, state: TransportState) -> None:
        self._state = TRANSPORT_TRANSITIONS.check(self._state, state)
