"""Clients that leave while their request waits: it is sent on for nobody."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable

import pytest

from corkdoor.model import WatchEventKind
from corkdoor.policy import request_queue, zone_spillover
from corkdoor.sidecar.clients.backlog import MAX_WAITING_REQUESTS
from corkdoor.sidecar.clients.timeouts import ClientTimeouts
from corkdoor.sidecar.discovery.endpoint_list import read_endpoint_list
from corkdoor.sidecar.upstream.connection import Connection
from tests.sidecar_support import SETUP, Client, Sidecar, first_asked, read_message, row, run


async def noticed(sidecar: Sidecar) -> None:
    """Wait until no request of a caller is open, neither taken nor waiting behind another."""
    while any(caller.is_busy for caller in sidecar.server.clients):
        await asyncio.sleep(0.01)


async def only_this_arrives(sidecar: Sidecar, client: Client) -> None:
    """What this client asks next is all that any endpoint still gets."""
    client.send(request_id="last")
    asked = await first_asked(sidecar)
    assert asked.message.headers["req-id"] == "last"
    asked.reply()
    assert (await client.answer()).status == 200
    assert all(fake.asked.empty() for fake in sidecar.endpoints)


def test_client_that_leaves_while_its_request_is_held_in_the_queue() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=1) as sidecar:
            sidecar.proxy.on_watch_event(WatchEventKind.FULL, [])  # nothing to send to: calls are held
            client, other = await sidecar.client(), await sidecar.client()
            client.send(request_id="held")
            while not sidecar.proxy.balancer.queue.count:
                await asyncio.sleep(0.01)
            client.writer.close()
            await noticed(sidecar)
            document = {
                "generation": 2,
                "reset": True,
                "instances": [row("s-0", sidecar.endpoints[0].address)],
            }
            sidecar.proxy.on_watch_event(WatchEventKind.FULL, read_endpoint_list(document).entries)
            await only_this_arrives(sidecar, other)

    run(test())


@pytest.mark.parametrize("cancellation_allowed", [False, True])
def test_client_that_leaves_while_a_connection_comes_up(
    cancellation_allowed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        allowed = {**SETUP["Allowed"], "MayCancel": cancellation_allowed, "ConnectTimeoutUs": 9_000_000}
        async with Sidecar(Allowed=allowed) as sidecar:
            up, gone = asyncio.Event(), asyncio.Event()
            connect = sidecar.proxy.upstream.connect

            async def late(*where: object) -> None:
                await connect(*where)  # type: ignore[arg-type]
                up.set()
                await gone.wait()

            monkeypatch.setattr(sidecar.proxy.upstream, "connect", late)
            client, other = await sidecar.client(), await sidecar.client()
            client.send(request_id="early")
            await up.wait()
            client.writer.close()
            await noticed(sidecar)
            gone.set()
            await only_this_arrives(sidecar, other)

    run(test())


def test_client_that_leaves_between_two_attempts() -> None:
    """The first attempt stays out, for cancels are not allowed, and is turned away: no second one follows."""

    async def test() -> None:
        async with Sidecar(endpoints=2, Allowed={**SETUP["Allowed"], "MayCancel": False}) as sidecar:
            client, other = await sidecar.client(), await sidecar.client()
            client.send(request_id="first")
            asked = await first_asked(sidecar)
            client.writer.close()
            await noticed(sidecar)
            asked.reply(503, b"", "Srv-Declined: 1")
            while sidecar.proxy.requests:
                await asyncio.sleep(0.01)
            await only_this_arrives(sidecar, other)

    run(test())


@pytest.mark.parametrize("behind", [1, MAX_WAITING_REQUESTS])
def test_client_that_leaves_behind_its_earlier_request(behind: int) -> None:
    """With so many behind the first that nothing more is read, the loop is told of no end."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client, other = await sidecar.client(), await sidecar.client()
            client.send(deadline_ms=3_000_000)
            asked = await sidecar.endpoints[0].next()
            for _ in range(behind):
                client.send(deadline_ms=3_000_000)
            while not any(caller.waiting_requests == behind for caller in sidecar.server.clients):
                await asyncio.sleep(0.01)
            assert any(caller.is_reading_paused for caller in sidecar.server.clients) == (
                behind == MAX_WAITING_REQUESTS
            )
            client.writer.close()
            assert await sidecar.endpoints[0].ends.get() == asked.connection  # the attempt is called off
            await only_this_arrives(sidecar, other)
            assert not sidecar.proxy.requests

    run(test())


def test_client_that_leaves_with_its_answers_unread() -> None:
    """Its connection closes once these are read, and what waited behind them must not go out first."""

    async def test() -> None:
        async with Sidecar(timeouts=ClientTimeouts(linger_s=60.0)) as sidecar:
            client, other = await sidecar.client(), await sidecar.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            port = client.writer.get_extra_info("sockname")[1]
            (caller,) = [c for c in sidecar.server.clients if c.peer_port() == port]
            while not caller.is_output_blocked:
                client.send()
                (await sidecar.endpoints[0].next()).reply(200, b"x" * 65_000)
                while caller.current_request is not None:
                    await asyncio.sleep(0.001)
            client.send(request_id="behind")
            client.writer.write_eof()
            while not caller.has_input_ended:
                await asyncio.sleep(0.01)
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            while caller in sidecar.server.clients:
                await client.reader.read(1 << 20)
            await only_this_arrives(sidecar, other)

    run(test())


# --- the client's end waits in the kernel when its request is about to be sent ---


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def close(client: socket.socket) -> None:
    client.close()


def half_close(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


def half_close_behind_more(client: socket.socket) -> None:
    """The kernel has bytes of a next request in front of the end."""
    client.sendall(b"GET /look/b HTTP/1.1\r\nHost: service.internal\r\n")
    client.shutdown(socket.SHUT_WR)


LEAVES = [reset, close, half_close, half_close_behind_more]


def blocking(sidecar: Sidecar, request_id: str = "early", deadline_ms: int = 2500) -> socket.socket:
    """A client of whose end the kernel knows in the same step of the loop in which it leaves."""
    client = socket.create_connection(("127.0.0.1", sidecar.port))
    client.sendall(asks(request_id, deadline_ms))
    return client


def asks(request_id: str, deadline_ms: int) -> bytes:
    lines = ["GET /look/a HTTP/1.1", "Host: service.internal", f"Req-Id: {request_id}", "Req-Owner: acme"]
    return "\r\n".join([*lines, f"Req-Deadline-Ms: {deadline_ms}", "", ""]).encode()


def nobody_listed(sidecar: Sidecar) -> None:
    """From here on calls are held, and the connections that rest are closed."""
    sidecar.proxy.on_watch_event(WatchEventKind.FULL, [])


def all_listed(sidecar: Sidecar) -> None:
    rows = [row(f"s-{i}", fake.address) for i, fake in enumerate(sidecar.endpoints)]
    document = {"generation": 2, "reset": True, "instances": rows}
    sidecar.proxy.on_watch_event(WatchEventKind.FULL, read_endpoint_list(document).entries)


async def warm(sidecar: Sidecar, each: int) -> None:
    """Have connections rest at every endpoint: an attempt is then written in the very step that begins it."""
    upstream = sidecar.proxy.upstream
    for i, fake in enumerate(sidecar.endpoints):
        host, _, port = fake.address.rpartition(":")
        # As a list would place it that tells of no start.
        upstream.put_endpoint(f"s-{i}", host, int(port), 0)
        for _ in range(each):
            connection = Connection(upstream.pools[f"s-{i}"], upstream.budget)
            upstream.open_connections += 1
            await upstream.connect(connection, host, int(port))
            upstream.pools[f"s-{i}"].release(connection)


async def held(sidecar: Sidecar, count: int) -> None:
    while sidecar.proxy.balancer.queue.count < count:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("warmed", [0, 1])
@pytest.mark.parametrize("leave", LEAVES)
def test_client_that_leaves_as_its_held_call_is_sent(
    leave: Callable[[socket.socket], None], warmed: int
) -> None:
    """Not even a connection is opened for it where none rests."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            nobody_listed(sidecar)
            client, other = blocking(sidecar), await sidecar.client()
            await held(sidecar, 1)
            await warm(sidecar, warmed)
            while sidecar.endpoints[0].connections < warmed:
                await asyncio.sleep(0.01)
            leave(client)
            all_listed(sidecar)
            await noticed(sidecar)
            assert sidecar.proxy.upstream.counters["opened"] == 0
            await only_this_arrives(sidecar, other)
            assert sidecar.proxy.counters["client_disconnects"] == 1
            assert not sidecar.proxy.requests
            client.close()

    run(test())


@pytest.mark.parametrize("leave", LEAVES)
def test_client_that_leaves_while_the_loop_is_busy(
    leave: Callable[[socket.socket], None],
) -> None:
    """The loop is late: it works through all that is due before it reads the end."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            nobody_listed(sidecar)
            client, other = blocking(sidecar), await sidecar.client()
            await held(sidecar, 1)
            await warm(sidecar, 1)
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, leave, client)
            loop.call_later(0.03, all_listed, sidecar)
            time.sleep(0.1)  # the load: both are due by now, and the loop reads nothing between the two
            await noticed(sidecar)
            await only_this_arrives(sidecar, other)
            assert not sidecar.proxy.requests
            client.close()

    run(test())


@pytest.mark.parametrize("leave", LEAVES)
def test_client_that_leaves_as_its_connection_to_an_endpoint_comes_up(
    leave: Callable[[socket.socket], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with Sidecar(Allowed={**SETUP["Allowed"], "ConnectTimeoutUs": 9_000_000}) as sidecar:
            connect = sidecar.proxy.upstream.connect
            client, other = blocking(sidecar), await sidecar.client()

            async def late(*where: object) -> None:
                await connect(*where)  # type: ignore[arg-type]
                monkeypatch.undo()
                leave(client)  # nothing comes between this and the attempt

            monkeypatch.setattr(sidecar.proxy.upstream, "connect", late)
            while not sidecar.proxy.upstream.counters["opened"]:
                await asyncio.sleep(0.01)
            await noticed(sidecar)
            await only_this_arrives(sidecar, other)
            assert sidecar.proxy.counters["attempts_not_sent"] == 1
            assert not sidecar.proxy.requests
            client.close()

    run(test())


@pytest.mark.parametrize("leave", LEAVES)
def test_client_that_leaves_as_a_declined_attempt_is_read(leave: Callable[[socket.socket], None]) -> None:
    """The endpoint's answer is read first, and the further attempt goes out in the same step."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            await warm(sidecar, 1)
            client, other = blocking(sidecar), await sidecar.client()
            asked = await first_asked(sidecar)
            asked.reply(503, b"", "Srv-Declined: 1")
            leave(client)
            await noticed(sidecar)
            await only_this_arrives(sidecar, other)
            assert not sidecar.proxy.requests
            client.close()

    run(test())


@pytest.mark.parametrize("leave", LEAVES)
def test_client_that_leaves_unread_as_its_next_request_is_due(leave: Callable[[socket.socket], None]) -> None:
    """So many wait behind the first that nothing more is read from it."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client, other = blocking(sidecar, "first", 3_000_000), await sidecar.client()
            for n in range(MAX_WAITING_REQUESTS):
                client.sendall(asks(f"behind-{n}", 3_000_000))
            asked = await sidecar.endpoints[0].next()
            while not any(caller.is_reading_paused for caller in sidecar.server.clients):
                await asyncio.sleep(0.01)
            asked.reply()
            leave(client)
            await noticed(sidecar)
            await only_this_arrives(sidecar, other)
            assert not sidecar.proxy.requests
            client.close()

    run(test())


@pytest.mark.parametrize("leave", LEAVES)
def test_clients_that_leave_among_many(
    leave: Callable[[socket.socket], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Every second of a hundred leaves in the step in which all their calls may be sent."""
    # A busy machine is slow to warm 200 connections.
    for module in (request_queue, zone_spillover):
        monkeypatch.setattr(module, "MAX_WAIT_SHARE_OUTERMOST", 2.0)

    async def test() -> None:
        async with Sidecar(endpoints=4) as sidecar:
            nobody_listed(sidecar)
            clients = [blocking(sidecar, f"{'goes' if n % 2 else 'stays'}-{n}") for n in range(100)]
            await held(sidecar, 100)
            await warm(sidecar, 50)
            for client in clients[1::2]:
                leave(client)
            all_listed(sidecar)
            arrived: list[str] = []

            async def serve(number: int) -> None:
                while True:
                    asked = await sidecar.endpoints[number].next()
                    arrived.append(asked.message.headers["req-id"])
                    asked.reply()

            serving = [asyncio.create_task(serve(number)) for number in range(4)]
            await noticed(sidecar)
            for client in clients[::2]:
                client.setblocking(False)
                reader, _ = await asyncio.open_connection(sock=client)
                assert (await read_message(reader)).status == 200
            for task in serving:
                task.cancel()
            assert sorted(arrived) == sorted(f"stays-{n}" for n in range(0, 100, 2))
            assert sidecar.proxy.counters["client_disconnects"] == 50
            assert not sidecar.proxy.requests

    run(test())
