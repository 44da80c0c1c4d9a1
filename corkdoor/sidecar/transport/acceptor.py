"""A listening socket that accepts connections."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import time
from collections.abc import Callable

from corkdoor.log_events import LogEvent
from corkdoor.sidecar.transport.errors import RESOURCE_SHORTAGE, RETRY_DELAY_S
from corkdoor.sidecar.transport.readiness_watch import ReadinessWatch
from corkdoor.sidecar.transport.receiver import READ_BYTES
from corkdoor.sidecar.transport.socket_poller import INPUT, SocketPoller
from corkdoor.sidecar.transport.states import LISTENER_TRANSITIONS, ListenerState
from corkdoor.sidecar.transport.stream import StreamTransport
from corkdoor.sidecar.transport.stream_protocol import StreamProtocol

LISTEN_RETRY_PERIOD_S = 2.0  # time for which a failed attempt to listen is repeated
# Connections accepted in one iteration of the event loop; more would delay the connections that are open.
MAX_ACCEPTS_PER_ITERATION = 64
log = logging.getLogger(__name__)


class Acceptor(ReadinessWatch):
    """Listens once it is created, and accepts connections once it is started.

    Args:
        host: the address to listen on.
        port: the port; 0 for one that the kernel chooses.
        backlog: the number of connections that may wait in the kernel.
        make_protocol: creates the protocol of each connection.
        read_bytes: the maximum size of one read from a connection.

    Raises:
        OSError: listening on the address failed; the message says why.
    """

    __slots__ = ("_make_protocol", "_poller", "_read_bytes", "_socket", "_state")

    def __init__(
        self,
        host: str,
        port: int,
        backlog: int,
        make_protocol: Callable[[], StreamProtocol],
        read_bytes: int = READ_BYTES,
    ) -> None:
        self._make_protocol = make_protocol
        self._read_bytes = read_bytes
        self._socket = _listen(host, port, backlog)
        self._socket.setblocking(False)
        super().__init__(asyncio.get_running_loop(), self._socket.fileno())
        self._poller = SocketPoller(self._socket)
        self._state = ListenerState.OPEN

    @property
    def port(self) -> int:
        """The port of the listening socket."""
        return int(self._socket.getsockname()[1])

    @property
    def is_open(self) -> bool:
        """Whether the socket is listening."""
        return self._state is ListenerState.OPEN

    def start(self) -> None:
        """Start to accept connections, including those that have waited in the kernel."""
        if self.is_open:
            self._start_watching()

    def has_pending_connection(self) -> bool:
        """Whether a connection waits to be accepted."""
        return self.is_open and self._poller.has(INPUT, default=True)

    def close(self) -> None:
        """Stop listening; the kernel resets the connections that wait."""
        if not self.is_open:
            return
        self._state = LISTENER_TRANSITIONS.check(self._state, ListenerState.CLOSED)
        self._stop_watching()
        self._socket.close()

    def _add_to_loop(self) -> None:
        self._loop.add_reader(self._descriptor, self._on_connections)

    def _remove_from_loop(self) -> None:
        self._loop.remove_reader(self._descriptor)

    def _on_retry(self) -> None:
        self.start()

    def _on_connections(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if not self.is_open:
                return
            try:
                connected, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in RESOURCE_SHORTAGE:
                    log.warning(LogEvent("accept_paused", error=error.strerror))
                    self._retry_later()
                    return
                continue  # accept(2): all other errors mean that it failed before it was accepted
            self._open_connection(connected)

    def _open_connection(self, connected: socket.socket) -> None:
        try:
            connected.setblocking(False)
            StreamTransport(self._loop, connected, self._make_protocol(), self._read_bytes)
        except OSError as error:
            log.warning(LogEvent("accept_failed", error=error.strerror))
            connected.close()


def _listen(host: str, port: int, backlog: int) -> socket.socket:
    """Listen; if descriptors or memory are short, retry for up to `LISTEN_RETRY_PERIOD_S`."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    give_up_at_s = time.monotonic() + LISTEN_RETRY_PERIOD_S
    while True:
        try:
            return socket.create_server((host.strip("[]"), port), family=family, backlog=backlog)
        except OSError as error:
            if error.errno not in RESOURCE_SHORTAGE or time.monotonic() > give_up_at_s:
                reason = os.strerror(error.errno).lower() if error.errno else str(error)
                raise OSError(f"can't listen on {host}:{port}: {reason}") from None
        time.sleep(RETRY_DELAY_S)
