"""The response reader by itself: phases, errors, and the bytes that it holds."""

from __future__ import annotations

import pytest

from corkdoor.sidecar.memory_budget import MemoryBudget
from corkdoor.sidecar.upstream.errors import (
    BodyTooLargeError,
    HeadTooLargeError,
    MalformedResponseError,
)
from corkdoor.sidecar.upstream.response import Response
from corkdoor.sidecar.upstream.response_reader import MAX_HEAD_BYTES, ResponseReader

COMPLETE = b"HTTP/1.1 200 OK\r\nX-Note: n \r\nContent-Length: 4\r\n\r\ngood"


def reader(limit_bytes: int = 1 << 16, max_body_bytes: int = 1 << 10) -> tuple[ResponseReader, MemoryBudget]:
    budget = MemoryBudget(limit_bytes)
    return ResponseReader(budget, max_body_bytes), budget


@pytest.mark.parametrize("size", [1, 7, len(COMPLETE)])
def test_response_is_complete_at_its_last_byte_and_another_can_follow(size: int) -> None:
    responses, budget = reader()
    for _ in range(2):
        parts = [COMPLETE[offset : offset + size] for offset in range(0, len(COMPLETE), size)]
        *early, last = [responses.feed(part) for part in parts]
        assert not any(early)
        assert last == Response(200, [(b"X-Note", b"n"), (b"Content-Length", b"4")], b"good")
        assert responses.keep_alive
        assert budget.held_bytes == 4
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


def test_body_is_rejected_above_the_shared_budget_and_close_returns_its_bytes() -> None:
    responses, budget = reader(limit_bytes=6)
    assert responses.feed(b"HTTP/1.1 200 OK\r\n\r\nfour") is None
    assert budget.held_bytes == 4
    with pytest.raises(BodyTooLargeError):
        responses.feed(b"more")
    responses.close()
    assert budget.held_bytes == 0
