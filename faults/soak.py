"""A randomized fault soak: real sidecars on loopback, troubles that overlap in time, and the oracle over all.

    python -m faults.soak --seed 1 --sidecars 12 --seconds 30

It exits with 1 where a promise was broken, and prints each with its ids; `--logs DIR` keeps the logs.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import signal
import sys
import tempfile
import tomllib
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import uvloop

from faults.clients import IdleCrowd, SoakClient, Target
from faults.discovery import ADDRESSES, FaultyDiscovery, Mode, Shape
from faults.endpoints import FaultProxy, FaultyEndpoint
from faults.notifications import Notifications
from faults.oracle import Oracle
from faults.plan import Plan, crowded, drawn
from faults.preload import Call, build
from faults.processes import ROOT, SidecarProcess, free_port

CLIENTS_EACH = 4  # for each sidecar
LAST_S = 5.0  # without new trouble, at the end
HELD_UP_S = 0.12  # how long a process is stopped
CLOCK_STEPS_S = (-3600, -5, 0, 5, 3600)
RANDOM_FAULTS_PER_MILLION = 30_000
RANDOM_CALLS = (Call.SOCKET, Call.CONNECT, Call.ACCEPT, Call.READ, Call.WRITE, Call.POLL)
LAG_EVERY_S = 0.02
CROWD_MOST_S = 3.0


class Soak:
    """One run: the world, the processes, the clients and the troubles."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.rng = random.Random(plan.seed)
        self.notifications = Notifications(plan.pushed)
        self.oracle = Oracle(plan.window_s, plan.grace_s, self.notifications)
        self.library = build(folder)
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        self.command: str = deploy["run"].replace(".venv/bin/python", sys.executable)
        self.discovery = FaultyDiscovery(self.notifications, plan.discovery, random.Random(f"{plan.seed}-d"))
        self.endpoints: list[FaultyEndpoint] = []
        self.proxies: dict[str, FaultProxy] = {}
        self.sidecars: list[SidecarProcess] = []
        self.troubles: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()
        self.troubled: set[asyncio.Task[None]] = set()  # troubles that were begun
        self.draining: set[str] = set()  # endpoints that discovery tells to drain, or that are gone
        self.least_left_s = float("inf")  # of all ends by SIGTERM, before SIGKILL
        self.ends = 0

    def note_end(self, left_s: float) -> None:
        """A process has ended so long before SIGKILL."""
        self.ends += 1
        self.least_left_s = min(self.least_left_s, left_s)

    async def run(self) -> None:
        """Play all of it."""
        loop = asyncio.get_running_loop()
        for _ in range(self.plan.endpoints):
            await self.add_endpoint()
        for number in range(self.plan.sidecars):
            target = Target(f"n{number}", free_port())
            self.sidecars.append(SidecarProcess(target, self, self.folder / target.name))
        try:
            await asyncio.gather(*(sidecar.start() for sidecar in self.sidecars))
            self.spawn(self._watch_lag())
            until_s = loop.time() + self.plan.seconds
            await asyncio.gather(self._play_clients(until_s), self._trouble(until_s - LAST_S))
            await asyncio.gather(*self.troubled)
        finally:
            for task in self.tasks:
                task.cancel()
            for sidecar in self.sidecars:
                if sidecar.process is not None and sidecar.process.returncode is None:
                    await sidecar.kill()
        for sidecar in self.sidecars:
            sidecar.check_log()

    async def add_endpoint(self, cold: bool = False) -> None:
        """A new endpoint behind a proxy, told by discovery."""
        number = len(self.endpoints)
        rng = random.Random(f"{self.plan.seed}-{number}")
        endpoint = await FaultyEndpoint(f"s-{number}", self.oracle, rng).start()
        endpoint.trouble = self.plan.endpoint_trouble
        proxy = await FaultProxy(endpoint.port, rng).start()
        self.endpoints.append(endpoint)
        self.proxies[endpoint.name] = proxy
        self.discovery.change(self.row(endpoint.name, "ready", cold))

    def row(self, name: str, lifecycle: str, cold: bool = False) -> dict[str, object]:
        """An entry of the list."""
        started_ms = int(asyncio.get_running_loop().time() * 1000) if cold else 0
        return {
            "instanceId": name,
            "hostPort": f"127.0.0.1:{self.proxies[name].port}",
            "zone": self.rng.choice("ab"),
            "machineType": "m",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": started_ms,
        }

    async def _play_clients(self, until_s: float) -> None:
        targets = [sidecar.target for sidecar in self.sidecars]
        clients = [
            SoakClient(number, targets, self.oracle, random.Random(f"{self.plan.seed}-{number}"), self.plan)
            for number in range(CLIENTS_EACH * self.plan.sidecars)
        ]
        await asyncio.gather(*(client.run(until_s) for client in clients))

    # --- troubles: each begins on its own, so that two or three overlap ---

    async def _trouble(self, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.expovariate(1 / self.plan.trouble_every_s))
            kind = self.rng.choice(self.plan.troubles)
            self.troubles[kind] += 1
            self.troubled.add(self.spawn(getattr(self, kind)()))

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Let it run beside all else, up to the end of the soak at the latest."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _watch_lag(self) -> None:
        """How late this loop is: what the oracle sees is as late."""
        loop = asyncio.get_running_loop()
        while True:
            before_s = loop.time()
            await asyncio.sleep(LAG_EVERY_S)
            self.oracle.note_lag(loop.time(), loop.time() - before_s - LAG_EVERY_S)

    def _free(self) -> SidecarProcess | None:
        """A sidecar that is not being restarted; a third of them stay up."""
        free = [s for s in self.sidecars if not s.busy and s.target.open]
        return self.rng.choice(free) if 3 * len(free) > len(self.sidecars) else None

    async def restart(self) -> None:
        """SIGTERM, at times among other signals, and a start under the same address."""
        sidecar = self._free()
        if sidecar is None:
            return
        sidecar.busy = True
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            if self.rng.random() < 0.3:
                self.spawn(self._signal_later(sidecar, number))
        if self.rng.random() < 0.3:
            sidecar.send(signal.SIGHUP)
        await sidecar.end()
        await sidecar.start()
        sidecar.busy = False

    async def _signal_later(self, sidecar: SidecarProcess, number: int) -> None:
        process = sidecar.process
        await asyncio.sleep(self.rng.random() * self.plan.kill_after_s)
        if sidecar.process is process:  # not to the next one under that name
            sidecar.send(number)

    async def kill_one(self) -> None:
        """SIGKILL and a start."""
        sidecar = self._free()
        if sidecar is None:
            return
        sidecar.busy = True
        await sidecar.kill()
        await sidecar.start()
        sidecar.busy = False

    async def reload(self) -> None:
        """Other bounds in force, several times in a row."""
        sidecar = self._free()
        for _ in range(self.rng.randrange(1, 4)):
            if sidecar is not None and not sidecar.busy:
                sidecar.write_config()
                sidecar.send(signal.SIGHUP)
            await asyncio.sleep(self.rng.random() * 0.2)

    async def move(self) -> None:
        """Reloads in a row, most of which name another address of discovery."""
        sidecar = self._free()
        for _ in range(self.rng.randrange(2, 6)):
            if sidecar is None or sidecar.busy:
                return
            sidecar.move(self.rng.randrange(ADDRESSES))
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))

    async def end_watches(self) -> None:
        """All connections to discovery are reset, and may come back at once."""
        self.discovery.end_watches()

    async def crowd(self) -> None:
        """Idle clients fill the descriptors of one sidecar."""
        sidecar = self._free()
        if sidecar is not None:
            until_s = asyncio.get_running_loop().time() + self.rng.uniform(1.0, CROWD_MOST_S)
            await IdleCrowd(sidecar.target, max(self.plan.sockets)).play(until_s)

    async def spoil_config(self) -> None:
        """A configuration that was written half, or not at all, and is asked to be taken."""
        sidecar = self._free()
        if sidecar is None or sidecar.busy:
            return
        path = sidecar.folder / "config.json"
        whole = path.read_bytes()
        path.write_bytes(whole[: self.rng.randrange(len(whole))])
        sidecar.send(signal.SIGHUP)
        await asyncio.sleep(0.2)
        sidecar.write_config()
        sidecar.send(signal.SIGHUP)

    async def hold_up(self) -> None:
        """A process that does not run for a moment."""
        sidecar = self._free()
        if sidecar is None:
            return
        sidecar.send(signal.SIGSTOP)
        await asyncio.sleep(HELD_UP_S)
        sidecar.send(signal.SIGCONT)

    async def step_clock(self) -> None:
        """The wall clock of one process jumps."""
        sidecar = self.rng.choice(self.sidecars)
        sidecar.control.step_clock(self.rng.choice(CLOCK_STEPS_S) * 1_000_000)

    async def fail_calls(self) -> None:
        """System calls of one process fail at random for a while."""
        sidecar = self.rng.choice(self.sidecars)
        chosen = self.rng.sample(RANDOM_CALLS, 2)
        for call in chosen:
            sidecar.control.fail_at_random(call, RANDOM_FAULTS_PER_MILLION)
        await asyncio.sleep(2)
        for call in chosen:
            sidecar.control.fail_at_random(call, 0)

    async def outage(self) -> None:
        """Discovery is down, refuses or is silent; what it has in that time counts from its return."""
        if self.discovery.mode is not Mode.SERVE:
            return
        loop = asyncio.get_running_loop()
        self.notifications.outage_began(loop.time())
        self.discovery.turn(self.rng.choice((Mode.REFUSE, Mode.RESET, Mode.SILENT)))
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        self.discovery.turn(Mode.SERVE)
        self.notifications.outage_ended(loop.time())

    async def drain(self) -> None:
        """An endpoint drains, and serves on to the end of the play; a new one joins."""
        ready = [e for e in self.endpoints if e.name not in self.draining]
        if len(ready) <= self.plan.endpoints // 2:
            return
        old = self.rng.choice(ready)
        self.draining.add(old.name)
        self.discovery.change(self.row(old.name, "draining"))
        if len(ready) <= self.plan.endpoints:
            await self.add_endpoint(cold=True)
        if self.rng.random() < 0.4:
            await asyncio.sleep(self.rng.uniform(1, 9))
            if old.name in self.draining:
                self.discovery.change(self.row(old.name, "gone"))

    async def give_back(self) -> None:
        """An endpoint that drains, or is gone, is ready again under its id and address."""
        if self.draining and self.rng.random() < 0.3:
            name = self.rng.choice(sorted(self.draining))
            self.draining.remove(name)
            self.discovery.change(self.row(name, "ready", cold=True))

    async def break_connections(self) -> None:
        """Connections to one endpoint are reset, and new ones break at any byte for a while."""
        proxy = self.proxies[self.rng.choice(self.endpoints).name]
        proxy.breaks = 0.5
        proxy.break_all()
        await asyncio.sleep(1)
        proxy.breaks = 0.0

    async def jam(self) -> None:
        """One endpoint fails at most that it gets."""
        endpoint = self.rng.choice(self.endpoints)
        endpoint.trouble = 4.0
        await asyncio.sleep(1.5)
        endpoint.trouble = self.plan.endpoint_trouble

    def report(self) -> str:
        """What was played, and each broken promise."""
        oracle = self.oracle
        lines = [
            f"seed {self.plan.seed}: {len(self.sidecars)} sidecars,"
            f" {sum(s.starts for s in self.sidecars)} starts; {self.plan.text()}",
            f"discovery: {self.discovery.generation} versions, {self.discovery.calls} calls,"
            f" {self.discovery.refused} refused; {self.ends} ends by SIGTERM,"
            f" {self.least_left_s:.3f} s before SIGKILL at the least; lag {oracle.worst_lag_s * 1000:.0f} ms",
            "troubles: " + ", ".join(f"{name} {n}" for name, n in sorted(self.troubles.items())),
            "seen: " + ", ".join(f"{name} {n}" for name, n in sorted(oracle.counts.items())),
            "failed calls: "
            + ", ".join(
                f"{c.name.lower()} {sum(s.control.hits(c) for s in self.sidecars)}" for c in RANDOM_CALLS
            ),
        ]
        kinds = Counter(violation.promise for violation in oracle.violations)
        lines += [f"broken {n} times: {promise.value}" for promise, n in kinds.items()]
        lines += [f"  {v.at_s:.3f} {v.promise.name}: {v.detail}" for v in oracle.violations[:40]]
        return "\n".join(lines)


async def play(plan: Plan, folder: Path) -> Soak:
    """Play one soak in a folder of its own."""
    soak = Soak(plan, folder)
    await soak.run()
    return soak


def main() -> int:
    """The command line."""
    parser = argparse.ArgumentParser(prog="python -m faults.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sidecars", type=int, default=12, choices=range(1, 41), metavar="1..40")
    parser.add_argument("--endpoints", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--logs", type=Path, help="keep the logs in this folder")
    parser.add_argument(
        "--crowded-ms", type=float, help="moves and drains alone; a call costs discovery so much"
    )
    parser.add_argument("--room", type=int, default=0, help="with --crowded-ms: calls that may wait")
    parser.add_argument("--lost", type=float, default=0.0, help="with --crowded-ms: share of lost answers")
    chosen = parser.parse_args()
    if chosen.crowded_ms is None:
        plan = drawn(chosen.seed, chosen.sidecars, chosen.endpoints, chosen.seconds)
    else:
        shape = Shape(chosen.crowded_ms / 1000, room=chosen.room, lost_share=chosen.lost)
        plan = crowded(chosen.seed, chosen.sidecars, chosen.seconds, shape)
    with contextlib.ExitStack() as stack:
        folder = chosen.logs or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            soak = runner.run(play(plan, folder))
        print(soak.report())
    return 1 if soak.oracle.violations else 0


if __name__ == "__main__":
    sys.exit(main())
