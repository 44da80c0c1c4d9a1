"""The discovery server: one loopback port for each service, and one queue for the polls of all of them."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Sequence
from enum import Enum

from emulator.discovery.connection import DiscoveryConnection
from emulator.discovery.registry import Registry
from emulator.discovery.service_queue import ServiceCost, ServiceQueue
from emulator.discovery.statistics import DiscoveryStatistics, PollKind
from emulator.discovery.timer_queue import TimerQueue
from testbed.discovery_wire import DiscoveryCall, Row

BACKLOG = 4096  # lets all sidecars of a machine connect at once, within the limit of the kernel
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503


class ServerMode(Enum):
    """How the server handles connections and polls."""

    SERVING = "serving"
    SILENT = "silent"  # polls are accepted and get no response
    DOWN = "down"  # connections are reset and refused


class DiscoveryServer:
    """Serves the lists of a registry to polls and watches.

    Args:
        registry: the endpoint lists.
        cost: determines the service time of each poll; None: the defaults of ServiceCost.
    """

    def __init__(self, registry: Registry, cost: ServiceCost | None = None) -> None:
        self.registry = registry
        self.queue = ServiceQueue(cost or ServiceCost())
        self.statistics = DiscoveryStatistics()
        self.mode = ServerMode.SERVING
        self._reserved_ports: dict[str, socket.socket] = {}
        self._listeners: list[asyncio.Server] = []
        self._connections: set[DiscoveryConnection] = set()
        self._watches: dict[str, set[DiscoveryConnection]] = {name: set() for name in registry.services}
        self._timers = TimerQueue()

    # --- lifecycle ---

    async def start(self) -> None:
        """Reserve a port for each service and listen; the ports stay reserved until `stop`.

        Raises:
            OSError: no port is available.
        """
        for service in self.registry.services:
            self._reserved_ports[service] = _bind(0)
        await self._listen()

    async def stop(self) -> None:
        """Reset all connections, and release the ports."""
        self._stop_listening()
        self._timers.clear()
        for reserved in self._reserved_ports.values():
            reserved.close()

    def address(self, service: str) -> str:
        """Return the host and port at which a service's list is served."""
        host, port = self._reserved_ports[service].getsockname()
        return f"{host}:{port}"

    async def set_mode(self, mode: ServerMode) -> None:
        """Change the mode. Polls that arrive while the server is silent never get a response."""
        previous, self.mode = self.mode, mode
        if mode is ServerMode.DOWN and previous is not ServerMode.DOWN:
            self._stop_listening()
            self._timers.clear()
            self.queue.drop(time.monotonic())
        elif previous is ServerMode.DOWN and mode is not ServerMode.DOWN:
            await self._listen()

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        for service, reserved in self._reserved_ports.items():
            self._listeners.append(
                await loop.create_server(
                    lambda service=service: self._accept(service),  # type: ignore[misc]
                    sock=_bind(reserved.getsockname()[1]),
                    backlog=BACKLOG,
                )
            )

    def _stop_listening(self) -> None:
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()
        for connection in list(self._connections):
            connection.abort()

    def _accept(self, service: str) -> DiscoveryConnection:
        self.statistics.connections += 1
        return DiscoveryConnection(self, service, self.statistics.connections)

    # --- changes ---

    def change(self, service: str, rows: Sequence[Row]) -> int:
        """Change a list, queue the responses to all watches on it, and return the new generation."""
        generation = self.registry.change(service, rows)
        if self.mode is ServerMode.SERVING:
            notified, self._watches[service] = self._watches[service], set()
            # Sorted by connection number, because the order of a set differs between runs.
            for connection in sorted(notified, key=lambda connection: connection.number):
                self._queue_response(connection)
        return generation

    # --- connections ---

    def on_connect(self, connection: DiscoveryConnection) -> None:
        """Record a new connection."""
        self.statistics.open_connections += 1
        self._connections.add(connection)

    def on_disconnect(self, connection: DiscoveryConnection) -> None:
        """Remove a connection and its watch."""
        self.statistics.open_connections -= 1
        self._connections.discard(connection)
        self._watches[connection.service].discard(connection)

    def on_bytes(self, count: int) -> None:
        """Count received bytes."""
        self.statistics.bytes_in += count

    # --- polls ---

    def on_poll(self, connection: DiscoveryConnection, poll: DiscoveryCall | None) -> None:
        """Queue the response to a poll, or the start of a watch; respond 404 if `poll` is None."""
        now_s = time.monotonic()
        self.statistics.record_poll_arrival(_poll_kind(poll), now_s, connection.number)
        if self.mode is ServerMode.SILENT:
            return
        connection.poll = poll
        if poll is None:
            self._respond(connection, HTTP_NOT_FOUND, b"")
        elif self._responds_at_once(connection, poll) or not poll.wait_s:
            self._queue_response(connection)
        else:
            completion = self.queue.add(now_s, 0)
            action = self._begin_watch if completion.served else self._fail
            self._timers.call_at(completion.at_s, lambda: action(connection, poll))

    def _responds_at_once(self, connection: DiscoveryConnection, poll: DiscoveryCall) -> bool:
        return poll.after is None or self.registry.has_changed(connection.service, poll.after)

    def _begin_watch(self, connection: DiscoveryConnection, poll: DiscoveryCall) -> None:
        """Begin a watch that has been served. If the list has changed meanwhile, queue the response."""
        if not connection.is_open or connection.poll is not poll:
            return
        if self._responds_at_once(connection, poll):
            self._queue_response(connection)
            return
        self._watches[connection.service].add(connection)
        self._timers.call_at(time.monotonic() + poll.wait_s, lambda: self._end_watch(connection, poll))

    def _end_watch(self, connection: DiscoveryConnection, poll: DiscoveryCall) -> None:
        """Queue a response without entries when a watch times out, unless a change has ended the watch."""
        watches = self._watches[connection.service]
        if connection in watches and connection.poll is poll:
            watches.discard(connection)
            self._queue_response(connection)

    def _queue_response(self, connection: DiscoveryConnection) -> None:
        poll = connection.poll
        if poll is None or not connection.is_open:
            return
        size = len(self.registry.respond(connection.service, poll.after).body)
        completion = self.queue.add(time.monotonic(), size)
        action = self._send_list if completion.served else self._fail
        self._timers.call_at(completion.at_s, lambda: action(connection, poll))

    # --- responses ---

    def _send_list(self, connection: DiscoveryConnection, poll: DiscoveryCall) -> None:
        """Respond with the current list, which may be newer than when the poll arrived."""
        response = self.registry.respond(connection.service, poll.after)
        if connection.poll is poll and self._respond(connection, HTTP_OK, response.body):
            if response.full:
                self.statistics.full_list_bytes += len(response.body)
            else:
                self.statistics.delta_bytes += len(response.body)

    def _fail(self, connection: DiscoveryConnection, poll: DiscoveryCall) -> None:
        if connection.poll is poll and self._respond(connection, HTTP_UNAVAILABLE, b""):
            self.statistics.failed += 1

    def _respond(self, connection: DiscoveryConnection, status: int, body: bytes) -> int:
        if self.mode is ServerMode.SILENT:
            return 0
        connection.poll = None
        sent = connection.respond(status, body)
        self.statistics.bytes_out += sent
        return sent


def _poll_kind(poll: DiscoveryCall | None) -> PollKind:
    if poll is None:
        return PollKind.UNKNOWN
    return PollKind.FULL_LIST if poll.after is None else PollKind.WATCH


def _bind(port: int) -> socket.socket:
    """Return a socket that reserves a loopback port without listening.

    Several sockets may be bound to the same port. Reserving it prevents another process from getting the
    port while discovery is down.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(("127.0.0.1", port))
    bound.setblocking(False)
    return bound
