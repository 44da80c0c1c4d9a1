"""Parses the responses of one connection, without I/O; framing follows RFC 9112, 6.3.

A response ends at its stated length, at its last chunk, or when the peer closes the connection. A reset
leaves the response incomplete.
"""

from __future__ import annotations

from enum import IntEnum, auto

import httptools

from corkdoor.sidecar.http_fields import OPTIONAL_WHITESPACE
from corkdoor.sidecar.http_lines import (
    PROTOCOL_BYTES,
    begins_with_final_status,
    head_end,
    is_status_line_begin,
    line_end,
)
from corkdoor.sidecar.memory_budget import (
    HEADER_FIELD_BYTES,
    MAX_EXPANSION,
    MESSAGE_BYTES,
    MemoryBudget,
    MemoryReservation,
    growing_bytes,
)
from corkdoor.sidecar.upstream.errors import (
    BodyTooLargeError,
    HeadTooLargeError,
    MalformedResponseError,
    MemoryShortageError,
    ResponseError,
)
from corkdoor.sidecar.upstream.response import Response
from corkdoor.state_machine import TransitionTable

MAX_BODY_BYTES = 64 * 1024  # the limit that the protocol sets
# The limit of one head, including all interim responses before it, and of what follows the last part of a
# chunked body. It is checked only after a step of HEAD_STEP_BYTES that leaves it incomplete.
MAX_HEAD_BYTES = 16 * 1024
HEAD_STEP_BYTES = 4 * 1024  # bytes of a head parsed in one step
# Copies of a body: the one that grows, and the one in the complete response.
BODY_COPIES = 2
_FIRST_FINAL_STATUS = 200  # lower statuses are interim: RFC 9110, 15


class ResponsePhase(IntEnum):
    """The progress of a response."""

    HEAD = auto()
    BODY = auto()  # a body whose end is stated, by a length or by chunks
    BODY_UNTIL_CLOSE = auto()  # a body that ends with the connection
    COMPLETE = auto()


HEAD, BODY, BODY_UNTIL_CLOSE, COMPLETE = ResponsePhase  # module-level names: looking up enum members is slow
RESPONSE_PHASES = TransitionTable(
    "response",
    {
        HEAD: frozenset((BODY, BODY_UNTIL_CLOSE)),
        BODY: frozenset((COMPLETE,)),
        BODY_UNTIL_CLOSE: frozenset((COMPLETE,)),
        COMPLETE: frozenset(),
    },
)


class _PartialResponse:
    """The response that is being read.

    Attributes:
        phase: the progress of the response.
        headers: the header fields.
        is_status_line_complete: whether the status line has arrived; an interim response has one of its own.
        line_begin: the beginning of the status line, as far as it has arrived.
        head_bytes: the bytes of the head received so far, including interim responses.
        framing_bytes: the bytes received since the last part of the body.
        body: the part of the body received so far.
        keep_alive: whether another exchange may follow on the connection.
        complete: the complete response; None: it is incomplete.
    """

    __slots__ = (
        "body", "complete", "framing_bytes", "head_bytes", "headers", "is_status_line_complete", "keep_alive",
        "line_begin", "phase",
    )  # fmt: skip

    def __init__(self) -> None:
        self.phase: ResponsePhase = HEAD
        self.headers: list[tuple[bytes, bytes]] = []
        self.is_status_line_complete = False
        self.line_begin = b""
        self.head_bytes = 0
        self.framing_bytes = 0
        self.body = bytearray()
        self.keep_alive = False
        self.complete: Response | None = None

    @property
    def memory_bytes(self) -> int:
        """The memory that the response takes, with the copy of its body in the complete response."""
        unparsed_bytes = self.head_bytes + self.framing_bytes
        body_bytes = BODY_COPIES * growing_bytes(len(self.body))
        return MESSAGE_BYTES + len(self.headers) * HEADER_FIELD_BYTES + unparsed_bytes + body_bytes


class ResponseReader:
    """Parses one response at a time; `reset` prepares for the next.

    Args:
        budget: limits the memory that all incomplete responses take together.
        max_body_bytes: the maximum size of one response body.
    """

    __slots__ = ("_max_body_bytes", "_memory", "_parser", "_partial")

    def __init__(self, budget: MemoryBudget, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._memory = MemoryReservation(budget)
        self._max_body_bytes = max_body_bytes
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._partial = _PartialResponse()

    @property
    def keep_alive(self) -> bool:
        """Whether the connection can be used again after the complete response."""
        return self._partial.keep_alive

    def feed(self, data: bytes) -> Response | None:
        """Parse bytes and return the response once it is complete.

        Raises:
            ResponseError: the bytes are not a usable response.
        """
        if self._parser is None:
            return None
        partial, rest = self._partial, memoryview(data)
        while rest and partial.complete is None:
            step = rest[:HEAD_STEP_BYTES] if partial.phase is HEAD else rest
            self._feed_step(self._parser, step)
            rest = rest[len(step) :]
        if rest:
            partial.keep_alive = False  # for the same reason as in `_feed_step`
        return partial.complete

    def _feed_step(self, parser: httptools.HttpResponseParser, data: memoryview) -> None:
        partial, size = self._partial, len(data)
        began_in_head, body_bytes = partial.phase is HEAD, len(partial.body)
        if not self._memory.budget.has_room(size * (MAX_EXPANSION if began_in_head else BODY_COPIES)):
            self._memory.budget.refusals += 1
            raise MemoryShortageError("no memory is left for a response")
        try:
            if began_in_head and not partial.head_bytes and begins_with_final_status(data):
                partial.is_status_line_complete = True  # and no other one follows
                parser.feed_data(data)
            else:
                self._feed_lines(parser, bytes(data))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Bytes after a complete response do not invalidate it, but the connection can't be used again.
            if partial.complete is None:
                raise _as_response_error(error) from None
            partial.keep_alive = False
        if partial.complete is None:
            if began_in_head:
                self._check_head_size(size)
            else:
                self._check_framing_size(size, len(partial.body) - body_bytes)
            self._memory.resize(partial.memory_bytes)

    def _feed_lines(self, parser: httptools.HttpResponseParser, data: bytes) -> None:
        """Feed input; each status line is a step of its own, and so is the rest of each head."""
        start, partial = 0, self._partial
        while start < len(data) and partial.phase is HEAD:
            in_status_line = not partial.is_status_line_complete
            end = line_end(data, start) if in_status_line or not start else head_end(data, start)
            step = data[start:end]
            parser.feed_data(step)
            if in_status_line:
                self._check_status_line(step)
            start = end
        if start < len(data):
            parser.feed_data(data[start:])

    def _check_status_line(self, step: bytes) -> None:
        """Reject a status line of a protocol that httptools parses as well."""
        partial = self._partial
        partial.line_begin = (partial.line_begin + step).lstrip(b"\r\n")[:PROTOCOL_BYTES]
        if not partial.line_begin or not step.endswith(b"\n"):
            return
        if not is_status_line_begin(partial.line_begin):
            raise MalformedResponseError("status line is not one of HTTP/1.0 or 1.1")
        partial.is_status_line_complete = True

    def feed_eof(self) -> Response | None:
        """Return the response that ends with the connection, if there is one."""
        partial = self._partial
        if self._parser is None or partial.phase is not BODY_UNTIL_CLOSE:
            return None
        self._finish(self._parser.get_status_code())
        return partial.complete

    def reset(self) -> None:
        """Discard the response and release its memory."""
        self._memory.release()
        self._partial = _PartialResponse()

    def close(self) -> None:
        """Discard the response and the parser.

        The parser refers to this object, which would leave a reference cycle.
        """
        self._parser = None
        self.reset()

    def _check_head_size(self, size: int) -> None:
        """Guard against a head or a series of interim responses that never ends."""
        partial = self._partial
        partial.head_bytes += size
        if partial.phase is HEAD and partial.head_bytes > MAX_HEAD_BYTES:
            raise HeadTooLargeError(f"response head exceeds {MAX_HEAD_BYTES} bytes")

    def _check_framing_size(self, size: int, body_size: int) -> None:
        """Guard against a line without an end among the chunks, or among the trailers behind them."""
        partial = self._partial
        partial.framing_bytes = 0 if body_size else partial.framing_bytes + size
        if partial.framing_bytes > MAX_HEAD_BYTES:
            raise HeadTooLargeError(f"what follows the response body exceeds {MAX_HEAD_BYTES} bytes")

    def _finish(self, status: int) -> None:
        partial = self._partial
        partial.complete = Response(status, partial.headers, bytes(partial.body))
        partial.phase = RESPONSE_PHASES.check(partial.phase, COMPLETE)

    # --- callbacks of the parser ---

    def on_message_begin(self) -> None:
        """Start a message; none may follow a complete response."""
        if self._partial.complete is not None:
            raise MalformedResponseError("second response to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; trailers of a chunked body are dropped."""
        if self._partial.phase is HEAD:
            self._partial.headers.append((name, value.strip(OPTIONAL_WHITESPACE)))

    def on_headers_complete(self) -> None:
        """Determine how the body ends."""
        if self._parser is None or self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            return
        partial, length = self._partial, self._content_length()
        partial.phase = RESPONSE_PHASES.check(partial.phase, BODY_UNTIL_CLOSE if length is None else BODY)
        if length is not None and length > self._max_body_bytes:
            raise BodyTooLargeError("response body too large")

    def _content_length(self) -> int | None:
        """Return the stated length (RFC 9112, 6.3); 0: the body is chunked; None: no length is stated."""
        length: int | None = None
        for name, value in self._partial.headers:
            key = name.lower()
            if key == b"transfer-encoding":
                if value.lower() != b"chunked":
                    raise MalformedResponseError("transfer coding must be chunked")
                return 0
            if key == b"content-length":
                length = int(value)  # the parser has checked that it consists of digits and is stated once
        return length

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        held = self._partial.body
        if len(held) + len(body) > self._max_body_bytes:
            raise BodyTooLargeError("response body too large")
        held += body

    def on_message_complete(self) -> None:
        """Complete the response; after an interim response, start with a new head."""
        parser = self._parser
        if parser is None:
            return
        status = parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            self._partial.headers = []
            self._partial.is_status_line_complete, self._partial.line_begin = False, b""
            return
        self._partial.keep_alive = parser.should_keep_alive()  # a later call would refer to the next message
        self._finish(status)


def _as_response_error(error: Exception) -> ResponseError:
    """Return the error that a callback raised, or one with the message of the parser's own error."""
    cause = error.__context__
    return cause if isinstance(cause, ResponseError) else MalformedResponseError(str(cause or error))
