"""The emulated discovery: its lists, its queue, and its server with the sidecar's real client."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from corkdoor.model import WatchEventKind
from corkdoor.policy.discovery.connect_timeout import MAX_TIMEOUT_S
from corkdoor.sidecar.discovery.endpoint_list import ResolvedEndpoint
from corkdoor.sidecar.discovery.watcher import DiscoveryWatcher
from corkdoor.sidecar.memory_budget import MemoryBudget
from emulator.discovery.connection import read_poll
from emulator.discovery.registry import CHANGE_LOG_ROWS, Registry
from emulator.discovery.server import DiscoveryServer, ServerMode
from emulator.discovery.service_queue import ServiceCost, ServiceQueue
from emulator.discovery.statistics import PollKind
from testbed.discovery_wire import endpoint_row
from tests.sidecar_support import run

NO_COST = ServiceCost(poll_us=0, byte_ns=0)


def rows(count: int) -> list[dict[str, Any]]:
    return [endpoint_row(f"s-{i}", "127.0.0.1:9") for i in range(count)]


def response(registry: Registry, after: int | None) -> dict[str, Any]:
    document: dict[str, Any] = json.loads(registry.respond("a", after).body)
    return document


# --- the lists ---


def test_response_holds_the_full_list_or_the_changes_after_a_generation() -> None:
    registry = Registry({"a": rows(2)})
    first = response(registry, None)
    assert (first["generation"], first["reset"], len(first["instances"])) == (1, True, 2)
    registry.change("a", [endpoint_row("s-1", "127.0.0.1:9", lifecycle="draining")])
    registry.change("a", [endpoint_row("s-1", "127.0.0.1:9", lifecycle="gone")])
    after = response(registry, 1)
    assert (after["generation"], after["reset"]) == (3, False)
    assert [entry["lifecycle"] for entry in after["instances"]] == [
        "gone"
    ]  # only the last state of an endpoint
    assert [entry["instanceId"] for entry in response(registry, None)["instances"]] == ["s-0"]
    assert response(registry, 3)["instances"] == []


def test_response_holds_the_full_list_when_the_log_does_not_cover_the_generation() -> None:
    registry = Registry({"a": rows(1)})
    for _ in range(CHANGE_LOG_ROWS + 1):
        registry.change("a", rows(1))
    assert response(registry, 1)["reset"]
    assert not response(registry, registry.services["a"].generation - 1)["reset"]
    # A generation above the list's comes from another incarnation of discovery.
    assert response(registry, registry.services["a"].generation + 5)["reset"]


class WatcherMachine(RuleBasedStateMachine):
    """A watcher that applies all responses has the current list, no matter when it polls."""

    def __init__(self) -> None:
        super().__init__()
        self.registry = Registry({"a": rows(3)})
        self.views: list[dict[str, str]] = [{}, {}]
        self.generations: list[int | None] = [None, None]

    @rule(
        changed=st.lists(
            st.tuples(st.integers(0, 5), st.sampled_from(["ready", "draining", "gone"])), max_size=4
        )
    )
    def change(self, changed: list[tuple[int, str]]) -> None:
        self.registry.change(
            "a", [endpoint_row(f"s-{i}", "127.0.0.1:9", lifecycle=lifecycle) for i, lifecycle in changed]
        )

    @rule(count=st.integers(1, 200))
    def change_often(self, count: int) -> None:
        for i in range(count):
            self.registry.change(
                "a",
                [
                    endpoint_row(f"s-{i % 4}", "127.0.0.1:9"),
                    endpoint_row("s-5", "127.0.0.1:9", lifecycle="gone"),
                ],
            )

    @rule(watcher=st.integers(0, 1))
    def poll(self, watcher: int) -> None:
        document = response(self.registry, self.generations[watcher])
        view = {} if document["reset"] else self.views[watcher]
        for entry in document["instances"]:
            view[entry["instanceId"]] = entry["lifecycle"]
        self.views[watcher] = {k: v for k, v in view.items() if v != "gone"}
        self.generations[watcher] = document["generation"]

    @invariant()
    def up_to_date_views_equal_the_list(self) -> None:
        service = self.registry.services["a"]
        for view, generation in zip(self.views, self.generations, strict=True):
            if generation == service.generation:
                assert view == {k: entry["lifecycle"] for k, entry in service.rows.items()}


TestWatcher = WatcherMachine.TestCase


# --- the queue and the polls ---


@given(st.lists(st.tuples(st.floats(0, 0.5), st.integers(0, 100_000)), min_size=1, max_size=60))
def test_polls_are_served_one_after_another(arrivals: list[tuple[float, int]]) -> None:
    queue = ServiceQueue(ServiceCost(poll_us=50_000, byte_ns=1_000, longest_wait_s=0.5))
    now, last = 0.0, 0.0
    for gap, size in arrivals:
        now += gap
        completion = queue.add(now, size)
        if completion.served:
            assert completion.at_s >= max(now, last) + 0.05 + size / 1e6 - 1e-9
            last = completion.at_s
        else:
            assert last > now + 0.5
            assert completion.at_s == pytest.approx(now + 0.5)


def test_outage_drops_the_polls_that_are_not_served_yet() -> None:
    queue = ServiceQueue(ServiceCost(poll_us=1_000_000, byte_ns=0, longest_wait_s=10))
    for _ in range(4):
        queue.add(0.0, 0)
    queue.drop(1.5)
    assert queue.add(2.0, 0).at_s == 3.0
    assert queue.busy_s == pytest.approx(2.5)


def test_polls_are_parsed_as_the_protocol_states() -> None:
    watch = read_poll(b"GET /discovery/hosts?after=41&wait_ms=20000 HTTP/1.1\r\nHost: a")
    assert watch is not None
    assert (watch.after, watch.wait_s) == (41, 20.0)
    full = read_poll(b"GET /discovery/hosts HTTP/1.1")
    assert full is not None
    assert full.after is None
    longest = read_poll(b"GET /discovery/hosts?after=1&wait_ms=99000 HTTP/1.1")
    assert longest is not None
    assert longest.wait_s == 60.0
    for bad in (b"POST /discovery/hosts HTTP/1.1", b"GET /else HTTP/1.1", b"GET /discovery/hosts?after=x H"):
        assert read_poll(bad) is None


# --- the server and the real client ---


class Watch:
    """A real watcher on the server, and the lists that it delivered.

    With `retries`, it polls again 50 ms after a failure. In a sidecar the decision module chooses that delay.
    """

    def __init__(self, server: DiscoveryServer, generation: int, retries: bool = True) -> None:
        self.lists: asyncio.Queue[tuple[WatchEventKind, list[ResolvedEndpoint]]] = asyncio.Queue()
        self.retries = retries
        host, _, port = server.address("a").rpartition(":")
        self.watcher = DiscoveryWatcher(
            host, int(port), generation, MAX_TIMEOUT_S, MemoryBudget(1 << 24), self._deliver
        )

    def _deliver(self, kind: WatchEventKind, entries: list[ResolvedEndpoint]) -> None:
        if self.retries and kind not in (WatchEventKind.FULL, WatchEventKind.DELTA):
            asyncio.get_running_loop().call_later(0.05, self.watcher.start)
        else:
            self.lists.put_nowait((kind, entries))

    async def next(self) -> tuple[WatchEventKind, list[str]]:
        kind, entries = await self.lists.get()
        return kind, [f"{listed.endpoint.id} {listed.endpoint.readiness.value}" for listed in entries]


async def start_server(cost: ServiceCost = NO_COST) -> DiscoveryServer:
    server = DiscoveryServer(Registry({"a": rows(2), "b": rows(1)}), cost)
    await server.start()
    return server


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds. If it never does, the time limit of the test ends the wait."""
    while not condition():
        await asyncio.sleep(0.005)


def test_watch_gets_the_full_list_and_then_each_change() -> None:
    async def test() -> None:
        server = await start_server()
        watch = Watch(server, 0)  # generation 0 is older than the first of the list
        watch.watcher.start()
        assert await watch.next() == (WatchEventKind.FULL, ["s-0 ready", "s-1 ready"])
        await wait_until(lambda: server.statistics.polls[PollKind.WATCH] == 2)
        server.change(
            "b", [endpoint_row("s-9", "127.0.0.1:9")]
        )  # a change of another service, which this watch doesn't get
        server.change("a", [endpoint_row("s-1", "127.0.0.1:9", lifecycle="draining")])
        assert await watch.next() == (WatchEventKind.DELTA, ["s-1 draining"])
        assert watch.watcher.generation == 2
        watch.watcher.stop()
        await server.stop()

    run(test())


def test_client_gets_the_changes_of_an_outage_when_the_same_port_is_back() -> None:
    async def test() -> None:
        server = await start_server()
        watch = Watch(server, 1)
        watch.watcher.start()
        await wait_until(lambda: server.statistics.polls[PollKind.WATCH] == 1)
        await server.set_mode(ServerMode.DOWN)
        await wait_until(lambda: server.statistics.open_connections == 0)
        host, _, port = server.address("a").rpartition(":")
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))
        server.change("a", [endpoint_row("s-0", "127.0.0.1:9", lifecycle="gone")])
        await server.set_mode(ServerMode.SERVING)
        assert await watch.next() == (WatchEventKind.DELTA, ["s-0 gone"])
        watch.watcher.stop()
        await server.stop()

    run(test())


def test_poll_fails_with_503_and_is_counted_when_it_waited_too_long() -> None:
    async def test() -> None:
        server = await start_server(ServiceCost(poll_us=300_000, byte_ns=0, longest_wait_s=0.1))
        watches = [Watch(server, 0, retries=False) for _ in range(3)]
        for watch in watches:
            watch.watcher.start()
        kinds = [(await watch.next())[0] for watch in watches]
        assert kinds.count(WatchEventKind.FULL) == 1
        assert kinds.count(WatchEventKind.REJECTED) == 2
        assert server.statistics.failed == 2
        for watch in watches:
            watch.watcher.stop()
        await server.stop()

    run(test())


def test_silent_server_accepts_polls_and_never_responds() -> None:
    async def test() -> None:
        server = await start_server()
        await server.set_mode(ServerMode.SILENT)
        watch = Watch(server, 0, retries=False)
        watch.watcher.start()
        await wait_until(lambda: server.statistics.polls[PollKind.WATCH] == 1)
        await server.set_mode(ServerMode.SERVING)
        server.change("a", [endpoint_row("s-0", "127.0.0.1:9", lifecycle="gone")])
        assert watch.lists.empty()  # a poll that arrived while the server was silent gets no response
        watch.watcher.stop()
        await server.stop()

    run(test())


def test_statistics_count_polls_by_kind_bytes_and_polls_per_second() -> None:
    async def test() -> None:
        server = await start_server()
        host, _, port = server.address("a").rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for path in ("/discovery/hosts", "/discovery/hosts?after=1&wait_ms=1", "/else"):
            writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(head.rpartition(b"Content-Length: ")[2]))
        statistics = server.statistics
        assert [statistics.polls[kind] for kind in PollKind] == [1, 1, 1]
        full = len(server.registry.respond("a", None).body)
        assert statistics.full_list_bytes == full < statistics.bytes_out
        assert sum(statistics.count_per_second()) == 3 >= statistics.peak_per_s >= 1
        writer.close()
        await server.stop()

    run(test())
