"""Open-loop clients in a process of their own: arrivals come at a stated rate, whatever the answers take.

A job comes as one JSON line on standard input, and its result goes as one line to standard output. Arrivals
are Poisson from a seed. A latency counts from the moment that a request was meant to be sent, so a client
that falls behind shows it as latency and not as fewer requests (coordinated omission). A request sent
more than `LATE_US` after that moment is late; a run with more than `LATE_SHARE` of those, or that left
requests unsent, couldn't hold its rate, says so, and counts for nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import deque
from typing import cast

import httptools
import msgspec
import numpy as np
import uvloop
from hdrh.histogram import HdrHistogram

from emulator.endpoint import serve_commands

LATE_US = 1000
LATE_SHARE = 0.01
SPIN_US = 1200  # the loop's timers are whole milliseconds: the rest is waited for awake
LONGEST_US = 60_000_000
DIGITS = 3  # of a latency that the histogram keeps
MAX_IN_FLIGHT = 2000  # bounds the load where nothing answers


class Target(msgspec.Struct):
    """Where one stream of requests goes: to its addresses in turn, `rate_per_s` in all."""

    name: str
    addresses: list[str]
    rate_per_s: float


class Job(msgspec.Struct):
    """Streams that run side by side for `seconds`, so that they meet the same machine at the same time."""

    targets: list[Target]
    seconds: float
    seed: int
    path: str = "/look/a"
    headers: dict[str, str] = {}
    deadline_ms: int = 2500
    warm_s: float = 0.0  # the first of the seconds whose latencies are not kept


class StreamResult(msgspec.Struct):
    """What became of one stream; latencies in microseconds as an encoded HdrHistogram."""

    name: str
    planned: int
    sent: int
    late: int
    served: int  # answers 200, of the whole run
    statuses: dict[str, int]
    failed: int  # the connection broke, or no answer came by the end
    histogram: str
    held: bool  # whether the rate was held


class Result(msgspec.Struct):
    streams: list[StreamResult]
    held: bool


def histogram() -> HdrHistogram:
    """An empty histogram of microseconds."""
    return HdrHistogram(1, LONGEST_US, DIGITS)


def arrivals(rate_per_s: float, seconds: float, rng: np.random.Generator) -> list[int]:
    """Poisson arrivals in microseconds from the start; as many as chance gives."""
    count = int(rate_per_s * seconds + 10 * np.sqrt(rate_per_s * seconds) + 10)
    times = np.cumsum(rng.exponential(1e6 / rate_per_s, count))
    return [int(t) for t in times[times < seconds * 1e6]]


def held_rate(planned: int, sent: int, late: int) -> bool:
    """Whether a stream was sent as planned."""
    return sent == planned and late <= LATE_SHARE * planned


def now_us() -> int:
    return time.perf_counter_ns() // 1000


class ClientConnection(asyncio.Protocol):
    """A kept connection; one request at a time."""

    def __init__(self, stream: Stream, place: int) -> None:
        self.stream = stream
        self.place = place
        self.meant_us = -1  # when the open request was meant to be sent; -1: none is open
        self._parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, data: bytes, meant_us: int) -> None:
        self.meant_us = meant_us
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_complete(self) -> None:
        meant, self.meant_us = self.meant_us, -1
        keep = self._parser.should_keep_alive()
        self.stream.answered(self, meant, self._parser.get_status_code(), keep)

    def connection_lost(self, exc: Exception | None) -> None:
        self.stream.lost(self)


class Stream:
    """Requests to one target."""

    def __init__(self, target: Target, job: Job, rng: np.random.Generator) -> None:
        self.target = target
        self.job = job
        self.plan = deque(arrivals(target.rate_per_s, job.seconds, rng))
        self.planned = len(self.plan)
        self.addresses = [(h, int(p)) for h, _, p in (a.rpartition(":") for a in target.addresses)]
        self.idle: list[list[ClientConnection]] = [[] for _ in self.addresses]
        self.histogram = histogram()
        self.statuses: dict[str, int] = {}
        self.sent = self.late = self.served = self.failed = self.in_flight = 0
        self.start_us = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.quiet = asyncio.Event()
        head = "".join(f"{k}: {v}\r\n" for k, v in job.headers.items())
        self.tail = f"Req-Deadline-Ms: {job.deadline_ms}\r\n{head}\r\n"

    def request(self) -> bytes:
        method = "POST" if "Content-Length" in self.job.headers else "GET"
        head = f"{method} {self.job.path} HTTP/1.1\r\nHost: service.internal\r\nReq-Owner: acme\r\n"
        return f"{head}Req-Id: {self.target.name}{self.sent:08x}\r\n{self.tail}".encode()

    async def connect(self, place: int) -> ClientConnection:
        loop = asyncio.get_running_loop()
        host, port = self.addresses[place]
        _, protocol = await loop.create_connection(lambda: ClientConnection(self, place), host, port)
        return protocol

    async def warm(self) -> None:
        """One connection to each address before the clock starts: handshakes are not what is measured."""
        for place in range(len(self.addresses)):
            self.idle[place].append(await self.connect(place))

    def fire(self, meant_us: int) -> None:
        """Send the next request; a new connection is opened where all are busy."""
        place = self.sent % len(self.addresses)
        data = self.request()
        self.sent += 1
        self.late += now_us() - meant_us > LATE_US
        if self.in_flight >= MAX_IN_FLIGHT:
            self.failed += 1
            return
        self.in_flight += 1
        while self.idle[place]:
            connection = self.idle[place].pop()
            if not connection.transport.is_closing():
                connection.send(data, meant_us)
                return
        task = asyncio.get_running_loop().create_task(self._fresh(place, data, meant_us))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _fresh(self, place: int, data: bytes, meant_us: int) -> None:
        try:
            connection = await self.connect(place)
        except OSError:
            self._over()
            self.failed += 1
            return
        connection.send(data, meant_us)

    def answered(self, connection: ClientConnection, meant_us: int, status: int, keep: bool) -> None:
        if meant_us < 0:  # nobody asked
            connection.transport.abort()
            return
        self._over()
        self.statuses[str(status)] = self.statuses.get(str(status), 0) + 1
        self.served += status == 200
        if status == 200 and meant_us - self.start_us >= self.job.warm_s * 1e6:
            self.histogram.record_value(min(LONGEST_US, max(1, now_us() - meant_us)))
        if keep:
            self.idle[connection.place].append(connection)
        else:
            connection.transport.close()

    def lost(self, connection: ClientConnection) -> None:
        if connection in self.idle[connection.place]:
            self.idle[connection.place].remove(connection)
        if connection.meant_us >= 0:
            connection.meant_us = -1
            self.failed += 1
            self._over()

    def _over(self) -> None:
        self.in_flight -= 1
        if not self.in_flight:
            self.quiet.set()

    def result(self) -> StreamResult:
        """The tally; what is still out counts as failed."""
        return StreamResult(
            self.target.name,
            self.planned,
            self.sent,
            self.late,
            self.served,
            self.statuses,
            self.failed + self.in_flight,
            self.histogram.encode().decode(),
            held_rate(self.planned, self.sent, self.late),
        )


async def drive(streams: list[Stream], seconds: float) -> None:
    """Send all arrivals of all streams in their order, each at its moment."""
    plan = sorted((t, i) for i, stream in enumerate(streams) for t in stream.plan)
    start = now_us()
    for stream in streams:
        stream.start_us = start
        stream.plan.clear()
    for offset, number in plan:
        meant = start + offset
        while (left := meant - now_us()) > 0:
            await asyncio.sleep((left - SPIN_US) / 1e6 if left > SPIN_US + 1000 else 0)
        streams[number].fire(meant)


async def play(job: Job) -> Result:
    """Run a job to its end; answers are waited for as long as the deadline of the last request."""
    if not job.targets or not 0 < job.seconds <= 600:
        raise ValueError("a job needs targets and 0 to 600 seconds")
    rng = np.random.default_rng(job.seed)
    streams = [Stream(target, job, rng) for target in job.targets]
    for stream in streams:
        await stream.warm()
    await drive(streams, job.seconds)
    for stream in streams:
        if stream.in_flight:
            stream.quiet.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stream.quiet.wait(), job.deadline_ms / 1000)
    results = [stream.result() for stream in streams]
    for stream in streams:
        for connection in [c for group in stream.idle for c in group]:
            connection.transport.abort()
    return Result(results, all(result.held for result in results))


async def serve() -> None:
    decoder = msgspec.json.Decoder(Job)
    await serve_commands(lambda line: play(decoder.decode(line)))


def main() -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve())


if __name__ == "__main__":
    main()
