"""Watch events of discovery: their effects on pools, readiness and requests."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from corkdoor.model import Readiness, WatchEventKind
from corkdoor.settings_reader import read_settings
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.discovery.endpoint_list import read_endpoint_list
from corkdoor.sidecar.proxied_request import ProxiedRequest
from tests.fake_server import FakeServer, endpoint_list, endpoint_row
from tests.sidecar_client import readiness_status
from tests.sidecar_support import SETTINGS, Sidecar, run, serve_request


class InProcessClient:
    """A client without a connection, which records the statuses of its responses."""

    def __init__(self) -> None:
        self.statuses: asyncio.Queue[int] = asyncio.Queue()

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.statuses.put_nowait(status)

    def has_disconnected(self) -> bool:
        return False

    def may_have_disconnected(self) -> bool:
        return False

    def label(self) -> str:
        return "d1"


def new_request(client: InProcessClient, class_name: str = "pay") -> ProxiedRequest:
    """Return a request as the server creates it; its head ends before the deadline field."""
    head = b"POST /pay HTTP/1.1\r\nHost: e\r\nReq-Id: d1\r\nContent-Length: 0\r\n"
    chosen = next(c for c in read_settings(SETTINGS).classes if c.name == class_name)
    return ProxiedRequest(client, chosen, "acme", None, now_us() + 2_000_000, head, b"")


def test_cached_list_is_used_and_the_watch_continues_from_its_version() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            assert await readiness_status(await sidecar.client()) == 200
            received = await sidecar.discovery.next_request()
            assert received.message.start_line.startswith("GET /discovery/hosts?after=1&wait_ms=")
            received.respond(200, endpoint_list(4, False))
            again = await sidecar.discovery.next_request()
            assert again.message.start_line.startswith("GET /discovery/hosts?after=4&")
            assert again.connection == received.connection

    run(test())


def test_sidecar_is_not_ready_before_any_endpoint_is_known() -> None:
    async def test() -> None:
        async with Sidecar(endpoints=0) as sidecar:
            fake = await FakeServer().start()
            client = await sidecar.client()
            assert await readiness_status(client) == 503
            (await sidecar.discovery.next_request()).respond(
                200, endpoint_list(2, True, endpoint_row("s-9", fake.address))
            )
            await sidecar.discovery.next_request()
            assert await readiness_status(client) == 200

    run(test())


@pytest.mark.parametrize("bad", ["503", "reset", "no list"])
def test_list_is_kept_and_discovery_is_polled_again_when_a_watch_fails(bad: str) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            received = await sidecar.discovery.next_request()
            if bad == "503":
                received.respond(503, b"")
            elif bad == "reset":
                received.reset()
            else:
                received.respond(200, b'{"instances": [{}]}')
            started_s = time.monotonic()
            again = await sidecar.discovery.next_request()
            assert time.monotonic() - started_s > 0.2  # not in a tight loop
            assert again.message.start_line.startswith("GET /discovery/hosts?after=1&")
            client = await sidecar.client()
            await serve_request(client, sidecar.endpoints[0])

    run(test())


def test_pushed_lists_are_watched_without_polls_by_the_balancer() -> None:
    async def test() -> None:
        async with Sidecar(Discovery="push") as sidecar:
            (await sidecar.discovery.next_request()).respond(503, b"")
            (await sidecar.discovery.next_request()).respond(200, endpoint_list(2, False))
            assert (await sidecar.discovery.next_request()).message.start_line.startswith(
                "GET /discovery/hosts?after=2&"
            )

    run(test())


@pytest.mark.parametrize("reset", [True, False])
def test_no_attempt_is_sent_to_an_endpoint_that_is_draining_or_removed(reset: bool) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            kept, removed = sidecar.endpoints
            rows = (
                [endpoint_row("s-0", kept.address)]
                if reset
                else [endpoint_row("s-1", removed.address, "draining")]
            )
            (await sidecar.discovery.next_request()).respond(200, endpoint_list(2, reset, *rows))
            await sidecar.discovery.next_request()
            for _ in range(8):
                client = await sidecar.client()
                await serve_request(client, kept)
            assert removed.connections == 0

    run(test())


@pytest.mark.parametrize("reset", [True, False])
def test_idle_connections_close_when_their_endpoint_is_removed(reset: bool) -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send()
            (await sidecar.endpoints[0].next_request()).respond()
            await client.read_response()
            started_s = time.monotonic()
            rows = [] if reset else [endpoint_row("s-0", sidecar.endpoints[0].address, "gone")]
            (await sidecar.discovery.next_request()).respond(200, endpoint_list(2, reset, *rows))
            assert await sidecar.endpoints[0].disconnects.get() == 0
            assert time.monotonic() - started_s < 2.0  # long before the idle timeout

    run(test())


def test_endpoint_gets_no_request_when_it_starts_to_drain_while_a_connection_is_established() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = InProcessClient()
            sidecar.proxy.accept(new_request(client))
            listed = read_endpoint_list(
                json.loads(endpoint_list(2, False, endpoint_row("s-0", "127.0.0.1:1", "draining")))
            )
            sidecar.proxy.on_watch_event(WatchEventKind.DELTA, listed.entries)
            assert await client.statuses.get() == 503
            assert sidecar.endpoints[0].requests.empty()

    run(test())


def test_start_time_of_an_endpoint_is_converted_to_the_monotonic_clock() -> None:
    started_ms = time.time_ns() // 1_000_000 - 2000
    document = json.loads(endpoint_list(1, True, endpoint_row("s-0", "127.0.0.1:80", started_ms=started_ms)))
    first, second = (read_endpoint_list(document).entries[0].endpoint for _ in range(2))
    assert first.started_us == second.started_us  # a difference would look like a restart
    assert first.started_us is not None
    assert abs(now_us() - first.started_us - 2_000_000) < 1_000_000
    assert first.readiness is Readiness.READY
    long_ago = json.loads(endpoint_list(1, True, endpoint_row("s-0", "127.0.0.1:80")))
    assert read_endpoint_list(long_ago).entries[0].endpoint.started_us is None


@pytest.mark.parametrize("port", [0, 65_536])
def test_list_is_rejected_when_a_port_is_invalid(port: int) -> None:
    document = json.loads(endpoint_list(2, True, endpoint_row("s-0", f"127.0.0.1:{port}")))
    with pytest.raises(ValueError, match="hostPort"):
        read_endpoint_list(document)
