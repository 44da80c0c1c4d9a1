"""No objects leak where connections, endpoints and ids are ever new: they are counted after churn."""

from __future__ import annotations

import asyncio
import gc
from collections import Counter

import pytest

from corkdoor.model import WatchEventKind
from corkdoor.sidecar.clients.connection import ClientConnection
from corkdoor.sidecar.clock import Alarm
from corkdoor.sidecar.discovery.endpoint_list import read_endpoint_list
from corkdoor.sidecar.proxied_request import ProxiedRequest
from corkdoor.sidecar.upstream.attempt import Attempt
from corkdoor.sidecar.upstream.connection import Connection
from corkdoor.sidecar.upstream.pool import EndpointPool
from tests.sidecar_support import Fake, Sidecar, row, run

COUNTED = (Alarm, Attempt, ClientConnection, Connection, EndpointPool, ProxiedRequest)


def counts() -> Counter[str]:
    return Counter(type(item).__name__ for item in gc.get_objects() if isinstance(item, COUNTED))


@pytest.mark.parametrize("ending", ["answered", "rejected", "client closed", "malformed", "timed out"])
def test_churned_connections_leave_nothing_for_the_collector(ending: str) -> None:
    """Guards against reference cycles: the sidecar makes full collections rare, so these would add up."""

    async def one(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        client.send(
            deadline_ms=80 if ending == "timed out" else 2500,
            Req_Owner="?" if ending == "rejected" else "acme",
        )
        if ending != "rejected":
            asked = await sidecar.endpoints[0].next()
            if ending == "answered":
                asked.reply(200, b"done", "Connection: close")
            elif ending == "malformed":
                asked.writer.write(b"noise\r\n\r\n")
        if ending == "client closed":
            client.writer.close()
            await sidecar.endpoints[0].ends.get()
        else:
            await client.answer()
        client.writer.close()

    async def test() -> None:
        async with Sidecar(MayCancel=True) as sidecar:
            await one(sidecar)
            await settled(sidecar)
            gc.collect()
            gc.disable()
            try:
                before = counts()
                for _ in range(10):
                    await one(sidecar)
                await settled(sidecar)
                # The last one may still be on its way out; what adds up does so with each of them.
                assert max((counts() - before).values(), default=0) <= 2
            finally:
                gc.enable()

    async def settled(sidecar: Sidecar) -> None:
        while sidecar.server.clients or sidecar.proxy.requests or sidecar.proxy.upstream.open_connections:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)  # what was aborted is let go of in the loop's next turns

    run(test())


@pytest.mark.parametrize("form", [WatchEventKind.DELTA, WatchEventKind.FULL])
def test_endpoints_that_left_the_list_are_forgotten(form: WatchEventKind) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=1) as sidecar:
            address = sidecar.endpoints[0].address
            for number in range(50):
                rows = [row(f"s-{number + 1}", address)]
                if form is WatchEventKind.DELTA:
                    rows += [row(f"s-{number}", address, "draining"), row(f"s-{number}", address, "gone")]
                listing = read_endpoint_list({"generation": number, "reset": False, "instances": rows})
                sidecar.proxy.on_watch_event(form, listing.entries)
            assert list(sidecar.proxy.upstream.pools) == ["s-50"]
            assert list(sidecar.proxy.balancer.endpoints) == ["s-50"]

    run(test())


def test_late_outcome_of_an_endpoint_that_left_the_list_does_no_harm() -> None:
    """Its address may have come back under a new id, whose own requests it must not be counted with."""

    async def test() -> None:
        async with Sidecar(endpoints=1) as sidecar:
            fake: Fake = sidecar.endpoints[0]
            old_client, new_client = await sidecar.client(), await sidecar.client()
            old_client.send()
            old = await fake.next()
            rows = [row("s-0", fake.address, "gone"), row("s-1", fake.address)]
            listing = read_endpoint_list({"generation": 2, "reset": False, "instances": rows})
            sidecar.proxy.on_watch_event(WatchEventKind.DELTA, listing.entries)
            balancer = sidecar.proxy.balancer
            assert set(balancer.endpoints) == {"s-0", "s-1"}  # one has a request in flight
            new_client.send()
            new = await fake.next()
            assert new.connection != old.connection
            old.reply()
            assert (await old_client.answer()).status == 200
            assert set(balancer.endpoints) == {"s-1"}
            assert balancer.endpoints["s-1"].in_flight == 1
            new.reply()
            assert (await new_client.answer()).status == 200
            assert balancer.endpoints["s-1"].in_flight == 0
            assert sidecar.proxy.upstream.open_connections == 1

    run(test())
