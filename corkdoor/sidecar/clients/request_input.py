"""A client's input: reading, parsing within the memory budget, and the requests that wait to be served."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from corkdoor.sidecar.clients.backlog import (
    PARSE_CHUNK_BYTES,
    Backlog,
    DiscardedRequest,
    IncomingRequest,
)
from corkdoor.sidecar.clients.discard_quota import REQUEST_BYTES, DiscardQuota
from corkdoor.sidecar.clients.errors import HTTPError
from corkdoor.sidecar.clients.read_flow import ReadFlow
from corkdoor.sidecar.clients.request_parser import MAX_HEAD_BYTES, RequestParser
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.memory_budget import (
    MAX_EXPANSION,
    READ_AHEAD_SHARE,
    READ_ON_SHARE,
    REQUEST_SHARE,
    MemoryBudget,
    MemoryReservation,
)
from corkdoor.sidecar.proxied_request import ProxiedRequest
from corkdoor.sidecar.transport.stream import StreamTransport

NO_MEMORY = "no memory is left"
# Unread input hides a client's close, which is behind it. After this time the client may have disconnected
# for too long: an attempt must begin within 0.1 s of the close.
MAX_UNREAD_US = 50_000
MAX_READ_ON_BYTES = 4 << 20  # what is read in one go at most: as much as a client's kernel buffers by default
# The memory that parsing may take where nothing is kept: an unfinished line, and a chunk of input.
DISCARD_BYTES = MAX_HEAD_BYTES + 2 * PARSE_CHUNK_BYTES


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
        discard_quota: limits the input of all clients that is parsed only to be discarded.
    """

    __slots__ = (
        "_backlog",
        "_discard_quota",
        "_error",
        "_memory",
        "_owner",
        "_parser",
        "_read_flow",
        "_transport",
        "read_us",
    )

    def __init__(self, owner: InputOwner, budget: MemoryBudget, discard_quota: DiscardQuota) -> None:
        self.read_us = now_us()  # when input was last read
        self._error: HTTPError | None = None  # what is wrong with the input behind all complete requests
        self._owner = owner
        self._memory = MemoryReservation(budget)
        self._discard_quota = discard_quota
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
        return bool(self._backlog) or self._error is not None

    @property
    def waiting_requests(self) -> int:
        """The number of complete requests that wait behind the one that is being served."""
        return self._backlog.waiting_requests

    @property
    def holds_memory(self) -> bool:
        """Whether any of the memory budget is reserved for input or output."""
        return self._memory.held_bytes > 0

    def may_hide_disconnect(self) -> bool:
        """Whether input has been unread for so long that the client may have disconnected behind it."""
        return self._read_flow.unread_us() > MAX_UNREAD_US

    # Reading and parsing.

    def receive(self, data: bytes) -> None:
        """Take input that was read, and parse it as far as it may be parsed now."""
        self.read_us = now_us()
        arrived_us = self._read_flow.record_read(len(data), self.read_us)
        if self._may_parse_at_once(len(data)):
            self._feed(data, arrived_us)
        else:
            self._backlog.add_input(data, arrived_us)
            self.parse()

    def parse(self) -> None:
        """Parse the input that was read, within the limit on waiting requests and the memory budget."""
        backlog, parser = self._backlog, self._parser
        while backlog.unparsed_chunks and not backlog.is_full and not parser.has_ended:
            parser.discards = not self._has_memory_to_parse(backlog.next_chunk_bytes())
            if parser.discards and not self._may_discard_next():
                self._wait_for_memory()
                return
            self._feed(*backlog.take_chunk())
            if backlog.unparsed_chunks:
                self.update_memory()

    def _may_parse_at_once(self, size: int) -> bool:
        """Whether input of this size need not wait: nothing is before it, and the budget has room."""
        backlog = self._backlog
        if backlog or size > PARSE_CHUNK_BYTES or not self._has_memory_to_parse(size):
            return False
        self._parser.discards = False
        return True

    def _feed(self, data: bytes, arrived_us: int) -> None:
        try:
            self._parser.feed(data, arrived_us)
        except HTTPError as error:
            self._owner.reject_input(error)

    def read_on(self, may_discard: bool) -> None:
        """Read input while reading is paused, because the client's close may be behind it.

        Input is kept unparsed as far as the budget has room. What has no room stays in the kernel, unless it
        may be discarded: then it is parsed, so that each request can be rejected in its turn.
        """
        read_bytes = 0
        while read_bytes < MAX_READ_ON_BYTES:
            has_room = self._memory.budget.has_room(PARSE_CHUNK_BYTES, READ_ON_SHARE)
            if not has_room and not (may_discard and self._may_discard()):
                return
            data = self._transport.read_now()
            now = now_us()
            if not data:
                self._read_flow.record_empty(now)
                return
            self.read_us = now
            read_bytes += len(data)
            arrived_us = self._read_flow.record_read(len(data), now)
            if self._error is not None or self.has_ended:
                continue  # nothing behind an error is served
            self._backlog.add_input(data, arrived_us)
            if not has_room:
                self._discard_quota.use(len(data))
                self._parse_all()
            self.update_memory()

    def _parse_all(self) -> None:
        """Parse the input that was read, whatever waits before it, and keep what the budget has room for."""
        backlog, parser = self._backlog, self._parser
        while backlog.unparsed_chunks:
            parser.discards = not self._has_memory_to_keep()
            chunk = backlog.take_chunk()
            try:
                parser.feed(chunk.data, chunk.arrived_us)
            except HTTPError as error:
                self._error = error
                backlog.drop_unparsed()
            self.update_memory()

    def take_request(self) -> IncomingRequest | DiscardedRequest | HTTPError | None:
        """Remove and return the request to serve next, or the error behind the last one.

        None: no complete request waits.
        """
        request = self._backlog.take_request()
        if request is None and self._error is not None:
            error, self._error = self._error, None
            return error
        return request

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
        self._error = None
        self._backlog.clear()
        self.update_memory()

    def end_parsing(self) -> None:
        """Parse no further input."""
        self._parser.end()

    def close(self) -> None:
        """Release the memory, and drop the parser and the owner, which refer back to this object."""
        self._parser.close()
        self._backlog.clear()
        del self._owner
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
        self._backlog.add_request(request)

    def on_request_discarded(self, keep_alive: bool) -> None:
        """Queue the rejection of a request of which nothing was kept."""
        self._memory.budget.refusals += 1
        self._discard_quota.use(REQUEST_BYTES)
        self._backlog.add_discarded_request(keep_alive)

    # Limits.

    def _is_behind(self) -> bool:
        return self._backlog.unparsed_chunks > 0 or self._backlog.is_full or self._error is not None

    def _has_memory_to_parse(self, size: int) -> bool:
        """Whether the budget has room for whatever input of this size may become."""
        needed_bytes = MAX_EXPANSION * size
        return self._memory.budget.has_room(
            needed_bytes, READ_AHEAD_SHARE if self._has_request() else REQUEST_SHARE
        )

    def _has_request(self) -> bool:
        """Whether a complete request is being served or waits."""
        return self._owner.current_request is not None or self._backlog.has_requests

    def _has_memory_to_keep(self) -> bool:
        """Whether what the next chunk of input becomes is kept, although other requests wait before it.

        Input that was read on takes memory already. It may become larger while others take less than their
        share of read-ahead.
        """
        budget, size = self._memory.budget, MAX_EXPANSION * self._backlog.next_chunk_bytes()
        return budget.has_room(0, READ_AHEAD_SHARE) and budget.has_room(size, REQUEST_SHARE)

    def _may_discard(self) -> bool:
        """Whether input may be parsed where nothing of it is kept."""
        return self._has_memory_to_discard() and self._discard_quota.is_available(now_us())

    def _has_memory_to_discard(self) -> bool:
        """Whether the budget has room for parsing where nothing is kept."""
        return self._memory.budget.has_room(DISCARD_BYTES)

    def _may_discard_next(self) -> bool:
        """Whether the next chunk is parsed without memory for what it may become.

        That is so where a part of its request is discarded already, and for input that was read on: it is not
        left to a single rejection of all of it.
        """
        is_read_on = not self._has_request() and self._backlog.unparsed_chunks > 1
        return (self._parser.is_discarding or is_read_on) and self._has_memory_to_discard()

    def _wait_for_memory(self) -> None:
        """Leave the input unparsed until the requests before it have their responses.

        If there are none, the input is rejected.
        """
        if self._has_request():
            return
        self._memory.budget.refusals += 1
        # 503 promises that the request was not forwarded.
        self._owner.reject(HTTPError(HTTPStatus.SERVICE_UNAVAILABLE, NO_MEMORY))
