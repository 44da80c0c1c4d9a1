"""Replaced settings on real sockets: in force at once, all or nothing, and no request pays for it."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from corkdoor.policy.discovery.poll_state import PollState
from corkdoor.settings_reader import read_settings
from corkdoor.sidecar.config import Config, ConfigError, load
from corkdoor.sidecar.resource_limits import ResourceLimits
from corkdoor.sidecar.status_report import status_line
from corkdoor.sidecar.upstream.connection import Connection
from corkdoor.sidecar.upstream.manager import PoolManager
from tests.sidecar_support import SETUP, Client, Fake, Program, Sidecar, listing, program, ready, row, run
from tests.test_crowding import arrivals

NEW = {**SETUP["Categories"][0], "Name": "new"}
LOOK, HOLD, PAY = SETUP["Categories"]


def changed(
    sidecar: Sidecar, digest: str = "d1", resource_limits: ResourceLimits | None = None, **settings: Any
) -> Config:
    """The configuration in force, but for these settings."""
    now = sidecar.proxy.config
    setup = {**sidecar.setup, **settings}
    return replace(
        now,
        settings=read_settings(setup),
        digest=digest,
        resource_limits=resource_limits or now.resource_limits,
    )


def reload(sidecar: Sidecar, **changes: Any) -> None:
    sidecar.server.reload(changed(sidecar, **changes))


def without_pay() -> dict[str, Any]:
    return {"Categories": [LOOK, HOLD]}


def test_requests_that_are_open_over_twenty_reloads_are_answered_once_on_their_connections() -> None:
    """Classes go and come back, aims, tenants, counts and limits change, with 200 requests out."""

    async def test() -> None:
        async with Sidecar(endpoints=40) as sidecar:
            queue = arrivals(sidecar)
            clients = [await sidecar.client() for _ in range(200)]
            for client in clients:
                client.send()
            out = [await queue.get() for _ in clients]
            opened = sidecar.proxy.upstream.open_connections
            variants: list[dict[str, Any]] = [
                without_pay(),
                {"Categories": [{**PAY, "Effect": "idempotent", "AimUs": 500_000}, NEW]},
                {"Parties": [{"Name": "else", "QuotaPerS": 1.0}], "Balancers": 9, "Rank": 4},
                {"MyZone": "b", "Allowed": {"MaxAttempts": 1}, "Goal": {"WorstClass": 1.0}},
            ]
            for i in range(20):
                reload(sidecar, digest=f"d{i}", **variants[i % 4])
                for asked in out[i * 10 : i * 10 + 10]:
                    asked.reply()
            reload(sidecar, digest="last")
            assert [(await client.answer()).status for client in clients] == [200] * 200
            assert sidecar.proxy.settings_changes == 21
            assert len(sidecar.server.clients) == 200
            assert sidecar.proxy.upstream.open_connections == opened
            assert queue.empty()
            for client in clients:  # what comes next on each connection is the next answer
                client.send()
            for _ in clients:
                (await queue.get()).reply(200, b"next")
            assert {(await client.answer()).body for client in clients} == {b"next"}
            assert all(fake.ends.empty() for fake in sidecar.endpoints)
            assert not sidecar.proxy.requests

    run(test())


def test_open_and_held_requests_of_a_class_that_is_gone_are_answered_and_new_ones_are_not_known() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            clients = [await sidecar.client() for _ in range(30)]
            queue = sidecar.proxy.balancer.queue
            sent = []
            for client in clients:
                client.send()
                sent.append(client)
                while len(sidecar.proxy.requests) < len(sent):
                    await asyncio.sleep(0.001)
                if queue.count == 2:
                    break
            assert queue.count == 2
            reload(sidecar, **without_pay())
            other = await sidecar.client()
            assert (await other.ask()).status == 404
            assert (queue.count, len(sidecar.proxy.requests)) == (2, len(sent))
            for _ in sent:
                (await sidecar.endpoints[0].next()).reply()
            assert [(await client.answer()).status for client in sent] == [200] * len(sent)

    run(test())


def test_classes_and_tenants_that_are_added_are_served_and_those_that_are_gone_are_not() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            assert (await client.ask("new")).status == 404
            client = await sidecar.client()
            client.send("look", Req_Owner="zeta")
            assert (await client.answer()).status == 400
            reload(sidecar, Categories=[LOOK, {**PAY, "Name": "new"}], Parties=[{"Name": "zeta"}])
            client = await sidecar.client()
            client.send("new", Req_Owner="zeta")
            (await sidecar.endpoints[0].next()).reply()
            assert (await client.answer()).status == 200
            client.send("look", Req_Owner="acme")
            assert (await client.answer()).status == 400

    run(test())


def test_effect_that_changes_while_an_attempt_is_out_holds_for_later_requests() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            asked = await sidecar.endpoints[0].next()
            reload(sidecar, Categories=[LOOK, HOLD, {**PAY, "Effect": "idempotent"}])
            asked.reset()
            assert (await client.answer()).status == 502  # at most once: it may have run
            assert sidecar.endpoints[0].asked.empty()
            assert (await client.ask()).status == 405  # what is safe to repeat is asked for with GET

    run(test())


def test_idle_connections_are_kept_for_the_time_that_is_now_told() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next()).reply()
            assert (await client.answer()).status == 200
            reload(sidecar, Allowed={**SETUP["Allowed"], "ConnIdleUs": 20_000})
            assert await sidecar.endpoints[0].ends.get() == 0
            assert sidecar.proxy.balancer.rules.idle_connections.closed_after_us == 20_000

    run(test())


def test_connections_come_up_in_the_time_that_is_now_told(monkeypatch: pytest.MonkeyPatch) -> None:
    async def connect(self: PoolManager, connection: Connection, host: str, port: int) -> None:
        await asyncio.Event().wait()

    monkeypatch.setattr(PoolManager, "connect", connect)

    async def test() -> None:
        async with Sidecar(Allowed={**SETUP["Allowed"], "ConnectTimeoutUs": 60_000_000}) as sidecar:
            reload(sidecar, Allowed={**SETUP["Allowed"], "ConnectTimeoutUs": 20_000})
            client = await sidecar.client()
            assert (await client.ask(deadline_ms=60_000)).status == 503
            assert sidecar.proxy.counters["attempts_connect_failed"]

    run(test())


def test_callers_past_a_lowered_bound_are_closed_but_for_those_at_work() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            busy = [await sidecar.client() for _ in range(3)]
            asked = []
            for client in busy:
                client.send()
                asked.append(await sidecar.endpoints[0].next())
            silent = [await sidecar.client() for _ in range(3)]
            while len(sidecar.server.clients) < 6:
                await asyncio.sleep(0.001)
            reload(sidecar, resource_limits=ResourceLimits(2, 400, 1 << 24))
            for client in silent:
                assert await client.reader.read() == b""
            late = await sidecar.client()
            assert await late.reader.read() == b""
            assert len(sidecar.server.clients) == 3
            for one in asked:
                one.reply()
            answers = [await client.answer() for client in busy]
            assert [answer.status for answer in answers] == [200] * 3
            closed = ["connection" in answer.headers for answer in answers]
            assert sorted(closed) == [False, False, True]
            while len(sidecar.server.clients) > 2:
                await asyncio.sleep(0.001)
            reload(sidecar, resource_limits=ResourceLimits(6, 400, 1 << 24))
            more = await sidecar.client()
            more.send()
            (await sidecar.endpoints[0].next()).reply()
            assert (await more.answer()).status == 200

    run(test())


def test_callers_between_requests_make_room_past_a_lowered_bound_once_they_can_be_spared() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            clients = [await sidecar.client() for _ in range(4)]
            for client in clients:
                client.send()
                (await sidecar.endpoints[0].next()).reply()
                assert (await client.answer()).status == 200
            sidecar.server.clients.evictable_idle_s = 3600.0  # all have been in use just now
            reload(sidecar, resource_limits=ResourceLimits(2, 400, 1 << 24))
            assert len(sidecar.server.clients) == 4
            sidecar.server.clients.evictable_idle_s = 0.0
            late = await sidecar.client()
            late.send()
            (await sidecar.endpoints[0].next()).reply()
            assert (await late.answer()).status == 200
            assert len(sidecar.server.clients) == 2

    run(test())


def test_connections_to_endpoints_past_a_lowered_bound_are_closed_but_for_those_in_use() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            fake, upstream = sidecar.endpoints[0], sidecar.proxy.upstream
            clients = [await sidecar.client() for _ in range(4)]
            asked = []
            for client in clients:
                client.send()
                asked.append(await fake.next())
            asked[0].reply()
            assert (await clients[0].answer()).status == 200
            assert upstream.open_connections == 4
            reload(sidecar, resource_limits=ResourceLimits(500, 2, 1 << 20))
            assert await fake.ends.get() == asked[0].connection  # the idle one
            assert (upstream.open_connections, sidecar.proxy.budget.limit_bytes) == (3, 1 << 20)
            assert (await clients[0].ask()).status == 503  # no room for one more, and it was sent nowhere
            for one in asked[1:]:
                one.reply()
            assert [(await client.answer()).status for client in clients[1:]] == [200] * 3
            assert upstream.open_connections == 2
            assert fake.connections == 4

    run(test())


@pytest.mark.parametrize("before", ["ask", "push"])
@pytest.mark.parametrize("after", ["ask", "push"])
def test_a_live_watch_at_the_same_address_stays_open(before: str, after: str) -> None:
    """Thousands of sidecars reload at once: none may ask for the whole list again for that."""

    async def test() -> None:
        async with Sidecar(Discovery=before) as sidecar:
            asked = await sidecar.discovery.next()
            for i in range(3):
                reload(sidecar, digest=str(i), Discovery=after, Balancers=i + 1)
            asked.reply(200, listing(2, False))
            asked = await sidecar.discovery.next()
            assert asked.message.first.startswith("GET /discovery/hosts?after=2&")
            assert (sidecar.discovery.connections, sidecar.discovery.ends.qsize()) == (1, 0)
            asked.reply(503, b"")
            await sidecar.discovery.next()  # either form asks again, the module's or the watch's own way

    run(test())


def test_lists_that_are_pushed_from_now_on_are_watched_without_waiting_for_the_next_question(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            monkeypatch.setattr(
                sidecar.proxy, "start_timer", lambda delay_us, timer: None
            )  # it never falls due
            (await sidecar.discovery.next()).reply(503, b"")
            while sidecar.proxy.balancer.discovery.state is PollState.CALLING:
                await asyncio.sleep(0.001)
            reload(sidecar, Discovery="push")
            await sidecar.discovery.next()

    run(test())


def test_the_same_settings_touch_nothing_in_the_module(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            monkeypatch.setattr(sidecar.proxy.balancer, "reconfigure", None)
            version = sidecar.proxy.version_fields()
            sidecar.server.reload(changed(sidecar, digest=sidecar.proxy.config.digest))
            assert sidecar.proxy.version_fields() == version
            stated = " ".join(f"{key}={value}" for key, value in version.items())
            assert f" {stated} " in status_line(sidecar.proxy, 0, 0)

    run(test())


@pytest.mark.parametrize("key", ["name", "listen", "Layer"])
def test_what_a_process_is_known_by_is_refused_with_all_the_rest(key: str) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            config = changed(sidecar, resource_limits=ResourceLimits(7, 7, 7), **without_pay())
            if key == "Layer":
                config = replace(config, settings=replace(config.settings, layer=1, layer_count=2))
            elif key == "name":
                config = replace(config, name="n1")
            else:
                config = replace(config, listen=replace(config.listen, port=1))
            config = replace(config, discovery=replace(config.discovery, port=1), seed=9)
            before = sidecar.proxy.config, sidecar.proxy.balancer.settings
            with pytest.raises(ConfigError, match=f"{key}: .* can't become .* while the process runs"):
                sidecar.server.reload(config)
            assert (sidecar.proxy.config, sidecar.proxy.balancer.settings) == before
            assert (sidecar.server.clients.limit, sidecar.proxy.upstream.max_connections) == (500, 400)
            assert sidecar.proxy.watcher.port == before[0].discovery.port
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next()).reply()
            assert (await client.answer()).status == 200

    run(test())


def test_how_long_a_drain_waits_follows_the_deadlines_that_are_in_force() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            reload(sidecar, Categories=[{**LOOK, "DeadlineUs": 700_000}])
            assert sidecar.server.admission.longest_deadline_s == 0.7

    run(test())


def test_the_digest_is_that_of_what_the_settings_say(tmp_path: Path) -> None:
    def digest(settings: dict[str, Any], **document: Any) -> str:
        told = {"listen": "a:1", "discovery": "a:2", "seed": "1", "settings": settings, **document}
        (tmp_path / "c").write_text(json.dumps(told, indent=len(document)), encoding="utf-8")
        return load({"GW_CONFIG": str(tmp_path / "c")}).digest

    first = digest(SETUP)
    assert len(first) == 8 and int(first, 16) >= 0
    assert digest(dict(reversed(SETUP.items())), name="other", limits={"sockets": 300}) == first
    assert digest({**SETUP, "Balancers": 2}) != first


# --- the program ---


def write(tmp_path: Path, **settings: Any) -> str:
    """Replace the program's file; what it will call these settings."""
    path = tmp_path / "config.json"
    document = json.loads(path.read_text(encoding="utf-8"))
    document["settings"] = {**SETUP, **settings}
    path.write_text(json.dumps(document), encoding="utf-8")
    return load({"GW_CONFIG": str(path)}).digest


def hang_up(running: Program) -> None:
    running.process.send_signal(signal.SIGHUP)


async def served_once(running: Program, class_name: str) -> int:
    client = await running.client()
    status = (await client.ask(class_name)).status
    client.writer.close()
    return status


def test_all_requests_of_a_program_under_load_are_answered_over_twenty_reloads(tmp_path: Path) -> None:
    async def endless(client: Client, statuses: Counter[int], stop: asyncio.Event) -> None:
        while not stop.is_set():
            statuses[(await client.ask()).status] += 1

    async def answer(fakes: list[Fake]) -> None:
        async def one(fake: Fake) -> None:
            while True:
                (await fake.next()).reply()

        await asyncio.gather(*(one(fake) for fake in fakes))

    async def test() -> None:
        fakes = [await Fake().start() for _ in range(6)]
        rows = [row(f"e-{i}", fake.address) for i, fake in enumerate(fakes)]
        async with program(tmp_path, {"known": json.loads(listing(1, True, *rows))}) as running:
            serving = asyncio.create_task(answer(fakes))
            stop, statuses = asyncio.Event(), Counter[int]()
            clients = [await running.client() for _ in range(12)]
            load = [asyncio.create_task(endless(client, statuses, stop)) for client in clients]
            for i in range(20):
                own = {**PAY, "Name": f"own{i}"}
                write(tmp_path, Balancers=1 + i % 2, Categories=[PAY, own, HOLD, LOOK][: 2 + i % 3])
                served = statuses.total()
                hang_up(running)
                while await served_once(running, f"own{i}") == 404:
                    await asyncio.sleep(0.001)
                while statuses.total() < served + 12:
                    await asyncio.sleep(0.001)
            stop.set()
            await asyncio.gather(*load)
            serving.cancel()
            assert set(statuses) == {200}
            await running.line_with("event=status clients=12 ")  # connections that never closed

    run(test())


def test_of_two_signals_at_once_the_last_file_is_in_force(tmp_path: Path) -> None:
    async def test() -> None:
        async with program(tmp_path, {}) as running:
            client = await running.client()
            assert (await client.ask("new")).status == 404
            write(tmp_path, Categories=[LOOK])
            hang_up(running)
            digest = write(tmp_path, Categories=[{**PAY, "Name": "new"}])
            hang_up(running)
            await running.line_with(f" settings={digest} ")
            client = await running.client()
            client.send("new")
            (await running.endpoint.next()).reply()
            assert (await client.answer()).status == 200
            client = await running.client()
            assert (await client.ask("look")).status == 404

    run(test())


def test_a_file_that_is_written_in_part_changes_nothing_and_the_next_signal_takes_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with program(tmp_path, {}) as running:
            file = tmp_path / "config.json"
            digest = write(tmp_path, Categories=[{**PAY, "Name": "new"}])
            whole = file.read_text(encoding="utf-8")
            file.write_text(whole[: len(whole) // 2], encoding="utf-8")
            hang_up(running)
            await running.line_with("event=config_rejected key=GW_CONFIG ")
            client = await running.client()
            client.send("pay")
            (await running.endpoint.next()).reply()
            assert (await client.answer()).status == 200
            file.write_text(whole, encoding="utf-8")
            hang_up(running)
            await running.line_with(f"event=config_reloaded changed=True settings={digest} ")
            client.send("new")
            (await running.endpoint.next()).reply()
            assert (await client.answer()).status == 200

    run(test())


@pytest.mark.parametrize(
    ("change", "key", "reason"),
    [
        ({"name": "n1"}, "name", "n0 can't become n1"),
        ({"settings": {**SETUP, "Layer": 1, "Tiers": ["a", "b"]}}, '"settings: Layer"', "0 can't become 1"),
        ({"settings": {**SETUP, "Categories": []}}, "settings", "Categories"),
        ({"limits": {"sockets": 0}}, "limits.sockets", "impossible value 0"),
    ],
)
def test_a_file_that_is_not_taken_is_logged_with_its_reason(
    tmp_path: Path, change: dict[str, Any], key: str, reason: str
) -> None:
    async def test() -> None:
        async with program(tmp_path, {}) as running:
            file = tmp_path / "config.json"
            document = copy.deepcopy(json.loads(file.read_text(encoding="utf-8")))
            file.write_text(json.dumps({**document, **change}), encoding="utf-8")
            hang_up(running)
            await running.line_with(f'event=config_rejected key={key} reason="{reason}')
            client = await running.client()
            client.send("pay")
            (await running.endpoint.next()).reply()
            assert (await client.answer()).status == 200

    run(test())


def test_a_reload_while_the_process_drains_leaves_its_requests_and_its_end_alone(tmp_path: Path) -> None:
    async def test() -> None:
        async with program(tmp_path, {}) as running:
            client, other = await running.client(), await running.client()
            client.send("pay")
            asked = await running.endpoint.next()
            digest = write(tmp_path, Categories=[{**LOOK, "DeadlineUs": 100_000}])
            running.process.send_signal(signal.SIGTERM)
            while await ready(other) == 200:
                await asyncio.sleep(0.001)
            hang_up(running)
            await running.line_with(f"event=config_reloaded changed=True settings={digest} ")
            asked.reply()
            assert (await client.answer()).status == 200
            assert await asyncio.to_thread(running.process.wait) == 0

    run(test())
