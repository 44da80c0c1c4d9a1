"""Clients that leave while their request waits: it is sent on for nobody."""

from __future__ import annotations

import asyncio

import pytest

from eiderhub.interface import ListForm
from eiderhub.sidecar import server
from eiderhub.sidecar.discovery import read_listing
from tests.sidecar_support import SETUP, Client, Sidecar, first_asked, row, run


async def noticed(sidecar: Sidecar) -> None:
    """Wait until no request of a caller is open, neither taken nor waiting behind another."""
    while any(caller.busy for caller in sidecar.server.callers):
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
            sidecar.host.on_list(ListForm.FULL, [])  # nothing to send to: calls are held
            client, other = await sidecar.client(), await sidecar.client()
            client.send(request_id="held")
            while not sidecar.host.balancer.queue.count:
                await asyncio.sleep(0.01)
            client.writer.close()
            await noticed(sidecar)
            document = {
                "generation": 2,
                "reset": True,
                "instances": [row("s-0", sidecar.endpoints[0].address)],
            }
            sidecar.host.on_list(ListForm.FULL, read_listing(document).entries)
            await only_this_arrives(sidecar, other)

    run(test())


@pytest.mark.parametrize("may_cancel", [False, True])
def test_client_that_leaves_while_a_connection_comes_up(
    may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        allowed = {**SETUP["Allowed"], "MayCancel": may_cancel, "ConnectTimeoutUs": 9_000_000}
        async with Sidecar(Allowed=allowed) as sidecar:
            up, gone = asyncio.Event(), asyncio.Event()
            dial = sidecar.host.upstream.dial

            async def late(*where: object) -> None:
                await dial(*where)  # type: ignore[arg-type]
                up.set()
                await gone.wait()

            monkeypatch.setattr(sidecar.host.upstream, "dial", late)
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
            while sidecar.host.requests:
                await asyncio.sleep(0.01)
            await only_this_arrives(sidecar, other)

    run(test())


@pytest.mark.parametrize("behind", [1, server.MAX_WAITING])
def test_client_that_leaves_behind_its_earlier_request(behind: int) -> None:
    """With so many behind the first that nothing more is read, the loop is told of no end."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client, other = await sidecar.client(), await sidecar.client()
            client.send(deadline_ms=3_000_000)
            asked = await sidecar.endpoints[0].next()
            for _ in range(behind):
                client.send(deadline_ms=3_000_000)
            while not any(len(caller.waiting) == behind for caller in sidecar.server.callers):
                await asyncio.sleep(0.01)
            assert any(caller.paused for caller in sidecar.server.callers) == (behind == server.MAX_WAITING)
            client.writer.close()
            assert await sidecar.endpoints[0].ends.get() == asked.connection  # the attempt is called off
            await only_this_arrives(sidecar, other)
            assert not sidecar.host.requests

    run(test())


def test_client_that_leaves_with_its_answers_unread(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its connection closes once these are read, and what waited behind them must not go out first."""

    async def test() -> None:
        monkeypatch.setattr(server, "LINGER_S", 60.0)
        async with Sidecar() as sidecar:
            client, other = await sidecar.client(), await sidecar.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            (caller,) = [c for c in sidecar.server.callers if c.transport.get_extra_info("peername")
                         == client.writer.get_extra_info("sockname")]  # fmt: skip
            while not caller.stuck:
                client.send()
                (await sidecar.endpoints[0].next()).reply(200, b"x" * 65_000)
                while caller.current is not None:
                    await asyncio.sleep(0.001)
            client.send(request_id="behind")
            client.writer.write_eof()
            while not caller.ended:
                await asyncio.sleep(0.01)
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            while caller in sidecar.server.callers:
                await client.reader.read(1 << 20)
            await only_this_arrives(sidecar, other)

    run(test())
