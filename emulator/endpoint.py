"""Stand-in endpoints, many in one process of their own: HTTP/1.1 as sidecars speak it to endpoints.

Commands come as JSON lines on standard input, one answer a line goes to standard output, and the process
ends when its input ends. An endpoint keeps to the outcomes of the protocol: 200 served, 500 error, 503 and
504 with `Srv-Declined: 1` turned away, a refused connection, a reset, and silence. It doesn't drop repeats of
a keyed request, and one core of this machine carries all endpoints of a process.
"""

from __future__ import annotations

import asyncio
import math
import sys
from collections import Counter, deque
from collections.abc import Callable
from typing import Literal, cast

import httptools
import msgspec
import numpy as np
import uvloop

BACKLOG = 1024
SMOOTHING = 0.1  # weight of the newest answer in the reported service time
BODY = b"done"
REPORTABLE = ("pending", "queue", "inflight", "served_ps", "svc_ms", "util")


class Kind(msgspec.Struct, frozen=True):
    """What a kind of endpoint is like.

    A service time is lognormal, as those of real services are skewed to the right: `median_ms` 0 answers at
    once. A cold endpoint has the share `cold_from` of its speed at its start, and all of it `cold_s` later.
    """

    median_ms: float = 0.0
    sigma: float = 0.0  # of the natural logarithm
    cores: int = 1_000_000  # requests that run at once
    queue: int = 1_000_000  # requests that wait; one more is turned away
    connections: int = 1_000_000
    idle_s: float = 3600.0  # a connection without a request for so long is closed
    errors: float = 0.0  # share of the requests that run and end as 500
    cold_from: float = 1.0
    cold_s: float = 0.0
    reports: tuple[str, ...] = ()  # fields of the load report that goes with each answer
    probes: bool = False


class Open(msgspec.Struct, tag="open", tag_field="do"):
    """Open `count` endpoints named `prefix` and a number from `first` on, on free ports."""

    prefix: str
    count: int
    kind: Kind = Kind()
    first: int = 0
    seed: int = 1
    cold: bool = False


class Change(msgspec.Struct, tag="change", tag_field="do"):
    """Change how one endpoint acts: `crash` resets all, `start` brings it back cold at its old address."""

    id: str
    to: Literal["hang", "drain", "serve", "crash", "start"]


class Release(msgspec.Struct, tag="release", tag_field="do"):
    """Answer all requests that a hanging endpoint holds, and serve from here on."""

    id: str


class Count(msgspec.Struct, tag="count", tag_field="do"):
    """Tell the counts of all endpoints together."""


Command = Open | Change | Release | Count


class Pending(msgspec.Struct):
    """A request that waits, runs, or hangs."""

    connection: EndpointConnection
    due: float  # loop time after which the sidecar no longer waits
    keep: bool
    over: bool = False
    timer: asyncio.TimerHandle | None = None


class EndpointConnection(asyncio.Protocol):
    """One connection of a sidecar; it carries one request at a time."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.pending: Pending | None = None
        self.idle: asyncio.TimerHandle | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._url = b""
        self._fields: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.endpoint.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._parser = None  # it points back here
        self._stop_idling()
        self.endpoint.left(self)

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.answer(400, b"", False)

    def on_message_begin(self) -> None:
        self._stop_idling()
        self._url = b""
        self._fields = {}

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields[name.lower()] = value

    def on_message_complete(self) -> None:
        assert self._parser is not None
        self.endpoint.take(self, self._url, self._fields, self._parser.should_keep_alive())

    def answer(self, status: int, body: bytes, keep: bool, *headers: bytes) -> None:
        """Write one whole answer; the connection closes after it unless it is kept."""
        lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *headers]
        if not keep:
            lines.append(b"Connection: close")
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        if keep:
            self._idle()
        else:
            self.transport.close()

    def _idle(self) -> None:
        loop = asyncio.get_running_loop()
        self.idle = loop.call_later(self.endpoint.kind.idle_s, self.transport.close)

    def _stop_idling(self) -> None:
        if self.idle is not None:
            self.idle.cancel()
            self.idle = None


class Endpoint:
    """One stand-in endpoint on a loopback port of its own."""

    def __init__(self, name: str, kind: Kind, rng: np.random.Generator, counts: Counter[str]) -> None:
        unknown = set(kind.reports) - set(REPORTABLE)
        if unknown:
            raise ValueError(f"reports: unknown fields {sorted(unknown)}")
        self.name = name
        self.kind = kind
        self.rng = rng
        self.counts = counts
        self.mode: Literal["hang", "drain", "serve"] = "serve"
        self.port = 0
        self.started = -math.inf  # loop time of the last start
        self.connections: set[EndpointConnection] = set()
        self.waiting: deque[Pending] = deque()
        self.hanging: list[Pending] = []
        self.running = 0
        self.served = 0
        self.opened = 0.0
        self.service_ms = kind.median_ms
        self.server: asyncio.Server | None = None

    async def listen(self, cold: bool) -> None:
        """Take connections; a cold endpoint begins its climb to full speed now. OSError: no port."""
        loop = asyncio.get_running_loop()
        self.opened = loop.time()
        self.started = loop.time() if cold else -math.inf
        self.mode = "serve"
        self.server = await loop.create_server(
            lambda: EndpointConnection(self), "127.0.0.1", self.port, backlog=BACKLOG
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Die: connections are reset, new ones are refused, and nothing that ran is answered."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.transport.abort()
        self.waiting.clear()
        self.hanging.clear()
        self.running = 0

    def release(self) -> None:
        """Answer what hangs and serve again."""
        self.mode = "serve"
        held, self.hanging = self.hanging, []
        for pending in held:
            self._answer(pending, 200)

    # --- connections ---

    def joined(self, connection: EndpointConnection) -> None:
        self.connections.add(connection)
        self.counts["connections"] += 1
        self.counts["open"] += 1

    def left(self, connection: EndpointConnection) -> None:
        self.connections.discard(connection)
        self.counts["open"] -= 1
        if connection.pending is not None:
            self._abandon(connection.pending)

    def _abandon(self, pending: Pending) -> None:
        """The sidecar gave up: what waits or hangs is dropped, what runs runs to its end."""
        pending.connection.pending = None
        pending.over = True
        self.counts["abandoned"] += 1

    # --- requests ---

    def take(
        self, connection: EndpointConnection, url: bytes, fields: dict[bytes, bytes], keep: bool
    ) -> None:
        """Begin, queue or turn away a request whose last byte has come."""
        if url in (b"/alive", b"/metrics/load"):
            self._probe(connection, url, keep)
            return
        if not fields.get(b"req-id"):
            connection.answer(404, b"", keep)
            return
        if self.mode == "drain" or len(self.connections) > self.kind.connections:
            self._decline(connection, 503, keep)
            return
        limit_ms = fields.get(b"req-deadline-ms", b"")
        limit_s = int(limit_ms) / 1000 if limit_ms.isdigit() else math.inf
        pending = Pending(connection, asyncio.get_running_loop().time() + limit_s, keep)
        connection.pending = pending
        if self.mode == "hang":
            self.counts["hung"] += 1
            self.hanging.append(pending)
        elif self.running < self.kind.cores:
            self._begin(pending)
        elif len(self.waiting) < self.kind.queue:
            self.waiting.append(pending)
        else:
            self._decline(connection, 503, keep)

    def _probe(self, connection: EndpointConnection, url: bytes, keep: bool) -> None:
        if not self.kind.probes:
            connection.answer(404, b"", keep)
            return
        self.counts["probes"] += 1
        body = self.report() if url == b"/metrics/load" else b""
        connection.answer(503 if self.mode == "drain" else 200, body, keep)

    def _decline(self, connection: EndpointConnection, status: int, keep: bool) -> None:
        connection.pending = None
        self.counts["declined"] += 1
        connection.answer(status, b"", keep, b"Srv-Declined: 1")

    def warmth(self, now: float) -> float:
        """The share of its full speed that it has at this loop time."""
        age = now - self.started
        if age >= self.kind.cold_s:
            return 1.0
        return self.kind.cold_from + (1 - self.kind.cold_from) * age / self.kind.cold_s

    def service_s(self, now: float) -> float:
        """Draw a service time in seconds."""
        if not self.kind.median_ms:
            return 0.0
        drawn = self.rng.lognormal(math.log(self.kind.median_ms), self.kind.sigma)
        return float(drawn) / 1000 / self.warmth(now)

    def _begin(self, pending: Pending) -> None:
        loop = asyncio.get_running_loop()
        service_s = self.service_s(loop.time())
        self.running += 1
        if service_s:
            pending.timer = loop.call_later(service_s, self._finish, pending, service_s)
        else:
            self._finish(pending, 0.0)

    def _finish(self, pending: Pending, service_s: float) -> None:
        if self.server is None:  # it crashed meanwhile
            return
        self.running -= 1
        self.served += 1
        self.service_ms += SMOOTHING * (service_s * 1000 - self.service_ms)
        failed = bool(self.kind.errors) and float(self.rng.random()) < self.kind.errors
        if not pending.over:
            self._answer(pending, 500 if failed else 200)
        self._next()

    def _next(self) -> None:
        now = asyncio.get_running_loop().time()
        while self.waiting and self.running < self.kind.cores:
            pending = self.waiting.popleft()
            if pending.over:
                continue
            if now >= pending.due:
                self._decline(pending.connection, 504, pending.keep)
                continue
            self._begin(pending)

    def _answer(self, pending: Pending, status: int) -> None:
        if pending.over:
            return
        pending.connection.pending = None
        self.counts["served" if status == 200 else "errors"] += 1
        headers = (b"Srv-Load: " + self.report(),) if self.kind.reports else ()
        pending.connection.answer(status, BODY if status == 200 else b"", pending.keep, *headers)

    def report(self) -> bytes:
        """The load report; requests, requests a second, milliseconds, share of the cores."""
        age = max(1e-3, asyncio.get_running_loop().time() - self.opened)
        figures: dict[str, float] = {
            "pending": len(self.waiting),
            "queue": len(self.waiting),
            "inflight": self.running,
            "served_ps": round(self.served / age, 2),
            "svc_ms": round(max(0.01, self.service_ms), 3),
            "util": round(min(1.0, self.running / self.kind.cores), 3),
        }
        return ",".join(f"{name}={figures[name]:g}" for name in self.kind.reports).encode()


class Endpoints:
    """All endpoints of this process, and the commands on them."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.by_name: dict[str, Endpoint] = {}

    async def do(self, command: Command) -> dict[str, object]:
        """Carry out one command and tell what came of it."""
        match command:
            case Open():
                return await self._open(command)
            case Change(id=name, to="crash"):
                self.by_name[name].crash()
            case Change(id=name, to="start"):
                await self.by_name[name].listen(True)
            case Change(id=name, to="hang" | "drain" | "serve" as mode):
                self.by_name[name].mode = mode
            case Release(id=name):
                self.by_name[name].release()
            case Count():
                return {"counts": dict(self.counts)}
        return {"done": True}

    async def _open(self, command: Open) -> dict[str, object]:
        rng = np.random.default_rng(command.seed)
        addresses = {}
        for number in range(command.first, command.first + command.count):
            endpoint = Endpoint(f"{command.prefix}{number}", command.kind, rng, self.counts)
            await endpoint.listen(command.cold)
            self.by_name[endpoint.name] = endpoint
            addresses[endpoint.name] = f"127.0.0.1:{endpoint.port}"
        return {"addresses": addresses}


async def serve_commands(do: Callable[[bytes], object]) -> None:
    """Answer each line of standard input with one line, until the input ends; a fault is told, not raised."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        try:
            result = do(line)
            answer = await result if asyncio.iscoroutine(result) else result
        except (ValueError, KeyError, OSError, msgspec.MsgspecError) as error:
            answer = {"fault": f"{type(error).__name__}: {error}"}
        sys.stdout.write(msgspec.json.encode(answer).decode() + "\n")
        sys.stdout.flush()


async def serve() -> None:
    """Run the endpoints that are asked for."""
    endpoints = Endpoints()
    decoder = msgspec.json.Decoder(Command)
    await serve_commands(lambda line: endpoints.do(decoder.decode(line)))


def main() -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve())


if __name__ == "__main__":
    main()
