"""Wall clocks that are wrong or set: lists state the starts of endpoints in Unix time."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any

import pytest

from tests.fake_server import FakeServer, endpoint_list, endpoint_row
from tests.sidecar_client import Client
from tests.sidecar_support import Sidecar, run

ENDPOINTS = 6
CLIENTS = 12
REQUESTS_EACH = 20
MAX_WHILE_WARMING_UP = (
    CLIENTS * REQUESTS_EACH // ENDPOINTS // 4
)  # a quarter of an even share, most of it for chance
HOUR_MS = 3_600_000
RULES = {"ColdUs": 6_000_000, "ColdFrom": 0.1, "OverloadFactor": 2.0, "FallUs": 1_000_000}


async def serve(fake: FakeServer, name: str, got: Counter[str]) -> None:
    while True:
        asked = await fake.next_request()
        got[name] += 1
        asked.reply()


async def send_often(client: Client) -> None:
    for _ in range(REQUESTS_EACH):
        assert (await client.request("look")).status == 200


async def requests_by_endpoint(sidecar: Sidecar, *lists: bytes) -> Counter[str]:
    """Send these lists, one after the other, and count the endpoints of the requests after them."""
    known = sidecar.proxy.balancer.endpoints
    for answer in lists:
        (await sidecar.discovery.next_request()).reply(200, answer)
    await sidecar.discovery.next_request()  # the next watch: all lists have been applied
    assert len(known) == ENDPOINTS
    got: Counter[str] = Counter()
    served = [asyncio.create_task(serve(fake, f"s-{i}", got)) for i, fake in enumerate(sidecar.endpoints)]
    await asyncio.gather(*[send_often(await sidecar.client()) for _ in range(CLIENTS)])
    for task in served:
        task.cancel()
    return got


def rows(sidecar: Sidecar) -> list[dict[str, Any]]:
    return [endpoint_row(f"s-{i}", fake.address) for i, fake in enumerate(sidecar.endpoints)]


@pytest.mark.parametrize("offset_ms", [-HOUR_MS, -HOUR_MS // 600, HOUR_MS])
@pytest.mark.parametrize("known_before", [False, True])
def test_started_endpoint_warms_up_whatever_its_timestamp_is_off_by(
    offset_ms: int, known_before: bool
) -> None:
    """A new endpoint, or one with a new timestamp, started after the last list without it."""

    async def test() -> None:
        async with Sidecar(endpoints=ENDPOINTS, Rules=RULES) as sidecar:
            *others, last = rows(sidecar)
            before = [*others, last] if known_before else others
            last_started = {**last, "startedAtMs": time.time_ns() // 1_000_000 + offset_ms}
            got = await requests_by_endpoint(
                sidecar, endpoint_list(2, True, *before), endpoint_list(3, False, last_started)
            )
            assert got.total() == CLIENTS * REQUESTS_EACH
            assert got["s-5"] <= MAX_WHILE_WARMING_UP

    run(test(), 30.0)


def test_endpoint_with_a_timestamp_in_the_future_warms_up_in_its_time() -> None:
    """Guards against an endpoint that stays in slow start for as long as its clock is ahead."""

    async def test() -> None:
        async with Sidecar(endpoints=ENDPOINTS, Rules={**RULES, "ColdUs": 300_000}) as sidecar:
            *others, last = rows(sidecar)
            ahead = {**last, "startedAtMs": time.time_ns() // 1_000_000 + HOUR_MS}
            lists = (endpoint_list(2, True, *others), endpoint_list(3, False, ahead))
            await requests_by_endpoint(sidecar, *lists)
            endpoint = sidecar.proxy.balancer.endpoints["s-5"]
            while (
                sidecar.proxy.balancer.rules.slow_start.capacity_share(time.monotonic_ns() // 1000, endpoint)
                < 1.0
            ):
                await asyncio.sleep(0.05)

    run(test(), 8.0)


def test_endpoint_that_returns_with_its_old_timestamp_is_not_warming_up() -> None:
    """It was only missing from a list, and has not started again."""

    async def test() -> None:
        async with Sidecar(endpoints=ENDPOINTS, Rules=RULES) as sidecar:
            *others, last = rows(sidecar)
            old = {**last, "startedAtMs": time.time_ns() // 1_000_000 - HOUR_MS}
            lists = (
                endpoint_list(2, True, *others, old),
                endpoint_list(3, True, *others),
                endpoint_list(4, False, old),
            )
            got = await requests_by_endpoint(sidecar, *lists)
            assert got["s-5"] > MAX_WHILE_WARMING_UP

    run(test(), 30.0)
