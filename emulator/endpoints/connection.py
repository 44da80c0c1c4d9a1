"""One connection of a sidecar to an emulated endpoint."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import httptools

HTTP_BAD_REQUEST = 400


class RequestHandler(Protocol):
    """What a connection needs of its endpoint."""

    @property
    def idle_s(self) -> float:
        """How long a connection without a request stays, in seconds."""

    def on_connect(self, connection: EndpointConnection) -> None:
        """Note a new connection."""

    def on_disconnect(self, connection: EndpointConnection) -> None:
        """Note a connection that has ended."""

    def on_request(
        self, connection: EndpointConnection, url: bytes, headers: dict[bytes, bytes], keep_alive: bool
    ) -> None:
        """Handle a request whose last byte has come; header names are in lower case."""


class EndpointConnection(asyncio.Protocol):
    """Parses the requests of one connection, which carries one at a time, and writes the responses."""

    def __init__(self, endpoint: RequestHandler) -> None:
        self.endpoint = endpoint
        self._idle_timer: asyncio.TimerHandle | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.endpoint.on_connect(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Let go of everything."""
        self._parser = None  # it points back here
        self._cancel_idle_timer()
        self.endpoint.on_disconnect(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes; what is no HTTP is answered 400."""
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.respond(HTTP_BAD_REQUEST, b"", False)

    # --- the parser's callbacks ---

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._cancel_idle_timer()
        self._url = b""
        self._headers = {}

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        """Hand the request over."""
        assert self._parser is not None
        self.endpoint.on_request(self, self._url, self._headers, self._parser.should_keep_alive())

    # --- responses ---

    def respond(self, status: int, body: bytes, keep_alive: bool, *headers: bytes) -> None:
        """Write one complete response; the connection closes after it unless it is kept alive."""
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
