"""Stream sockets on the event loop: transports, connecting, and accepting.

They take the place of the loop's own transports, which end a connection for a system call that fails for a
moment: what was read from it, or was to be written to it, is lost then. Here `ENOMEM` and `ENOBUFS` are tried
again shortly after, as `EINTR` and `EAGAIN` are. Likewise a process that has run out of descriptors leaves
new connections waiting, where the loop's own listener closes the next one unheard.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import select
import socket
from collections.abc import Callable
from typing import Protocol

READ_BYTES = (
    16 * 1024
)  # taken in one call: the most that a connection holds unparsed; more waits in the kernel
RETRY_S = 0.01  # after a call that failed for want of memory or descriptors
ACCEPTS_AT_ONCE = 64  # connections taken in one turn of the loop, so that those at work are not held up
CONNECT_STARTED = frozenset((errno.EINPROGRESS, errno.EALREADY))
SHORT_OF_MEMORY = frozenset((errno.ENOMEM, errno.ENOBUFS))
SHORT_OF_RESOURCES = SHORT_OF_MEMORY | {errno.EMFILE, errno.ENFILE}
HIGH_WATER, LOW_WATER = 64 * 1024, 16 * 1024  # bytes not yet taken by the kernel, where no other bound is set
PEER_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR
POLL_TRIES = 3
log = logging.getLogger(__name__)


class Poller:
    """Asks the kernel for the state of one descriptor, without waiting and without reading."""

    __slots__ = ("_descriptor", "_polls")

    def __init__(self, sock: socket.socket) -> None:
        self._descriptor = sock.fileno()
        self._polls: dict[int, select.poll] = {}  # by the events asked for

    def has(self, events: int, otherwise: bool) -> bool:
        """Whether any of these events is pending; `otherwise` where the kernel can't tell."""
        poll = self._polls.get(events)
        if poll is None:
            poll = self._polls[events] = select.poll()
            poll.register(self._descriptor, events)
        for _ in range(POLL_TRIES):
            try:
                return bool(poll.poll(0))
            except OSError as error:
                log.info("poll failed: %s", error.strerror)
        return otherwise


class StreamProtocol(Protocol):
    """What a transport calls, as `asyncio.Protocol` has it."""

    def connection_made(self, transport: StreamTransport) -> None: ...

    def data_received(self, data: bytes) -> None: ...

    def eof_received(self) -> bool:
        """The peer has ended its output in order; whether the connection stays open."""
        ...

    def pause_writing(self) -> None: ...

    def resume_writing(self) -> None: ...

    def connection_lost(self, exc: Exception | None) -> None: ...


class StreamTransport:
    """One connected socket, with the methods of the loop's own transports that are in use here."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, protocol: StreamProtocol
    ) -> None:
        self._loop = loop
        self._socket = sock
        self._descriptor = sock.fileno()
        self._protocol: StreamProtocol | None = protocol  # until the end: the two point at each other
        self._poller = Poller(sock)
        self._unsent = bytearray()
        self._high, self._low = HIGH_WATER, LOW_WATER
        self._read_retry: asyncio.TimerHandle | None = None
        self._write_retry: asyncio.TimerHandle | None = None
        self._reading = False  # whether the loop watches for input
        self._writing = False  # whether it watches for room
        self._paused = False  # by the protocol
        self._writer_paused = False  # whether the protocol was told to pause
        self._input_ended = False
        self._output_ends = False  # with what is not yet sent
        self._closing = False
        self._closed = False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        protocol.connection_made(self)
        self._watch_input()

    # --- state ---

    def peer_port(self) -> int:
        """The port of the other side; 0 where the connection has ended."""
        try:
            return int(self._socket.getpeername()[1])
        except OSError:
            return 0

    def is_closing(self) -> bool:
        """Whether the connection has ended here, or is about to: its descriptor may be another's by now."""
        return self._closing

    def has_input(self) -> bool:
        """Whether the kernel holds input or an end that has not been read."""
        return self._closing or self._poller.has(select.POLLIN, otherwise=True)

    def peer_left(self) -> bool:
        """Whether the kernel knows of the peer's close, half-close or reset, whatever is unread before it."""
        return self._closing or self._poller.has(PEER_LEFT, otherwise=False)

    # --- input ---

    def pause_reading(self) -> None:
        """Leave what comes in the kernel."""
        self._paused = True
        self._unwatch_input()

    def resume_reading(self) -> None:
        """Undo `pause_reading`."""
        self._paused = False
        self._watch_input()

    def _watch_input(self) -> None:
        if (
            self._reading
            or self._paused
            or self._input_ended
            or self._closing
            or self._read_retry is not None
        ):
            return
        try:
            self._loop.add_reader(self._descriptor, self._on_input)
        except OSError:
            self._read_retry = self._loop.call_later(RETRY_S, self._retry_input)
        else:
            self._reading = True

    def _unwatch_input(self) -> None:
        if self._read_retry is not None:
            self._read_retry.cancel()
            self._read_retry = None
        if self._reading:
            self._reading = False
            self._loop.remove_reader(self._descriptor)

    def _retry_input(self) -> None:
        self._read_retry = None
        self._watch_input()

    def _on_input(self) -> None:
        protocol = self._protocol
        if self._closing or self._paused or protocol is None:
            return
        try:
            data = self._socket.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if error.errno in SHORT_OF_MEMORY:
                self._unwatch_input()
                self._read_retry = self._loop.call_later(RETRY_S, self._retry_input)
            else:
                self._break(error)
            return
        try:
            if data:
                protocol.data_received(data)
            else:
                self._end_input(protocol)
        except Exception as error:
            log.exception("a connection is closed")
            self._break(error)

    def _end_input(self, protocol: StreamProtocol) -> None:
        self._input_ended = True
        self._unwatch_input()
        if not protocol.eof_received():
            self.close()

    # --- output ---

    def unsent(self) -> int:
        """How many bytes the kernel has not taken yet."""
        return len(self._unsent)

    def set_write_buffer_limits(self, high: int) -> None:
        """How many bytes the kernel may have not taken before the protocol is told to pause."""
        self._high, self._low = high, high // 4

    def write(self, data: bytes) -> None:
        """Send as much as the kernel takes now, and the rest once it has room."""
        if self._closing or self._output_ends or not data:
            return
        sent = 0 if self._unsent else self._send(data)
        if sent is None or sent == len(data):
            return
        self._unsent += memoryview(data)[sent:]
        if self._write_retry is None:
            self._watch_output()
        if not self._writer_paused and len(self._unsent) > self._high and self._protocol is not None:
            self._writer_paused = True
            self._protocol.pause_writing()

    def _send(self, data: bytes | bytearray) -> int | None:
        """The bytes that the kernel took; None: the connection is broken."""
        try:
            return self._socket.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            if error.errno in SHORT_OF_MEMORY:
                self._retry_output_later()
                return 0
            self._break(error)
            return None

    def _retry_output_later(self) -> None:
        self._unwatch_output()
        self._write_retry = self._loop.call_later(RETRY_S, self._retry_output)

    def _retry_output(self) -> None:
        self._write_retry = None
        self._on_room()

    def _watch_output(self) -> None:
        if self._writing:
            return
        try:
            self._loop.add_writer(self._descriptor, self._on_room)
        except OSError:
            self._retry_output_later()
        else:
            self._writing = True

    def _unwatch_output(self) -> None:
        if self._write_retry is not None:
            self._write_retry.cancel()
            self._write_retry = None
        if self._writing:
            self._writing = False
            self._loop.remove_writer(self._descriptor)

    def _on_room(self) -> None:
        if self._closed:
            return
        sent = self._send(self._unsent)
        if sent is None:
            return
        del self._unsent[:sent]
        if self._writer_paused and len(self._unsent) <= self._low and self._protocol is not None:
            self._writer_paused = False
            self._protocol.resume_writing()
        if self._unsent:
            if self._write_retry is None:
                self._watch_output()
            return
        self._unwatch_output()
        if self._closing:
            self._end(None)
        elif self._output_ends:
            self._shut_output()

    def write_eof(self) -> None:
        """End the output once it is sent; input still comes."""
        if self._closing or self._output_ends:
            return
        self._output_ends = True
        if not self._unsent:
            self._shut_output()

    def _shut_output(self) -> None:
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            self._break(error)

    # --- the end ---

    def close(self) -> None:
        """Read no more, and end the connection once all is sent."""
        if self._closing:
            return
        self._closing = True
        self._unwatch_input()
        if not self._unsent:
            self._end(None)

    def abort(self) -> None:
        """End the connection with whatever is not yet sent."""
        self._break(None)

    def _break(self, error: Exception | None) -> None:
        self._unsent.clear()
        self._end(error)

    def _end(self, error: Exception | None) -> None:
        """Give the descriptor back at once, and tell the protocol later: it may be at work above."""
        if self._closed:
            return
        self._closing = self._closed = True
        self._unwatch_input()
        self._unwatch_output()
        self._socket.close()
        self._loop.call_soon(self._tell_end, error)

    def _tell_end(self, error: Exception | None) -> None:
        protocol, self._protocol = self._protocol, None
        if protocol is not None:
            protocol.connection_lost(error)


class Acceptor:
    """A listening socket; `make_protocol` is called for each connection that it takes."""

    def __init__(
        self, host: str, port: int, backlog: int, make_protocol: Callable[[], StreamProtocol]
    ) -> None:
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        self._socket = _listen(host, port, backlog)
        self._socket.setblocking(False)
        self._poller = Poller(self._socket)
        self._retry: asyncio.TimerHandle | None = None
        self._open = True

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return int(self._socket.getsockname()[1])

    def start(self) -> None:
        """Take connections from here on; those that came before have waited."""
        self._retry = None
        if not self._open:
            return
        try:
            self._loop.add_reader(self._socket.fileno(), self._on_connections)
        except OSError:
            self._retry = self._loop.call_later(RETRY_S, self.start)

    def has_waiting(self) -> bool:
        """Whether a connection waits to be taken."""
        return self._open and self._poller.has(select.POLLIN, otherwise=True)

    def close(self) -> None:
        """Listen no more; connections that wait are reset by the kernel."""
        if not self._open:
            return
        self._open = False
        if self._retry is not None:
            self._retry.cancel()
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def _on_connections(self) -> None:
        for _ in range(ACCEPTS_AT_ONCE):
            if not self._open:
                return
            try:
                connected, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in SHORT_OF_RESOURCES:
                    self._pause(error)
                    return
                continue  # that connection has failed before it was taken: accept(2) says so of all others
            self._take(connected)

    def _pause(self, error: OSError) -> None:
        log.warning("connections wait: %s", error.strerror)
        self._loop.remove_reader(self._socket.fileno())
        self._retry = self._loop.call_later(RETRY_S, self.start)

    def _take(self, connected: socket.socket) -> None:
        try:
            connected.setblocking(False)
            StreamTransport(self._loop, connected, self._make_protocol())
        except OSError as error:
            log.warning("a connection broke as it was taken: %s", error.strerror)
            connected.close()


def _listen(host: str, port: int, backlog: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return socket.create_server((host.strip("[]"), port), family=family, backlog=backlog)
    except OSError as error:
        why = os.strerror(error.errno).lower() if error.errno else str(error)
        raise OSError(f"can't listen on {host}:{port}: {why}") from None


async def connect(protocol: StreamProtocol, host: str, port: int) -> StreamTransport:
    """Open a connection; raises OSError, and closes the socket where it is cancelled."""
    loop = asyncio.get_running_loop()
    family, address = await _resolve(loop, host, port)
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        await _complete_connect(loop, sock, address)
        return StreamTransport(loop, sock, protocol)
    except BaseException:
        sock.close()
        raise


async def _resolve(loop: asyncio.AbstractEventLoop, host: str, port: int) -> tuple[int, tuple[object, ...]]:
    """The family and the address; only what is no IP address is looked up."""
    for family, literal in ((socket.AF_INET, host), (socket.AF_INET6, host.strip("[]"))):
        try:
            socket.inet_pton(family, literal)
        except OSError:
            continue
        return family, (literal, port)
    found = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    return found[0][0], found[0][4]


async def _complete_connect(
    loop: asyncio.AbstractEventLoop, sock: socket.socket, address: tuple[object, ...]
) -> None:
    status = errno.EINTR
    while status == errno.EINTR:  # a second call tells how far the first one came
        status = sock.connect_ex(address)
    if status in CONNECT_STARTED:
        writable = loop.create_future()
        loop.add_writer(sock.fileno(), _resolve_once, writable)
        try:
            await writable
        finally:
            loop.remove_writer(sock.fileno())
        status = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if status not in (0, errno.EISCONN):
        raise OSError(status, os.strerror(status))


def _resolve_once(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
