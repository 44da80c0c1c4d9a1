"""All client connections, and the choice of those to close when there are too many."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain

from corkdoor.sidecar.clients.connection import ClientConnection
from corkdoor.sidecar.clock import now_us


class ClientRegistry:
    """The client connections, grouped by what they are doing.

    Args:
        limit: the maximum number of open connections.
        evictable_idle_s: the time between requests after which a connection may be evicted, in seconds.
    """

    def __init__(self, limit: int, evictable_idle_s: float) -> None:
        self.limit = limit
        self.evictable_idle_s = evictable_idle_s
        self._all: dict[ClientConnection, None] = {}
        self._new: dict[ClientConnection, None] = {}  # connections without a valid request yet, oldest first
        self._idle: dict[ClientConnection, None] = {}  # connections between requests, longest idle first

    def __len__(self) -> int:
        return len(self._all)

    def __iter__(self) -> Iterator[ClientConnection]:
        """Iterate over a copy, since connections may be added and removed meanwhile."""
        return iter(list(self._all))

    def __contains__(self, client: object) -> bool:
        return client in self._all

    @property
    def new_count(self) -> int:
        """The number of connections without a valid request."""
        return len(self._new)

    @property
    def idle_count(self) -> int:
        """The number of connections between requests."""
        return len(self._idle)

    def add(self, client: ClientConnection) -> None:
        """Add a connection; at the limit one is evicted, so that the process never runs out of descriptors.

        If all others are in use, the new connection is evicted, since nothing has been read from it.
        """
        while len(self._all) >= self.limit:
            victim = self._find_evictable() or client
            self._evict(victim)
            if victim is client:
                return
        self._all[client] = None
        self._new[client] = None

    def remove(self, client: ClientConnection) -> None:
        """Remove a connection from all groups."""
        for group in (self._all, self._new, self._idle):
            group.pop(client, None)

    def set_limit(self, limit: int) -> None:
        """Change the limit; connections above a lower limit are evicted if they are not in use."""
        self.limit = limit
        while len(self._all) > limit and (client := self._find_evictable()) is not None:
            self._evict(client)

    def is_over_limit(self) -> bool:
        """Whether too many are in use after the limit was lowered; they close after their next response."""
        return len(self._all) > self.limit and sum(not c.has_input_ended for c in self._all) > self.limit

    def set_established(self, client: ClientConnection) -> None:
        """Record that a connection has made a valid request."""
        self._new.pop(client, None)

    def set_idle(self, client: ClientConnection) -> None:
        """Record that a connection is between requests."""
        self._idle[client] = None

    def set_busy(self, client: ClientConnection) -> None:
        """Record that a connection begins a request."""
        self._idle.pop(client, None)

    def _evict(self, client: ClientConnection) -> None:
        self.remove(client)
        client.evict()

    def _find_evictable(self) -> ClientConnection | None:
        """Return the connection to evict first, or None if all are in use.

        The order is: a connection that has made no valid request and is not sending one, the connection that
        is idle longest, a connection that is still sending its first request. A connection with input waiting
        in the kernel is never evicted, since that input may be a complete request.
        """
        idle_before_us = now_us() - int(self.evictable_idle_s * 1e6)
        silent = (client for client in self._new if not client.is_receiving)
        idle = (client for client in self._idle if client.phase_started_us < idle_before_us)
        slow = (client for client in self._new if client.is_receiving)
        candidates = chain(silent, idle, slow)
        return next((client for client in candidates if not client.has_unread_input()), None)
