"""The parser of clients' requests: its states, its limits, and what it hands on."""

from __future__ import annotations

import pytest

from corkdoor.sidecar.clients.backlog import PARSE_CHUNK_BYTES, IncomingRequest
from corkdoor.sidecar.clients.body_reservation import BodyReservation
from corkdoor.sidecar.clients.errors import HTTPError
from corkdoor.sidecar.clients.request_parser import MAX_BODY_BYTES, MAX_HEAD_BYTES, RequestParser
from corkdoor.sidecar.clients.states import InputState
from corkdoor.sidecar.resource_limits import ByteBudget

REQUEST = b"POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
NOW_US = 1_000


class RecordingSink:
    """Keeps the requests that it gets."""

    def __init__(self) -> None:
        self.begun = 0
        self.requests: list[IncomingRequest] = []

    def on_request_begin(self) -> None:
        self.begun += 1

    def on_request_complete(self, request: IncomingRequest) -> None:
        self.requests.append(request)


class Parsing:
    """A parser, its sink and the budget for bodies."""

    def __init__(self, budget_bytes: int = 1 << 20) -> None:
        self.sink = RecordingSink()
        self.bodies = BodyReservation(ByteBudget(budget_bytes))
        self.parser = RequestParser(self.sink, self.bodies)
        self.parsed_bytes = 0

    def feed(self, data: bytes, times: int = 1) -> None:
        for _ in range(times):
            self.parser.feed(memoryview(data), NOW_US)
            self.parsed_bytes += len(data)


def test_request_in_parts_passes_through_its_states() -> None:
    parsing = Parsing()
    states = []
    for part in (REQUEST[:20], REQUEST[20:-2], REQUEST[-2:]):
        parsing.feed(part)
        states.append(parsing.parser.state)
    assert states == [InputState.HEAD, InputState.BODY, InputState.IDLE]
    (request,) = parsing.sink.requests
    assert (request.method, request.target, request.body) == (b"POST", b"/pay", b"body")
    assert request.headers == [(b"Host", b"a"), (b"Content-Length", b"4")]
    assert (request.keep_alive, request.arrived_us) == (True, NOW_US)
    assert parsing.bodies.held_bytes == len(b"body")


def test_pipelined_requests_come_one_after_another() -> None:
    parsing = Parsing()
    parsing.feed(REQUEST * 3)
    assert parsing.sink.begun == len(parsing.sink.requests) == 3
    assert parsing.parser.state is InputState.IDLE


@pytest.mark.parametrize(("sent", "state"), [(b"", InputState.ENDED), (REQUEST[:30], InputState.TRUNCATED)])
def test_input_that_ends_says_whether_a_request_was_cut_off(sent: bytes, state: InputState) -> None:
    parsing = Parsing()
    parsing.feed(sent)
    parsing.parser.end()
    assert parsing.parser.state is state
    assert parsing.parser.has_ended
    assert parsing.parser.is_receiving == (state is InputState.TRUNCATED)


def test_request_for_an_upgrade_is_the_last_one() -> None:
    parsing = Parsing()
    parsing.feed(b"GET /look HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n")
    assert parsing.parser.state is InputState.ENDED
    assert [request.keep_alive for request in parsing.sink.requests] == [False]


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
def test_input_past_a_limit_raises_its_status(sent: bytes, status: int) -> None:
    parsing = Parsing()
    with pytest.raises(HTTPError) as raised:
        parsing.feed(sent)
    assert raised.value.status == status
    assert parsing.sink.requests == []


def test_line_without_end_is_stopped() -> None:
    """Nothing is reported of a line before its end."""
    parsing = Parsing()
    parsing.feed(b"GET /look HTTP/1.1\r\nA: ")
    with pytest.raises(HTTPError) as raised:
        parsing.feed(b"x" * PARSE_CHUNK_BYTES, times=50)
    assert raised.value.status == 431
    assert parsing.parsed_bytes <= MAX_HEAD_BYTES + PARSE_CHUNK_BYTES


def test_body_past_the_budget_is_rejected_as_unavailable() -> None:
    parsing = Parsing(budget_bytes=3)
    with pytest.raises(HTTPError) as raised:
        parsing.feed(REQUEST)
    assert raised.value.status == 503
    assert parsing.bodies.held_bytes == 0
