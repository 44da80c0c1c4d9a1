"""Lists that are lost on the way: what they tell counts as told, so they are asked for in time."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from eiderhub.interface import Discovery, ListForm, Rules
from eiderhub.sidecar import discovery
from eiderhub.sidecar.discovery import Listed, Watcher
from tests.sidecar_support import Fake, Sidecar, listing, row, run
from tests.support import Host, settings


@pytest.mark.parametrize("how", ["silent", "garbled", "no list", "too much"])
def test_a_lost_list_is_asked_for_at_once_however_long_the_module_would_wait(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery, "WAIT_MS", (100, 100))
    monkeypatch.setattr(discovery, "WATCH_PATIENCE_S", 0.1)

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            sidecar.host.balancer.ask_wait = 60_000_000  # as after a long outage
            spoilt = {
                "silent": b"",
                "garbled": b"\x00\x01 noise\r\n\r\n",
                "no list": b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n[1, 2, 3]",
                "too much": b"HTTP/1.1 200 X\r\nContent-Length: 99999999\r\n\r\n",
            }[how]
            (await sidecar.discovery.next()).writer.write(spoilt)
            (await sidecar.discovery.next()).writer.write(spoilt)  # and once more
            left = listing(2, False, row("s-1", sidecar.endpoints[1].address, "draining"))
            (await sidecar.discovery.next()).reply(200, left)
            await sidecar.discovery.next()
            assert list(sidecar.host.upstream.pools) == ["s-0"]

    run(test())


def test_a_new_connection_that_hangs_leaves_time_for_another(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a watch fell silent 1 s is left, and connecting alone was waited for for 2 s."""
    monkeypatch.setattr(discovery, "WAIT_MS", (100, 100))
    monkeypatch.setattr(discovery, "WATCH_PATIENCE_S", 0.1)
    told: asyncio.Queue[ListForm] = asyncio.Queue()

    async def test() -> None:
        fake = await Fake().start()
        host, _, port = fake.address.rpartition(":")
        watcher = Watcher(host, int(port), 1, False, 1_500_000, lambda form, _: told.put_nowait(form))
        loop = asyncio.get_running_loop()
        dials = 0

        class Hanging:
            """The loop, but that its second connection never comes up."""

            def __getattr__(self, name: str) -> Any:
                return getattr(loop, name)

            async def create_connection(self, *values: Any) -> Any:
                nonlocal dials
                dials += 1
                if dials == 2:
                    await asyncio.Event().wait()
                return await loop.create_connection(*values)

        monkeypatch.setattr(asyncio, "get_running_loop", Hanging)
        watcher._task = loop.create_task(watcher._run())
        await fake.next()  # silent
        begun = time.monotonic()
        (await fake.next()).reply(200, listing(2, False))
        assert await told.get() is ListForm.DELTA
        assert dials == 3
        assert time.monotonic() - begun < discovery.CONNECT_S
        watcher.turn(False)

    run(test())


def test_pushed_lists_are_asked_for_soon_after_discovery_is_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """What it has at its return counts as told at once; after an outage of 8 s copies waited up to 6 s."""
    pauses: list[float] = []
    sleep = asyncio.sleep

    async def noted(delay: float) -> None:
        pauses.append(delay)
        await sleep(0)

    async def test() -> None:
        free = await Fake().start()
        free.server.close()
        await free.server.wait_closed()
        host, _, port = free.address.rpartition(":")
        monkeypatch.setattr(asyncio, "sleep", noted)
        watcher = Watcher(host, int(port), 1, True, 800_000, ignore)
        watcher.turn(True)
        while len(pauses) < 20:
            await sleep(0.001)
        watcher.turn(False)
        assert max(pauses) <= 0.8 / 2

    def ignore(form: ListForm, entries: list[Listed]) -> None: ...

    run(test())


def test_the_module_asks_again_before_what_changes_counts_as_told() -> None:
    host = Host(settings(discovery=Discovery.ASK, rules=Rules(ask_every_us=500_000)))
    for _ in range(8):
        host.timers.clear()
        host.balancer.discovery(host.now, ListForm.FAILED, [])
        ((due, _),) = host.timers
        assert due - host.now < 4 * 500_000
        host.advance(due - host.now)
