"""An unsafe request is sent again only where the attempt before surely never ran, and is never out twice."""

from __future__ import annotations

import asyncio
import socket

import pytest

from corkdoor.model import WatchEventKind
from corkdoor.sidecar.discovery.endpoint_list import read_endpoint_list
from corkdoor.sidecar.upstream.connection import Connection
from tests.sidecar_support import SETUP, Asked, Fake, Sidecar, first_asked, one_attempt, row, run

ALLOWED = {**SETUP["Allowed"], "SecondCopies": True, "ConnectTimeoutUs": 100_000}


def spoil(asked: Asked) -> None:
    asked.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n")


MAY_HAVE_RUN = {
    "error": lambda asked: asked.reply(500, b""),
    "plain 503": lambda asked: asked.reply(503, b""),
    "plain 504": lambda asked: asked.reply(504, b""),
    "reset": lambda asked: asked.reset(),
    "end": lambda asked: asked.writer.close(),
    "spoilt": spoil,
}
NEVER_RAN = {
    "503": lambda asked: asked.reply(503, b"", "Srv-Declined: 1"),
    "504": lambda asked: asked.reply(504, b"", "Srv-Declined: 1"),
}


@pytest.mark.parametrize("how", MAY_HAVE_RUN)
def test_what_may_have_run_is_not_sent_again_and_no_retry_is_called_harmless(how: str) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=3, Allowed=ALLOWED) as sidecar:
            asked, client = await one_attempt(sidecar)
            MAY_HAVE_RUN[how](asked)
            assert (await client.answer()).status == 502
            assert all(fake.asked.empty() for fake in sidecar.endpoints)

    run(test())


@pytest.mark.parametrize("how", NEVER_RAN)
def test_what_was_turned_away_is_sent_again(how: str) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=3, Allowed=ALLOWED) as sidecar:
            asked, client = await one_attempt(sidecar)
            NEVER_RAN[how](asked)
            again = await first_asked(sidecar)
            assert again.message.headers["req-id"] == asked.message.headers["req-id"]
            again.reply()
            assert (await client.answer()).status == 200

    run(test())


@pytest.mark.parametrize("how", ["refused", "hangs"])
def test_what_found_no_connection_is_sent_again(how: str) -> None:
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0), backlog=0) as dead:
            address = f"127.0.0.1:{dead.getsockname()[1]}"
            fillers = [socket.socket() for _ in range(3)]
            for filler in fillers:  # take what the backlog holds: the next handshake gets no answer
                filler.setblocking(False)
                filler.connect_ex(dead.getsockname())
            if how == "refused":
                dead.close()
            async with Sidecar(endpoints=1, Allowed=ALLOWED) as sidecar:
                both = rows(row("bad", address), row("s-0", sidecar.endpoints[0].address))
                sidecar.proxy.on_watch_event(WatchEventKind.FULL, read_endpoint_list(both).entries)
                client = await sidecar.client()
                while not sidecar.proxy.counters[
                    "attempts_connect_failed"
                ]:  # each draws its endpoint at random
                    client.send()
                    (await sidecar.endpoints[0].next()).reply()
                    assert (await client.answer()).status == 200
            for filler in fillers:
                filler.close()

    run(test())


def test_what_is_silent_is_out_once_until_its_time_is_up() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=3, Allowed=ALLOWED) as sidecar:
            client = await sidecar.client()
            client.send(deadline_ms=400)
            await first_asked(sidecar)
            assert (await client.answer()).status == 504
            assert all(fake.asked.empty() for fake in sidecar.endpoints)

    run(test())


def test_what_broke_before_its_last_byte_is_sent_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """The endpoint begins with the last byte; here the kernel takes only a part of the first attempt."""

    async def test() -> None:
        async with Sidecar(endpoints=2, Allowed=ALLOWED) as sidecar:
            await sidecar.discovery.next()  # its connection is of the same kind
            send = Connection.send

            def in_part(connection: Connection, data: bytes) -> None:
                monkeypatch.setattr(Connection, "send", send)
                send(connection, data[:-1])
                connection.pause_writing()  # as where the kernel's buffer is full
                parts.put_nowait(connection)

            parts: asyncio.Queue[Connection] = asyncio.Queue()
            monkeypatch.setattr(Connection, "send", in_part)
            client = await sidecar.client()
            client.send()
            port = (await parts.get()).transport.peer_port()
            first = next(f for f in sidecar.endpoints if f.address.endswith(f":{port}"))
            await writer(first)
            first.writers[0].transport.abort()
            (await first_asked(sidecar)).reply()
            assert (await client.answer()).status == 200

    run(test())


async def writer(fake: Fake) -> None:
    while not fake.writers:
        await asyncio.sleep(0.001)


def rows(*entries: dict[str, object]) -> object:
    return {"generation": 2, "reset": True, "instances": list(entries)}
