"""Manages the connection pools of all endpoints: limits open connections, connects, and sends attempts.

An attempt is written to one connection, once; there is no implicit retry. Its outcome says as exactly as the
socket allows whether the request may have run, since a request that never ran may be sent again.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from typing import NamedTuple

from corkdoor.log_events import LogEvent
from corkdoor.model import Outcome
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.invariants import Invariant, InvariantLog
from corkdoor.sidecar.memory_budget import MemoryBudget
from corkdoor.sidecar.transport import connector
from corkdoor.sidecar.upstream.attempt import Attempt
from corkdoor.sidecar.upstream.connection import Connection
from corkdoor.sidecar.upstream.connection_pool import ConnectionPool

# An idle connection is closed after this share of the endpoints' own idle timeout, because a request that is
# sent while the endpoint closes the connection fails.
IDLE_TIMEOUT_SHARE = 0.85
DEFAULT_IDLE_TIMEOUT_US = 5_000_000  # assumed where the endpoints' idle timeout is unknown
SWEEP_INTERVAL_S = 0.25  # time between two checks for idle connections and stalled responses
# A response is abandoned when it is incomplete and none of its bytes arrive for this long. Endpoints write a
# response in one go, so one that stops for this long never ends.
RESPONSE_STALL_TIMEOUT_US = 1_000_000
log = logging.getLogger(__name__)


class PoolLimits(NamedTuple):
    """The limits on the pools.

    Attributes:
        idle_timeout_us: the time after which endpoints close idle connections; None: unknown.
        connect_timeout_us: the time within which a connection must be established.
        max_connections: the limit on connections that are established or being established, to all endpoints
            together.
    """

    idle_timeout_us: int | None
    connect_timeout_us: int
    max_connections: int


class PoolManager:
    """The pools of all ready endpoints, and the limit on their connections together.

    Attributes:
        open_connections: the number of connections that are established or being established.
        counters: how connections were obtained since the last status line: `reused`, `opened`, `no_capacity`.
        pools: the pools by endpoint id; only endpoints that are ready have one.
        pools_with_idle: the pools that have idle connections, or have had some since the last sweep.
        active: the attempt in flight on each connection.
    """

    def __init__(self, limits: PoolLimits, budget: MemoryBudget, invariants: InvariantLog) -> None:
        self.invariants = invariants
        self.budget = budget
        self.open_connections = 0
        self.counters: Counter[str] = Counter()
        self.pools: dict[str, ConnectionPool] = {}
        self.pools_with_idle: dict[ConnectionPool, None] = {}
        self.active: dict[Connection, Attempt] = {}
        self._connecting: set[asyncio.Task[None]] = set()
        self.configure(limits)

    def configure(self, limits: PoolLimits) -> None:
        """Apply new limits.

        Where a limit is lowered, idle connections above it close at once, others when their exchange ends.
        """
        self.max_idle_us = int(IDLE_TIMEOUT_SHARE * (limits.idle_timeout_us or DEFAULT_IDLE_TIMEOUT_US))
        self.connect_timeout_s = limits.connect_timeout_us / 1e6
        self.max_connections = limits.max_connections
        while self.open_connections > self.max_connections and self._evict_longest_idle():
            pass

    async def sweep(self) -> None:
        """Periodically close connections that exceed the idle timeout or whose response has stalled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = now_us()
            for pool in list(self.pools_with_idle):
                pool.close_idle(now - self.max_idle_us)
                if not pool.idle:
                    del self.pools_with_idle[pool]
            for connection in list(self.active):
                if connection.stalled_since(now - RESPONSE_STALL_TIMEOUT_US):
                    connection.abandon("response stalled")

    # --- endpoints ---

    def put_endpoint(self, endpoint_id: str, host: str, port: int, started_us: int | None) -> None:
        """Add a pool for a ready endpoint, or replace it if the address or the process has changed.

        A pool holds connections to one process only, so connections to the old one close when their exchange
        ends.
        """
        pool = self.pools.get(endpoint_id)
        if pool is not None and (pool.host, pool.port, pool.started_us) != (host, port, started_us):
            self.remove_endpoint(endpoint_id)
            pool = None
        if pool is None:
            self.pools[endpoint_id] = ConnectionPool(self, host, port, started_us)

    def remove_endpoint(self, endpoint_id: str) -> ConnectionPool | None:
        """Stop sending attempts to an endpoint and return its pool; attempts in flight may complete."""
        pool = self.pools.pop(endpoint_id, None)
        if pool is not None:
            pool.ready = False
            pool.close_idle()
        return pool

    def close_idle(self, endpoint_id: str) -> None:
        """Close the idle connections to an endpoint."""
        pool = self.pools.get(endpoint_id)
        if pool is not None:
            pool.close_idle()

    # --- attempts ---

    def send(self, attempt: Attempt) -> None:
        """Send an attempt.

        It never ends within this call, because the balancer is still handling the event that caused it.
        """
        pool = self.pools.get(attempt.endpoint_id)
        if pool is None:
            _end_soon(attempt, Outcome.CONNECT_FAILED)
            return
        connection = pool.acquire()
        if connection is not None:
            self.counters["reused"] += 1
            self._write(attempt, connection, pool)
        elif attempt.encode(attempt) is None:  # it must not be sent, so no connection is opened for it
            _end_soon(attempt, Outcome.NOT_SENT)
        elif self.open_connections < self.max_connections or self._evict_longest_idle():
            self._start_connecting(attempt, pool)
        else:
            self.counters["no_capacity"] += 1
            _end_soon(attempt, Outcome.CONNECT_FAILED)

    def cancel(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt and close its connection, so that a late response can't reach another request."""
        connection, attempt.connection = attempt.connection, None
        if connection is not None:
            self.active.pop(connection, None)
            self.open_connections -= 1
            connection.close()
        attempt.end(outcome)

    def _evict_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; False: no connection is idle."""
        pools = [pool for pool in self.pools_with_idle if pool.idle]
        if not pools:
            return False
        min(pools, key=lambda pool: pool.idle[0].idle_since_us).close_longest_idle()
        return True

    def _start_connecting(self, attempt: Attempt, pool: ConnectionPool) -> None:
        self.open_connections += 1
        self.counters["opened"] += 1
        task = asyncio.get_running_loop().create_task(self._connect_and_send(attempt, pool))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def connect(self, connection: Connection, host: str, port: int) -> None:
        """Establish a connection.

        Raises:
            OSError: it can't be established.
        """
        await connector.connect(connection, host, port)

    async def _connect_and_send(self, attempt: Attempt, pool: ConnectionPool) -> None:
        connection = Connection(pool, self.budget)
        try:
            # A machine that is down sends nothing, so only a timeout ends the handshake.
            async with asyncio.timeout(self.connect_timeout_s):
                await self.connect(connection, pool.host, pool.port)
        except Exception as error:
            if not isinstance(error, OSError | TimeoutError):
                log.exception(LogEvent("connect_error", endpoint=attempt.endpoint_id))
            self.open_connections -= 1
            attempt.end(Outcome.CONNECT_FAILED)
            return
        if connection.closed:  # it was lost at once; `on_lost` has already updated `open_connections`
            attempt.end(Outcome.CONNECT_FAILED)
        elif attempt.ended:  # the next attempt can use the connection
            pool.release(connection)
        elif not pool.ready:  # the endpoint was removed during the handshake
            pool.release(connection)
            attempt.end(Outcome.CONNECT_FAILED)
        else:
            self._write(attempt, connection, pool)

    def _write(self, attempt: Attempt, connection: Connection, pool: ConnectionPool) -> None:
        if not pool.ready:
            self.invariants.record_broken(Invariant.SENT_TO_REMOVED, attempt.endpoint_id)
        data = attempt.encode(attempt)
        if data is None or not pool.ready:
            pool.release(connection)
            _end_soon(attempt, Outcome.NOT_SENT)
            return
        pool.last_sent_us = attempt.mark_sent(connection)
        pool.last_sent_label = attempt.label
        self.active[connection] = attempt
        connection.send(data)


def _end_soon(attempt: Attempt, outcome: Outcome) -> None:
    """End an attempt in the next loop iteration, because the balancer is still handling an event."""
    asyncio.get_running_loop().call_soon(attempt.end, outcome)
