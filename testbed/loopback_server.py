"""A TCP server on a free loopback port that resets its open connections when it stops."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from testbed.http_messages import reset

HANDLER_STOP_TIMEOUT_S = 2.0  # handlers have to return this soon after their connections are reset
Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class LoopbackServer:
    """Calls a handler for each connection, and closes the connection when the handler returns.

    Args:
        handler: serves one connection and returns once that connection has ended.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.StreamWriter, asyncio.Task[Any] | None] = {}
        self.port = 0

    async def start(self) -> None:
        """Listen on a free loopback port.

        Raises:
            OSError: no port is available.
        """
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections[writer] = asyncio.current_task()
        try:
            await self._handler(reader, writer)
        finally:
            del self._connections[writer]
            writer.close()

    def reset_connections(self) -> None:
        """Reset all open connections; new ones are still accepted."""
        self.reset_if_open(self.connections())

    def connections(self) -> list[asyncio.StreamWriter]:
        """Return the open connections."""
        return list(self._connections)

    def reset_if_open(self, connections: Iterable[asyncio.StreamWriter]) -> None:
        """Reset those of the given connections that are still open."""
        for writer in connections:
            if writer in self._connections:
                reset(writer)

    async def stop(self) -> None:
        """Stop listening, reset all connections and wait for their handlers to return."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        handlers = [task for task in self._connections.values() if task is not None]
        if handlers:
            await asyncio.wait(handlers, timeout=HANDLER_STOP_TIMEOUT_S)
