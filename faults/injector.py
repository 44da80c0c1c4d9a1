"""Injects the faults of a soak at random times, independently of each other, so that two or three overlap."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from faults.cluster import Cluster
from faults.context import SoakContext
from faults.discovery import ADDRESSES_PER_SIDECAR, DiscoveryMode
from faults.idle_clients import IdleClients
from faults.plan import Fault
from faults.preload import SystemCall
from faults.sidecar_process import SidecarProcess

PROCESS_STALL_S = 0.12  # the time between SIGSTOP and SIGCONT
CLOCK_STEPS_S = (-3600, -5, 0, 5, 3600)  # offsets of a process's wall clock from the machine's
US_PER_S = 1_000_000
FAILING_CALLS_PER_MILLION = 30_000
RANDOMLY_FAILING_CALLS = (
    SystemCall.SOCKET,
    SystemCall.CONNECT,
    SystemCall.ACCEPT,
    SystemCall.READ,
    SystemCall.WRITE,
    SystemCall.POLL,
)
FAILING_CALL_KINDS = 2  # the number of kinds of system calls that fail in the same period
FAILING_CALLS_DURATION_S = 2.0
EXTRA_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)  # each may be sent during a restart
EXTRA_SIGNAL_SHARE = 0.3  # the probability of each extra signal, and of a SIGHUP just before the SIGTERM
RELOAD_COUNT_RANGE = (1, 4)  # consecutive reloads; the upper bound is exclusive
MAX_RELOAD_INTERVAL_S = 0.2
MOVE_COUNT_RANGE = (2, 6)  # consecutive reloads that draw discovery's address; the upper bound is exclusive
MOVE_INTERVAL_RANGE_S = (0.05, 0.6)
IDLE_CLIENTS_RANGE_S = (1.0, 3.0)  # how long idle clients keep connecting
CORRUPT_CONFIG_DURATION_S = 0.2  # from the reload of a corrupt configuration to that of a valid one
OUTAGE_RANGE_S = (0.5, 4)
UNLIST_SHARE = 0.4  # share of draining endpoints that leave the list
UNLIST_DELAY_RANGE_S = (1, 9)  # from the start of a drain until the endpoint leaves the list
RESTORE_SHARE = 0.3  # the probability that the fault restores an endpoint, if there are retired ones
BROKEN_CONNECTION_SHARE = 0.5
BREAK_CONNECTIONS_DURATION_S = 1.0
FAILING_ENDPOINT_SCALE = 4.0  # factor on the default shares of attempts that an endpoint fails
FAILING_ENDPOINT_DURATION_S = 1.5


class FaultInjector:
    """Starts faults of random kinds at random times.

    Args:
        context: the objects that all parts of the soak share.
        cluster: the endpoints and sidecars that the faults affect.
    """

    def __init__(self, context: SoakContext, cluster: Cluster) -> None:
        self.context = context
        self.cluster = cluster
        self.injected: Counter[Fault] = Counter()
        self._running: set[asyncio.Task[None]] = set()
        self._started_faults: set[asyncio.Task[None]] = set()  # running and finished
        self.handlers: dict[Fault, Callable[[], Coroutine[Any, Any, None]]] = {
            Fault.RESTART: self._restart,
            Fault.KILL: self._kill,
            Fault.RELOAD: self._reload,
            Fault.MOVE_DISCOVERY: self._move_discovery,
            Fault.STALL_PROCESS: self._stall_process,
            Fault.STEP_CLOCK: self._step_clock,
            Fault.FAIL_SYSTEM_CALLS: self._fail_system_calls,
            Fault.DISCOVERY_OUTAGE: self._discovery_outage,
            Fault.DRAIN_ENDPOINT: self._drain_endpoint,
            Fault.RESTORE_ENDPOINT: self._restore_endpoint,
            Fault.BREAK_CONNECTIONS: self._break_connections,
            Fault.FAIL_ENDPOINT: self._fail_endpoint,
            Fault.CORRUPT_CONFIG: self._corrupt_config,
            Fault.RESET_DISCOVERY_CONNECTIONS: self._reset_discovery_connections,
            Fault.EXHAUST_DESCRIPTORS: self._exhaust_descriptors,
        }

    async def run(self, until_s: float) -> None:
        """Start faults until `until_s`, a loop time in seconds."""
        loop = asyncio.get_running_loop()
        plan, rng = self.context.plan, self.context.rng
        while loop.time() < until_s:
            await asyncio.sleep(rng.expovariate(1 / plan.mean_fault_interval_s))
            fault = rng.choice(plan.faults)
            self.injected[fault] += 1
            self._started_faults.add(self._spawn(self.handlers[fault]()))

    async def finish(self) -> None:
        """Wait until all started faults are over."""
        await asyncio.gather(*self._started_faults)

    def cancel(self) -> None:
        """Cancel all running faults and their delayed signals."""
        for task in self._running:
            task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    # --- processes ---

    async def _restart(self) -> None:
        """Restart a sidecar under the same address with SIGTERM, at times with extra signals around it."""
        sidecar = self.cluster.draw_serving_sidecar()
        if sidecar is None:
            return
        rng = self.context.rng
        for number in EXTRA_SIGNALS:
            if rng.random() < EXTRA_SIGNAL_SHARE:
                self._spawn(self._signal_later(sidecar, number))
        if rng.random() < EXTRA_SIGNAL_SHARE:
            sidecar.send_signal(signal.SIGHUP)
        await self._restart_after(sidecar, sidecar.shut_down())

    async def _kill(self) -> None:
        """Kill a sidecar with SIGKILL and start it again."""
        sidecar = self.cluster.draw_serving_sidecar()
        if sidecar is not None:
            await self._restart_after(sidecar, sidecar.kill())

    async def _restart_after(self, sidecar: SidecarProcess, end: Awaitable[None]) -> None:
        await end
        await sidecar.start()

    async def _signal_later(self, sidecar: SidecarProcess, number: int) -> None:
        process = sidecar.process
        await asyncio.sleep(self.context.rng.random() * self.context.plan.kill_after_s)
        if sidecar.process is process:  # a process that has been started since gets no signal
            sidecar.send_signal(number)

    async def _stall_process(self) -> None:
        """Stop a sidecar's process for PROCESS_STALL_S."""
        sidecar = self.cluster.draw_serving_sidecar()
        if sidecar is None:
            return
        sidecar.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PROCESS_STALL_S)
        sidecar.send_signal(signal.SIGCONT)

    async def _step_clock(self) -> None:
        """Step the wall clock of one sidecar's process."""
        rng = self.context.rng
        sidecar = rng.choice(self.cluster.sidecars)
        sidecar.control.step_clock(rng.choice(CLOCK_STEPS_S) * US_PER_S)

    async def _fail_system_calls(self) -> None:
        """Let some kinds of system calls of one process fail at random for FAILING_CALLS_DURATION_S."""
        rng = self.context.rng
        sidecar = rng.choice(self.cluster.sidecars)
        chosen = rng.sample(RANDOMLY_FAILING_CALLS, FAILING_CALL_KINDS)
        for call in chosen:
            sidecar.control.fail_at_random(call, FAILING_CALLS_PER_MILLION)
        await asyncio.sleep(FAILING_CALLS_DURATION_S)
        for call in chosen:
            sidecar.control.fail_at_random(call, 0)

    async def _exhaust_descriptors(self) -> None:
        """Exhaust the file descriptors of one sidecar with idle clients."""
        sidecar = self.cluster.draw_serving_sidecar()
        if sidecar is not None:
            until_s = asyncio.get_running_loop().time() + self.context.rng.uniform(*IDLE_CLIENTS_RANGE_S)
            await IdleClients(sidecar.target, max(self.context.plan.socket_limits)).hold_connections(until_s)

    # --- configuration ---

    async def _reload(self) -> None:
        """Reload one sidecar several times in a row, each time with newly drawn limits."""
        rng = self.context.rng
        sidecar = self.cluster.draw_serving_sidecar()
        for _ in range(rng.randrange(*RELOAD_COUNT_RANGE)):
            if sidecar is not None and not sidecar.target.is_restarting:
                sidecar.write_config()
                sidecar.send_signal(signal.SIGHUP)
            await asyncio.sleep(rng.random() * MAX_RELOAD_INTERVAL_S)

    async def _move_discovery(self) -> None:
        """Reload one sidecar several times in a row, most times with another address of discovery."""
        rng = self.context.rng
        sidecar = self.cluster.draw_serving_sidecar()
        for _ in range(rng.randrange(*MOVE_COUNT_RANGE)):
            if sidecar is None or sidecar.target.is_restarting:
                return
            sidecar.move_discovery(rng.randrange(ADDRESSES_PER_SIDECAR))
            await asyncio.sleep(rng.uniform(*MOVE_INTERVAL_RANGE_S))

    async def _corrupt_config(self) -> None:
        """Reload one sidecar with a truncated or empty configuration file, and later with a valid one."""
        sidecar = self.cluster.draw_serving_sidecar()
        if sidecar is None or sidecar.target.is_restarting:
            return
        complete = sidecar.config_path.read_bytes()
        sidecar.config_path.write_bytes(complete[: self.context.rng.randrange(len(complete))])
        sidecar.send_signal(signal.SIGHUP)
        await asyncio.sleep(CORRUPT_CONFIG_DURATION_S)
        sidecar.write_config()
        sidecar.send_signal(signal.SIGHUP)

    # --- discovery ---

    async def _discovery_outage(self) -> None:
        """Let discovery reject calls, reset them or stay silent for a time.

        For a change during the outage, the time until sidecars are considered notified starts at its end.
        """
        context = self.context
        if context.discovery.mode is not DiscoveryMode.SERVE:
            return
        loop = asyncio.get_running_loop()
        modes = (DiscoveryMode.REJECT, DiscoveryMode.RESET, DiscoveryMode.SILENT)
        context.notifications.record_outage_start(loop.time())
        context.discovery.set_mode(context.rng.choice(modes))
        await asyncio.sleep(context.rng.uniform(*OUTAGE_RANGE_S))
        context.discovery.set_mode(DiscoveryMode.SERVE)
        context.notifications.record_outage_end(loop.time())

    async def _reset_discovery_connections(self) -> None:
        """Reset all connections to discovery; sidecars may reconnect at once."""
        self.context.discovery.reset_connections()

    async def _drain_endpoint(self) -> None:
        """Let an endpoint drain, and at times leave the list later.

        It keeps serving until the end of the soak. A new endpoint joins if at most the planned number were
        ready before.
        """
        cluster, rng = self.cluster, self.context.rng
        planned = self.context.plan.endpoints
        ready = [endpoint for endpoint in cluster.endpoints if endpoint.name not in cluster.retired_endpoints]
        if len(ready) <= planned // 2:
            return
        draining = rng.choice(ready)
        cluster.retired_endpoints.add(draining.name)
        cluster.list_endpoint(draining.name, "draining")
        if len(ready) <= planned:
            await cluster.add_endpoint(warming_up=True)
        if rng.random() < UNLIST_SHARE:
            await asyncio.sleep(rng.uniform(*UNLIST_DELAY_RANGE_S))
            if draining.name in cluster.retired_endpoints:
                cluster.list_endpoint(draining.name, "gone")

    async def _restore_endpoint(self) -> None:
        """Let a draining or removed endpoint be ready again under its id and address."""
        cluster, rng = self.cluster, self.context.rng
        if cluster.retired_endpoints and rng.random() < RESTORE_SHARE:
            name = rng.choice(sorted(cluster.retired_endpoints))
            cluster.retired_endpoints.remove(name)
            cluster.list_endpoint(name, "ready", warming_up=True)

    # --- endpoints ---

    async def _break_connections(self) -> None:
        """Reset the connections to one endpoint, and for a time break some new ones at a random byte."""
        proxy = self.cluster.proxies[self.context.rng.choice(self.cluster.endpoints).name]
        proxy.broken_connection_share = BROKEN_CONNECTION_SHARE
        proxy.reset_all()
        await asyncio.sleep(BREAK_CONNECTIONS_DURATION_S)
        proxy.broken_connection_share = 0.0

    async def _fail_endpoint(self) -> None:
        """Let one endpoint fail most attempts for FAILING_ENDPOINT_DURATION_S."""
        endpoint = self.context.rng.choice(self.cluster.endpoints)
        endpoint.fault_scale = FAILING_ENDPOINT_SCALE
        await asyncio.sleep(FAILING_ENDPOINT_DURATION_S)
        endpoint.fault_scale = self.context.plan.endpoint_fault_scale
