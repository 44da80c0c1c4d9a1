"""Fixtures of the measurements: endpoints, a discovery that responds at a given rate, and a sidecar."""

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

ID_MULTIPLIER = 2654435761  # odd, so that all ids differ; large, so that they look random
ID_BOUND = 1 << 32
CHECK_INTERVAL_S = 0.02


class ListForm(Enum):
    """The form of a list response; the values appear in the records."""

    FULL = "whole"
    DELTA = "delta"  # one endpoint changes to draining, and back to ready
    RENEWAL = "renewal"  # no entries: nothing has changed


@asynccontextmanager
async def open_endpoints(count: int, **profile: Any) -> AsyncIterator[tuple[Worker, dict[str, str]]]:
    """Open `count` endpoints in a separate process; yields it and their addresses by name."""
    async with Worker("emulator.endpoints") as worker:
        reply = await worker.request(OpenEndpoints("s", count, EndpointProfile(**profile)))
        yield worker, reply["addresses"]


async def read_counter(worker: Worker, counter: EndpointCounter) -> int:
    """Return the value of a counter from a process of endpoints."""
    counters: dict[str, int] = (await worker.request(ReadCounters()))["counters"]
    return counters.get(counter, 0)


async def wait_for_counter(worker: Worker, counter: EndpointCounter, count: int) -> bool:
    """Wait until a counter of the endpoints has this value; return False on a timeout."""

    async def reached() -> bool:
        return await read_counter(worker, counter) == count

    return await wait_until(reached)


async def wait_until(condition: Callable[[], Awaitable[bool]], timeout_s: float = 10.0) -> bool:
    """Wait until a condition is true; return False on a timeout."""
    end_s = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > end_s:
            return False
        await asyncio.sleep(CHECK_INTERVAL_S)
    return True


def make_rows(count: int) -> list[Row]:
    """Return `count` entries, with ids and addresses as long as those of a real platform."""
    return [
        endpoint_row(f"s-{n * ID_MULTIPLIER % ID_BOUND:08x}", f"10.1.{n >> 8}.{n & 255}:7070")
        for n in range(count)
    ]


def list_bodies(form: ListForm, size: int) -> list[bytes]:
    """Return the bodies of list responses of one form; they are sent in turn.

    Args:
        form: the form of the responses.
        size: the number of endpoints in the list.
    """
    rows = make_rows(size)
    if form is ListForm.RENEWAL:
        return [encode_list(2, False, [])]
    if form is ListForm.FULL:
        return [encode_list(2, True, rows)]
    return [
        encode_list(2, False, [{**rows[0], "lifecycle": lifecycle}]) for lifecycle in ("draining", "ready")
    ]


class ScriptedDiscovery:
    """A discovery that responds to each watch after `response_delay_s` seconds with the next body.

    Args:
        bodies: the bodies, which are sent in turn; without any, watches get no response.
        response_delay_s: the delay between a watch and its response.
    """

    def __init__(self, bodies: Sequence[bytes] = (), response_delay_s: float = 0.0) -> None:
        self.bodies = bodies
        self.response_delay_s = response_delay_s
        self.response_count = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> ScriptedDiscovery:
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
            return  # cancelled if the loop ends while a response is delayed

    async def _respond(self, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.response_delay_s)
        response = encode_response(200, "OK", self.bodies[self.response_count % len(self.bodies)])
        writer.write(response)
        self.response_count += 1
        self.bytes_out += len(response)


@asynccontextmanager
async def settled_sidecar(
    count: int, settle_s: float, module: str = "corkdoor.sidecar"
) -> AsyncIterator[tuple[Sidecar, dict[str, str]]]:
    """Start a sidecar with `count` endpoints and a watch that stays open, and wait for `settle_s` seconds.

    Yields:
        The sidecar, and the addresses of its endpoints by name.
    """
    async with (
        open_endpoints(count) as (_, addresses),
        ScriptedDiscovery() as discovery,
        Sidecar(addresses, discovery.address, module) as sidecar,
    ):
        await asyncio.sleep(settle_s)
        yield sidecar, addresses
