"""Requests that a client sent before it received the responses to its earlier ones (HTTP pipelining)."""

from __future__ import annotations

from typing import NamedTuple

MAX_WAITING_REQUESTS = 4  # complete requests waiting per connection; input after them stays unparsed
# Bytes read and parsed in one step. MAX_WAITING_REQUESTS is checked between steps, so the requests of one
# step may exceed it.
PARSE_CHUNK_BYTES = 4 * 1024
NO_INPUT = memoryview(b"")


class IncomingRequest(NamedTuple):
    """A complete request as it was received.

    Attributes:
        arrived_us: the earliest time at which its last input may have reached the kernel, in microseconds.
        memory_bytes: the memory that it takes.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    arrived_us: int
    memory_bytes: int


class Backlog:
    """Input that was read from a connection after the request that is being served."""

    __slots__ = ("requests", "unparsed")

    def __init__(self) -> None:
        self.requests: list[IncomingRequest] = []  # complete requests, oldest first
        self.unparsed = NO_INPUT  # input received after `requests`

    def __bool__(self) -> bool:
        return bool(self.requests) or bool(self.unparsed)

    @property
    def memory_bytes(self) -> int:
        """The memory that the input takes."""
        return len(self.unparsed) + sum(request.memory_bytes for request in self.requests)

    @property
    def is_full(self) -> bool:
        """Whether so many requests wait that no further input is parsed."""
        return len(self.requests) >= MAX_WAITING_REQUESTS

    def add_input(self, data: bytes) -> None:
        """Append input to the unparsed input."""
        self.unparsed = memoryview(bytes(self.unparsed) + data if self.unparsed else data)

    def take_chunk(self) -> memoryview:
        """Remove and return the next chunk of input to parse."""
        unparsed = self.unparsed
        if len(unparsed) <= PARSE_CHUNK_BYTES:
            self.unparsed = NO_INPUT
            return unparsed
        self.unparsed = unparsed[PARSE_CHUNK_BYTES:]
        return unparsed[:PARSE_CHUNK_BYTES]

    def clear(self) -> None:
        """Discard all requests and all unparsed input."""
        self.requests.clear()
        self.unparsed = NO_INPUT
