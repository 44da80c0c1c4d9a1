"""Callers that stop in the middle of a request and stay, and those that are only slow."""

from __future__ import annotations

import asyncio
import time

import pytest

from corkdoor.sidecar.clients.timeouts import ClientTimeouts
from tests.sidecar_support import SETUP, Client, Sidecar, run

ALLOWED_S = 3.0  # bad clients are owed their error or close within so long
LONG_DEADLINES = [{**class_name, "DeadlineUs": 12_000_000} for class_name in SETUP["Categories"]]
HEAD = b"POST /pay/a HTTP/1.1\r\nHost: a\r\nReq-Id: stalls\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 9000\r\n"
WHOLE = HEAD + b"Content-Length: 4\r\n\r\nbody"


async def served_once(sidecar: Sidecar) -> Client:
    client = await sidecar.client()
    client.send()
    (await sidecar.endpoints[0].next()).reply()
    assert (await client.answer()).status == 200
    return client


@pytest.mark.parametrize("sent", [HEAD[:20], HEAD, WHOLE[:-2]])
def test_caller_that_stops_within_a_request_gets_its_error_in_time(sent: bytes) -> None:
    """However long its class may wait for an answer."""

    async def test() -> None:
        async with Sidecar(Categories=LONG_DEADLINES) as sidecar:
            client = await served_once(sidecar)
            begun = time.monotonic()
            client.writer.write(sent)
            assert (await client.answer()).status == 408
            assert time.monotonic() - begun < ALLOWED_S
            assert sidecar.endpoints[0].asked.empty()

    run(test())


def test_caller_that_writes_slowly_and_goes_on_is_served() -> None:
    """It takes several times as long as a pause may."""

    async def test() -> None:
        timeouts = ClientTimeouts(stalled_request_s=0.5, check_interval_s=0.02)
        async with Sidecar(timeouts=timeouts, Categories=LONG_DEADLINES) as sidecar:
            client = await served_once(sidecar)
            for place in range(0, len(WHOLE), 8):
                client.writer.write(WHOLE[place : place + 8])
                await asyncio.sleep(0.1)
            (await sidecar.endpoints[0].next()).reply()
            assert (await client.answer()).status == 200

    run(test())


def test_caller_that_goes_on_for_ever_is_closed_in_the_end() -> None:
    """No longer than the longest deadline: an answer would be of no use by then."""

    async def test() -> None:
        shorter = [{**class_name, "DeadlineUs": 1_000_000} for class_name in SETUP["Categories"]]
        async with Sidecar(timeouts=ClientTimeouts(check_interval_s=0.02), Categories=shorter) as sidecar:
            client = await served_once(sidecar)
            begun = time.monotonic()
            client.writer.write(HEAD)
            answer = asyncio.create_task(client.answer())
            while not answer.done():
                client.writer.write(b"X-Slow: 1\r\n")
                await asyncio.wait((answer,), timeout=0.1)
            assert answer.result().status == 408
            assert 0.9 < time.monotonic() - begun < ALLOWED_S

    run(test())


def test_caller_that_writes_slowly_is_served_where_deadlines_are_short() -> None:
    """Found by the soak: a request that took longer to write than any deadline was answered 408."""
    short = [{**class_name, "AimUs": 100_000, "DeadlineUs": 300_000} for class_name in SETUP["Categories"]]

    async def test() -> None:
        async with Sidecar(Categories=short) as sidecar:
            client = await sidecar.client()
            client.send(deadline_ms=300)
            (await sidecar.endpoints[0].next()).reply()
            assert (await client.answer()).status == 200
            for place in range(0, len(WHOLE), 8):
                client.writer.write(WHOLE[place : place + 8])
                await asyncio.sleep(0.05)
            (await sidecar.endpoints[0].next()).reply()
            assert (await client.answer()).status == 200

    run(test())
