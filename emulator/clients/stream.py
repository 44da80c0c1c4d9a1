"""One stream of requests to a target: its arrivals, its connections and its counts."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import deque
from typing import cast

import httptools
import numpy as np
from hdrh.histogram import HdrHistogram

from emulator.clients.messages import LoadRequest, LoadTarget, StreamResult

LATE_US = 1000  # a request is late if it is sent more than this after it was due
MAX_LATE_SHARE = 0.01  # a run with a larger share of late requests did not sustain its rate
MAX_LATENCY_US = 60_000_000  # largest latency that the histogram holds
SIGNIFICANT_DIGITS = 3  # precision of the latencies in the histogram
MAX_IN_FLIGHT = 2000  # bounds the load if there are no responses
# Arrivals are drawn in advance: the expected number plus this many standard deviations, so that enough are
# drawn in practice.
ARRIVAL_DEVIATIONS = 10
HTTP_OK = 200


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def draw_arrivals(rate_per_s: float, seconds: float, rng: np.random.Generator) -> list[int]:
    """Draw the arrivals of a Poisson process, in microseconds from the start. Their number is random."""
    expected = rate_per_s * seconds
    count = int(expected + ARRIVAL_DEVIATIONS * np.sqrt(expected) + ARRIVAL_DEVIATIONS)
    times = np.cumsum(rng.exponential(1e6 / rate_per_s, count))
    return [int(t) for t in times[times < seconds * 1e6]]


def sustained_rate(planned: int, sent: int, late: int) -> bool:
    """Return whether a stream was sent as planned."""
    return sent == planned and late <= MAX_LATE_SHARE * planned


def now_us() -> int:
    """Return a monotonic time in microseconds."""
    return time.perf_counter_ns() // 1000


class ClientConnection(asyncio.Protocol):
    """A persistent connection that carries one request at a time.

    Args:
        stream: the stream that it belongs to.
        address_index: the index of its address in the stream's addresses.
    """

    def __init__(self, stream: Stream, address_index: int) -> None:
        self.stream = stream
        self.address_index = address_index
        self.due_us: int | None = None  # when the request in flight was due; None: none is in flight
        self._parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, data: bytes, due_us: int) -> None:
        """Send a request that was due at `due_us`."""
        self.due_us = due_us
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse the bytes of a response."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_complete(self) -> None:
        """Report a response to the stream. A response without a request aborts the connection."""
        due_us, self.due_us = self.due_us, None
        if due_us is None:
            self.transport.abort()
            return
        keep_alive = self._parser.should_keep_alive()
        self.stream.on_response(self, due_us, self._parser.get_status_code(), keep_alive)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Report the end of the connection to the stream."""
        self.stream.on_disconnect(self)


class Stream:
    """Requests to one target.

    Args:
        target: the addresses, and the rate.
        load: the run that the stream belongs to.
        rng: draws the arrivals.
    """

    def __init__(self, target: LoadTarget, load: LoadRequest, rng: np.random.Generator) -> None:
        self.target = target
        self.load = load
        self.arrivals_us = deque(draw_arrivals(target.rate_per_s, load.seconds, rng))
        self.planned = len(self.arrivals_us)
        self.addresses = [
            (host, int(port)) for host, _, port in (a.rpartition(":") for a in target.addresses)
        ]
        self.idle: list[list[ClientConnection]] = [[] for _ in self.addresses]
        self.histogram = new_histogram()
        self.statuses: dict[str, int] = {}
        self.sent = self.late = self.served = self.failed = self.in_flight = 0
        self.start_us = 0
        self._connecting: set[asyncio.Task[None]] = set()
        self._none_in_flight = asyncio.Event()
        self._method = "POST" if "Content-Length" in load.headers else "GET"
        headers = "".join(f"{name}: {value}\r\n" for name, value in load.headers.items())
        self._last_headers = f"Req-Deadline-Ms: {load.deadline_ms}\r\n{headers}\r\n"

    # --- sending ---

    async def connect_all(self) -> None:
        """Open one connection to each address, because handshakes are not to be measured.

        Raises:
            OSError: an address can't be reached.
        """
        for index in range(len(self.addresses)):
            self.idle[index].append(await self._connect(index))

    async def _connect(self, address_index: int) -> ClientConnection:
        loop = asyncio.get_running_loop()
        host, port = self.addresses[address_index]
        _, protocol = await loop.create_connection(lambda: ClientConnection(self, address_index), host, port)
        return protocol

    def _encode_request(self) -> bytes:
        head = f"{self._method} {self.load.path} HTTP/1.1\r\nHost: service.internal\r\nReq-Owner: acme\r\n"
        return f"{head}Req-Id: {self.target.name}{self.sent:08x}\r\n{self._last_headers}".encode()

    def send(self, due_us: int) -> None:
        """Send the next request, on a new connection if none is idle."""
        index = self.sent % len(self.addresses)
        data = self._encode_request()
        self.sent += 1
        self.late += now_us() - due_us > LATE_US
        if self.in_flight >= MAX_IN_FLIGHT:
            self.failed += 1
            return
        self.in_flight += 1
        while self.idle[index]:
            connection = self.idle[index].pop()
            if not connection.transport.is_closing():
                connection.send(data, due_us)
                return
        task = asyncio.get_running_loop().create_task(self._connect_and_send(index, data, due_us))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect_and_send(self, address_index: int, data: bytes, due_us: int) -> None:
        try:
            connection = await self._connect(address_index)
        except OSError:
            self._end_request()
            self.failed += 1
            return
        connection.send(data, due_us)

    # --- responses ---

    def on_response(self, connection: ClientConnection, due_us: int, status: int, keep_alive: bool) -> None:
        """Record a response and its latency, measured from the time at which its request was due."""
        self._end_request()
        self.statuses[str(status)] = self.statuses.get(str(status), 0) + 1
        served = status == HTTP_OK
        self.served += served
        if served and due_us - self.start_us >= self.load.warm_up_s * 1e6:
            self.histogram.record_value(min(MAX_LATENCY_US, max(1, now_us() - due_us)))
        if keep_alive:
            self.idle[connection.address_index].append(connection)
        else:
            connection.transport.close()

    def on_disconnect(self, connection: ClientConnection) -> None:
        """Remove a connection. Its request in flight, if any, has failed."""
        idle = self.idle[connection.address_index]
        if connection in idle:
            idle.remove(connection)
        if connection.due_us is not None:
            connection.due_us = None
            self.failed += 1
            self._end_request()

    def _end_request(self) -> None:
        self.in_flight -= 1
        if not self.in_flight:
            self._none_in_flight.set()

    # --- the end ---

    async def finish(self) -> None:
        """Wait for the requests in flight, at most until the deadline of the last one."""
        if self.in_flight:
            self._none_in_flight.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._none_in_flight.wait(), self.load.deadline_ms / 1000)

    def close(self) -> None:
        """Reset all idle connections."""
        for connection in [connection for group in self.idle for connection in group]:
            connection.transport.abort()

    def result(self) -> StreamResult:
        """Return the result. Requests that are still in flight are counted as failed."""
        return StreamResult(
            name=self.target.name,
            planned=self.planned,
            sent=self.sent,
            late=self.late,
            served=self.served,
            statuses=self.statuses,
            failed=self.failed + self.in_flight,
            histogram=self.histogram.encode().decode(),
            sustained=sustained_rate(self.planned, self.sent, self.late),
        )
