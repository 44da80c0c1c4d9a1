"""Parsing of a client's input into requests, with limits on their size."""

from __future__ import annotations

from http import HTTPStatus
from typing import NoReturn, Protocol

import httptools

from corkdoor.sidecar.clients.backlog import PARSE_CHUNK_BYTES, IncomingRequest
from corkdoor.sidecar.clients.errors import HTTPError
from corkdoor.sidecar.clients.states import INPUT_TRANSITIONS, InputState
from corkdoor.sidecar.http_fields import OPTIONAL_WHITESPACE
from corkdoor.sidecar.http_lines import (
    PROTOCOL_BYTES,
    head_end,
    is_request_line_end,
    line_end,
    names_other_protocol,
)
from corkdoor.sidecar.memory_budget import HEADER_FIELD_BYTES, MESSAGE_BYTES, growing_bytes

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
HEADER_OVERHEAD_BYTES = 32  # added to the size of each header, since many tiny headers fill memory too
HEAD_TOO_LONG = "the headers are too long"
BODY_TOO_LONG = "the body is too long"
OTHER_PROTOCOL = "HTTP/1.0 or 1.1 only"
HTTP_VERSIONS = ("1.0", "1.1")
IDLE, HEAD, BODY, ENDED, TRUNCATED, CLOSED = InputState  # module-level names: looking up enum members is slow
HEAD_STATES = frozenset((IDLE, HEAD))
FRAMING_FIELDS = frozenset((b"content-length", b"transfer-encoding"))
MESSAGE_STATES = frozenset((HEAD, BODY))
RECEIVING_STATES = MESSAGE_STATES | {TRUNCATED}
FINAL_STATES = frozenset((ENDED, TRUNCATED, CLOSED))


class RequestSink(Protocol):
    """Receives the parsed requests."""

    def on_request_begin(self) -> None:
        """The first byte of a request has been parsed."""
        ...

    def on_request_complete(self, request: IncomingRequest) -> None:
        """A request has been parsed to its last byte."""
        ...

    def on_request_discarded(self, keep_alive: bool) -> None:
        """A request of which nothing was kept has been parsed to its last byte."""
        ...


class _NullSink:
    """Ignores the parsed requests."""

    def on_request_begin(self) -> None: ...

    def on_request_complete(self, request: IncomingRequest) -> None: ...

    def on_request_discarded(self, keep_alive: bool) -> None: ...


class RequestParser:
    """Parses one connection's input. httptools calls the methods that are named after its callbacks.

    Args:
        sink: receives the requests.

    Attributes:
        discards: whether nothing is kept of the requests that are parsed.
    """

    __slots__ = (
        "_arrived_us",
        "_body",
        "_body_bytes",
        "_error",
        "_head_bytes",
        "_headers",
        "_is_discarded",
        "_is_first_line_complete",
        "_line_tail",
        "_parser",
        "_received_body_bytes",
        "_sink",
        "_target",
        "_unfinished_bytes",
        "discards",
        "state",
    )

    def __init__(self, sink: RequestSink) -> None:
        self.state = IDLE
        self.discards = False
        self._is_discarded = False  # whether any part of the current request was not kept
        self._sink: RequestSink | None = sink
        self._error: HTTPError | None = None  # raised in a callback; httptools raises its own error instead
        self._arrived_us = 0
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        # Bytes fed of a head that is not complete, or of what follows the last part of a chunked body.
        self._unfinished_bytes = 0
        self._body = bytearray()
        self._received_body_bytes = 0
        self._body_bytes = 0  # the length that the request states for its body
        self._is_first_line_complete = False
        self._line_tail = b""  # the end of the first line, as far as it has arrived
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)

    @property
    def is_receiving(self) -> bool:
        """Whether the input is in the middle of a request, or has ended there."""
        return self.state in RECEIVING_STATES

    @property
    def is_discarding(self) -> bool:
        """Whether the input is in the middle of a request that is discarded."""
        return self._is_discarded

    @property
    def memory_bytes(self) -> int:
        """The memory that an incomplete request takes."""
        return self._message_bytes() + self._unfinished_bytes if self.state in MESSAGE_STATES else 0

    @property
    def has_ended(self) -> bool:
        """Whether no further input is parsed."""
        return self.state in FINAL_STATES

    def feed(self, data: bytes | memoryview, arrived_us: int) -> None:
        """Parse the next input, which arrived at `arrived_us`.

        Raises:
            HTTPError: the input can't be parsed, or exceeds a limit.
        """
        parser = self._parser
        if parser is None:
            return
        self._arrived_us = arrived_us
        if self.discards and self.state in MESSAGE_STATES:
            self._discard_parts()
        was_in_head, body_bytes = self.state in HEAD_STATES, self._received_body_bytes
        upgrade_requested = False
        try:
            self._feed(parser, bytes(data))
        except httptools.HttpParserUpgrade:
            upgrade_requested = True  # the request is complete, and its response closes the connection
        except httptools.HttpParserError:
            raise self._error or HTTPError(HTTPStatus.BAD_REQUEST, "malformed HTTP") from None
        self._count_unfinished(len(data), was_in_head, body_bytes)
        if upgrade_requested:
            self.end()

    def _feed(self, parser: httptools.HttpRequestParser, data: bytes) -> None:
        """Feed input: in one step if it begins between two requests and names no other protocol."""
        if self.state is not IDLE or self._line_tail or names_other_protocol(data):
            self._feed_steps(parser, data)
            return
        parser.feed_data(data)
        if self.state is HEAD:
            self._find_first_line(data)
        else:
            self._is_first_line_complete = self.state is not IDLE

    def _find_first_line(self, data: bytes) -> None:
        """Find out by parsing again in steps how much of the current request's first line is in `data`."""
        other = RequestParser(_NullSink())
        if other._parser is not None:
            other._feed_steps(other._parser, data)
        self._is_first_line_complete, self._line_tail = other._is_first_line_complete, other._line_tail
        other.close()

    def _feed_steps(self, parser: httptools.HttpRequestParser, data: bytes) -> None:
        """Feed input in steps of which each ends where a request line or a request may end."""
        start = 0
        while start < len(data):
            end = self._step_end(data, start)
            step = data[start:end]
            parser.feed_data(step)
            if not self._is_first_line_complete:
                self._check_first_line(step)
            start = end

    def _step_end(self, data: bytes, start: int) -> int:
        """Return the index behind the step that begins at `start`."""
        missing_body_bytes = self._body_bytes - self._received_body_bytes
        if self.state is BODY and missing_body_bytes > 0:
            return start + missing_body_bytes
        if self.state is HEAD and self._is_first_line_complete and start:
            return head_end(data, start)
        return line_end(data, start)

    def _check_first_line(self, step: bytes) -> None:
        """Reject a request line of a protocol that httptools parses as well."""
        if self.state is IDLE:
            return  # empty lines before a request
        self._line_tail = (self._line_tail + step)[-PROTOCOL_BYTES:]
        if not step.endswith(b"\n"):
            return
        self._is_first_line_complete = True
        if not is_request_line_end(self._line_tail):
            raise HTTPError(HTTPStatus.BAD_REQUEST, OTHER_PROTOCOL)

    def end(self) -> None:
        """Parse no further input."""
        if self.has_ended:
            return
        ending = TRUNCATED if self.is_receiving else ENDED
        self.state = INPUT_TRANSITIONS.check(self.state, ending)
        self._parser = None  # it keeps an unfinished line
        self._discard_request()

    def close(self) -> None:
        """Parse no further input, and drop the sink, which refers back to the parser."""
        self.end()
        if self.state is not CLOSED:
            self.state = INPUT_TRANSITIONS.check(self.state, CLOSED)
        self._sink = None

    def on_message_begin(self) -> None:
        """Start a request, and notify the sink."""
        self.state = INPUT_TRANSITIONS.check(self.state, HEAD)
        self._head_bytes = self._unfinished_bytes = 0
        self._is_discarded = self.discards
        if self._sink is not None:
            self._sink.on_request_begin()

    def on_url(self, target: bytes) -> None:
        """Append a part of the request target, within the size limit of the head."""
        if not self._is_discarded:
            self._target += target
        self._head_bytes += len(target)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, HEAD_TOO_LONG)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header. A trailer after a chunked body counts towards the limit, but is not forwarded."""
        if self.state is HEAD:
            value = value.strip(OPTIONAL_WHITESPACE)  # httptools keeps trailing spaces
            key = name.lower()
            if key in FRAMING_FIELDS:
                self._check_framing(key, value)
            if not self._is_discarded:
                self._headers.append((name, value))
        self._head_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, HEAD_TOO_LONG)

    def on_headers_complete(self) -> None:
        """Check the HTTP version."""
        self.state = INPUT_TRANSITIONS.check(self.state, BODY)
        if self._parser is not None and self._parser.get_http_version() not in HTTP_VERSIONS:
            self._fail(HTTPStatus.BAD_REQUEST, OTHER_PROTOCOL)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, within the limit."""
        self._received_body_bytes += len(body)
        if self._received_body_bytes > MAX_BODY_BYTES:
            self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, BODY_TOO_LONG)
        if not self._is_discarded:
            self._body += body

    def on_message_complete(self) -> None:
        """Pass the complete request to the sink."""
        parser = self._parser
        if parser is None or self._sink is None:
            return
        self.state = INPUT_TRANSITIONS.check(self.state, IDLE)
        keep_alive = parser.should_keep_alive() and not parser.should_upgrade()
        if self._is_discarded:
            self._discard_request()
            self._sink.on_request_discarded(keep_alive)
            return
        method, body = parser.get_method(), bytes(self._body)
        memory_bytes = self._message_bytes()
        request = IncomingRequest(
            method, self._target, self._headers, body, keep_alive, self._arrived_us, memory_bytes
        )
        self._discard_request()
        self._sink.on_request_complete(request)

    def _message_bytes(self) -> int:
        """Return the memory that the request takes as far as it has been parsed."""
        if self._is_discarded:
            return MESSAGE_BYTES
        fields_bytes = len(self._headers) * (HEADER_FIELD_BYTES - HEADER_OVERHEAD_BYTES)
        return MESSAGE_BYTES + fields_bytes + self._head_bytes + growing_bytes(len(self._body))

    def _check_framing(self, key: bytes, value: bytes) -> None:
        """Check the transfer coding, and the length of the body, if this header states it."""
        if key == b"transfer-encoding" and value.lower() != b"chunked":
            # httptools accepts other codings.
            self._fail(HTTPStatus.BAD_REQUEST, "transfer-encoding: chunked only")
        if key == b"content-length":
            self._body_bytes = int(value)  # httptools has checked the digits
            if self._body_bytes > MAX_BODY_BYTES:
                self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, BODY_TOO_LONG)

    def _discard_parts(self) -> None:
        """Keep nothing of the current request; its limits still count what has been parsed."""
        self._is_discarded = True
        self._target, self._headers, self._body = b"", [], bytearray()

    def _discard_request(self) -> None:
        self._target, self._headers, self._body = b"", [], bytearray()
        self._is_discarded = False
        self._head_bytes = self._unfinished_bytes = self._body_bytes = self._received_body_bytes = 0
        self._is_first_line_complete, self._line_tail = False, b""
        self._error = None  # its traceback refers to the input

    def _count_unfinished(self, size: int, was_in_head: bool, body_bytes: int) -> None:
        """Limit the size of an unterminated line, of which httptools reports nothing before its end.

        The line may be one of the head, or one of the trailers after a chunked body.
        """
        in_head = was_in_head and self.state in HEAD_STATES
        after_body = not was_in_head and self.state is BODY and self._received_body_bytes == body_bytes
        self._unfinished_bytes = self._unfinished_bytes + size if in_head or after_body else 0
        if self._unfinished_bytes > MAX_HEAD_BYTES + PARSE_CHUNK_BYTES:
            raise HTTPError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, HEAD_TOO_LONG)

    def _fail(self, status: HTTPStatus, reason: str) -> NoReturn:
        self._error = HTTPError(status, reason)
        raise self._error
