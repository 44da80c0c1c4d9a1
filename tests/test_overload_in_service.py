"""The concurrency limit protects endpoints from overload during bursts and while endpoints are ejected."""

from __future__ import annotations

import asyncio

import pytest

from corkdoor.sidecar import (
    attempt_sender,
    balancer_events,
    endpoint_updates,
    proxy,
    request_registry,
)
from corkdoor.sidecar.clients import connection as client_connection
from corkdoor.sidecar.clients import read_flow, registry, request_input, server
from corkdoor.sidecar.clients.timeouts import ClientTimeouts
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.upstream import attempt, connection, connection_pool, pool_manager
from tests.fake_server import ReceivedRequest
from tests.sidecar_client import Client
from tests.sidecar_support import Sidecar

# On a slow machine the sidecar may check clients before they are used. It would then close them, because the
# test's clock has moved on.
LONG_TIMEOUTS = ClientTimeouts(first_request_s=3600.0, idle_s=3600.0)

CLOCK_USERS = (
    *(attempt_sender, balancer_events, endpoint_updates, proxy, request_registry),
    *(client_connection, read_flow, registry, request_input, server),
    *(attempt, connection, connection_pool, pool_manager),
)


class Clock:
    """Replaces the sidecar's clock; only the test advances it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.us = now_us()
        for module in CLOCK_USERS:
            monkeypatch.setattr(module, "now_us", lambda: self.us)


async def serve(
    queue: asyncio.Queue[ReceivedRequest], clock: Clock, clients: list[Client], latency_us: int
) -> None:
    """Send one request from each client, and respond to all of them together after `latency_us`."""
    for client in clients:
        client.send("look")
    received = [await queue.get() for _ in clients]
    clock.us += latency_us
    for request in received:
        request.respond()
    for client in clients:
        assert (await client.read_response()).status == 200


async def fail_until_ejected(
    sidecar: Sidecar, queue: asyncio.Queue[ReceivedRequest], count: int, clock: Clock | None = None
) -> None:
    """Send requests until the first `count` endpoints are ejected; these fail all, and the others serve."""
    client = await sidecar.client()
    while len(sidecar.proxy.balancer.rules.ejection.ejected) < count:
        client.send("pay")
        received = await queue.get()
        if clock is not None:
            clock.us += 100_000
        failing = any(received.writer in fake.writers for fake in sidecar.endpoints[:count])
        received.respond(500 if failing else 200)
        await client.read_response()


async def count_admitted(sidecar: Sidecar, queue: asyncio.Queue[ReceivedRequest], count: int) -> int:
    """Send `count` requests at once; return how many reach endpoints, which never respond.

    The other requests must be rejected.
    """
    seen: asyncio.Queue[int] = asyncio.Queue()

    async def count_arrivals() -> None:
        while True:
            await queue.get()
            seen.put_nowait(1)

    async def count_rejection(client: Client) -> None:
        assert (await client.read_response()).status == 503
        seen.put_nowait(0)

    clients = [await sidecar.client() for _ in range(count)]
    tasks = [asyncio.create_task(count_arrivals())]
    for client in clients:
        client.send("look")
        tasks.append(asyncio.create_task(count_rejection(client)))
    total = sum([await seen.get() for _ in range(count)])
    for task in tasks:
        task.cancel()
    return total


async def test_load_of_ejected_endpoints_does_not_all_fall_on_the_others() -> None:
    """With two of four endpoints ejected, the two others must get no more than their own share."""
    async with Sidecar(endpoints=4) as sidecar:
        queue = sidecar.merge_request_queues()
        initial_limit = sidecar.proxy.balancer.placements[0].local.limit.max_in_flight
        await fail_until_ejected(sidecar, queue, 2)
        assert initial_limit / 3 < await count_admitted(sidecar, queue, 40) < 2 * initial_limit / 3


async def test_overload_does_not_become_the_unloaded_median(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bursts that fill the limit raise latencies; if these became the unloaded median, the limit would grow.

    A larger limit would then overload all endpoints.
    """
    clock = Clock(monkeypatch)
    async with Sidecar(timeouts=LONG_TIMEOUTS) as sidecar:
        queue = sidecar.merge_request_queues()
        limit = sidecar.proxy.balancer.placements[0].local.limit
        clients = [await sidecar.client() for _ in range(60)]
        for _ in range(20):
            await serve(queue, clock, clients[:1], 100_000)
        initial_unloaded_median = limit.unloaded_median
        for _ in range(150):  # bursts up to the limit; up to ten requests at once don't raise the latency
            burst = int(limit.max_in_flight)
            await serve(queue, clock, clients[:burst], 100_000 * max(burst, 10) // 10)
            assert 0 < limit.unloaded_median < 1.3 * initial_unloaded_median
            assert limit.max_in_flight < 20


async def test_limit_does_not_grow_while_endpoints_are_ejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With two of four endpoints ejected, what the others handle must not raise the limit for all."""
    clock = Clock(monkeypatch)
    async with Sidecar(endpoints=4, timeouts=LONG_TIMEOUTS) as sidecar:
        queue = sidecar.merge_request_queues()
        limit = sidecar.proxy.balancer.placements[0].local.limit
        await fail_until_ejected(sidecar, queue, 2, clock)
        clients = [await sidecar.client() for _ in range(40)]
        initial_limit = limit.max_in_flight
        for _ in range(8):  # within the time of the ejections
            await serve(queue, clock, clients[: int(initial_limit / 2)], 100_000)
            assert limit.available_share == 0.5
            assert limit.max_in_flight <= initial_limit
