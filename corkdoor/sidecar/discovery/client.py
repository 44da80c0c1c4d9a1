"""Single calls to discovery: a poll, or a long poll that discovery answers once something has changed."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from http import HTTPStatus

from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.discovery.endpoint_list import EndpointList, read_endpoint_list
from corkdoor.sidecar.discovery.errors import (
    AnswerStalledError,
    AnswerTruncatedError,
    AnswerUnreadableError,
    CallRejectedError,
    ConnectionClosedError,
)
from corkdoor.sidecar.resource_limits import ByteBudget
from corkdoor.sidecar.transport.connector import connect
from corkdoor.sidecar.upstream.connection import Connection
from corkdoor.sidecar.upstream.connection_state import RESPONSE_BEGUN, ConnectionState
from corkdoor.sidecar.upstream.response import Response

MAX_LIST_BYTES = 2 << 20  # an endpoint takes some 200
STALL_S = 0.3  # an answer is written in one go, so one that stops for so long is not continued
LIST_PATH = "/discovery/hosts"


@dataclass(frozen=True, slots=True)
class PollRequest:
    """A request for the complete list, answered at once."""

    @property
    def target(self) -> str:
        """The path and query."""
        return LIST_PATH

    @property
    def wait_us(self) -> int:
        """How long discovery may wait for a change, in microseconds."""
        return 0


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """A request for the changes after a version of the list, answered once there are any.

    Attributes:
        generation: the version that is known.
        wait_ms: after so long discovery answers anyway, in milliseconds.
    """

    generation: int
    wait_ms: int

    @property
    def target(self) -> str:
        """The path and query."""
        return f"{LIST_PATH}?after={self.generation}&wait_ms={self.wait_ms}"

    @property
    def wait_us(self) -> int:
        """How long discovery may wait for a change, in microseconds."""
        return self.wait_ms * 1000


DiscoveryRequest = PollRequest | WatchRequest


class DiscoveryClient:
    """Calls discovery at one address, one call at a time, on a connection that is kept between calls."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._connection: Connection | None = None
        self._answer: asyncio.Future[Response] | None = None

    async def call(self, request: DiscoveryRequest, connect_timeout_s: float) -> EndpointList:
        """Send a request on the open connection, or on a new one, and return the list that answers it.

        Raises:
            DiscoveryError: the call failed; its class says how.
            OSError: the connection could not be opened; TimeoutError: not within `connect_timeout_s` seconds.
            OverflowError: the list holds a number that is too large.
        """
        try:
            response = await self._exchange(request, connect_timeout_s)
        except asyncio.CancelledError:
            self.close()  # its answer would be taken for that of the next call
            raise
        if response.status != HTTPStatus.OK:
            raise CallRejectedError(response.status)
        try:
            return read_endpoint_list(json.loads(response.body))
        except (ValueError, RecursionError) as error:
            raise AnswerUnreadableError(str(error)) from None

    async def _exchange(self, request: DiscoveryRequest, connect_timeout_s: float) -> Response:
        connection = await self._connect(connect_timeout_s)
        self._answer = asyncio.get_running_loop().create_future()
        head = f"GET {request.target} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n"
        connection.send(head.encode())
        return await self._complete_answer(self._answer, connection)

    async def _connect(self, timeout_s: float) -> Connection:
        if self._connection is None or self._connection.closed:
            opened = Connection(self, ByteBudget(MAX_LIST_BYTES), MAX_LIST_BYTES)
            async with asyncio.timeout(timeout_s):
                await connect(opened, self.host, self.port)
            self._connection = opened
        return self._connection

    async def _complete_answer(self, answer: asyncio.Future[Response], connection: Connection) -> Response:
        """Wait for the answer; it may be long in coming, but may not stop once it has begun."""
        while not (await asyncio.wait((answer,), timeout=STALL_S))[0]:
            if connection.stalled_since(now_us() - int(STALL_S * 1e6)):
                raise AnswerStalledError(STALL_S)
        return answer.result()

    def close(self) -> None:
        """Close the connection: an answer that is still to come reaches nobody."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def on_response(self, connection: Connection, response: Response, reusable: bool) -> None:
        """Take the answer that a connection brought."""
        del connection, reusable  # only one is open, and it says itself whether it is lost
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(response)

    def on_lost(self, connection: Connection, last_state: ConnectionState) -> None:
        """Fail the call whose connection ended."""
        del connection  # only one is open
        if self._answer is not None and not self._answer.done():
            answer_began = last_state in RESPONSE_BEGUN
            self._answer.set_exception(AnswerTruncatedError() if answer_began else ConnectionClosedError())
