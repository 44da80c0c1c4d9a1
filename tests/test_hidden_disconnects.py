"""Clients that send more than the kernel's buffers hold and disconnect: their end is behind unread input.

Guards against attempts for clients that have left unseen, while their connection was not read from (review
case 10).
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from http import HTTPStatus

import pytest

from corkdoor.sidecar.clients.timeouts import ClientTimeouts
from tests.http_messages import read_message
from tests.sidecar_client import Client
from tests.sidecar_support import SETTINGS, Sidecar, first_request, wait_until
from tests.test_client_disconnects import (
    DISTANT_DEADLINE_MS,
    Disconnect,
    check_only_other_client_is_served,
    close,
    encode_request,
    half_close,
    open_idle_connections,
    reset,
    wait_until_queued,
)

LARGE_BODY = b"x" * 60_000
LARGE_COUNT, SMALL_COUNT = 12, 6000  # both more than the kernel's buffers hold on loopback
ROOMY_BYTES, TIGHT_BYTES = 1 << 26, 1 << 20
LEFT_FOR_S = 0.12  # an attempt this long after the close is too late
NEVER_S = 3600.0
# Without its periodic check the sidecar looks for the close only as an attempt is sent.
check_intervals = pytest.mark.parametrize("check_interval_s", [0.02, NEVER_S])
budgets = pytest.mark.parametrize("held_bytes", [ROOMY_BYTES, TIGHT_BYTES])
ends = pytest.mark.parametrize("disconnect", [close, half_close, reset])


def encode_large(request_id: str) -> bytes:
    head = f"POST /pay/a HTTP/1.1\r\nReq-Id: {request_id}\r\nReq-Owner: acme\r\n"
    framing = f"Req-Deadline-Ms: {DISTANT_DEADLINE_MS}\r\nContent-Length: {len(LARGE_BODY)}\r\n\r\n"
    return (head + framing).encode() + LARGE_BODY


def large_requests() -> bytes:
    return b"".join(encode_large(f"large-{number}") for number in range(LARGE_COUNT))


def small_requests() -> bytes:
    return b"".join(encode_request(f"small-{number}", DISTANT_DEADLINE_MS) for number in range(SMALL_COUNT))


shapes = pytest.mark.parametrize("behind", [large_requests(), small_requests()], ids=["large", "small"])


def sidecar_with(held_bytes: int, check_interval_s: float, endpoints: int = 1) -> Sidecar:
    timeouts = ClientTimeouts(check_interval_s=check_interval_s)
    allowed = {**SETTINGS["Allowed"], "MayCancel": False}  # attempts in flight go on when a client leaves
    return Sidecar(endpoints=endpoints, max_held_bytes=held_bytes, timeouts=timeouts, Allowed=allowed)


async def send_at_once(sidecar: Sidecar, behind: bytes) -> socket.socket:
    """Send a request and what is behind it, as much as the kernel takes; wait until it is not read from."""
    client = socket.create_connection(("127.0.0.1", sidecar.port))
    client.sendall(encode_request("first", DISTANT_DEADLINE_MS))
    await wait_until(lambda: sidecar.proxy.requests)
    client.setblocking(False)
    sent = 0
    with contextlib.suppress(BlockingIOError):
        while sent < len(behind):
            sent += client.send(behind[sent:])
    await wait_until(lambda: any(each.is_reading_paused for each in sidecar.server.clients), 0.001)
    return client


async def leave(client: socket.socket, disconnect: Disconnect) -> None:
    """Disconnect, and wait until an attempt would be too late."""
    disconnect(client)
    await asyncio.sleep(LEFT_FOR_S)


@ends
@shapes
@budgets
@check_intervals
async def test_queued_request_is_not_forwarded_when_its_client_has_left_behind_unread_input(
    disconnect: Disconnect, behind: bytes, held_bytes: int, check_interval_s: float
) -> None:
    async with sidecar_with(held_bytes, check_interval_s) as sidecar:
        sidecar.deliver_endpoints()  # no endpoint: requests are queued
        other = await sidecar.client()
        client = await send_at_once(sidecar, behind)
        await wait_until_queued(sidecar, 1)
        await leave(client, disconnect)
        sidecar.deliver_all_endpoints()
        await check_only_other_client_is_served(sidecar, other)
        client.close()


@ends
@budgets
@check_intervals
async def test_retry_is_not_sent_when_its_client_has_left_behind_unread_input(
    disconnect: Disconnect, held_bytes: int, check_interval_s: float
) -> None:
    async with sidecar_with(held_bytes, check_interval_s, endpoints=2) as sidecar:
        await open_idle_connections(sidecar, 1)
        other = await sidecar.client()
        client = await send_at_once(sidecar, large_requests())
        received = await first_request(sidecar)
        await leave(client, disconnect)
        received.respond(503, b"", "Srv-Declined: 1")
        await check_only_other_client_is_served(sidecar, other)
        client.close()


@ends
@budgets
@check_intervals
async def test_hedged_request_is_not_sent_when_its_client_has_left_behind_unread_input(
    disconnect: Disconnect, held_bytes: int, check_interval_s: float
) -> None:
    """The first attempt stays in flight; the balancer asks for another one beside it."""
    async with sidecar_with(held_bytes, check_interval_s, endpoints=2) as sidecar:
        await open_idle_connections(sidecar, 1)
        other = await sidecar.client()
        client = await send_at_once(sidecar, large_requests())
        received = await first_request(sidecar)
        await leave(client, disconnect)
        for request_id in list(sidecar.proxy.requests):
            sidecar.proxy.send_attempt(request_id, "s-0")
            sidecar.proxy.send_attempt(request_id, "s-1")
        await asyncio.sleep(0.05)
        assert sidecar.no_requests_pending()
        received.respond()
        await check_only_other_client_is_served(sidecar, other)
        client.close()


@ends
@budgets
@check_intervals
async def test_queued_request_is_not_forwarded_during_a_shutdown_when_its_client_has_left_unseen(
    disconnect: Disconnect, held_bytes: int, check_interval_s: float
) -> None:
    async with sidecar_with(held_bytes, check_interval_s) as sidecar:
        sidecar.deliver_endpoints()
        other = await sidecar.client()
        client = await send_at_once(sidecar, large_requests())
        await wait_until_queued(sidecar, 1)
        sidecar.start_closing_connections()
        await leave(client, disconnect)
        sidecar.deliver_all_endpoints()
        await check_only_other_client_is_served(sidecar, other)
        client.close()


@ends
@shapes
@check_intervals
async def test_next_request_is_not_forwarded_when_its_client_has_left_behind_unread_input(
    disconnect: Disconnect, behind: bytes, check_interval_s: float
) -> None:
    async with sidecar_with(ROOMY_BYTES, check_interval_s) as sidecar:
        other = await sidecar.client()
        client = await send_at_once(sidecar, behind)
        received = await sidecar.endpoints[0].next_request()
        await leave(client, disconnect)
        received.respond()
        await check_only_other_client_is_served(sidecar, other)
        client.close()


async def send_while_queued(sidecar: Sidecar, count: int) -> Client:
    """Send large requests at once, and let the first one wait so long that the others are read on."""
    sidecar.deliver_endpoints()
    client = await sidecar.client()
    for number in range(count):
        client.writer.write(encode_large(f"large-{number}"))
    await wait_until_queued(sidecar, 1)
    await asyncio.sleep(LEFT_FOR_S)
    sidecar.deliver_all_endpoints()
    return client


async def read_statuses(sidecar: Sidecar, client: Client, count: int) -> list[int]:
    """Let the endpoint serve what it gets, and check that the answers are those of the requests in order."""

    async def serve() -> None:
        while True:
            received = await sidecar.endpoints[0].next_request()
            assert received.message.body == LARGE_BODY
            received.respond(200, received.message.headers["req-id"].encode())

    task = asyncio.create_task(serve())
    statuses = []
    for number in range(count):
        response = await client.read_response()
        assert response.status != HTTPStatus.OK or response.body == f"large-{number}".encode()
        statuses.append(response.status)
    task.cancel()
    return statuses


async def test_client_that_stays_is_served_in_order_when_its_input_is_read_on() -> None:
    async with sidecar_with(ROOMY_BYTES, 0.02) as sidecar:
        client = await send_while_queued(sidecar, 40)
        assert await read_statuses(sidecar, client, 40) == [200] * 40
        assert sidecar.proxy.budget.held_bytes == 0
        assert sidecar.proxy.budget.refusals == 0


@check_intervals
async def test_requests_without_memory_are_rejected_in_their_turn_and_the_connection_stays(
    check_interval_s: float,
) -> None:
    """Guards against one rejection for all requests behind, and against input that takes the memory."""
    async with sidecar_with(TIGHT_BYTES, check_interval_s) as sidecar:
        client = await send_while_queued(sidecar, 40)
        await wait_until(lambda: sidecar.proxy.budget.refusals)
        assert sidecar.proxy.budget.held_bytes <= TIGHT_BYTES
        statuses = await read_statuses(sidecar, client, 40)
        assert statuses[:4] == [200] * 4
        assert set(statuses) == {200, 503}
        client.writer.write(encode_large("large-0"))
        assert await read_statuses(sidecar, client, 1) == [200]
        assert sidecar.proxy.budget.held_bytes == 0


async def test_malformed_input_is_rejected_in_its_turn_when_it_was_read_on() -> None:
    async with sidecar_with(TIGHT_BYTES, 0.02) as sidecar:
        sidecar.deliver_endpoints()
        client = await sidecar.client()
        client.writer.write(b"".join(encode_large(f"large-{number}") for number in range(30)))
        client.writer.write(b"\x00 noise\r\n\r\n")
        await wait_until_queued(sidecar, 1)
        await asyncio.sleep(LEFT_FOR_S)
        sidecar.deliver_all_endpoints()
        statuses = await read_statuses(sidecar, client, 30)
        assert set(statuses) == {200, 503}
        assert (await read_message(client.reader)).status == HTTPStatus.BAD_REQUEST
        assert await client.reader.read() == b""
