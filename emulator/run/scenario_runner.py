"""Runs one scenario at one size: starts and stops its processes, and executes its steps."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import msgspec
from rich.progress import Progress, TaskID

from emulator.discovery.registry import Registry
from emulator.discovery.server import DiscoveryServer, ServerMode
from emulator.lateness import monitor_lateness
from emulator.run.observations import Observations, Snapshot, TimedKill, TimedStart, Window
from emulator.run.processes import READY_TIMEOUT_S, RealSidecar, SimulatedSidecarProcess
from emulator.run.timeline import ListChange
from emulator.scenario.document import Scenario
from emulator.scenario.plan import (
    ChangeList,
    KillSidecars,
    MeasureWindow,
    Plan,
    ReloadSettings,
    SetLoad,
    SetOutage,
    StartSidecars,
    Step,
)
from emulator.scenario.planner import make_plan
from emulator.scenario.random_streams import random_stream
from emulator.scenario.sidecar_settings import settings_document
from emulator.simulated_sidecars.messages import (
    Command,
    KillCommand,
    LoadCommand,
    SettingsCommand,
    StartCommand,
    WorkerConfig,
)
from testbed.discovery_wire import endpoint_list

# Lateness is evaluated for each of these intervals, and the worst interval decides: a percentile over the
# whole run would hide a short burst.
SAMPLE_INTERVAL_S = 3.0
PROGRESS_INTERVAL_S = 1.0
SEED_BOUND = 1 << 62
NS_PER_MS = 1_000_000


class ScenarioRunner:
    """Runs one scenario at one size.

    Args:
        scenario: the scenario to run.
        size: the number of simulated sidecars.
        folder: the folder for the configuration and log files of the processes.
    """

    def __init__(self, scenario: Scenario, size: int, folder: Path) -> None:
        self.scenario = scenario
        self.size = size
        self.folder = folder
        self.plan: Plan = make_plan(scenario, size)
        self.server = DiscoveryServer(Registry(self.plan.services), scenario.discovery.cost())
        self.simulated: list[SimulatedSidecarProcess] = []
        self.real: list[RealSidecar] = []
        self.sidecars_by_service: dict[str, list[int]] = {name: [] for name in self.plan.services}
        for number, sidecar in enumerate(self.plan.sidecars):
            self.sidecars_by_service[sidecar.service].append(number)
        self.observations = Observations()
        self._opened_windows: dict[str, Snapshot] = {}
        self._sample_lock = asyncio.Lock()

    @property
    def sidecar_count(self) -> int:
        """The number of sidecars that discovery serves."""
        return self.size + self.scenario.real_sidecars

    # --- start and stop ---

    async def start(self) -> None:
        """Start discovery and all processes.

        Raises:
            RunError: a process did not become ready.
        """
        await self.server.start()
        count = min(self.scenario.processes, self.size)
        boundaries = [self.size * i // count for i in range(count + 1)]
        # Started one after the other: processes that start together compete for the processors.
        for process in range(count):
            config = self._worker_config(process, boundaries[process], boundaries[process + 1])
            self.simulated.append(await SimulatedSidecarProcess.start(config, self.folder))
        for number in range(self.scenario.real_sidecars):
            self.real.append(RealSidecar.start(self._real_document(number), self.folder))

    def _worker_config(self, process: int, first: int, end: int) -> WorkerConfig:
        scenario = self.scenario
        sidecars = self.plan.sidecars[first:end]
        services = {sidecar.service for sidecar in sidecars}
        return WorkerConfig(
            seed=scenario.seed,
            process=process,
            first=first,
            sidecars=sidecars,
            balancers={name: len(self.sidecars_by_service[name]) for name in services},
            lists={name: self.plan.services[name] for name in services},
            discovery={name: self.server.address(name) for name in services},
            mode=scenario.discovery.mode,
            depth=scenario.topology.depth,
            load=scenario.load,
            longest_s=run_timeout_s(scenario),
        )

    def _real_document(self, number: int) -> dict[str, Any]:
        """Return the configuration of a real sidecar, placed like the simulated sidecar of that number."""
        scenario = self.scenario
        placement = self.plan.sidecars[number % len(self.plan.sidecars)]
        sidecar = msgspec.structs.replace(placement, name=f"real-{number}")
        count = len(self.sidecars_by_service[sidecar.service])
        seed = int(random_stream(scenario.seed, "real", number).integers(SEED_BOUND))
        return {
            "name": sidecar.name,
            "listen": "127.0.0.1:0",
            "discovery": self.server.address(sidecar.service),
            "seed": f"{seed:x}",
            "known": endpoint_list(1, True, self.plan.services[sidecar.service]),
            "settings": settings_document(sidecar, count, scenario.topology.depth, scenario.discovery.mode),
        }

    async def stop(self) -> None:
        """Stop everything that was started, also after a failed run."""
        for real in self.real:
            real.kill()
        await asyncio.gather(*(process.stop() for process in self.simulated))
        await self.server.stop()

    # --- running ---

    async def run_steps(self, progress: Progress, task: TaskID) -> None:
        """Execute all steps at their times.

        Raises:
            RunError: a process ended, or did not respond.
        """
        loop = asyncio.get_running_loop()
        background_tasks: list[asyncio.Task[None]] = [
            loop.create_task(monitor_lateness(self.observations.lateness.runner_lateness_s.append)),
            loop.create_task(self._sample_periodically()),
        ]
        started_s = time.monotonic()
        all_sidecars = list(range(self.size))
        await self._execute_step(StartSidecars(0.0, "start", all_sidecars, self.scenario.start_spread_s))
        for step in [*self.plan.steps, None]:
            until_s = self.scenario.seconds if step is None else step.at_s
            while (remaining_s := started_s + until_s - time.monotonic()) > 0:
                progress.update(task, completed=time.monotonic() - started_s)
                _raise_errors(background_tasks)
                await asyncio.sleep(min(remaining_s, PROGRESS_INTERVAL_S))
            if step is not None:
                await self._execute_step(step)
        await self._take_snapshot()
        for background_task in background_tasks:
            background_task.cancel()

    async def _sample_periodically(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            await self._take_snapshot()

    async def _execute_step(self, step: Step) -> None:
        now_ns = time.monotonic_ns()
        observations = self.observations
        match step:
            case ChangeList():
                self._change_list(step, now_ns)
            case SetOutage():
                await self._set_outage(step.down)
            case KillSidecars():
                observations.kills.append(TimedKill(step, now_ns))
                self._send(KillCommand(step.sidecars))
            case StartSidecars():
                observations.starts.append(TimedStart(step, now_ns))
                self._send(StartCommand(step.sidecars, step.spread_s))
            case SetLoad():
                self._send(LoadCommand(step.requests_per_s))
            case ReloadSettings():
                observations.reloads_ns[step.revision] = now_ns
                self._send(SettingsCommand(step.revision, step.spread_s))
            case MeasureWindow():
                await self._measure_window(step)

    def _change_list(self, step: ChangeList, now_ns: int) -> None:
        rows = step.rows
        if step.starting:
            started = {"startedAtMs": time.time_ns() // NS_PER_MS}
            rows = [row if row["lifecycle"] == "gone" else {**row, **started} for row in rows]
        generation = self.server.change(step.service, rows)
        self.observations.changes.append(ListChange(step.measurement, step.service, generation, now_ns))

    async def _set_outage(self, down: bool) -> None:
        await self.server.set_mode(ServerMode.DOWN if down else ServerMode.SERVING)
        if not down:
            self.observations.outage_ends_ns.append(time.monotonic_ns())

    async def _measure_window(self, step: MeasureWindow) -> None:
        snapshot = await self._take_snapshot()
        if step.opens:
            self._opened_windows[step.measurement] = snapshot
        else:
            opened = self._opened_windows[step.measurement]
            self.observations.windows[step.measurement] = Window(opened, snapshot)

    def _send(self, command: Command) -> None:
        for process in self.simulated:
            process.send(command)

    async def _take_snapshot(self) -> Snapshot:
        async with self._sample_lock:  # a process responds to one sample command at a time
            samples = await asyncio.gather(*(process.sample() for process in self.simulated))
        self.observations.add_samples(samples)
        statistics = self.server.statistics
        return Snapshot(
            at_s=time.monotonic(),
            samples=samples,
            calls=len(statistics.arrivals),
            bytes_moved=statistics.bytes_in + statistics.bytes_out,
            busy_s=self.server.queue.busy_s,
            real=[real.usage() for real in self.real],
        )


def run_timeout_s(scenario: Scenario) -> float:
    """Return the time limit of a run, in seconds."""
    return scenario.seconds + scenario.start_spread_s + 3 * READY_TIMEOUT_S


def _raise_errors(background_tasks: list[asyncio.Task[None]]) -> None:
    for task in background_tasks:
        if task.done():
            task.result()  # a task ends only by an error, which this raises
