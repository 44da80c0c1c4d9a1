"""Times the decision module and the taking of lists in this process, with a host that does nothing."""

from __future__ import annotations

import gc
import json
import time
from collections.abc import Callable
from statistics import median
from typing import Any, NamedTuple

from corkdoor.balancer import Balancer
from corkdoor.model import Endpoint, Outcome, Readiness, Timer, WatchEventKind
from corkdoor.settings_reader import read_settings
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.config import Address, Config
from corkdoor.sidecar.discovery.endpoint_list import EndpointList, read_endpoint_list
from corkdoor.sidecar.proxy import Proxy
from corkdoor.sidecar.resource_limits import ResourceLimits
from emulator.sidecar import SETTINGS, entry, listing

GAP_US = 8_333  # between calls: 120 a second
SPENT_US = 2_000  # what an attempt takes
DEADLINE_US = 2_500_000


class NullHost:
    """Takes the module's actions and keeps where the last call went."""

    def __init__(self) -> None:
        self.sent: tuple[str, str] | None = None

    def send_attempt(self, request_id: str, endpoint_id: str) -> None:
        self.sent = (request_id, endpoint_id)

    def cancel_attempt(self, request_id: str, attempt: int) -> None: ...
    def reject_request(self, request_id: str, retry_after_us: int | None) -> None: ...
    def fail_request(self, request_id: str) -> None: ...
    def start_timer(self, delay_us: int, timer: Timer) -> None: ...
    def watch_discovery(self, enabled: bool) -> None: ...
    def close_idle_connections(self, endpoint_id: str) -> None: ...
    def log_event(self, event: str, /, **fields: object) -> None: ...


class CallCost(NamedTuple):
    """Microseconds of processor time a call, the part of it that adds up the pool, and the pool's size."""

    call_us: float
    in_use_us: float
    subset: int


def _batches(rounds: int, size: int, work: Callable[[], None]) -> float:
    """The median over `rounds` of the mean time of `work`, in microseconds: a stray pause moves no median."""
    means = []
    gc.collect()
    for _ in range(rounds):
        before = time.process_time_ns()
        for _ in range(size):
            work()
        means.append((time.process_time_ns() - before) / size / 1000)
    return median(means)


class ModuleBench:
    """One instance on so many endpoints; calls come at 120 a second of its clock, answered at once."""

    def __init__(self, endpoints: int, balancers: int) -> None:
        self.host = NullHost()
        self.balancer = Balancer(read_settings({**SETTINGS, "Balancers": balancers}), 7, self.host)
        self.now = 1_000_000_000
        self.serial = 0
        self.balancer.start(self.now)
        rows = [Endpoint(f"s-{i:08x}", "z0", "m", 0, Readiness.READY) for i in range(endpoints)]
        self.balancer.on_watch_event(self.now, WatchEventKind.FULL, rows)

    def call(self) -> None:
        """Take one call, send it, and hear its answer. RuntimeError: the module didn't send it."""
        self.now += GAP_US
        self.serial += 1
        self.host.sent = None
        self.balancer.on_request(self.now, f"{self.serial:016x}", "look", None, DEADLINE_US, None)
        if self.host.sent is None:
            raise RuntimeError("the module sent nothing")
        call, endpoint = self.host.sent
        self.balancer.on_attempt_end(self.now + SPENT_US, call, 0, endpoint, SPENT_US, True, Outcome.OK)

    def measure(self, rounds: int = 9, size: int = 500) -> CallCost:
        for _ in range(size):
            self.call()
        pool = self.balancer.rules.placements.by_class["look"].local
        cost = _batches(rounds, size, self.call)
        in_use = _batches(rounds, size, self._in_use)
        return CallCost(cost, in_use, len(pool.subset.members))

    def _in_use(self) -> None:
        self.balancer.rules.availability.pool_share(
            self.now, self.balancer.rules.placements.by_class["look"].local
        )


class ListCost(NamedTuple):
    """Microseconds to read a list and to take it, and the bytes of its body."""

    parse_us: float
    take_us: float
    body: int


def rows_of(count: int) -> list[dict[str, Any]]:
    """So many entries, with ids and addresses of the length that a platform gives."""
    return [
        entry(f"s-{i * 2654435761 % (1 << 32):08x}", f"10.1.{i // 256}.{i % 256}:7070") for i in range(count)
    ]


def body_of(generation: int, reset: bool, rows: list[dict[str, Any]]) -> bytes:
    """A list as discovery writes it."""
    return json.dumps(listing(generation, reset, rows), separators=(",", ":")).encode()


class ListBench:
    """A host without sockets on so many endpoints; must be made while a loop runs."""

    def __init__(self, endpoints: int) -> None:
        self.rows = rows_of(endpoints)
        nowhere = Address("127.0.0.1", 1)
        known = read_endpoint_list(json.loads(body_of(1, True, self.rows)))
        settings = read_settings(SETTINGS)
        self.host = Proxy(
            Config("n0", nowhere, nowhere, 7, ResourceLimits(500, 400, 1 << 24), known, settings)
        )
        self.host.balancer.start(now_us())
        self.host.on_watch_event(WatchEventKind.CACHED, known.entries)

    def whole(self) -> ListCost:
        return self._cost([body_of(2, True, self.rows)] * 2, WatchEventKind.FULL)

    def delta(self) -> ListCost:
        """A change of one endpoint, to draining and back."""
        bodies = [
            body_of(2, False, [{**self.rows[0], "lifecycle": state}]) for state in ("draining", "ready")
        ]
        return self._cost(bodies, WatchEventKind.DELTA)

    def renewal(self) -> ListCost:
        """A watch that was answered with no entries."""
        return self._cost([body_of(2, False, [])] * 2, WatchEventKind.DELTA)

    def _cost(self, bodies: list[bytes], form: WatchEventKind, rounds: int = 5, size: int = 10) -> ListCost:
        lists: list[EndpointList] = [read_endpoint_list(json.loads(body)) for body in bodies]
        place = 0

        def parse() -> None:
            read_endpoint_list(json.loads(bodies[0]))

        def take() -> None:
            nonlocal place
            self.host.on_watch_event(form, lists[place % 2].entries)
            place += 1

        return ListCost(_batches(rounds, size, parse), _batches(rounds, size, take), len(bodies[0]))
