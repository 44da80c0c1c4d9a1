"""A randomized fault soak: real sidecars on loopback, overlapping faults, and an oracle over the results.

    python -m faults.soak --seed 1 --sidecars 12 --seconds 30

It prints a report with each violation and the ids that it concerns, and exits with 1 if there was any.
`--logs DIR` keeps the logs.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import sys
import tempfile
import tomllib
from pathlib import Path

import uvloop

from faults.clients import SoakClient
from faults.cluster import Cluster
from faults.context import SoakContext
from faults.discovery import FaultyDiscovery
from faults.injector import FaultInjector
from faults.notifications import Notifications
from faults.oracle import Oracle
from faults.plan import DiscoveryProfile, Plan, draw_plan, overloaded_plan
from faults.preload import build_library
from faults.report import format_report
from testbed.environment import ROOT

CLIENTS_PER_SIDECAR = 4
FAULT_FREE_END_S = 5.0  # no new faults start in this time before the end
LAG_CHECK_INTERVAL_S = 0.02


class Soak:
    """One run with its cluster, its clients and its injected faults.

    Args:
        plan: the sizes, settings and faults of the run.
        folder: the folder for the preloaded library, the configurations and the logs.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        notifications = Notifications(plan.pushed)
        self.oracle = Oracle(plan.deduplication_window_s, plan.drain_grace_s, notifications)
        discovery_rng = random.Random(f"{plan.seed}-d")
        self.discovery = FaultyDiscovery(notifications, plan.discovery, discovery_rng)
        self.context = SoakContext(
            plan=plan,
            rng=random.Random(plan.seed),
            notifications=notifications,
            oracle=self.oracle,
            discovery=self.discovery,
            preload_library=build_library(folder),
            command=_deployed_command(),
        )
        self.cluster = Cluster(self.context, folder)
        self.injector = FaultInjector(self.context, self.cluster)

    async def run(self) -> None:
        """Run the cluster with clients and faults, then check the logs."""
        loop = asyncio.get_running_loop()
        lag_recorder: asyncio.Task[None] | None = None
        try:
            await self.cluster.start()
            lag_recorder = asyncio.ensure_future(self._record_lag())
            until_s = loop.time() + self.plan.seconds
            await asyncio.gather(self._run_clients(until_s), self.injector.run(until_s - FAULT_FREE_END_S))
            await self.injector.finish()
        finally:
            self.injector.cancel()
            if lag_recorder is not None:
                lag_recorder.cancel()
            await self.cluster.stop()
        for sidecar in self.cluster.sidecars:
            sidecar.check_log()

    async def _run_clients(self, until_s: float) -> None:
        targets = [sidecar.target for sidecar in self.cluster.sidecars]
        clients = [
            SoakClient(number, targets, self.oracle, random.Random(f"{self.plan.seed}-{number}"), self.plan)
            for number in range(CLIENTS_PER_SIDECAR * self.plan.sidecars)
        ]
        await asyncio.gather(*(client.run(until_s) for client in clients))

    async def _record_lag(self) -> None:
        """Record how late this event loop is, because the oracle's observations are late by the same time."""
        loop = asyncio.get_running_loop()
        while True:
            before_s = loop.time()
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            self.oracle.record_lag(loop.time(), loop.time() - before_s - LAG_CHECK_INTERVAL_S)

    def report(self) -> str:
        """Return the report of the run, with its violations."""
        return format_report(self.context, self.cluster, self.injector)


def _deployed_command() -> str:
    """Return the command with which the deploy file starts a sidecar, run by this interpreter."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    command: str = deploy["run"]
    return command.replace(".venv/bin/python", sys.executable)


async def run_soak(plan: Plan, folder: Path) -> Soak:
    """Run one soak in its own folder, and return it with its results."""
    soak = Soak(plan, folder)
    await soak.run()
    return soak


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m faults.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sidecars", type=int, default=12, choices=range(1, 41), metavar="1..40")
    parser.add_argument("--endpoints", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--logs", type=Path, help="keep the logs in this folder")
    parser.add_argument(
        "--overloaded-ms",
        "--crowded-ms",
        dest="overloaded_ms",
        type=float,
        help="only moves and drains, at a discovery that needs this many milliseconds for each call",
    )
    parser.add_argument(
        "--capacity",
        "--room",
        dest="capacity",
        type=int,
        default=0,
        help="with --overloaded-ms: calls that may wait in discovery's queue",
    )
    parser.add_argument(
        "--lost", type=float, default=0.0, help="with --overloaded-ms: share of lost responses"
    )
    return parser.parse_args()


def _plan_from_arguments(arguments: argparse.Namespace) -> Plan:
    if arguments.overloaded_ms is None:
        return draw_plan(arguments.seed, arguments.sidecars, arguments.endpoints, arguments.seconds)
    discovery = DiscoveryProfile(
        arguments.overloaded_ms / 1000, capacity=arguments.capacity, lost_share=arguments.lost
    )
    return overloaded_plan(arguments.seed, arguments.sidecars, arguments.seconds, discovery)


def main() -> int:
    """Run the soak that the arguments describe; return 1 if a guarantee was violated, otherwise 0."""
    arguments = _parse_arguments()
    plan = _plan_from_arguments(arguments)
    with contextlib.ExitStack() as stack:
        folder = arguments.logs or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            soak = runner.run(run_soak(plan, folder))
        print(soak.report())
    return 1 if soak.oracle.violations else 0


if __name__ == "__main__":
    sys.exit(main())
