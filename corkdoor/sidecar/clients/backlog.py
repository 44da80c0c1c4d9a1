"""Requests that a client sent before its earlier ones were answered (HTTP pipelining)."""

from __future__ import annotations

from typing import NamedTuple

MAX_WAITING_REQUESTS = 4  # of one client; input behind them stays unparsed
PARSE_CHUNK_BYTES = 4 * 1024  # parsed in one step: as much more than the waiting requests may be parsed
NO_INPUT = memoryview(b"")


class IncomingRequest(NamedTuple):
    """A complete request as it came; `arrived_us` is when its last input may have reached the kernel."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    arrived_us: int


class Backlog:
    """What was read from a connection behind the request that is being served."""

    __slots__ = ("requests", "unparsed")

    def __init__(self) -> None:
        self.requests: list[IncomingRequest] = []  # complete, oldest first
        self.unparsed = NO_INPUT  # input behind them

    def __bool__(self) -> bool:
        return bool(self.requests) or bool(self.unparsed)

    @property
    def is_full(self) -> bool:
        """Whether no further input is to be parsed."""
        return len(self.requests) >= MAX_WAITING_REQUESTS

    def add_input(self, data: bytes) -> None:
        """Put input behind what is unparsed."""
        self.unparsed = memoryview(bytes(self.unparsed) + data if self.unparsed else data)

    def take_chunk(self) -> memoryview:
        """Remove and return the next input to parse."""
        unparsed = self.unparsed
        if len(unparsed) <= PARSE_CHUNK_BYTES:
            self.unparsed = NO_INPUT
            return unparsed
        self.unparsed = unparsed[PARSE_CHUNK_BYTES:]
        return unparsed[:PARSE_CHUNK_BYTES]

    def clear(self) -> None:
        """Drop everything."""
        self.requests.clear()
        self.unparsed = NO_INPUT
