"""Attempts, connections and pools on loopback sockets: outcomes of attempts, and reuse of connections."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from typing import Any

import pytest

from corkdoor.model import Outcome, WatchEventKind
from corkdoor.sidecar import proxied_request
from corkdoor.sidecar.discovery.endpoint_list import ResolvedEndpoint, read_endpoint_list
from corkdoor.sidecar.invariants import InvariantLog
from corkdoor.sidecar.memory_budget import MemoryBudget
from corkdoor.sidecar.resend_guard import Location
from corkdoor.sidecar.upstream.attempt import Attempt
from corkdoor.sidecar.upstream.pool_manager import PoolLimits, PoolManager
from corkdoor.sidecar.upstream.response import Response
from tests.fake_server import endpoint_list, endpoint_row
from tests.sidecar_support import SETTINGS, Sidecar, first_request, run, send_first_attempt, serve_request

HERE = Location("a", 0)


def new_manager(connect_timeout_us: int = 1_000_000) -> PoolManager:
    """Return a pool manager without a sidecar."""
    return PoolManager(PoolLimits(0, connect_timeout_us, 4), MemoryBudget(1 << 20), InvariantLog())


@pytest.mark.parametrize("status", [500, 503, 504, 429, 404])
def test_non_idempotent_request_fails_with_502_without_retry_when_attempt_ends_in_error(
    status: int,
) -> None:
    """Guards against passing on a 503 of the endpoint, which tells clients that a retry is safe."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            received, client = await send_first_attempt(sidecar)
            received.respond(status, b"")
            assert (await client.read_response()).status == 502
            assert all(fake.requests.empty() for fake in sidecar.endpoints)

    run(test())


@pytest.mark.parametrize("status", [503, 504])
def test_attempt_is_retried_at_another_endpoint_when_declined(status: int) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            received, client = await send_first_attempt(sidecar)
            received.respond(status, b"", "Srv-Declined: 1")
            (await first_request(sidecar)).respond()
            assert (await client.read_response()).status == 200

    run(test())


def test_attempt_is_retried_at_another_endpoint_when_connection_is_refused() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            sidecar.endpoints[0].server.close()
            await sidecar.endpoints[0].server.wait_closed()
            for _ in range(8):  # each request draws its endpoint at random
                client = await sidecar.client()
                await serve_request(client, sidecar.endpoints[1])

    run(test())


@pytest.mark.parametrize("cut", ["nothing", "head", "body"])
def test_non_idempotent_request_fails_with_502_without_retry_when_response_is_truncated(cut: str) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            received, client = await send_first_attempt(sidecar)
            if cut != "nothing":
                received.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n")
            if cut == "body":
                received.writer.write(b"\r\nhalf")
            received.writer.close()
            assert (await client.read_response()).status == 502
            assert all(fake.requests.empty() for fake in sidecar.endpoints)

    run(test())


def test_request_fails_with_504_and_late_response_is_dropped_when_endpoint_is_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        monkeypatch.setattr(proxied_request, "RESPONSE_MARGIN_US", 1_800_000)  # leaves time on a slow machine
        monkeypatch.setattr(proxied_request, "MAX_RESPONSE_MARGIN_SHARE", 1.0)
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            started_s = time.monotonic()
            client.send(deadline_ms=2000)
            received = await sidecar.endpoints[0].next_request()
            response = await client.read_response()
            assert response.status == 504
            assert time.monotonic() - started_s < 1.5
            received.respond(200, b"late")
            client.send(deadline_ms=8000)
            second = await sidecar.endpoints[0].next_request()
            assert second.connection != received.connection
            second.respond(200, b"fresh")
            assert (await client.read_response()).body == b"fresh"

    run(test())


def test_attempt_never_ran_when_reset_before_its_last_byte_and_may_have_run_when_reset_after_it() -> None:
    async def test() -> None:
        for size, expected in ((16 << 20, Outcome.CONNECT_FAILED), (16, Outcome.RESET)):
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            ended: asyncio.Queue[Outcome] = asyncio.Queue()
            pools = new_manager()
            pools.put_endpoint("e", "127.0.0.1", listener.getsockname()[1], 0)

            def on_end(
                _: Attempt, outcome: Outcome, __: Response | None, ended: asyncio.Queue[Outcome] = ended
            ) -> None:
                ended.put_nowait(outcome)

            pools.send(Attempt(0, "e", HERE, lambda _, size=size: b"x" * size, on_end))  # type: ignore[misc]
            peer, _ = await asyncio.get_running_loop().sock_accept(listener)
            assert await asyncio.get_running_loop().sock_recv(peer, 16)  # the first bytes have arrived
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            peer.close()
            assert await ended.get() is expected
            assert pools.open_connections == 0
            listener.close()

    run(test())


def test_attempt_ends_with_connect_failed_when_connecting_times_out() -> None:
    async def test() -> None:
        full = socket.create_server(("127.0.0.1", 0), backlog=0)
        fillers = [socket.socket() for _ in range(3)]
        for filler in fillers:  # fill the backlog, so that the next handshake gets no response
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        pools = new_manager(connect_timeout_us=100_000)
        pools.put_endpoint("e", "127.0.0.1", full.getsockname()[1], 0)
        ended: asyncio.Queue[Outcome] = asyncio.Queue()
        pools.send(Attempt(0, "e", HERE, lambda _: b"x", lambda _, outcome, __: ended.put_nowait(outcome)))
        assert await ended.get() is Outcome.CONNECT_FAILED
        for sock in (full, *fillers):
            sock.close()

    run(test())


def test_idle_connection_is_not_reused_when_endpoint_has_closed_it() -> None:
    """Guards against a close by the endpoint that still waits in the kernel.

    An attempt on that connection would be reset, and would count as one that may have run.
    """

    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        loop = asyncio.get_running_loop()
        pools = new_manager()
        pools.put_endpoint("e", "127.0.0.1", listener.getsockname()[1], 0)
        ended: asyncio.Queue[Outcome] = asyncio.Queue()

        def send() -> None:
            pools.send(
                Attempt(0, "e", HERE, lambda _: b"x", lambda _, outcome, __: ended.put_nowait(outcome))
            )

        async def serve() -> socket.socket:
            peer, _ = await loop.sock_accept(listener)
            await loop.sock_recv(peer, 16)
            await loop.sock_sendall(peer, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return peer

        send()
        peer = await serve()
        assert await ended.get() is Outcome.OK
        peer.close()
        send()  # the event loop has not run since the close
        (await serve()).close()
        assert await ended.get() is Outcome.OK
        listener.close()

    run(test())


def test_idle_connections_close_before_the_endpoint_closes_them() -> None:
    async def test() -> None:
        async with Sidecar(Allowed={**SETTINGS["Allowed"], "ConnIdleUs": 300_000}) as sidecar:
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next_request()).respond()
            await client.read_response()
            assert await sidecar.endpoints[0].disconnects.get() == 0
            assert sidecar.proxy.upstream.open_connections == 0

    run(test())


def test_connection_is_not_reused_when_endpoint_has_restarted() -> None:
    """Guards against a connection in use at the restart that returns to the new pool."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            before, after = sidecar.endpoints
            client = await sidecar.client()
            sidecar.proxy.on_watch_event(WatchEventKind.FULL, listed(endpoint_row("s-0", before.address)))
            client.send()
            received = await before.next_request()
            sidecar.proxy.on_watch_event(
                WatchEventKind.FULL, listed(endpoint_row("s-0", after.address, started_ms=1))
            )
            received.respond()
            assert (await client.read_response()).status == 200
            client.send()
            received = await first_request(sidecar)
            assert received.writer in after.writers
            received.respond()
            assert (await client.read_response()).status == 200
            assert sidecar.proxy.upstream.open_connections == 1

    run(test())


def listed(*rows: dict[str, Any]) -> list[ResolvedEndpoint]:
    return read_endpoint_list(json.loads(endpoint_list(2, True, *rows))).entries


def test_open_connections_stay_within_the_limit() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2, max_endpoint_connections=1) as sidecar:
            client = await sidecar.client()
            seen: set[int] = set()
            while len(seen) < 2:
                client.send()
                received = await first_request(sidecar)
                received.respond()
                await client.read_response()
                seen.add(next(i for i, f in enumerate(sidecar.endpoints) if received.writer in f.writers))
                assert sidecar.proxy.upstream.open_connections == 1

    run(test())
