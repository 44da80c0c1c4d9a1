"""The memory that clients' input takes: it is bounded, and no accepted request is lost for want of it."""

from __future__ import annotations

import asyncio
import socket

import pytest

from corkdoor.sidecar.memory_budget import OPEN_REQUEST_BYTES, REQUEST_SHARE, MemoryReservation
from tests.sidecar_client import Client
from tests.sidecar_support import Sidecar, wait_until

LIMIT_BYTES = 400_000  # room for one request with a body of BODY, and not for two
BODY = b"x" * 60_000
# A request that admission rejects, and that takes some 25 times its bytes once it is parsed.
SHORT_FIELDS = b"GET /look HTTP/1.1\r\n%s\r\n" % (b"aa:xy\r\n" * 440)


def fill_share_of_requests(sidecar: Sidecar) -> MemoryReservation:
    """Hold so much of the memory that no further request fits."""
    budget = sidecar.proxy.budget
    others = MemoryReservation(budget)
    others.resize(int(REQUEST_SHARE * budget.limit_bytes) - budget.held_bytes)
    return others


async def test_request_is_rejected_and_not_forwarded_when_its_body_exceeds_the_memory() -> None:
    async with Sidecar(max_held_bytes=LIMIT_BYTES) as sidecar:
        first, second = await sidecar.client(), await sidecar.client()
        first.send(body=BODY)
        received = await sidecar.endpoints[0].next_request()
        second.send(body=BODY)
        response = await second.read_response()
        assert (response.status, response.headers["retry-after"]) == (503, "1")
        assert (sidecar.proxy.requests.accepted, sidecar.proxy.budget.refusals) == (1, 1)
        received.respond()
        assert (await first.read_response()).status == 200
        await sidecar.serve_one(first, body=BODY)
        assert sidecar.proxy.budget.held_bytes == 0


async def test_request_is_served_when_no_memory_is_left_for_the_one_behind_it() -> None:
    """Guards against a request in service that is given up since a later one found no memory."""
    async with Sidecar(max_held_bytes=LIMIT_BYTES) as sidecar:
        client = await sidecar.client()
        for _ in range(2):
            client.send("pay", body=BODY)
        received = await sidecar.endpoints[0].next_request()
        connection = await sidecar.connection_of(client)
        await wait_until(lambda: connection.is_reading_paused)
        for _ in range(2):
            received.respond(200, b"mine")
            response = await client.read_response()
            assert (response.status, response.body) == (200, b"mine")
            if sidecar.proxy.requests.accepted == 1:
                received = await sidecar.endpoints[0].next_request()
        assert sidecar.proxy.budget.held_bytes == 0


async def test_later_request_is_rejected_after_the_response_when_memory_stays_short() -> None:
    async with Sidecar(max_held_bytes=LIMIT_BYTES) as sidecar:
        client = await sidecar.client()
        client.send("pay", body=BODY)
        client.send("pay", body=BODY)
        received = await sidecar.endpoints[0].next_request()
        others = fill_share_of_requests(sidecar)
        received.respond()
        assert [(await client.read_response()).status for _ in range(2)] == [200, 503]
        assert await client.reader.read() == b""
        others.release()
        assert sidecar.proxy.budget.held_bytes == 0
        assert sidecar.endpoints[0].requests.empty()


async def test_complete_requests_are_answered_when_no_memory_is_left_to_serve_them() -> None:
    """Guards against complete requests in the backlog that are dropped unanswered for want of memory."""
    async with Sidecar() as sidecar:
        client = await sidecar.client()
        for _ in range(3):
            client.send("look")
        received = await sidecar.endpoints[0].next_request()
        others = fill_share_of_requests(sidecar)
        others.resize(others.held_bytes + 2 * OPEN_REQUEST_BYTES)
        received.respond()
        assert [(await client.read_response()).status for _ in range(3)] == [200, 503, 503]
        others.release()
        await sidecar.serve_one(client)
        assert sidecar.proxy.budget.held_bytes == 0


async def check_budget_is_kept(sidecar: Sidecar, clients: list[Client], limit_bytes: int) -> None:
    """Check that what is held stays within the limit until all clients are answered or closed."""
    reading = asyncio.gather(*(client.reader.read() for client in clients))
    while not reading.done():
        assert sidecar.proxy.budget.held_bytes <= limit_bytes
        await asyncio.sleep(0.002)
    assert sidecar.proxy.budget.held_bytes == 0


@pytest.mark.parametrize("with_read", [False, True])
async def test_memory_stays_within_the_limit_when_peers_send_short_header_fields(
    with_read: bool,
) -> None:
    """Guards against heads, which take some 25 times their bytes, that are held without a limit."""
    async with Sidecar(max_held_bytes=1 << 21) as sidecar:
        clients = [await sidecar.client() for _ in range(100)]
        for client in clients:
            if with_read:
                client.send("look", deadline_ms=500)
            client.writer.write(SHORT_FIELDS * 6)
        await check_budget_is_kept(sidecar, clients, 1 << 21)


async def test_other_clients_are_served_when_input_waits_behind_requests_in_service() -> None:
    """Such input may take a part of the memory only."""
    async with Sidecar(max_held_bytes=1 << 20) as sidecar:
        bad = [await sidecar.client() for _ in range(5)]
        for client in bad:
            client.send("look", deadline_ms=5000)
            await sidecar.endpoints[0].next_request()
            client.writer.write(SHORT_FIELDS * 6)
            connection = await sidecar.connection_of(client)
            while not connection.is_reading_paused:
                await asyncio.sleep(0.001)
        await sidecar.serve_one(await sidecar.client(), body=BODY)


async def test_unread_responses_are_counted_until_the_client_has_read_them() -> None:
    """Guards against responses that pile up uncounted for clients that do not read."""
    async with Sidecar() as sidecar:
        client = await sidecar.client()
        connection = await sidecar.block_output(client)
        assert sidecar.proxy.budget.held_bytes >= connection.transport.buffered_bytes() > 0
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        for _ in range(client.request_count):
            assert (await client.read_response()).status == 200
        await wait_until(lambda: sidecar.proxy.budget.held_bytes == 0)


async def test_unread_responses_are_counted_after_the_connection_has_begun_to_close() -> None:
    async with Sidecar() as sidecar:
        client = await sidecar.client()
        connection = await sidecar.block_output(client)
        client.writer.write(b"noise\r\n\r\n")
        await wait_until(lambda: connection.is_reading_paused or connection.has_input_ended)
        assert sidecar.proxy.budget.held_bytes >= connection.transport.buffered_bytes() > 0
        client.writer.transport.abort()
        await wait_until(lambda: sidecar.proxy.budget.held_bytes == 0)


async def test_request_is_counted_while_its_endpoint_does_not_read_and_its_client_has_left() -> None:
    """Guards against bodies that stay in the output of an attempt uncounted after their request has ended."""
    async with Sidecar(Allowed={"MaxAttempts": 1, "MayCancel": False}) as sidecar:
        listener = sidecar.endpoints[0].server.sockets[0]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        client = await sidecar.client()
        await sidecar.serve_one(client)
        sidecar.endpoints[0].writers[0].transport.pause_reading()  # type: ignore[attr-defined]
        upstream = next(iter(sidecar.proxy.upstream.pools.values())).idle[0]
        upstream.transport._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        client.send(body=BODY, deadline_ms=1000)
        await wait_until(upstream.transport.buffered_bytes)
        client.writer.transport.abort()
        await wait_until(lambda: not sidecar.server.clients)
        unsent_bytes = upstream.transport.buffered_bytes()
        assert sidecar.proxy.budget.held_bytes >= unsent_bytes + OPEN_REQUEST_BYTES
        assert unsent_bytes > 0
        await wait_until(lambda: sidecar.proxy.budget.held_bytes == 0)  # the deadline ends the attempt
