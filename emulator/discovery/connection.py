"""A sidecar's connection to the emulated discovery. It carries one poll at a time."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from testbed.discovery_wire import DiscoveryCall, parse_call
from testbed.http_messages import HEAD_END, encode_response

MAX_HEAD_BYTES = 8 * 1024  # of a poll, which has no body
REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class PollHandler(Protocol):
    """The interface through which a connection calls its server."""

    def on_connect(self, connection: DiscoveryConnection) -> None:
        """Record a new connection."""

    def on_disconnect(self, connection: DiscoveryConnection) -> None:
        """Record the end of a connection."""

    def on_bytes(self, count: int) -> None:
        """Count received bytes."""

    def on_poll(self, connection: DiscoveryConnection, poll: DiscoveryCall | None) -> None:
        """Handle a request; `poll` is None if it is not a poll."""


class DiscoveryConnection(asyncio.Protocol):
    """Reads polls and writes responses.

    Args:
        server: handles the polls.
        service: the service whose list the connection's port serves.
        number: the number of the connection, counted from the start of the server.
    """

    def __init__(self, server: PollHandler, service: str, number: int) -> None:
        self.server = server
        self.service = service
        self.number = number
        self.poll: DiscoveryCall | None = None  # the poll whose response is pending
        self.transport: asyncio.Transport | None = None
        self._head = bytearray()

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, so that a response can be sent."""
        return self.transport is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.on_connect(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Drop the transport."""
        self.transport = None
        self.server.on_disconnect(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes, and pass a request to the server once its head is complete."""
        self.server.on_bytes(len(data))
        self._head += data
        end = self._head.find(HEAD_END)
        if end >= 0:
            head = bytes(self._head[:end])
            del self._head[: end + len(HEAD_END)]
            self.server.on_poll(self, read_poll(head))
        elif len(self._head) > MAX_HEAD_BYTES:
            self.abort()

    def respond(self, status: int, body: bytes) -> int:
        """Write a response; return the number of bytes, or 0 if the connection is closing or closed."""
        if self.transport is None or self.transport.is_closing():
            return 0
        data = encode_response(status, REASONS[status], body)
        self.transport.write(data)
        return len(data)

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()


def read_poll(head: bytes) -> DiscoveryCall | None:
    """Return the poll of a request's head, or None if it is not a poll for an endpoint list."""
    method, _, rest = head.partition(b" ")
    if method != b"GET":
        return None
    return parse_call(rest.partition(b" ")[0].decode("latin-1"))
