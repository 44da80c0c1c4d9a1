"""Limits on client connections: their number, memory and time, and which ones are closed first."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from pathlib import Path

import pytest

from corkdoor.sidecar.clients.connection import ClientConnection
from corkdoor.sidecar.clients.timeouts import ClientTimeouts
from corkdoor.sidecar.clock import now_us
from tests.sidecar_client import REQUEST_HEAD as HEAD
from tests.sidecar_client import Client, readiness_status
from tests.sidecar_process import running_sidecar
from tests.sidecar_support import Sidecar, wait_until


async def test_attempt_is_cancelled_when_its_client_disconnects() -> None:
    async with Sidecar() as sidecar:
        client = await sidecar.client()
        client.send(deadline_ms=3_000_000)  # so that no attempt times out within the test
        await sidecar.endpoints[0].next_request()
        client.writer.close()
        assert await sidecar.endpoints[0].disconnects.get() == 0
        assert not sidecar.proxy.requests
        assert not sidecar.proxy.balancer.requests


@pytest.mark.parametrize("sent", ["", "POST /pay HT", HEAD, HEAD + "Content-Length: 9\r\n\r\nhalf"])
async def test_connection_is_closed_when_its_first_request_is_never_completed(sent: str) -> None:
    """This holds whatever was sent. A client that waits for its response is not idle meanwhile."""
    timeouts = ClientTimeouts(first_request_s=0.1, check_interval_s=0.02)
    async with Sidecar(timeouts=timeouts) as sidecar:
        waiting = await sidecar.client()
        waiting.send(deadline_ms=3_000_000)
        received = await sidecar.endpoints[0].next_request()
        held_bytes = sidecar.proxy.budget.held_bytes
        client = await sidecar.client()
        client.writer.write(sent.encode())
        if sent.startswith("POST /pay HTTP"):
            assert (await client.read_response()).status == 408
        await client.reader.read()  # until the close, possibly after an error from the parser
        client.writer.close()
        await wait_until(lambda: len(sidecar.server.clients) <= 1)
        assert sidecar.proxy.budget.held_bytes == held_bytes
        received.respond()
        assert (await waiting.read_response()).status == 200


async def test_connection_is_closed_when_it_has_been_idle_for_the_timeout() -> None:
    """Guards against connections that accumulate because clients send one request and then keep them open."""
    async with Sidecar(timeouts=ClientTimeouts(idle_s=0.1, check_interval_s=0.02)) as sidecar:
        client = await sidecar.client()
        assert await readiness_status(client) == 200
        assert await client.reader.read() == b""
        assert not sidecar.server.clients


async def test_connections_without_a_request_are_evicted_first_when_the_limit_is_reached() -> None:
    """The oldest connection is not evicted first, since its client is likely a good one."""
    async with Sidecar(max_clients=3) as sidecar:
        good = await sidecar.client()
        assert await readiness_status(good) == 200
        silent, younger = await sidecar.client(), await sidecar.client()
        busy = await sidecar.client()
        assert await silent.reader.read() == b""
        busy.send()
        received = await sidecar.endpoints[0].next_request()
        assert await readiness_status(younger) == 200
        # All others are in use or were used recently, so the new one, without a request, is closed at once.
        extra = await sidecar.client()
        assert await extra.reader.read() == b""
        sidecar.server.clients.evictable_idle_s = 0.0
        newest = await sidecar.client()
        assert await good.reader.read() == b""  # the connection that has been idle longest
        assert [await readiness_status(newest), await readiness_status(younger)] == [200, 200]
        received.respond()
        assert (await busy.read_response()).status == 200


@pytest.mark.parametrize("established", [False, True])
async def test_connection_is_not_evicted_when_its_request_waits_in_the_kernel(
    established: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Many clients may connect in one iteration of the event loop.

    The first one then sends its request before the last one is accepted.
    """
    async with Sidecar(max_clients=2, timeouts=ClientTimeouts(evictable_idle_s=0.0)) as sidecar:
        with socket.create_connection(("127.0.0.1", sidecar.port)) as first:
            if established:
                first.sendall(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            clients = sidecar.server.clients
            await wait_until(lambda: clients.idle_count if established else clients.new_count)
            other = await sidecar.client()
            if established:
                assert await readiness_status(other) == 200
            add = clients.add

            def send_and_add(connection: ClientConnection) -> None:
                first.sendall(f"{HEAD}Content-Length: 1\r\n\r\nx".encode())
                add(connection)

            monkeypatch.setattr(clients, "add", send_and_add)
            await sidecar.client()
            assert await other.reader.read() == b""
            (await sidecar.endpoints[0].next_request()).respond()
            client = Client(*await asyncio.open_connection(sock=first.dup()))
            for _ in range(1 + established):
                assert (await client.read_response()).status == 200


async def test_no_more_requests_are_served_when_the_client_reads_no_response() -> None:
    """Guards against unread responses that accumulate in the sidecar's memory."""
    async with Sidecar(timeouts=ClientTimeouts(idle_s=0.2, check_interval_s=0.02)) as sidecar:
        client = await sidecar.client()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        endpoint = sidecar.endpoints[0]
        served = 0
        with contextlib.suppress(TimeoutError):
            while served < 400:
                client.send()
                (await asyncio.wait_for(endpoint.next_request(), 0.3)).respond(200, b"x" * 65_000)
                served += 1
        assert served < 400
        await wait_until(lambda: not sidecar.server.clients)


async def test_descriptors_remain_available_when_clients_open_too_many_connections(tmp_path: Path) -> None:
    """Without free descriptors the process could neither accept connections nor reach an endpoint."""
    sockets = 64

    async with running_sidecar(tmp_path, {"limits": {"sockets": sockets, "memory_mb": 64}}) as running:
        most = 0
        silent = []
        for _ in range(2 * sockets):
            silent.append(await running.client())
            most = max(most, len(os.listdir(f"/proc/{running.process.pid}/fd")))
        while most <= sockets / 2:  # connections that wait to be accepted
            most = max(most, len(os.listdir(f"/proc/{running.process.pid}/fd")))
            await asyncio.sleep(0.01)
        client = await running.client()
        client.send()
        (await running.endpoint.next_request()).respond()
        assert (await client.read_response()).status == 200
        assert sockets / 2 < most <= sockets


async def test_last_response_is_sent_in_full_when_its_request_is_old() -> None:
    """The time to read the last response counts from when it was written, not from the request."""
    async with Sidecar(timeouts=ClientTimeouts(linger_s=0.5, check_interval_s=0.01)) as sidecar:
        client = await sidecar.client()
        client.send(Connection="close")
        received = await sidecar.endpoints[0].next_request()
        connection = await sidecar.connection_of(client)
        connection.phase_started_us -= 60_000_000
        received.respond(200, b"x" * 60_000)
        response = await client.read_response()
        assert len(response.body) == 60_000
        assert now_us() - connection.phase_started_us < 10_000_000
        assert await client.reader.read() == b""
