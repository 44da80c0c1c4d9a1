"""The callbacks of a stream transport, as in `asyncio.Protocol`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from corkdoor.sidecar.transport.stream import StreamTransport


class StreamProtocol(Protocol):
    """The user of one connection."""

    def connection_made(self, transport: StreamTransport) -> None:
        """The connection is established; nothing has been read from it."""
        ...

    def data_received(self, data: bytes) -> None:
        """Input has been read."""
        ...

    def eof_received(self) -> bool:
        """The peer has ended its output without an error; returns whether the connection stays open."""
        ...

    def pause_writing(self) -> None:
        """Too much output is buffered."""
        ...

    def resume_writing(self) -> None:
        """Most of the buffered output has been sent."""
        ...

    def connection_lost(self, error: Exception | None, /) -> None:
        """The connection has ended, because of `error` or, if it is None, normally; this is the last call."""
        ...
