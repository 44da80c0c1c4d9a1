"""A client's input: reading, parsing within the memory budget, and the requests that wait to be served."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from corkdoor.sidecar.clients.backlog import PARSE_CHUNK_BYTES, Backlog, IncomingRequest
from corkdoor.sidecar.clients.errors import HTTPError
from corkdoor.sidecar.clients.read_flow import ReadFlow
from corkdoor.sidecar.clients.request_parser import RequestParser
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.memory_budget import (
    MAX_EXPANSION,
    READ_AHEAD_SHARE,
    REQUEST_SHARE,
    MemoryBudget,
    MemoryReservation,
)
from corkdoor.sidecar.proxied_request import ProxiedRequest
from corkdoor.sidecar.transport.stream import StreamTransport


# Unread input hides a client's close, which is behind it. After this time the client may have disconnected
# for too long: an attempt must begin within 0.1 s of the close.
MAX_UNREAD_US = 50_000


class InputOwner(Protocol):
    """The connection to which the input belongs."""

    current_request: ProxiedRequest | None

    def on_request_begin(self) -> None:
        """The first byte of a request has been parsed."""
        ...

    def reject(self, error: HTTPError) -> None:
        """Respond with an error, and end the input."""
        ...

    def reject_input(self, error: HTTPError) -> None:
        """Reject input that is malformed or too large, and with it the request before it."""
        ...


class RequestInput:
    """Turns the bytes that a client sends into requests, one after another.

    Args:
        owner: the connection; it serves the requests.
        budget: limits the memory that the input of all clients takes.
    """

    __slots__ = (
        "_arrived_us",
        "_backlog",
        "_memory",
        "_owner",
        "_parser",
        "_read_flow",
        "_transport",
        "read_us",
    )

    def __init__(self, owner: InputOwner, budget: MemoryBudget) -> None:
        now = now_us()
        self.read_us = now  # when input was last read
        self._arrived_us = now  # earliest arrival of the input that is being parsed, or was read last
        self._owner = owner
        self._memory = MemoryReservation(budget)
        self._backlog = Backlog()
        self._parser = RequestParser(self)

    def attach(self, transport: StreamTransport) -> None:
        """Use this transport, from which the owner receives the input."""
        self._transport = transport
        self._read_flow = ReadFlow(transport)

    # State of the input.

    @property
    def is_receiving(self) -> bool:
        """Whether the last request has been received only in part."""
        return self._parser.is_receiving

    @property
    def is_paused(self) -> bool:
        """Whether reading is paused."""
        return self._read_flow.is_paused

    @property
    def has_ended(self) -> bool:
        """Whether no further input is parsed."""
        return self._parser.has_ended

    @property
    def has_backlog(self) -> bool:
        """Whether any input that was read waits behind the request that is being served."""
        return bool(self._backlog)

    @property
    def waiting_requests(self) -> int:
        """The number of complete requests that wait behind the one that is being served."""
        return len(self._backlog.requests)

    @property
    def holds_memory(self) -> bool:
        """Whether any of the memory budget is reserved for input or output."""
        return self._memory.held_bytes > 0

    def may_hide_disconnect(self) -> bool:
        """Whether input has been unread for so long that the client may have disconnected behind it."""
        return self._read_flow.is_paused and self._read_flow.unread_us() > MAX_UNREAD_US

    # Reading and parsing.

    def receive(self, data: bytes) -> None:
        """Take input that was read, and parse it as far as it may be parsed now."""
        self.read_us = now_us()
        self._arrived_us = self._read_flow.record_read(len(data), self.read_us)
        self._backlog.add_input(data)
        self.parse()

    def parse(self) -> None:
        """Parse the input that was read, within the limit on waiting requests and the memory budget."""
        backlog, parser = self._backlog, self._parser
        while backlog.unparsed and not backlog.is_full and not parser.has_ended:
            if not self._has_memory_to_parse():
                self._wait_for_memory()
                return
            try:
                parser.feed(backlog.take_chunk(), self._arrived_us)
            except HTTPError as error:
                self._owner.reject_input(error)
            if backlog.unparsed:
                self.update_memory()

    def take_request(self) -> IncomingRequest | None:
        """Remove and return the request to serve next; None: no complete request waits."""
        return self._backlog.requests.pop(0) if self._backlog.requests else None

    def pause(self) -> None:
        """Stop reading, and leave input in the kernel."""
        self._read_flow.pause()

    def pause_if_behind(self) -> None:
        """Stop reading if input that was read can't be parsed yet."""
        if self._is_behind():
            self._read_flow.pause()

    def resume(self) -> None:
        """Resume reading."""
        self._read_flow.resume()

    def resume_unless_behind(self) -> None:
        """Resume reading if all input that was read has been parsed."""
        if not self._is_behind():
            self._read_flow.resume()

    def end(self) -> None:
        """Parse no further input, and discard the requests that wait."""
        self._parser.end()
        self._backlog.clear()
        self.update_memory()

    def end_parsing(self) -> None:
        """Parse no further input."""
        self._parser.end()

    def close(self) -> None:
        """Release the memory and the parser, which refers back to this object."""
        self._parser.close()
        self._memory.release()

    def update_memory(self) -> None:
        """Reserve the memory that the input takes now, and the output that the client has not read."""
        input_bytes = self._backlog.memory_bytes + self._parser.memory_bytes
        self._memory.resize(input_bytes + self._transport.buffered_bytes())

    # Methods of `RequestSink`, which the parser calls.

    def on_request_begin(self) -> None:
        """Notify the owner."""
        self._owner.on_request_begin()

    def on_request_complete(self, request: IncomingRequest) -> None:
        """Queue a request; it is served after all input of the same read has been parsed."""
        self._backlog.requests.append(request)

    # Limits.

    def _is_behind(self) -> bool:
        return bool(self._backlog.unparsed) or self._backlog.is_full

    def _has_memory_to_parse(self) -> bool:
        """Whether the budget has room for whatever the next chunk of input may become."""
        size = MAX_EXPANSION * min(len(self._backlog.unparsed), PARSE_CHUNK_BYTES)
        return self._memory.budget.has_room(size, READ_AHEAD_SHARE if self._has_request() else REQUEST_SHARE)

    def _has_request(self) -> bool:
        """Whether a complete request is being served or waits."""
        return self._owner.current_request is not None or bool(self._backlog.requests)

    def _wait_for_memory(self) -> None:
        """Leave the input unparsed until the requests before it have their responses.

        If there are none, the input is rejected.
        """
        if self._has_request():
            return
        self._memory.budget.refusals += 1
        # 503 promises that the request was not forwarded.
        self._owner.reject(HTTPError(HTTPStatus.SERVICE_UNAVAILABLE, "no memory is left"))
