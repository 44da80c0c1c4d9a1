"""What clients may send: invalid requests are rejected once, not forwarded, and close the connection."""

from __future__ import annotations

import time

import pytest

from tests.sidecar_client import REQUEST_HEAD as HEAD
from tests.sidecar_support import Sidecar

CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"

INVALID_INPUT = [
    pytest.param("\x00\x01\x02\r\n\r\n", 400, id="noise"),
    pytest.param("nonsense\r\n\r\n", 400, id="no request line"),
    pytest.param("POST /pay HTTP/2.0\r\n\r\n", 400, id="other version"),
    pytest.param("GET /look\r\n\r\n", 400, id="no version"),
    pytest.param(HEAD.replace("HTTP/", "RTSP/") + "Content-Length: 1\r\n\r\nx", 400, id="RTSP"),
    pytest.param("SOURCE /look ICE/1.0\r\n\r\n", 400, id="ICE"),
    pytest.param(HEAD + "Content-Length: 5\r\n" + CHUNKED + "0\r\n\r\n", 400, id="both lengths"),
    pytest.param(
        HEAD + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        400,
        id="both lengths, chunked first",
    ),
    pytest.param(
        HEAD + "Transfer-Encoding: xchunked\r\nContent-Length: 1\r\n\r\nx",
        400,
        id="unknown coding and a length",
    ),
    pytest.param(HEAD + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400, id="coding before chunked"),
    pytest.param(HEAD + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400, id="two lengths"),
    pytest.param(HEAD + "Content-Length: 1, 1\r\n\r\nx", 400, id="list of lengths"),
    pytest.param(HEAD + "Content-Length: -1\r\n\r\nx", 400, id="negative length"),
    pytest.param(HEAD + "Content-Length: +1\r\n\r\nx", 400, id="signed length"),
    pytest.param(HEAD + "Content-Length: 99999999999999999999\r\n\r\nx", 400, id="length past 64 bits"),
    pytest.param(HEAD + "Content-Length: 1\r\n\r\nxyz", 400, id="length too short"),
    pytest.param(HEAD.replace("\r\n", "\n") + "Content-Length: 1\n\nx", 400, id="bare LF"),
    pytest.param(HEAD + "A: b\rC: d\r\nContent-Length: 1\r\n\r\nx", 400, id="bare CR"),
    pytest.param(HEAD + "A: b\x00\r\nContent-Length: 1\r\n\r\nx", 400, id="NUL"),
    pytest.param(HEAD + "A: b\r\n c\r\nContent-Length: 1\r\n\r\nx", 400, id="folded line"),
    pytest.param(HEAD + "Content-Length : 1\r\n\r\nx", 400, id="space before the colon"),
    pytest.param(HEAD + CHUNKED + "zz\r\nx\r\n0\r\n\r\n", 400, id="chunk of no size"),
    pytest.param(HEAD + CHUNKED + "-1\r\nx\r\n0\r\n\r\n", 400, id="chunk of negative size"),
    pytest.param(HEAD + "A: b\r\n" * 1000 + "\r\n", 431, id="many headers"),
    pytest.param(HEAD + "A: " + "x" * 1_000_000, 431, id="line without end"),
    pytest.param(HEAD + "A: b\r\n" * 100_000, 431, id="head without end"),
    pytest.param(HEAD + "Content-Length: 60000000\r\n\r\n", 413, id="long body, by its length"),
    pytest.param(
        HEAD + CHUNKED + "10000\r\n" + "x" * 65536 + "\r\n1\r\nx\r\n", 413, id="long body in chunks"
    ),
    pytest.param("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 404, id="unknown path"),
    pytest.param("GET /stare HTTP/1.1\r\nHost: a\r\n\r\n", 404, id="unknown class"),
    pytest.param(HEAD + "Content-Length: 1\r\n\r\nx\x00\x01", 400, id="one good, then noise"),
]


async def test_request_is_rejected_in_time_with_retry_after_when_there_is_no_endpoint() -> None:
    async with Sidecar(endpoints=0) as sidecar:
        started_s = time.monotonic()
        response = await (await sidecar.client()).request("look", deadline_ms=3000)
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert time.monotonic() - started_s < 2.0


@pytest.mark.parametrize(("raw", "status"), INVALID_INPUT)
async def test_invalid_input_is_rejected_once_not_forwarded_and_closes_the_connection(
    raw: str, status: int
) -> None:
    async with Sidecar() as sidecar:
        client = await sidecar.client()
        client.writer.write(raw.encode("latin-1"))
        assert (await client.read_response()).status == status
        assert await client.reader.read() == b""
        assert sidecar.proxy.requests.accepted == 0
        assert sidecar.endpoints[0].connections == 0
        assert sidecar.proxy.budget.held_bytes == 0


async def test_request_is_forwarded_with_a_content_length_when_it_was_chunked() -> None:
    """Chunk extensions and trailers are dropped, since another parser might interpret them differently."""
    async with Sidecar() as sidecar:
        client = await sidecar.client()
        body = "3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nReq-Id: 2\r\n\r\n"
        client.writer.write((HEAD + CHUNKED + body).encode())
        received = await sidecar.endpoints[0].next_request()
        assert received.message.body == b"abcde"
        assert received.message.headers["content-length"] == "5"
        assert received.message.headers["req-id"] == "1"
        assert "transfer-encoding" not in received.message.headers
        received.respond()
        assert (await client.read_response()).status == 200


async def test_open_request_is_ended_when_invalid_input_follows_it() -> None:
    """A Content-Length that is too short looks like this when the rest arrives late.

    Such a client must not be served.
    """
    async with Sidecar() as sidecar:
        client = await sidecar.client()
        client.send(deadline_ms=3_000_000)
        await sidecar.endpoints[0].next_request()
        client.writer.write(b"\x00\x01 the rest")
        assert (await client.read_response()).status == 400
        assert await client.reader.read() == b""
        assert await sidecar.endpoints[0].disconnects.get() == 0  # its attempt is cancelled
        assert not sidecar.proxy.requests
        assert not sidecar.proxy.balancer.requests


@pytest.mark.parametrize(
    ("class_name", "overrides", "status"),
    [
        ("pay", {"Req_Id": ""}, 400),
        ("pay", {"Req_Id": "a b"}, 400),
        ("pay", {"Req_Deadline_Ms": ""}, 400),
        ("pay", {"Req_Deadline_Ms": "-5"}, 400),
        ("pay", {"Req_Deadline_Ms": "soon"}, 400),
        ("pay", {"Req_Deadline_Ms": "9" * 30}, 400),
        ("pay", {"Req_Owner": ""}, 400),
        ("pay", {"Req_Owner": "stranger"}, 400),
        ("pay", {"Req_Cost": "much"}, 400),
        ("pay", {"Req_Retry": "yes"}, 400),
        ("hold", {"Idempotency_Key": ""}, 400),
    ],
)
async def test_request_is_rejected_and_not_forwarded_when_its_headers_are_invalid(
    class_name: str, overrides: dict[str, str], status: int
) -> None:
    async with Sidecar() as sidecar:
        client = await sidecar.client()
        assert (await client.request(class_name, **overrides)).status == status
        assert sidecar.proxy.requests.accepted == 0
        assert sidecar.endpoints[0].connections == 0


async def test_request_is_rejected_when_its_method_does_not_fit_its_class() -> None:
    async with Sidecar() as sidecar:
        client = await sidecar.client()
        client.writer.write(
            b"GET /pay HTTP/1.1\r\nReq-Id: 1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 9\r\n\r\n"
        )
        assert (await client.read_response()).status == 405
        assert sidecar.proxy.requests.accepted == 0


async def test_request_is_rejected_when_its_id_is_open() -> None:
    async with Sidecar() as sidecar:
        first, second = await sidecar.client(), await sidecar.client()
        first.send(request_id="0a")
        received = await sidecar.endpoints[0].next_request()
        assert (await second.request(request_id="0a")).status == 409
        assert await second.reader.read() == b""
        received.respond()
        assert (await first.read_response()).status == 200
        await sidecar.serve_one(first, request_id="0a")
