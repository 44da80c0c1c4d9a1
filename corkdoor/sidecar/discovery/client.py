"""Single calls to discovery: a poll, or a long poll that gets a response once something has changed."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from http import HTTPStatus

from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.discovery.endpoint_list import EndpointList, read_endpoint_list
from corkdoor.sidecar.discovery.errors import (
    AnswerStalledError,
    AnswerTooLargeError,
    AnswerTruncatedError,
    AnswerUnreadableError,
    CallRejectedError,
    ConnectionClosedError,
)
from corkdoor.sidecar.discovery.json_memory import close_decoding_bytes, decoding_bytes
from corkdoor.sidecar.memory_budget import MemoryBudget
from corkdoor.sidecar.transport.connector import connect
from corkdoor.sidecar.upstream.connection import Connection
from corkdoor.sidecar.upstream.connection_state import RESPONSE_BEGUN, ConnectionState
from corkdoor.sidecar.upstream.response import Response

MAX_LIST_BYTES = 2 << 20  # limit of the body of one response; an endpoint takes about 200 bytes
# Discovery writes a response in one go. One that stops for longer than this is not continued.
STALL_TIMEOUT_S = 0.3
LIST_PATH = "/discovery/hosts"


@dataclass(frozen=True, slots=True)
class PollRequest:
    """A request for the complete list, to which discovery responds at once."""

    @property
    def target(self) -> str:
        """The path and query of the request."""
        return LIST_PATH

    @property
    def wait_us(self) -> int:
        """How long discovery may wait for a change, in microseconds."""
        return 0


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """A request for the changes after a version of the list, to which discovery responds once there are any.

    Attributes:
        generation: the version that is known.
        wait_ms: the time after which discovery responds even without changes, in milliseconds.
    """

    generation: int
    wait_ms: int

    @property
    def target(self) -> str:
        """The path and query of the request."""
        return f"{LIST_PATH}?after={self.generation}&wait_ms={self.wait_ms}"

    @property
    def wait_us(self) -> int:
        """How long discovery may wait for a change, in microseconds."""
        return self.wait_ms * 1000


DiscoveryRequest = PollRequest | WatchRequest


class DiscoveryClient:
    """Calls discovery at one address, one call at a time, on a connection that stays open between calls.

    Args:
        host: discovery's host.
        port: discovery's port.
        budget: limits the memory that reading endpoint lists takes.
    """

    def __init__(self, host: str, port: int, budget: MemoryBudget) -> None:
        self.budget = budget
        self.host = host
        self.port = port
        self._connection: Connection | None = None
        self._pending_response: asyncio.Future[Response] | None = None

    async def call(self, request: DiscoveryRequest, connect_timeout_s: float) -> EndpointList:
        """Send a request on the open connection or on a new one, and return the list in the response.

        Raises:
            DiscoveryError: the call failed; the class of the error says how.
            OSError: the connection could not be opened.
            TimeoutError: the connection was not open within `connect_timeout_s` seconds.
            OverflowError: the list holds a number that is too large.
        """
        try:
            response = await self._exchange(request, connect_timeout_s)
        except asyncio.CancelledError:
            self.close()  # the response would be taken for that of the next call
            raise
        if response.status != HTTPStatus.OK:
            raise CallRejectedError(response.status)
        try:
            return self._read_list(response.body)
        except (ValueError, RecursionError) as error:
            raise AnswerUnreadableError(str(error)) from None

    def _read_list(self, text: bytes) -> EndpointList:
        if not self.budget.has_room(len(text) + decoding_bytes(text)):
            needed_bytes = len(text) + close_decoding_bytes(text)
            if not self.budget.has_room(needed_bytes):
                self.budget.refusals += 1
                raise AnswerTooLargeError(needed_bytes)
        return read_endpoint_list(json.loads(text))

    async def _exchange(self, request: DiscoveryRequest, connect_timeout_s: float) -> Response:
        connection = await self._connect(connect_timeout_s)
        self._pending_response = asyncio.get_running_loop().create_future()
        head = f"GET {request.target} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n"
        connection.send(head.encode())
        try:
            return await self._wait_for_response(self._pending_response, connection)
        finally:
            self._pending_response = None  # it would keep the response until the next call

    async def _connect(self, timeout_s: float) -> Connection:
        if self._connection is None or self._connection.closed:
            opened = Connection(self, self.budget, MAX_LIST_BYTES)
            async with asyncio.timeout(timeout_s):
                await connect(opened, self.host, self.port)
            self._connection = opened
        return self._connection

    async def _wait_for_response(
        self, response: asyncio.Future[Response], connection: Connection
    ) -> Response:
        """Wait for the response. It may start late, but must not stall once it has started."""
        while not (await asyncio.wait((response,), timeout=STALL_TIMEOUT_S))[0]:
            if connection.stalled_since(now_us() - int(STALL_TIMEOUT_S * 1e6)):
                raise AnswerStalledError(STALL_TIMEOUT_S)
        return response.result()

    def close(self) -> None:
        """Close the connection. A response that is still pending is lost."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def on_response(self, connection: Connection, response: Response, reusable: bool) -> None:
        """Complete the call with the response that its connection received."""
        del connection, reusable  # only one connection is open, and it reports its own loss
        if self._pending_response is not None and not self._pending_response.done():
            self._pending_response.set_result(response)

    def on_lost(self, connection: Connection, last_state: ConnectionState) -> None:
        """Fail the call whose connection closed."""
        del connection  # only one connection is open
        if self._pending_response is not None and not self._pending_response.done():
            response_began = last_state in RESPONSE_BEGUN
            self._pending_response.set_exception(
                AnswerTruncatedError() if response_began else ConnectionClosedError()
            )
