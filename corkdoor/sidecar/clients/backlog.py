"""Input that a client sent before it received the responses to its earlier requests (HTTP pipelining)."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MAX_WAITING_REQUESTS = 4  # complete requests waiting per connection; input after them stays unparsed
# Bytes read and parsed in one step. MAX_WAITING_REQUESTS is checked between steps, so the requests of one
# step may exceed it.
PARSE_CHUNK_BYTES = 4 * 1024
CHUNK_OVERHEAD_BYTES = 128  # the memory of a chunk besides its bytes


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


class DiscardedRequest(NamedTuple):
    """A complete request of which nothing was kept; it is rejected in its turn."""

    keep_alive: bool


class InputChunk(NamedTuple):
    """Input that is not parsed yet.

    Attributes:
        arrived_us: the earliest time at which it may have reached the kernel, in microseconds.
    """

    data: bytes
    arrived_us: int


class _DiscardedRequests:
    """Discarded requests that follow one another; `keep_alive` is that of the last one."""

    __slots__ = ("count", "keep_alive")

    def __init__(self) -> None:
        self.count = 0
        self.keep_alive = True


class Backlog:
    """Input that was read from a connection after the request that is being served."""

    __slots__ = ("_memory_bytes", "_requests", "_unparsed", "waiting_requests")

    def __init__(self) -> None:
        self._requests: deque[IncomingRequest | _DiscardedRequests] = deque()  # oldest first
        self._unparsed: deque[InputChunk] = deque()  # input received after `_requests`
        self._memory_bytes = 0
        self.waiting_requests = 0  # complete requests, without the discarded ones

    def __bool__(self) -> bool:
        return bool(self._requests) or bool(self._unparsed)

    @property
    def memory_bytes(self) -> int:
        """The memory that the input takes."""
        return self._memory_bytes

    @property
    def has_requests(self) -> bool:
        """Whether any request waits, complete or discarded."""
        return bool(self._requests)

    @property
    def is_full(self) -> bool:
        """Whether so many requests wait that no further input is parsed."""
        return self.waiting_requests >= MAX_WAITING_REQUESTS

    @property
    def unparsed_chunks(self) -> int:
        """The number of chunks of unparsed input."""
        return len(self._unparsed)

    def add_input(self, data: bytes, arrived_us: int) -> None:
        """Append input, which arrived at `arrived_us`, to the unparsed input."""
        for start in range(0, len(data), PARSE_CHUNK_BYTES):
            chunk = data[start : start + PARSE_CHUNK_BYTES]
            self._unparsed.append(InputChunk(chunk, arrived_us))
            self._memory_bytes += len(chunk) + CHUNK_OVERHEAD_BYTES

    def next_chunk_bytes(self) -> int:
        """Return the size of the next chunk of input to parse; there must be one."""
        return len(self._unparsed[0].data)

    def take_chunk(self) -> InputChunk:
        """Remove and return the next chunk of input to parse; there must be one."""
        chunk = self._unparsed.popleft()
        self._memory_bytes -= len(chunk.data) + CHUNK_OVERHEAD_BYTES
        return chunk

    def add_request(self, request: IncomingRequest) -> None:
        """Append a complete request."""
        self._requests.append(request)
        self._memory_bytes += request.memory_bytes
        self.waiting_requests += 1

    def add_discarded_request(self, keep_alive: bool) -> None:
        """Append a request of which nothing is kept."""
        last = self._requests[-1] if self._requests else None
        if not isinstance(last, _DiscardedRequests):
            last = _DiscardedRequests()
            self._requests.append(last)
        last.count += 1
        last.keep_alive = keep_alive

    def take_request(self) -> IncomingRequest | DiscardedRequest | None:
        """Remove and return the oldest request; None: none is complete."""
        if not self._requests:
            return None
        request = self._requests[0]
        if isinstance(request, _DiscardedRequests):
            request.count -= 1
            if request.count:
                return DiscardedRequest(keep_alive=True)
            self._requests.popleft()
            return DiscardedRequest(request.keep_alive)
        self._requests.popleft()
        self._memory_bytes -= request.memory_bytes
        self.waiting_requests -= 1
        return request

    def drop_unparsed(self) -> None:
        """Discard the unparsed input."""
        while self._unparsed:
            self.take_chunk()

    def clear(self) -> None:
        """Discard all requests and all unparsed input."""
        self._requests.clear()
        self._unparsed.clear()
        self._memory_bytes = self.waiting_requests = 0
