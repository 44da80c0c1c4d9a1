"""The response reader by itself: phases, errors, and the bytes that it holds."""

from __future__ import annotations

import tracemalloc

import pytest

from corkdoor.sidecar.memory_budget import MemoryBudget
from corkdoor.sidecar.transport.receiver import READ_BYTES
from corkdoor.sidecar.upstream.errors import (
    BodyTooLargeError,
    HeadTooLargeError,
    MalformedResponseError,
    MemoryShortageError,
)
from corkdoor.sidecar.upstream.response import Response
from corkdoor.sidecar.upstream.response_reader import MAX_HEAD_BYTES, ResponseReader

COMPLETE = b"HTTP/1.1 200 OK\r\nX-Note: n \r\nContent-Length: 4\r\n\r\ngood"


def reader(limit_bytes: int = 1 << 20, max_body_bytes: int = 1 << 10) -> tuple[ResponseReader, MemoryBudget]:
    budget = MemoryBudget(limit_bytes)
    return ResponseReader(budget, max_body_bytes), budget


def feed_in_steps(responses: ResponseReader, data: bytes, step: int) -> list[Response | None]:
    return [responses.feed(data[offset : offset + step]) for offset in range(0, len(data), step)]


@pytest.mark.parametrize("size", [1, 7, len(COMPLETE)])
def test_response_is_complete_at_its_last_byte_and_another_can_follow(size: int) -> None:
    responses, budget = reader()
    for _ in range(2):
        parts = [COMPLETE[offset : offset + size] for offset in range(0, len(COMPLETE), size)]
        *early, last = [responses.feed(part) for part in parts]
        assert not any(early)
        assert last == Response(200, [(b"X-Note", b"n"), (b"Content-Length", b"4")], b"good")
        assert responses.keep_alive
        assert (budget.held_bytes > 0) == bool(early)  # a response that arrives at once holds nothing
        responses.reset()
        assert budget.held_bytes == 0


def test_close_of_the_connection_completes_only_a_response_without_length() -> None:
    responses, _ = reader()
    assert responses.feed(COMPLETE[:-1]) is None
    assert responses.feed_eof() is None
    responses, _ = reader()
    assert responses.feed(b"HTTP/1.1 200 OK\r\n\r\npart") is None
    assert responses.feed_eof() == Response(200, [], b"part")
    assert not responses.keep_alive


def test_connection_is_not_kept_alive_when_bytes_follow_a_complete_response() -> None:
    responses, _ = reader()
    response = responses.feed(COMPLETE + COMPLETE)
    assert response is not None
    assert response.body == b"good"
    assert not responses.keep_alive


@pytest.mark.parametrize(
    ("raw", "error"),
    [
        (b"noise\r\n\r\n", MalformedResponseError),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", MalformedResponseError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1025\r\n\r\n", BodyTooLargeError),
        (b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 1025, BodyTooLargeError),
        (b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * MAX_HEAD_BYTES, HeadTooLargeError),
    ],
)
def test_error_type_states_what_is_invalid_in_the_response(raw: bytes, error: type[Exception]) -> None:
    responses, _ = reader()
    with pytest.raises(error):
        responses.feed(raw)


def test_response_is_rejected_above_the_shared_budget_and_close_releases_its_memory() -> None:
    responses, budget = reader(limit_bytes=1500)
    assert responses.feed(b"HTTP/1.1 200 OK\r\n\r\nfour") is None
    assert budget.held_bytes > 4
    with pytest.raises(MemoryShortageError):
        responses.feed(b"x" * 500)
    assert budget.refusals == 1
    responses.close()
    assert budget.held_bytes == 0


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "sent",
    [
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + b"aa:xy\r\n" * 2200, id="short fields"),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + b"a:\r\n" * 4000, id="shortest fields"),
        pytest.param(b"HTTP/1.1 200 OK\r\nA: " + b"x" * 16_000, id="unfinished line"),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: 64000\r\n\r\n" + b"x" * 63_999, id="body"),
        pytest.param(CHUNKED + b"1\r\nx\r\n" * 9000, id="chunks"),
        pytest.param(CHUNKED + b"1\r\nx\r\n0\r\nA: " + b"x" * 16_000, id="unfinished trailer"),
        pytest.param(CHUNKED + b"1\r\nx\r\n0\r\n" + b"aa:xy\r\n" * 2200, id="trailers"),
    ],
)
def test_held_memory_covers_what_an_incomplete_response_takes(sent: bytes) -> None:
    """Guards against heads that take much more memory than is counted: bodies alone were, once."""
    responses, budget = reader(limit_bytes=1 << 24, max_body_bytes=1 << 16)
    tracemalloc.start()
    try:
        for offset in range(0, len(sent), READ_BYTES):
            assert responses.feed(sent[offset : offset + READ_BYTES]) is None
        taken, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert budget.held_bytes >= taken


@pytest.mark.parametrize("line", [b"A: ", b"A"])
def test_response_is_rejected_when_a_line_behind_its_body_does_not_end(line: bytes) -> None:
    """Guards against a trailer that fills memory: the limit once ended with the head."""
    responses, _ = reader()
    assert responses.feed(CHUNKED + b"1\r\nx\r\n") is None
    assert responses.feed(b"0\r\n" + line) is None
    for _ in range(3):
        assert responses.feed(b"x" * 4096) is None
    with pytest.raises(HeadTooLargeError):
        responses.feed(b"x" * 4096)


def test_head_is_rejected_above_its_limit_when_it_arrives_in_one_read() -> None:
    """Guards against a head of any size that is accepted since its end is in the same read."""
    responses, _ = reader(limit_bytes=1 << 24)
    with pytest.raises(HeadTooLargeError):
        responses.feed(b"HTTP/1.1 200 OK\r\n" + b"aa:xy\r\n" * 4000 + b"\r\n")


@pytest.mark.parametrize("step", [1, 7, 1000])
@pytest.mark.parametrize("protocol", [b"RTSP/1.0", b"ICE/1.1", b"HTTP/0.9", b"HTTP/2.0"])
@pytest.mark.parametrize("before", [b"", b"\r\n", b"HTTP/1.1 103 Early Hints\r\n\r\n", COMPLETE])
def test_status_line_of_another_protocol_is_malformed_wherever_it_begins(
    before: bytes, protocol: bytes, step: int
) -> None:
    """Guards against taking the response of another protocol for one of HTTP (review case 9)."""
    responses, _ = reader()
    if before is COMPLETE:
        assert responses.feed(COMPLETE) is not None
        responses.reset()
        before = b""
    data = before + COMPLETE.replace(b"HTTP/1.1", protocol)
    with pytest.raises(MalformedResponseError):
        feed_in_steps(responses, data, step)


@pytest.mark.parametrize("step", [1, 7, 1000])
def test_response_that_only_mentions_another_protocol_is_read(step: int) -> None:
    interim = b"\r\nHTTP/1.1 103 RTSP/1.0\r\n\r\n"
    data = interim + b"HTTP/1.1 200 X\r\nContent-Length: 9\r\nVia: RTSP/1.0\r\n\r\nICE/1.0\r\n"
    responses, _ = reader()
    *early, last = feed_in_steps(responses, data, step)
    assert not any(early)
    assert last is not None
    assert last.body == b"ICE/1.0\r\n"
