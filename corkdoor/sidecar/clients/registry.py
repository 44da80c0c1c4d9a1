"""All clients' connections, and which of them are closed when there are too many."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain

from corkdoor.sidecar.clients.connection import ClientConnection
from corkdoor.sidecar.clock import now_us


class ClientRegistry:
    """The connections, by what they are doing.

    Args:
        limit: how many may be open.
        evictable_idle_s: after how long between requests one may be evicted, in seconds.
    """

    def __init__(self, limit: int, evictable_idle_s: float) -> None:
        self.limit = limit
        self.evictable_idle_s = evictable_idle_s
        self._all: dict[ClientConnection, None] = {}
        self._new: dict[ClientConnection, None] = {}  # without a valid request yet, oldest first
        self._idle: dict[ClientConnection, None] = {}  # between requests, longest idle first

    def __len__(self) -> int:
        return len(self._all)

    def __iter__(self) -> Iterator[ClientConnection]:
        """Over a copy: connections may come and go meanwhile."""
        return iter(list(self._all))

    def __contains__(self, client: object) -> bool:
        return client in self._all

    @property
    def new_count(self) -> int:
        """How many have made no valid request."""
        return len(self._new)

    @property
    def idle_count(self) -> int:
        """How many are between requests."""
        return len(self._idle)

    def add(self, client: ClientConnection) -> None:
        """Take a connection in; at the limit one is evicted, so that the descriptors never run out.

        Where all are in use that is the new one, of which nothing has been read.
        """
        while len(self._all) >= self.limit:
            victim = self._evictable() or client
            self._evict(victim)
            if victim is client:
                return
        self._all[client] = None
        self._new[client] = None

    def remove(self, client: ClientConnection) -> None:
        """Forget a connection."""
        for group in (self._all, self._new, self._idle):
            group.pop(client, None)

    def set_limit(self, limit: int) -> None:
        """Change the limit; past a lower one, connections that are not in use are evicted."""
        self.limit = limit
        while len(self._all) > limit and (client := self._evictable()) is not None:
            self._evict(client)

    def is_over_limit(self) -> bool:
        """Whether too many are in use after the limit was lowered: they close after their next response."""
        return len(self._all) > self.limit and sum(not c.has_input_ended for c in self._all) > self.limit

    def set_established(self, client: ClientConnection) -> None:
        """It has made a valid request."""
        self._new.pop(client, None)

    def set_idle(self, client: ClientConnection) -> None:
        """It is between requests."""
        self._idle[client] = None

    def set_busy(self, client: ClientConnection) -> None:
        """It begins a request."""
        self._idle.pop(client, None)

    def _evict(self, client: ClientConnection) -> None:
        self.remove(client)
        client.evict()

    def _evictable(self) -> ClientConnection | None:
        """The connection to evict first, or None where all are in use.

        First one that sent nothing of use, then the one idle longest, then one that is still sending its
        first request; none of which input waits in the kernel, for that may be a complete request.
        """
        idle_before_us = now_us() - int(self.evictable_idle_s * 1e6)
        silent = (client for client in self._new if not client.is_receiving)
        idle = (client for client in self._idle if client.phase_started_us < idle_before_us)
        slow = (client for client in self._new if client.is_receiving)
        candidates = chain(silent, idle, slow)
        return next((client for client in candidates if not client.has_unread_input()), None)
