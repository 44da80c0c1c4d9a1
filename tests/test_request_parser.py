"""The parser of client requests: its states, its limits, and the requests that it passes on."""

from __future__ import annotations

import sys
import tracemalloc

import pytest

from corkdoor.sidecar.clients.backlog import PARSE_CHUNK_BYTES, IncomingRequest
from corkdoor.sidecar.clients.errors import HTTPError
from corkdoor.sidecar.clients.request_parser import MAX_BODY_BYTES, MAX_HEAD_BYTES, RequestParser
from corkdoor.sidecar.clients.states import InputState
from corkdoor.sidecar.memory_budget import MAX_EXPANSION

REQUEST = b"POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
NOW_US = 1_000


class RecordingSink:
    """Records the requests that the parser passes on."""

    def __init__(self) -> None:
        self.begun_count = 0
        self.discarded_count = 0
        self.requests: list[IncomingRequest] = []

    def on_request_begin(self) -> None:
        self.begun_count += 1

    def on_request_complete(self, request: IncomingRequest) -> None:
        self.requests.append(request)

    def on_request_discarded(self, keep_alive: bool) -> None:
        self.discarded_count += 1


class ParserHarness:
    """A parser with a sink."""

    def __init__(self) -> None:
        self.sink = RecordingSink()
        self.parser = RequestParser(self.sink)
        self.parsed_bytes = 0

    def feed(self, data: bytes, times: int = 1) -> None:
        for _ in range(times):
            self.parser.feed(memoryview(data), NOW_US)
            self.parsed_bytes += len(data)

    def feed_in_steps(self, data: bytes, step: int) -> None:
        for offset in range(0, len(data), step):
            self.feed(data[offset : offset + step])


def test_parser_passes_through_its_states_when_a_request_arrives_in_parts() -> None:
    harness = ParserHarness()
    states = []
    for part in (REQUEST[:20], REQUEST[20:-2], REQUEST[-2:]):
        harness.feed(part)
        states.append(harness.parser.state)
    assert states == [InputState.HEAD, InputState.BODY, InputState.IDLE]
    (request,) = harness.sink.requests
    assert (request.method, request.target, request.body) == (b"POST", b"/pay", b"body")
    assert request.headers == [(b"Host", b"a"), (b"Content-Length", b"4")]
    assert (request.keep_alive, request.arrived_us) == (True, NOW_US)
    assert harness.parser.memory_bytes == 0


def test_each_request_is_passed_on_when_requests_are_pipelined() -> None:
    harness = ParserHarness()
    harness.feed(REQUEST * 3)
    assert harness.sink.begun_count == len(harness.sink.requests) == 3
    assert harness.parser.state is InputState.IDLE


@pytest.mark.parametrize(("sent", "state"), [(b"", InputState.ENDED), (REQUEST[:30], InputState.TRUNCATED)])
def test_state_shows_whether_a_request_is_truncated_when_input_ends(sent: bytes, state: InputState) -> None:
    harness = ParserHarness()
    harness.feed(sent)
    harness.parser.end()
    assert harness.parser.state is state
    assert harness.parser.has_ended
    assert harness.parser.is_receiving == (state is InputState.TRUNCATED)


def test_input_has_ended_when_a_request_asks_for_an_upgrade() -> None:
    harness = ParserHarness()
    harness.feed(b"GET /look HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n")
    assert harness.parser.state is InputState.ENDED
    assert [request.keep_alive for request in harness.sink.requests] == [False]


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        pytest.param(b"\x00\x01\r\n\r\n", 400, id="noise"),
        pytest.param(REQUEST.replace(b"1.1", b"2.0"), 400, id="version"),
        pytest.param(REQUEST.replace(b": 4", b": %d" % (MAX_BODY_BYTES + 1)), 413, id="body"),
        pytest.param(b"GET /%s" % (b"x" * (MAX_HEAD_BYTES + 1)) + REQUEST[9:], 431, id="target"),
        pytest.param(REQUEST.replace(b"Host: a", b"Host: " + b"a" * MAX_HEAD_BYTES), 431, id="header"),
    ],
)
def test_error_has_the_matching_status_when_input_is_invalid_or_exceeds_a_limit(
    sent: bytes, status: int
) -> None:
    harness = ParserHarness()
    with pytest.raises(HTTPError) as raised:
        harness.feed(sent)
    assert raised.value.status == status
    assert harness.sink.requests == []


def test_input_is_rejected_when_a_line_does_not_end() -> None:
    """Guards against a line that fills memory, since httptools reports nothing of a line before its end."""
    harness = ParserHarness()
    harness.feed(b"GET /look HTTP/1.1\r\nA: ")
    with pytest.raises(HTTPError) as raised:
        harness.feed(b"x" * PARSE_CHUNK_BYTES, times=50)
    assert raised.value.status == 431
    assert harness.parsed_bytes <= MAX_HEAD_BYTES + PARSE_CHUNK_BYTES


@pytest.mark.parametrize("line", [b"A: ", b"A"])
def test_input_is_rejected_when_a_line_behind_the_body_does_not_end(line: bytes) -> None:
    """Guards against a trailer that fills memory: the limit once ended with the head."""
    harness = ParserHarness()
    harness.feed(b"PUT /look HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
    harness.parsed_bytes = 0
    harness.feed(b"0\r\n" + line)
    with pytest.raises(HTTPError) as raised:
        harness.feed(b"x" * PARSE_CHUNK_BYTES, times=50)
    assert raised.value.status == 431
    assert harness.parsed_bytes <= MAX_HEAD_BYTES + PARSE_CHUNK_BYTES


def test_body_is_passed_on_when_its_chunks_are_small() -> None:
    """The limit on what follows the body must not count what stands between its parts."""
    harness = ParserHarness()
    harness.feed(b"PUT /look HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
    harness.feed(b"1\r\nx\r\n", times=20_000)
    harness.feed(b"0\r\nA: b\r\n\r\n")
    (request,) = harness.sink.requests
    assert request.body == b"x" * 20_000


@pytest.mark.parametrize(
    "sent",
    [
        pytest.param(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 440, id="shortest fields"),
        pytest.param(b"GET / HTTP/1.1\r\n" + b"aa:xy\r\n" * 440, id="short fields"),
        pytest.param(b"GET / HTTP/1.1\r\nHost: " + b"a" * 15_000, id="unfinished value"),
        pytest.param(b"GET /" + b"a" * 15_000, id="unfinished target"),
        pytest.param(b"PUT / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + b"x" * 59_000, id="body"),
        pytest.param(b"GET / HTTP/1.1\r\n\r\n" * 300, id="shortest requests"),
        pytest.param(b"GET / HTTP/1.1\r\n%s\r\n" % (b"aa:xy\r\n" * 440) * 6, id="requests of short fields"),
    ],
)
def test_stated_memory_covers_what_the_input_becomes(sent: bytes) -> None:
    """Guards against input that takes much more memory than is charged: only bodies were counted once."""
    harness = ParserHarness()
    tracemalloc.start()
    try:
        for offset in range(0, len(sent), PARSE_CHUNK_BYTES):
            stated_before = stated_memory(harness)
            harness.feed(sent[offset : offset + PARSE_CHUNK_BYTES])
            assert stated_memory(harness) - stated_before <= MAX_EXPANSION * PARSE_CHUNK_BYTES
        taken, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert stated_memory(harness) >= taken


def stated_memory(harness: ParserHarness) -> int:
    return harness.parser.memory_bytes + sum(request.memory_bytes for request in harness.sink.requests)


@pytest.mark.parametrize("beginning", [b"", b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"])
def test_unfinished_line_is_released_when_input_ends(beginning: bytes) -> None:
    """Guards against a line that httptools keeps after its rejection, until the connection closes."""
    harness = ParserHarness()
    tracemalloc.start()
    try:
        harness.feed(b"PUT / HTTP/1.1\r\n" + beginning + b"A: " + b"a" * 15_000)
        held, _ = tracemalloc.get_traced_memory()
        harness.parser.end()
        left, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held >= 15_000
    assert left < 1_000  # the new, empty parts of the parser


def test_head_is_released_when_input_ends_within_a_request() -> None:
    """Guards against a rejected head that stays in memory until its connection has closed."""
    harness = ParserHarness()
    tracemalloc.start()
    try:
        harness.feed(b"GET / HTTP/1.1\r\n" + b"aa:xy\r\n" * 400)
        held, _ = tracemalloc.get_traced_memory()
        harness.parser.end()
        left, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert harness.parser.memory_bytes == 0
    assert held - left >= 400 * (sys.getsizeof(b"aa") + sys.getsizeof(b"xy"))


OTHER_PROTOCOLS = ("RTSP/1.0", "RTSP/1.1", "ICE/1.0")
# Bodies after which the next request line begins, or that look like one.
FIRST_REQUESTS = {
    "none": b"",
    "empty lines": b"\r\n\r\n",
    "no body": b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n",
    "length": b"POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: 16\r\n\r\nGET /a RTSP/1.0\n",
    "no line end": b"POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nRTSP/1",
    "chunks": b"POST /up HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\n\n\r\n0\r\nA: RTSP/1.0\r\n\r\n",
}


@pytest.mark.parametrize("step", [1, 7, 1000])
@pytest.mark.parametrize("first", FIRST_REQUESTS.values(), ids=FIRST_REQUESTS)
@pytest.mark.parametrize("protocol", OTHER_PROTOCOLS)
def test_request_line_of_another_protocol_is_rejected_wherever_it_begins(
    protocol: str, first: bytes, step: int
) -> None:
    """Guards against serving a peer of another protocol, which httptools parses like HTTP (review case 9)."""
    method = "SOURCE" if protocol.startswith("ICE") else "GET"
    data = first + f"{method} /look {protocol}\r\nHost: a\r\n\r\n".encode()
    harness = ParserHarness()
    with pytest.raises(HTTPError, match=r"HTTP/1.0 or 1.1 only"):
        harness.feed_in_steps(data, step)
    assert len(harness.sink.requests) == (b"/up" in first)


@pytest.mark.parametrize("step", [1, 7, 1000])
def test_requests_that_only_mention_another_protocol_are_parsed(step: int) -> None:
    """Guards against taking a target, a header or a body for the protocol."""
    requests = [
        b"GET /RTSP/1.0 HTTP/1.1\r\nVia: a RTSP/1.0\r\n\r\n",
        b"\r\nPOST /a HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 17\r\n\r\nGET /a RTSP/1.0\r\n",
        FIRST_REQUESTS["chunks"],
        b"GET /a HTTP/1.1\r\n\r\n",
    ]
    harness = ParserHarness()
    harness.feed_in_steps(b"".join(requests), step)
    assert [request.body for request in harness.sink.requests] == [b"", b"GET /a RTSP/1.0\r\n", b"\n\n", b""]
