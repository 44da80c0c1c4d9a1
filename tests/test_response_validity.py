"""Invalid responses, and bytes that may precede or follow a valid one."""

from __future__ import annotations

import asyncio

import pytest

from corkdoor.sidecar.upstream import pool_manager
from tests.sidecar_support import Sidecar, run, send_first_attempt

COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"


STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


MALFORMED = [
    ("noise", b"\x00\x01\xfe noise\r\n\r\n"),
    ("other protocol", b"ICY 200 OK\r\nContent-Length: 4\r\n\r\ngood"),
    ("RTSP", b"RTSP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ngood"),
    ("ICE", b"ICE/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"),
    ("HTTP/2", b"HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\ngood"),
    (
        "RTSP after an interim response",
        b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nRTSP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ngood",
    ),
    ("status not a number", b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ngood"),
    ("header without colon", STATUS_LINE + b"none here\r\nContent-Length: 4\r\n\r\ngood"),
    ("two lengths", STATUS_LINE + b"Content-Length: 2\r\nContent-Length: 4\r\n\r\ngood"),
    (
        "length and chunks",
        STATUS_LINE + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
    ),
    ("negative length", STATUS_LINE + b"Content-Length: -1\r\n\r\ngood"),
    ("length of 3 GB", STATUS_LINE + b"Content-Length: 3000000000\r\n\r\ngood"),
    ("no length", STATUS_LINE + b"\r\ngood"),
    ("bad chunk size", STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n2\r\ngo\r\nzz\r\nod\r\n0\r\n\r\n"),
    (
        "chunks without last chunk",
        STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n" + b"1000\r\n" + b"x" * 4096 + b"\r\n" * 1,
    ),
    ("endless head", STATUS_LINE + b"X-Pad: pppp\r\n" * 20_000),
    ("endless header line", STATUS_LINE + b"X-Pad: " + b"p" * 200_000),
    ("endless interim responses", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 10_000),
    ("protocol switched", b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),
]


@pytest.mark.parametrize("raw", [s[1] for s in MALFORMED], ids=[s[0] for s in MALFORMED])
def test_request_fails_with_502_and_connection_closes_when_response_is_malformed(
    raw: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request may have run and is not idempotent, so it must not be retried.

    No part of the malformed response may be forwarded.
    """

    async def test() -> None:
        monkeypatch.setattr(pool_manager, "RESPONSE_STALL_TIMEOUT_US", 100_000)
        async with Sidecar(endpoints=2) as sidecar:
            received, client = await send_first_attempt(sidecar)
            received.writer.write(raw)
            response = await client.read_response()
            assert (response.status, response.body) == (502, b"")
            assert await asyncio.wait_for(wait_for_disconnect(sidecar), 2) == 0
            assert all(fake.requests.empty() for fake in sidecar.endpoints)
            assert (sidecar.proxy.upstream.open_connections, sidecar.proxy.budget.held_bytes) == (0, 0)

    run(test())


async def wait_for_disconnect(sidecar: Sidecar) -> int:
    """Wait until a connection to any endpoint has been closed, and return its number."""
    waits = [asyncio.create_task(fake.disconnects.get()) for fake in sidecar.endpoints]
    done, pending = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    return done.pop().result()


@pytest.mark.parametrize(
    "more", [COMPLETE, COMPLETE[:20], b"\xfe\x00 noise\r\n\r\n"], ids=["copy", "part", "noise"]
)
def test_complete_response_is_delivered_and_connection_closes_when_bytes_follow(more: bytes) -> None:
    """Guards against a request that fails because of bytes that follow its response."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next_request()).writer.write(COMPLETE + more)
            response = await client.read_response()
            assert (response.status, response.body) == (200, b"good")
            client.send()
            received = await sidecar.endpoints[0].next_request()
            assert received.connection == 1
            received.respond()
            assert (await client.read_response()).body == b"done"

    run(test())


def test_load_report_is_passed_to_the_balancer() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            report = "srv-load: pending=3,served_ps=140,svc_ms=14.5"
            (await sidecar.endpoints[0].next_request()).respond(200, b"good", report)
            assert (await client.read_response()).status == 200
            assert sidecar.proxy.balancer.rules.service_times.current_window.total == 1

    run(test())


def test_interim_responses_and_invalid_load_reports_are_ignored() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            received = await sidecar.endpoints[0].next_request()
            received.writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
            received.respond(200, b"good", "Srv-Load: =,;inflight=nan")
            response = await client.read_response()
            assert (response.status, response.body) == (200, b"good")
            assert "link" not in response.headers

    run(test())
