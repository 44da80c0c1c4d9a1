"""A process of hollow sidecars: the real host, module and discovery client, many of them, with no callers.

Started as `python -m emulator.hollow FILE`; it takes commands as lines of JSON on standard input, answers
each `sample` with one line on standard output, and ends when its input does or its time is up.

What a hollow sidecar lacks of a real one: the server and its callers, the connections to endpoints, and a
process of its own. Synthetic calls reach the module directly, and an answer comes by a timer.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import sys
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import msgspec
import numpy as np
import uvloop
from hdrh.histogram import HdrHistogram

from corkdoor.model import Outcome, WatchEventKind
from corkdoor.settings_reader import read_settings
from corkdoor.sidecar.balancer_events import notify
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.config import Address, Config
from corkdoor.sidecar.discovery.endpoint_list import EndpointList, ResolvedEndpoint, read_endpoint_list
from corkdoor.sidecar.proxy import Proxy
from corkdoor.sidecar.resource_limits import ResourceLimits
from emulator.discovery import Row
from emulator.scenario import Load, Sidecar, settings_document, stream

LATE_EVERY_S = 0.02  # how often the loop's lateness is looked at
DRAWN = 4096  # random numbers drawn at a time
RESOURCE_LIMITS = ResourceLimits(client_connections=500, endpoint_connections=400, held_bytes=1 << 24)


class Orders(msgspec.Struct):
    """What the process is told at its start."""

    seed: int
    process: int
    first: int  # the number of its first sidecar among all
    sidecars: list[Sidecar]
    balancers: dict[str, int]  # sidecars of each service
    known: dict[str, list[Row]]  # each service's list as it stood when the lists were first served
    discovery: dict[str, str]  # each service's address
    mode: str
    depth: int
    load: Load
    most_s: float  # the process ends itself after so long


class Command(msgspec.Struct):
    do: str  # start, kill, load, settings, sample
    who: list[int] = []
    spread_s: float = 0.0
    calls_per_s: float = 0.0
    revision: int = 0


class Sample(msgspec.Struct):
    """What the process did since its start; `told`, `in_force` and `late_*` are since the last sample."""

    process: int
    cpu_s: float
    rss_mb: float
    base_rss_mb: float  # before the first sidecar was made
    running: int
    made: int  # synthetic calls
    ended: dict[str, int]  # how they ended: ok, shed, surrendered
    late_p99_ms: float
    late_most_ms: float
    told: list[tuple[int, int, int]]  # sidecar, generation, monotonic ns: each list and change as applied
    in_force: list[tuple[int, int, int]]  # sidecar, settings revision, monotonic ns


def rss_mb() -> float:
    """Resident memory of this process in MB, by the kernel."""
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def cpu_s() -> float:
    """CPU seconds that this process has used, in user and kernel mode."""
    used = os.times()
    return used.user + used.system


class HollowHost(Proxy):
    """The real host whose attempts end by a timer."""

    def __init__(self, config: Config, number: int, process: HollowProcess) -> None:
        super().__init__(config)
        self.number = number
        self.process = process
        self.tries: dict[str, int] = {}
        self.dead = False

    def on_watch_event(self, kind: WatchEventKind, entries: Sequence[ResolvedEndpoint]) -> None:
        super().on_watch_event(kind, entries)
        if kind in (WatchEventKind.FULL, WatchEventKind.DELTA):
            self.process.told.append((self.number, self.watcher.generation, time.monotonic_ns()))

    def ask(self, call: str, class_name: str, deadline_us: int) -> None:
        """One synthetic call."""
        notify(self.balancer.on_request, call, class_name, "acme", deadline_us, None)

    def send_attempt(self, request_id: str, endpoint_id: str) -> None:
        number = self.tries[request_id] = self.tries.get(request_id, -1) + 1
        delay_s = self.process.service_s()
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._served, request_id, number, endpoint_id, now_us())

    def _served(self, call: str, number: int, endpoint: str, sent_us: int) -> None:
        if self.dead:
            return
        if self.tries.pop(call, None) is not None:
            self.process.ended["ok"] += 1
        spent = now_us() - sent_us
        notify(self.balancer.on_attempt_end, call, number, endpoint, spent, True, Outcome.OK, None)

    def reject_request(self, request_id: str, retry_after_us: int | None) -> None:
        self.tries.pop(request_id, None)
        self.process.ended["shed"] += 1

    def fail_request(self, request_id: str) -> None:
        self.tries.pop(request_id, None)
        self.process.ended["surrendered"] += 1

    def kill(self) -> None:
        """As if its process had been killed: its connection is reset, and nothing of it goes on."""
        self.dead = True
        self.watch_discovery(False)


class HollowProcess:
    """The sidecars of this process and what they did."""

    def __init__(self, orders: Orders) -> None:
        self.orders = orders
        self.base_rss_mb = rss_mb()
        self.hosts: dict[int, HollowHost] = {}
        self.sweeps: dict[int, asyncio.Task[None]] = {}
        self.lives: Counter[int] = Counter()
        # One object for all sidecars of a list: each real one has its own, so what this saves is told apart.
        self.known: dict[str, EndpointList] = {
            name: read_endpoint_list({"generation": 1, "reset": True, "instances": rows})
            for name, rows in orders.known.items()
        }
        self.told: list[tuple[int, int, int]] = []
        self.in_force: list[tuple[int, int, int]] = []
        self.ended: Counter[str] = Counter()
        self.made = 0
        self.calls_per_s = orders.load.calls_per_s
        self.pacer: asyncio.Task[None] | None = None
        self.late = HdrHistogram(1, 60_000_000, 3)  # us
        self.random = stream(orders.seed, "service", orders.process)
        self.arrivals = stream(orders.seed, "arrivals", orders.process)
        self.spreads = stream(orders.seed, "spread", orders.process)
        self._services: list[float] = []

    # --- draws ---

    def service_s(self) -> float:
        if not self._services:
            load = self.orders.load
            mu = np.log(load.service_ms / 1000) - load.service_sigma**2 / 2  # so that the mean is as stated
            self._services = self.random.lognormal(mu, load.service_sigma, DRAWN).tolist()
        return self._services.pop()

    # --- sidecars ---

    def config(self, number: int, revision: int = 0) -> Config:
        orders = self.orders
        sidecar = orders.sidecars[number - orders.first]
        host, _, port = orders.discovery[sidecar.service].rpartition(":")
        count = orders.balancers[sidecar.service]
        document = settings_document(sidecar, count, orders.depth, orders.mode, revision)
        seed = int(stream(orders.seed, "sidecar", number, self.lives[number]).integers(1 << 62))
        return Config(
            name=sidecar.name,
            listen=Address("127.0.0.1", 0),
            discovery=Address(host, int(port)),
            seed=seed,
            resource_limits=RESOURCE_LIMITS,
            cached_list=self.known[sidecar.service],
            settings=read_settings(document),
        )

    def start(self, number: int) -> None:
        self.lives[number] += 1
        host = HollowHost(self.config(number), number, self)
        self.hosts[number] = host
        self.sweeps[number] = asyncio.get_running_loop().create_task(host.upstream.sweep())
        host.start()

    def kill(self, number: int) -> None:
        host = self.hosts.pop(number, None)
        if host is not None:
            host.kill()
            self.sweeps.pop(number).cancel()

    def do(self, command: Command) -> None:
        """Carry out a command; those with a time to them go on after it."""
        loop = asyncio.get_running_loop()
        if command.do == "start":
            for number in command.who:
                loop.call_later(float(self.spreads.uniform(0, command.spread_s)), self.start, number)
            loop.call_later(command.spread_s + 1.0, settle)
        elif command.do == "kill":
            for number in command.who:
                self.kill(number)
        elif command.do == "load":
            self.pace(command.calls_per_s)
        elif command.do == "settings":
            self.reload(command.revision, command.spread_s)
        elif command.do == "sample":
            self.sample()

    def reload(self, revision: int, spread_s: float) -> None:
        """Each sidecar reads its new settings at a drawn time: one process of each would do so by itself."""
        loop = asyncio.get_running_loop()
        for number in self.hosts:
            loop.call_later(float(self.spreads.uniform(0, spread_s)), self._reload_one, number, revision)

    def _reload_one(self, number: int, revision: int) -> None:
        host = self.hosts.get(number)
        if host is None:
            return
        config = self.config(number, revision)
        host.reload(replace(config, digest=str(revision)))
        if host.settings == config.settings == host.balancer.settings:
            self.in_force.append((number, revision, time.monotonic_ns()))

    # --- synthetic calls ---

    def pace(self, calls_per_s: float) -> None:
        self.calls_per_s = calls_per_s
        if self.pacer is not None:
            self.pacer.cancel()
            self.pacer = None
        if calls_per_s > 0:
            self.pacer = asyncio.get_running_loop().create_task(self._pace())

    async def _pace(self) -> None:
        """Calls at drawn times, all sidecars' together: many such streams make one at the sum of their rates.

        Calls are due by the clock, whatever became of those before: a slow loop must not slow its own load.
        """
        grades = ("read", "hold", "pay")
        count = len(self.orders.sidecars)
        next_s = time.monotonic()
        while True:
            gaps = self.arrivals.exponential(1.0, DRAWN).tolist()
            picks = self.arrivals.random(DRAWN).tolist()
            for gap, pick in zip(gaps, picks, strict=True):
                next_s += gap / (self.calls_per_s * count)
                await asyncio.sleep(max(0.0, next_s - time.monotonic()))
                self.note_late(time.monotonic() - next_s)
                host = self.hosts.get(self.orders.first + int(pick * count))
                if host is not None:  # nobody calls a sidecar that is dead
                    self.made += 1
                    host.ask(f"{self.made:x}", grades[self.made % 3], 3_000_000)

    # --- what is told ---

    async def watch_lateness(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(LATE_EVERY_S)
            self.note_late(time.monotonic() - before - LATE_EVERY_S)

    def note_late(self, seconds: float) -> None:
        self.late.record_value(max(1, int(seconds * 1e6)))

    def sample(self) -> None:
        late = self.late
        sample = Sample(
            process=self.orders.process,
            cpu_s=cpu_s(),
            rss_mb=rss_mb(),
            base_rss_mb=self.base_rss_mb,
            running=len(self.hosts),
            made=self.made,
            ended=dict(self.ended),
            late_p99_ms=late.get_value_at_percentile(99) / 1000,
            late_most_ms=late.get_max_value() / 1000,
            told=self.told,
            in_force=self.in_force,
        )
        write_line(msgspec.json.encode(sample))
        self.told, self.in_force = [], []
        late.reset()


def settle() -> None:
    """What lives from here on is not walked again, as a real sidecar has it once it has started.

    Without the collection that a real one makes first: over hundreds of sidecars it would stall all of them.
    """
    gc.freeze()


def write_line(line: bytes) -> None:
    sys.stdout.buffer.write(line + b"\n")
    sys.stdout.buffer.flush()


async def serve(orders: Orders) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    process = HollowProcess(orders)
    lateness = loop.create_task(process.watch_lateness())
    process.pace(orders.load.calls_per_s)
    write_line(json.dumps({"ready": orders.process}).encode())
    try:
        async with asyncio.timeout(orders.most_s):
            while line := await reader.readline():
                process.do(msgspec.json.decode(line, type=Command))
    except TimeoutError:
        pass
    finally:
        lateness.cancel()
        for number in list(process.hosts):
            process.kill(number)


def main(argv: list[str]) -> int:
    # Failures of discovery are played on purpose; each of thousands would be a line.
    logging.basicConfig(level=logging.ERROR)
    orders = msgspec.json.decode(Path(argv[1]).read_bytes(), type=Orders)
    gc.set_threshold(20_000, 20, 50)  # as a real sidecar has it
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(orders))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
