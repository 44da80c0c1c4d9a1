"""Queries the kernel for the state of a socket, without blocking and without reading."""

from __future__ import annotations

import logging
import select
import socket

from corkdoor.log_events import LogEvent

INPUT = select.POLLIN
PEER_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
POLL_TRIES = 3  # calls of poll(2) before the state counts as unknown
log = logging.getLogger(__name__)


class SocketPoller:
    """Polls one socket; one poll object is created per set of events.

    Args:
        sock: the socket; its descriptor must be open whenever `has` is called.
    """

    __slots__ = ("_descriptor", "_polls")

    def __init__(self, sock: socket.socket) -> None:
        self._descriptor = sock.fileno()
        self._polls: dict[int, select.poll] = {}  # by the events that they poll for

    def has(self, events: int, default: bool) -> bool:
        """Whether any of `events` is pending; `default` if the system call fails."""
        poll = self._polls.get(events)
        if poll is None:
            poll = self._polls[events] = select.poll()
            poll.register(self._descriptor, events)
        for _ in range(POLL_TRIES):
            try:
                return bool(poll.poll(0))
            except OSError as error:
                log.info(LogEvent("poll_failed", error=error.strerror))
        return default
