"""The stand-in for discovery: lists of endpoints, whole or by watches, from a server that works in turn.

The forms of calls and answers are those of the protocol's section on discovery. What the protocol leaves
open is stated here as a parameter: what a call and a byte cost discovery, and how long a call may wait.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import socket
import time
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple, cast
from urllib.parse import parse_qs, urlsplit

Row = dict[str, Any]  # one entry, with the keys of the protocol

LOG_KEPT = 512  # changes that a watch can be told one by one: whoever is further behind gets the whole list
MAX_WAIT_S = 60.0  # the protocol's bound on a watch
MAX_HEAD = 8 * 1024  # bytes of a call: these have no body
BACKLOG = 4096  # so that a machine's whole fleet may connect in one moment, as far as the kernel allows


class Answer(NamedTuple):
    generation: int
    whole: bool
    body: bytes


class ServiceList:
    """One service's endpoints with a generation for each change."""

    def __init__(self, rows: Sequence[Row]) -> None:
        self.generation = 1
        self.rows: dict[str, Row] = {row["instanceId"]: row for row in rows}
        self.log: deque[tuple[int, Row]] = deque(maxlen=LOG_KEPT)
        self._encoded: dict[int | None, Answer] = {}

    def change(self, rows: Sequence[Row]) -> int:
        """Take new rows, all under one new generation; one that is gone leaves the list."""
        self.generation += 1
        for row in rows:
            if row["lifecycle"] == "gone":
                self.rows.pop(row["instanceId"], None)
            else:
                self.rows[row["instanceId"]] = row
            self.log.append((self.generation, row))
        self._encoded.clear()
        return self.generation

    def _reaches(self, after: int) -> bool:
        """Whether the log holds every change after that generation, whole."""
        if after >= self.generation:
            return after == self.generation
        # The oldest generation that is left may have lost some of its rows to the log's bound.
        full = len(self.log) == self.log.maxlen
        oldest = self.log[0][0] + 1 if full else 2
        return after >= oldest - 1

    def answer(self, after: int | None) -> Answer:
        """The changes after that generation, or the whole list where those are unknown or none is stated."""
        found = self._encoded.get(after)
        if found is None:
            whole = after is None or not self._reaches(after)
            rows = list(self.rows.values()) if whole or after is None else self._changed(after)
            # Encoded once for all who ask the same: a fleet does.
            body = json.dumps(
                {"generation": self.generation, "reset": whole, "instances": rows}, separators=(",", ":")
            ).encode()
            found = self._encoded[after] = Answer(self.generation, whole, body)
        return found

    def _changed(self, after: int) -> list[Row]:
        """The last state of each endpoint that changed."""
        return list({row["instanceId"]: row for at, row in self.log if at > after}.values())


class Registry:
    """The lists of all services. Without I/O and without a clock."""

    def __init__(self, services: Mapping[str, Sequence[Row]]) -> None:
        self.services = {name: ServiceList(rows) for name, rows in services.items()}

    def change(self, service: str, rows: Sequence[Row]) -> int:
        """Take the new rows of a service and return its new generation."""
        return self.services[service].change(rows)

    def answer(self, service: str, after: int | None) -> Answer:
        return self.services[service].answer(after)

    def news(self, service: str, after: int) -> bool:
        """Whether a watch from that generation has something to tell.

        A generation that is ahead of ours is of an earlier life of discovery: the whole list is news to it.
        """
        return after != self.services[service].generation


@dataclass(frozen=True, slots=True)
class Cost:
    """What discovery spends: assumed figures, for no page states any."""

    call_us: float = 500.0
    byte_ns: float = 10.0
    longest_wait_s: float = 2.0  # a call that waits for longer fails with 503

    def __post_init__(self) -> None:
        if self.call_us < 0 or self.byte_ns < 0 or self.longest_wait_s <= 0:
            raise ValueError("cost: call_us and byte_ns must not be negative, longest_wait_s must be above 0")


class Turn(NamedTuple):
    done_s: float
    served: bool


class SerialQueue:
    """Work that is done in order of arrival, one piece after another. Without I/O; times in seconds."""

    def __init__(self, cost: Cost) -> None:
        self.cost = cost
        self.free_s = 0.0  # when the work that was taken is done
        self.busy_s = 0.0  # all work done or taken

    def add(self, now_s: float, size: int) -> Turn:
        """Take a call with an answer of `size` bytes: when it is done, or when it fails unserved."""
        begin = max(now_s, self.free_s)
        if begin - now_s > self.cost.longest_wait_s:
            return Turn(now_s + self.cost.longest_wait_s, False)
        work = self.cost.call_us / 1e6 + size * self.cost.byte_ns / 1e9
        self.free_s = begin + work
        self.busy_s += work
        return Turn(self.free_s, True)

    def drop(self, now_s: float) -> None:
        """Whatever was to be done is not: an outage."""
        self.busy_s -= max(0.0, self.free_s - now_s)
        self.free_s = now_s


class Call(NamedTuple):
    """One call as it came; `after` is None where the whole list is asked for."""

    after: int | None
    wait_s: float


def read_call(head: bytes) -> Call | None:
    """Read a request's head; None where it is no call that discovery knows."""
    method, _, rest = head.partition(b" ")
    target = urlsplit(rest.partition(b" ")[0].decode("latin-1"))
    if method != b"GET" or target.path != "/discovery/hosts":
        return None
    query = {key: values[-1] for key, values in parse_qs(target.query).items()}
    if "after" not in query:
        return Call(None, 0.0)
    try:
        after, wait_ms = int(query["after"]), int(query.get("wait_ms", "0"))
    except ValueError:
        return None
    return Call(after, min(MAX_WAIT_S, max(0, wait_ms) / 1000))


class Figures:
    """What the server did, told apart by kind, and by second since it started."""

    def __init__(self) -> None:
        self.begun_s = time.monotonic()
        self.calls: Counter[str] = Counter()  # `whole`, `watch`, `unknown`; of these, `failed`
        self.body_bytes: Counter[str] = Counter()  # by the kind of answer: `whole`, `delta`
        self.bytes_out = 0  # with the heads
        self.bytes_in = 0
        self.connections = 0
        self.open = 0
        self.arrivals: list[tuple[float, int]] = []  # monotonic seconds of each call, and its connection

    def note(self, kind: str, now_s: float, connection: int) -> None:
        self.calls[kind] += 1
        self.arrivals.append((now_s, connection))

    def profile(self, since_s: float, until_s: float, step_s: float = 1.0) -> list[int]:
        """Calls that came within each `step_s` of that time."""
        bins = [0] * max(1, round((until_s - since_s) / step_s))
        for at, _ in self.arrivals:
            index = int((at - since_s) / step_s)
            if since_s <= at and index < len(bins):
                bins[index] += 1
        return bins

    def per_second(self) -> list[int]:
        return self.profile(self.begun_s, time.monotonic() + 1.0)

    @property
    def peak(self) -> int:
        """The most calls in any one second."""
        return max(self.per_second())


class _Connection(asyncio.Protocol):
    """One sidecar's connection; one call at a time."""

    def __init__(self, server: DiscoveryServer, service: str, number: int) -> None:
        self.server = server
        self.service = service
        self.number = number
        self.head = bytearray()
        self.call: Call | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.server.left(self)

    def data_received(self, data: bytes) -> None:
        self.server.figures.bytes_in += len(data)
        self.head += data
        end = self.head.find(b"\r\n\r\n")
        if end >= 0:
            head = bytes(self.head[:end])
            del self.head[: end + 4]
            self.server.asked(self, head)
        elif len(self.head) > MAX_HEAD:
            self.abort()

    def write(self, status: int, body: bytes) -> int:
        """Write an answer in one go; returns the bytes written, 0 where nobody is left to read them."""
        if self.transport is None or self.transport.is_closing():
            return 0
        reason = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}[status]
        data = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s" % (status, reason.encode(), len(body), body)
        self.transport.write(data)
        return len(data)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class _Schedule:
    """Things to do at times, by one timer of the loop however many there are."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        self._timer: asyncio.TimerHandle | None = None
        self._at = 0.0

    def at(self, when_s: float, act: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._heap, (when_s, self._serial, act))
        self._arm()

    def clear(self) -> None:
        self._heap.clear()
        self._arm()

    def _arm(self) -> None:
        first = self._heap[0][0] if self._heap else None
        if self._timer is not None:
            if first is not None and first >= self._at:
                return
            self._timer.cancel()
            self._timer = None
        if first is not None:
            self._at = first
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, first - time.monotonic()), self._ring)

    def _ring(self) -> None:
        self._timer = None
        while self._heap and self._heap[0][0] <= time.monotonic():
            heapq.heappop(self._heap)[2]()
        self._arm()


class DiscoveryServer:
    """Serves a registry on loopback, one port for each service, all from one queue."""

    def __init__(self, registry: Registry, cost: Cost | None = None) -> None:
        self.registry = registry
        self.queue = SerialQueue(cost or Cost())
        self.figures = Figures()
        self.down = False
        self.silent = False
        self._ports: dict[str, socket.socket] = {}
        self._listeners: list[asyncio.Server] = []
        self._connections: set[_Connection] = set()
        self._watches: dict[str, set[_Connection]] = {name: set() for name in registry.services}
        self._schedule = _Schedule()

    # --- life ---

    async def start(self) -> None:
        """Take a port for each service and listen; the ports stay taken until `stop`.

        Raises OSError where no port is to be had.
        """
        for service in self.registry.services:
            self._ports[service] = _bound(0)
        await self._listen()

    async def stop(self) -> None:
        self._unlisten()
        self._schedule.clear()
        for held in self._ports.values():
            held.close()

    def address(self, service: str) -> str:
        host, port = self._ports[service].getsockname()
        return f"{host}:{port}"

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        for service, held in self._ports.items():
            self._listeners.append(
                await loop.create_server(
                    lambda service=service: self._accept(service),  # type: ignore[misc]
                    sock=_bound(held.getsockname()[1]),
                    backlog=BACKLOG,
                )
            )

    def _unlisten(self) -> None:
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()
        for connection in list(self._connections):
            connection.abort()

    def _accept(self, service: str) -> _Connection:
        self.figures.connections += 1
        return _Connection(self, service, self.figures.connections)

    async def outage(self, on: bool) -> None:
        """Discovery is down: connections are reset and new ones are refused, until it is back."""
        if on == self.down:
            return
        self.down = on
        if on:
            self._unlisten()
            self._schedule.clear()
            self.queue.drop(time.monotonic())
        else:
            await self._listen()

    def silence(self, on: bool) -> None:
        """Calls are accepted and never answered; those that came meanwhile stay without an answer."""
        self.silent = on

    # --- changes ---

    def change(self, service: str, rows: Sequence[Row]) -> int:
        """Change a list and tell all who watch it, in turn; returns the new generation."""
        generation = self.registry.change(service, rows)
        if not self.down and not self.silent:
            waiting = self._watches[service]
            told, self._watches[service] = waiting, set()
            # In order of the connections: sets have none that a rerun would repeat.
            for connection in sorted(told, key=lambda c: c.number):
                self._answer_in_turn(connection)
        return generation

    # --- calls ---

    def joined(self, connection: _Connection) -> None:
        self.figures.open += 1
        self._connections.add(connection)

    def left(self, connection: _Connection) -> None:
        self.figures.open -= 1
        self._connections.discard(connection)
        self._watches[connection.service].discard(connection)

    def asked(self, connection: _Connection, head: bytes) -> None:
        now = time.monotonic()
        call = read_call(head)
        kind = "unknown" if call is None else "whole" if call.after is None else "watch"
        self.figures.note(kind, now, connection.number)
        if self.silent:
            return
        connection.call = call
        if call is None:
            self._send(connection, 404, b"")
        elif call.after is None or self.registry.news(connection.service, call.after) or not call.wait_s:
            self._answer_in_turn(connection)
        else:
            turn = self.queue.add(now, 0)
            act = self._park if turn.served else self._fail
            self._schedule.at(turn.done_s, lambda: act(connection, call))

    def _park(self, connection: _Connection, call: Call) -> None:
        """The watch has been read: it waits, unless there has been news meanwhile."""
        if connection.transport is None or connection.call is not call:
            return
        if call.after is not None and self.registry.news(connection.service, call.after):
            self._answer_in_turn(connection)
            return
        watches = self._watches[connection.service]
        watches.add(connection)
        self._schedule.at(time.monotonic() + call.wait_s, lambda: self._over(connection, call))

    def _over(self, connection: _Connection, call: Call) -> None:
        """The wait is over: answered with no entries, if it has not been told anything."""
        watches = self._watches[connection.service]
        if connection in watches and connection.call is call:
            watches.discard(connection)
            self._answer_in_turn(connection)

    def _answer_in_turn(self, connection: _Connection) -> None:
        call = connection.call
        if call is None or connection.transport is None:
            return
        size = len(self.registry.answer(connection.service, call.after).body)
        turn = self.queue.add(time.monotonic(), size)
        act = self._tell if turn.served else self._fail
        self._schedule.at(turn.done_s, lambda: act(connection, call))

    def _tell(self, connection: _Connection, call: Call) -> None:
        """Answer with the list as it stands now, which may be newer than when the call came."""
        answer = self.registry.answer(connection.service, call.after)
        if connection.call is call and self._send(connection, 200, answer.body):
            self.figures.body_bytes["whole" if answer.whole else "delta"] += len(answer.body)

    def _fail(self, connection: _Connection, call: Call) -> None:
        if connection.call is call and self._send(connection, 503, b""):
            self.figures.calls["failed"] += 1

    def _send(self, connection: _Connection, status: int, body: bytes) -> int:
        if self.silent:
            return 0
        connection.call = None
        sent = connection.write(status, body)
        self.figures.bytes_out += sent
        return sent


def _bound(port: int) -> socket.socket:
    """A socket that holds a port of 127.0.0.1 without listening; several may hold the same one.

    Guards against the port going to another process while discovery is down.
    """
    held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", port))
    held.setblocking(False)
    return held
