"""A sidecar's process stays within its memory limit, whatever clients, endpoints and discovery send."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.memory_support import (
    ANSWERS,
    INPUTS,
    LIMITS,
    LISTS,
    PAUSE_S,
    Limits,
    answer_all,
    measured_sidecar,
    read,
    send_all,
)
from tests.sidecar_client import readiness_status

ROUNDS = 3  # of input from all peers


@pytest.mark.time_limit_s(30.0)
@pytest.mark.parametrize("limits", LIMITS.values(), ids=LIMITS)
@pytest.mark.parametrize("kind", INPUTS)
async def test_memory_stays_within_the_limit_when_clients_send_much_at_once(
    kind: str, limits: Limits, tmp_path: Path
) -> None:
    """Guards against input that takes memory which the budget does not count: once it was bodies alone."""
    async with measured_sidecar(tmp_path, limits) as (running, meter):
        for _ in range(ROUNDS):
            clients = await send_all(running, limits, kind)
            await asyncio.sleep(PAUSE_S)
            for client in clients:
                client.writer.transport.abort()
        assert meter.peak_mb <= limits.memory_mb


@pytest.mark.time_limit_s(30.0)
@pytest.mark.parametrize("limits", LIMITS.values(), ids=LIMITS)
@pytest.mark.parametrize("kind", ANSWERS)
async def test_memory_stays_within_the_limit_when_endpoints_answer_much_at_once(
    kind: str, limits: Limits, tmp_path: Path
) -> None:
    """Guards against answers that take memory which the budget does not count; clients read nothing."""
    async with measured_sidecar(tmp_path, limits) as (running, meter):
        answering = asyncio.create_task(answer_all(running.endpoint, ANSWERS[kind]))
        clients = [await running.client() for _ in range(limits.peers)]
        for number, client in enumerate(clients):
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.writer.write(b"".join(read(100 * number + i) for i in range(30)))
        await asyncio.sleep(2.0)
        answering.cancel()
        for client in clients:
            client.writer.transport.abort()
        assert meter.peak_mb <= limits.memory_mb


@pytest.mark.time_limit_s(30.0)
@pytest.mark.parametrize("limits", LIMITS.values(), ids=LIMITS)
@pytest.mark.parametrize("kind", LISTS)
async def test_memory_stays_within_the_limit_when_discovery_answers_with_long_lists(
    kind: str, limits: Limits, tmp_path: Path
) -> None:
    """Guards against a list within the limit on its bytes that becomes a multiple of them in memory."""
    async with measured_sidecar(tmp_path, limits, LISTS[kind]) as (running, meter):
        await asyncio.sleep(2.0)
        assert await readiness_status(await running.client()) == 200
        assert meter.peak_mb <= limits.memory_mb
