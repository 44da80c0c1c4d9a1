"""The memory that endpoint lists take while they are read: its bound, and lists that exceed it."""

from __future__ import annotations

import asyncio
import gc
import json
import tracemalloc

import pytest

from corkdoor.sidecar.discovery.client import DiscoveryClient, PollRequest
from corkdoor.sidecar.discovery.errors import AnswerTooLargeError
from corkdoor.sidecar.discovery.json_memory import close_decoding_bytes, decoding_bytes
from corkdoor.sidecar.discovery.watcher import DiscoveryWatcher
from corkdoor.sidecar.memory_budget import MemoryBudget
from corkdoor.sidecar.resource_limits import ResourceLimits
from tests.fake_server import FakeServer, endpoint_list, endpoint_row

MOST_ENDPOINTS = 3200  # of any fleet
LEAST_MEMORY_MB, LEAST_DESCRIPTORS = 32, 256
ROW = b'{"%x":1,"%xa":2,"%xb":3,"%xc":4,"%xd":5,"%xe":6}'


def long_list(endpoints: int) -> bytes:
    rows = (endpoint_row(f"server-{i}", f"10.0.{i // 250}.{i % 250}:8080") for i in range(endpoints))
    return endpoint_list(1, True, *rows)


@pytest.mark.parametrize(
    "text",
    [
        pytest.param(long_list(500), id="list"),
        pytest.param(b"[%s{}]" % (b"{}," * 30_000), id="objects"),
        pytest.param(b"[%s{}]" % (b'{"a":1},' * 10_000), id="objects with a key"),
        pytest.param(b"[%s[]]" % (b"[]," * 30_000), id="arrays"),
        pytest.param(b"[" * 900 + b"]" * 900, id="nested arrays"),
        pytest.param(b"[%s1]" % (b"1.5," * 20_000), id="numbers"),
        pytest.param(b"[%s1]" % (b'"ab",' * 20_000), id="texts"),
        pytest.param(b"{%s}" % b",".join(b'"%x":1' % i for i in range(10_930)), id="keys"),
        pytest.param(b"{%s}" % b",".join(b'":%x":1' % i for i in range(10_930)), id="keys with colons"),
        pytest.param(b"[%s]" % b",".join(ROW % ((i,) * 6) for i in range(2000)), id="rows of keys"),
        pytest.param(('["%s\\ud83d\\ude00"]' % ("a" * 90_000)).encode("utf-16-le"), id="escape in UTF-16"),
        pytest.param(b'["%s\\ud83d\\ude00"]' % (b"a" * 90_000), id="escaped character"),
        pytest.param('["{}\U0001f600"]'.format("a" * 90_000).encode(), id="long character"),
    ],
)
def test_bounds_cover_what_decoding_takes(text: bytes) -> None:
    tracemalloc.start()
    try:
        json.loads(text)
        _, taken = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert decoding_bytes(text) >= close_decoding_bytes(text) >= taken


async def read_list(text: bytes, limit_bytes: int) -> int:
    """Have a client read this list within a limit, and return how many endpoints it named."""
    discovery = await FakeServer().start()
    host, _, port = discovery.address.rpartition(":")
    client = DiscoveryClient(host, int(port), MemoryBudget(limit_bytes))

    async def respond() -> None:
        (await discovery.next_request()).respond(200, text)

    responding = asyncio.create_task(respond())
    try:
        return len((await client.call(PollRequest(), 1.0)).entries)
    finally:
        await responding
        client.close()
        assert client.budget.held_bytes == 0
        discovery.server.close()


async def test_longest_list_is_read_within_the_least_memory() -> None:
    """The bound must not keep out lists that fit."""
    limits = ResourceLimits.divide(LEAST_DESCRIPTORS, LEAST_MEMORY_MB)
    assert await read_list(long_list(MOST_ENDPOINTS), limits.list_bytes) == MOST_ENDPOINTS


async def test_list_is_rejected_when_reading_it_may_exceed_the_memory() -> None:
    """Guards against a list within the limit on its bytes that becomes a multiple of them in memory."""
    limits = ResourceLimits.divide(LEAST_DESCRIPTORS, LEAST_MEMORY_MB)
    text = endpoint_list(1, True)[:-2] + b"%s{}]}" % (b"{}," * 500_000)
    with pytest.raises(AnswerTooLargeError):
        await read_list(text, limits.list_bytes)


@pytest.mark.parametrize(
    "text", [b"[" + b"1," * 500_000, b"[%s1]" % (b"{}," * 300_000)], ids=["noise", "objects"]
)
async def test_responses_that_could_not_be_read_do_not_stay_in_memory(text: bytes) -> None:
    """Guards against errors that refer to the response and to themselves: only the collector freed them."""
    discovery = await FakeServer().start()
    host, _, port = discovery.address.rpartition(":")
    failed = asyncio.Event()
    budget = MemoryBudget(7 << 20)
    watcher = DiscoveryWatcher(host, int(port), 1, 1.0, budget, lambda *_: failed.set())
    gc.disable()
    try:
        for number in range(5):
            watcher.start()
            (await discovery.next_request()).respond(200, text)
            await failed.wait()
            failed.clear()
            if number == 0:
                tracemalloc.start()
        kept, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
        watcher.stop()
        discovery.server.close()
    assert kept < len(text)
