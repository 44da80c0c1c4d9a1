"""Discovery: lists of endpoints, and the watch on their changes."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from corkdoor.model import DiscoveryMode, Endpoint, Readiness, WatchEventKind
from corkdoor.policy.watch_timeout import WatchWaits
from corkdoor.settings import Settings
from corkdoor.sidecar.bounds import Budget
from corkdoor.sidecar.clock import UNIX_OFFSET_US, now_us
from corkdoor.sidecar.stream import connect
from corkdoor.sidecar.upstream.connection import Connection
from corkdoor.sidecar.upstream.connection_state import RESPONSE_BEGUN, ConnectionState
from corkdoor.sidecar.upstream.response import Response

MAX_LIST = 2 << 20  # bytes of a list: some 200 for each endpoint
PATIENCE_S = 2.0  # a call that does not wait may be late by so much: then it counts as told
WATCH_PATIENCE_S = 1.0  # and a watch by so much: 1 s later what it did not tell counts as told
STALL_S = 0.3  # an answer is written in one go: one that stops for so long never ends
CONNECT_S = 1.0
AGAIN_CONNECT_S = 0.4  # 1 s is left to be told what was lost: one that hangs leaves time for the next
NEW_WATCH_S = 0.22  # a call that comes sooner after an answer carries its watch on
log = logging.getLogger(__name__)


class ResolvedEndpoint(NamedTuple):
    """One entry: the endpoint as the module knows it, and where it listens."""

    endpoint: Endpoint
    host: str
    port: int


class Refused(Exception):
    """Discovery answers, but turns the call away."""


class BrokenOff(Exception):
    """A list that does not come, or not whole: what it would have told counts as told."""


class Unreadable(Exception):
    """An answer that is whole but no list: it counts as told too, and may come again just so."""


class EndpointList(NamedTuple):
    generation: int
    whole: bool
    entries: list[ResolvedEndpoint]


def _entry(row: Any) -> ResolvedEndpoint:
    host, _, port = row["hostPort"].rpartition(":")
    started_ms = int(row.get("startedAtMs") or 0)
    weight = float(row.get("weight") or 1.0)
    endpoint = Endpoint(
        id=str(row["instanceId"]),
        zone=str(row.get("zone") or ""),
        machine_type=str(row.get("machineType") or ""),
        cell=int(row["cell"]) if row.get("cell") is not None else -1,
        readiness=Readiness(row["lifecycle"]),
        weight=weight if weight > 0 else 1.0,
        # 0 stands for long ago; the module's clock is monotonic, so a start may lie before its zero.
        started_us=started_ms * 1000 - UNIX_OFFSET_US or 1 if started_ms else 0,
    )
    if not host or not 0 < int(port) < 1 << 16:
        raise ValueError("hostPort")  # an attempt there would end in an error that is no socket's
    return ResolvedEndpoint(endpoint, host, int(port))


def read_endpoint_list(document: Any) -> EndpointList:
    """Read a list in discovery's form."""
    if document is None:  # a sidecar that never had one
        return EndpointList(0, True, [])
    try:
        entries = [_entry(row) for row in document["instances"]]
        return EndpointList(int(document["generation"]), bool(document["reset"]), entries)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ValueError(f"no list of endpoints ({type(error).__name__}: {error})") from None


def connect_limit_s(settings: Settings) -> float:
    """How long a connection to discovery may take to come up, in seconds.

    Where lists are pushed, news counts as told the moment that discovery is back: one that hangs since before
    has to make room for the next in good time.
    """
    if settings.discovery_mode is not DiscoveryMode.PUSH:
        return CONNECT_S
    return min(CONNECT_S, max(settings.lifecycle.drain_grace_us / 4e6, AGAIN_CONNECT_S))


class DiscoveryWatcher:
    """Keeps one watch open while it is on; a failure ends it, and the module decides when to ask again."""

    def __init__(
        self,
        host: str,
        port: int,
        generation: int,
        connect_s: float,
        deliver: Callable[[WatchEventKind, list[ResolvedEndpoint]], None],
    ) -> None:
        self.host = host
        self.port = port
        self.generation = generation
        self.connect_s = connect_s
        self.deliver = deliver
        self.moved = False  # the address is new and has told nothing yet
        self.lost = False  # the last answer was lost
        self.waits = WatchWaits()
        self._asked_us = 0  # when the last call began
        self._task: asyncio.Task[None] | None = None
        self._connection: Connection | None = None
        self._answer: asyncio.Future[Response] | None = None

    def turn(self, on: bool) -> None:
        if on and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not on and self._task is not None:
            self._task.cancel()
            self._task = None
            self._hang_up()  # its answer would come in for the next watch
            self.waits.interrupted(now_us())

    def move(self, host: str, port: int) -> None:
        """Watch at another address once turned on; the last list stays until that has told all of its own.

        What it tells first must be the whole list: its versions need not be those of the last address.
        """
        log.info("discovery moves to %s:%d", host, port)
        self.turn(False)
        self.host, self.port = host, port
        self.moved = True

    async def _run(self) -> None:
        while True:
            try:
                listing = await self._ask()
            except Exception as error:  # whatever it is, the list must not stay as it is for good
                await self._fail(error)
                return
            self.lost = False
            self.waits.answered()
            whole = listing.whole or self.moved
            self.generation, self.moved = listing.generation, False
            self.deliver(WatchEventKind.FULL if whole else WatchEventKind.DELTA, listing.entries)

    async def _fail(self, error: Exception) -> None:
        spent_ms = (now_us() - self._asked_us) // 1000
        where = f"{self.host}:{self.port}"
        log.warning("discovery %s: %s: %s, after %d ms", where, type(error).__name__, error, spent_ms)
        self._hang_up()
        form = WatchEventKind.REJECTED if isinstance(error, Refused) else WatchEventKind.FAILED
        if isinstance(error, BrokenOff | Unreadable):
            self.lost, form = True, WatchEventKind.LOST
        self.waits.failed(now_us(), form)
        if isinstance(error, Unreadable):
            await asyncio.sleep(NEW_WATCH_S * random.uniform(1.0, 1.4))
        self._task = None
        self.deliver(form, [])

    async def _ask(self) -> EndpointList:
        loop = asyncio.get_running_loop()
        self._asked_us = now_us()
        if self._connection is None or self._connection.closed:
            fresh = Connection(self, Budget(MAX_LIST), MAX_LIST)
            async with asyncio.timeout(min(self.connect_s, AGAIN_CONNECT_S) if self.lost else self.connect_s):
                await connect(fresh, self.host, self.port)
            self._connection = fresh
        self._answer = loop.create_future()
        path, patience_s = "/discovery/hosts", PATIENCE_S
        if not self.moved:
            wait_ms = self.waits.draw(random.random())
            path = f"{path}?after={self.generation}&wait_ms={wait_ms}"
            patience_s = wait_ms / 1000 + WATCH_PATIENCE_S
        self._connection.send(f"GET {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n".encode())
        try:
            async with asyncio.timeout(patience_s):
                response = await self._whole(self._answer, self._connection)
        except TimeoutError:
            raise BrokenOff("it fell silent") from None
        if response.status != 200:
            raise Refused(f"answered {response.status}")
        try:
            return read_endpoint_list(json.loads(response.body))
        except (ValueError, RecursionError) as error:
            raise Unreadable(str(error)) from None

    async def _whole(self, answer: asyncio.Future[Response], connection: Connection) -> Response:
        """The answer, once it has come whole; a watch may be silent for long, but not half way through."""
        while not (await asyncio.wait((answer,), timeout=STALL_S))[0]:
            if connection.stalled_since(now_us() - int(STALL_S * 1e6)):
                raise BrokenOff("a list stopped half way")
        return answer.result()

    def _hang_up(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def on_response(self, connection: Connection, response: Response, reusable: bool) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(response)

    def on_lost(self, connection: Connection, last_state: ConnectionState) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(
                BrokenOff("a list broke off")
                if last_state in RESPONSE_BEGUN
                else ConnectionResetError("the connection ended")
            )
