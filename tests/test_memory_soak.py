"""A short soak of the memory limit: floods from all sides overlap, drawn from a seed, beside sound clients.

For a long run by hand, state the first seed, the number of seeds and the seconds of each:
`MEMORY_SOAK=100,20,30 pytest -rP tests/test_memory_soak.py`.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
from pathlib import Path

import pytest

from tests.fake_server import FakeServer
from tests.memory_support import ANSWERS, INPUTS, LIMITS, LISTS, UNCHANGED, Limits, measured_sidecar, read
from tests.sidecar_process import SidecarProcess

FIRST_SEED, SEEDS, SECONDS = (int(value) for value in os.environ.get("MEMORY_SOAK", "1,3,8").split(","))
GROUPS = 3  # of peers that act at the same time
GROUP_SHARE = 0.2  # the largest group, as a share of the peers that the descriptors allow
GOOD_ANSWER_SHARE = 0.7
MAX_HOLD_S = 1.0  # how long the peers of a group stay
SOUND_CLIENTS, SOUND_PAUSE_S, SOUND_DEADLINE_MS = 4, 0.05, 1000
ANSWER_TIMEOUT_S = 10.0  # far above any deadline: the soak is about memory, and the machine may be busy
GOOD_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
HARMFUL_LISTS = [text for name, text in LISTS.items() if name != "longest list"]


async def flood(running: SidecarProcess, limits: Limits, rng: random.Random) -> None:
    """Connect groups of peers, one after another, that send much at once, read nothing and leave."""
    number = rng.randrange(1_000) * 1_000_000
    while True:
        kind = rng.choice(list(INPUTS))
        clients = []
        for _ in range(rng.randrange(1, int(GROUP_SHARE * limits.peers))):
            with contextlib.suppress(OSError):
                clients.append(await running.client())
        for client in clients:
            number += 1
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.writer.write(INPUTS[kind](number))
        await asyncio.sleep(rng.uniform(0.0, MAX_HOLD_S))
        resets = rng.random() < 0.5
        for client in clients:
            if resets:
                client.writer.transport.abort()
            else:
                client.writer.close()


async def answer(endpoint: FakeServer, rng: random.Random) -> None:
    """Answer most requests properly, and the others with a flood."""
    while True:
        received = await endpoint.next_request()
        good = rng.random() < GOOD_ANSWER_SHARE
        with contextlib.suppress(RuntimeError):  # the sidecar has closed the connection
            received.writer.write(GOOD_ANSWER if good else rng.choice(list(ANSWERS.values())))


async def send_sound_requests(running: SidecarProcess, first_number: int, until_s: float) -> int:
    """Send one request after another, and return how many were sent; each must get an answer."""
    number = first_number
    while asyncio.get_running_loop().time() < until_s:
        client = await running.client()
        request = read(number).replace(b"Deadline-Ms: 4000", b"Deadline-Ms: %d" % SOUND_DEADLINE_MS)
        client.writer.write(request)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            assert (await client.read_response()).status in range(200, 600)
        client.writer.close()
        number += 1
        await asyncio.sleep(SOUND_PAUSE_S)
    return number - first_number


@pytest.mark.time_limit_s(SECONDS + 30.0)
@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
async def test_memory_stays_within_the_limit_and_sound_requests_are_answered_in_floods(
    seed: int, tmp_path: Path
) -> None:
    rng = random.Random(seed)
    limits = list(LIMITS.values())[seed % len(LIMITS)]
    list_texts = [UNCHANGED, UNCHANGED, rng.choice(HARMFUL_LISTS)]
    async with measured_sidecar(tmp_path, limits, *list_texts) as (running, meter):
        floods = [asyncio.create_task(flood(running, limits, rng)) for _ in range(GROUPS)]
        floods.append(asyncio.create_task(answer(running.endpoint, rng)))
        until_s = asyncio.get_running_loop().time() + SECONDS
        first_numbers = (10_000_000_000 + 1_000_000 * number for number in range(SOUND_CLIENTS))
        sent = await asyncio.gather(
            *(send_sound_requests(running, first, until_s) for first in first_numbers)
        )
        for task in floods:
            task.cancel()
        print(f"seed {seed}: {limits}, {sum(sent)} sound requests, at most {meter.peak_mb:.1f} MiB")
        assert all(sent)
        assert meter.peak_mb <= limits.memory_mb
