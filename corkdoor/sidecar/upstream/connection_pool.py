"""The connections to one endpoint."""

from __future__ import annotations

from typing import Protocol

from corkdoor.model import Outcome
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.upstream.attempt import Attempt
from corkdoor.sidecar.upstream.connection import Connection
from corkdoor.sidecar.upstream.connection_state import REQUEST_SENT, ConnectionState
from corkdoor.sidecar.upstream.response import Response, classify


class PoolOwner(Protocol):
    """The state that all pools share.

    Attributes:
        open_connections: the number of connections that are established or being established.
        max_connections: the limit on `open_connections`.
        pools_with_idle: the pools that have idle connections, or have had some since the last sweep.
        active: the attempt in flight on each connection.
    """

    open_connections: int
    max_connections: int
    pools_with_idle: dict[ConnectionPool, None]
    active: dict[Connection, Attempt]


class ConnectionPool:
    """The keep-alive connections to one process of one endpoint.

    Args:
        owner: the state shared with the other pools.
        host: the host of the endpoint.
        port: the port of the endpoint.
        started_us: when the endpoint's process started, as discovery states it; None: unknown.

    Attributes:
        ready: whether new attempts may be sent; False from the removal of the endpoint on.
        idle: the idle connections, the most recently used last.
        last_sent_us: when the last attempt was passed to the kernel; None: no attempt has been.
        last_sent_label: identifies that attempt in the log.
    """

    def __init__(self, owner: PoolOwner, host: str, port: int, started_us: int | None) -> None:
        self.owner = owner
        self.host = host
        self.port = port
        self.started_us = started_us
        self.ready = True
        self.idle: list[Connection] = []
        self.last_sent_us: int | None = None
        self.last_sent_label = ""

    def acquire(self) -> Connection | None:
        """Return the most recently used idle connection; None: there is no idle connection.

        Taking the most recently used one lets the others reach their idle timeout.
        """
        while self.idle:
            connection = self.idle.pop()
            if not connection.is_stale():
                return connection
            connection.close()
            self.owner.open_connections -= 1
        return None

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it if no further attempt may use it."""
        if self.ready and self.owner.open_connections <= self.owner.max_connections:
            connection.idle_since_us = now_us()
            self.idle.append(connection)
            self.owner.pools_with_idle[self] = None
        else:
            connection.close()
            self.owner.open_connections -= 1

    def close_idle(self, used_before_us: int | None = None) -> None:
        """Close all idle connections, or only those last used before `used_before_us`."""
        while self.idle and (used_before_us is None or self.idle[0].idle_since_us < used_before_us):
            self.close_longest_idle()

    def close_longest_idle(self) -> None:
        """Close the least recently used idle connection."""
        self.idle.pop(0).close()
        self.owner.open_connections -= 1

    # --- callbacks of the connections ---

    def on_response(self, connection: Connection, response: Response, reusable: bool) -> None:
        """End the attempt with this response."""
        attempt = self.owner.active.pop(connection, None)
        if reusable:
            self.release(connection)
        else:
            self.owner.open_connections -= 1
        if attempt is not None:
            attempt.end(classify(response), response)

    def on_lost(self, connection: Connection, last_state: ConnectionState) -> None:
        """End the attempt that the connection carried, if any.

        A request that was not written completely never ran, since endpoints start it at its last byte.
        """
        self.owner.open_connections -= 1
        attempt = self.owner.active.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        if attempt is not None:
            attempt.end(Outcome.RESET if last_state in REQUEST_SENT else Outcome.CONNECT_FAILED)
