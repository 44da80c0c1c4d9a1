"""What the measurements are taken with: endpoints, a discovery that answers at a rate, and a sidecar."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from enum import Enum
from typing import Any

from emulator.endpoints.messages import EndpointCounter, EndpointProfile, OpenEndpoints, ReadCounters
from emulator.sidecar import Sidecar
from emulator.worker import Worker
from testbed.discovery_wire import Row, encode_list, endpoint_row
from testbed.http_messages import HEAD_END, encode_response

ID_MULTIPLIER = 2654435761  # odd, so that ids differ; large, so that they look drawn
ID_BOUND = 1 << 32
CHECK_S = 0.02


class ListForm(Enum):
    """A form of response to a poll; the values are those of the records."""

    FULL = "whole"
    DELTA = "delta"  # one endpoint drains, and is ready again
    RENEWAL = "renewal"  # no entries


@asynccontextmanager
async def open_endpoints(count: int, **profile: Any) -> AsyncIterator[tuple[Worker, dict[str, str]]]:
    """Open so many endpoints in a process of their own; yields it and their addresses by name."""
    async with Worker("emulator.endpoints") as worker:
        reply = await worker.request(OpenEndpoints("s", count, EndpointProfile(**profile)))
        yield worker, reply["addresses"]


async def read_counter(worker: Worker, counter: EndpointCounter) -> int:
    """Return a counter of a process of endpoints."""
    counters: dict[str, int] = (await worker.request(ReadCounters()))["counters"]
    return counters.get(counter, 0)


async def wait_for_counter(worker: Worker, counter: EndpointCounter, count: int) -> bool:
    """Wait until a counter of the endpoints has this value; return False where it didn't in time."""

    async def reached() -> bool:
        return await read_counter(worker, counter) == count

    return await wait_until(reached)


async def wait_until(condition: Callable[[], Awaitable[bool]], timeout_s: float = 10.0) -> bool:
    """Wait for a condition; return False where it didn't come about in time."""
    end_s = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > end_s:
            return False
        await asyncio.sleep(CHECK_S)
    return True


def make_rows(count: int) -> list[Row]:
    """Return so many entries, with ids and addresses of the length that a platform gives."""
    return [
        endpoint_row(f"s-{n * ID_MULTIPLIER % ID_BOUND:08x}", f"10.1.{n >> 8}.{n & 255}:7070")
        for n in range(count)
    ]


def list_bodies(form: ListForm, size: int) -> list[bytes]:
    """Return the bodies of one form of response for a list of that size, to be sent in turn.

    Args:
        form: of the response.
        size: the endpoints of the list.
    """
    rows = make_rows(size)
    if form is ListForm.RENEWAL:
        return [encode_list(2, False, [])]
    if form is ListForm.FULL:
        return [encode_list(2, True, rows)]
    return [
        encode_list(2, False, [{**rows[0], "lifecycle": lifecycle}]) for lifecycle in ("draining", "ready")
    ]


class ListFeeder:
    """A discovery that answers each watch after `gap_s` seconds with the next body.

    Args:
        bodies: that are sent in turn; without any, watches are never answered.
        gap_s: between a watch and its response.
    """

    def __init__(self, bodies: Sequence[bytes] = (), gap_s: float = 0.0) -> None:
        self.bodies = bodies
        self.gap_s = gap_s
        self.answered = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> ListFeeder:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        try:
            while True:
                self.bytes_in += len(await reader.readuntil(HEAD_END))
                if self.bodies:
                    await self._respond(writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return  # cancelled where the loop ends while a response waits for its gap

    async def _respond(self, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.gap_s)
        response = encode_response(200, "OK", self.bodies[self.answered % len(self.bodies)])
        writer.write(response)
        self.answered += 1
        self.bytes_out += len(response)


@asynccontextmanager
async def settled_sidecar(
    count: int, settle_s: float, module: str = "corkdoor.sidecar"
) -> AsyncIterator[tuple[Sidecar, dict[str, str]]]:
    """Start a sidecar on so many endpoints, with a watch that stays open, and let it settle.

    Yields:
        The sidecar, and the addresses of the endpoints by name.
    """
    async with (
        open_endpoints(count) as (_, addresses),
        ListFeeder() as feeder,
        Sidecar(addresses, feeder.address, module) as sidecar,
    ):
        await asyncio.sleep(settle_s)
        yield sidecar, addresses
