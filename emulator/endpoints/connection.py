"""A sidecar's connection to an emulated endpoint."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import httptools

HTTP_BAD_REQUEST = 400


class RequestHandler(Protocol):
    """The interface through which a connection calls its endpoint."""

    @property
    def idle_s(self) -> float:
        """How long a connection without a request stays open, in seconds."""

    def on_connect(self, connection: EndpointConnection) -> None:
        """Record a new connection."""

    def on_disconnect(self, connection: EndpointConnection) -> None:
        """Record the end of a connection."""

    def on_request(
        self, connection: EndpointConnection, url: bytes, headers: dict[bytes, bytes], keep_alive: bool
    ) -> None:
        """Handle a request that has arrived completely; header names are in lower case."""


class EndpointConnection(asyncio.Protocol):
    """Parses the requests of one connection and writes the responses, one request at a time."""

    def __init__(self, endpoint: RequestHandler) -> None:
        self.endpoint = endpoint
        self._idle_timer: asyncio.TimerHandle | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and report the connection to the endpoint."""
        self.transport = cast(asyncio.Transport, transport)
        self.endpoint.on_connect(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Release the parser and the timer, and report the end to the endpoint."""
        self._parser = None  # breaks the reference cycle with the parser
        self._cancel_idle_timer()
        self.endpoint.on_disconnect(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; respond 400 if they are not HTTP."""
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.respond(HTTP_BAD_REQUEST, b"", False)

    # --- callbacks of the parser ---

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._cancel_idle_timer()
        self._url = b""
        self._headers = {}

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        """Pass the request to the endpoint."""
        assert self._parser is not None
        self.endpoint.on_request(self, self._url, self._headers, self._parser.should_keep_alive())

    # --- responses ---

    def respond(self, status: int, body: bytes, keep_alive: bool, *headers: bytes) -> None:
        """Write a complete response, and close the connection unless it is kept alive."""
        lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *headers]
        if not keep_alive:
            lines.append(b"Connection: close")
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        if keep_alive:
            loop = asyncio.get_running_loop()
            self._idle_timer = loop.call_later(self.endpoint.idle_s, self.transport.close)
        else:
            self.transport.close()

    def _cancel_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
