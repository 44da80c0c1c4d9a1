"""The endpoints and the sidecars of a soak, as one cluster of running servers and processes."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from faults.context import SoakContext
from faults.endpoints import FaultProxy, FaultyEndpoint
from faults.sidecar_process import SidecarProcess
from faults.targets import SidecarTarget, TargetState
from testbed.discovery_wire import Row, endpoint_row
from testbed.ports import free_port

MS_PER_S = 1000


class Cluster:
    """All endpoints behind their proxies, and all sidecars.

    Args:
        context: the objects that all parts of the soak share.
        folder: the folder in which each sidecar gets its own folder.
    """

    def __init__(self, context: SoakContext, folder: Path) -> None:
        self.context = context
        self.folder = folder
        self.endpoints: list[FaultyEndpoint] = []
        self.proxies: dict[str, FaultProxy] = {}
        self.sidecars: list[SidecarProcess] = []
        self.retired_endpoints: set[str] = set()  # names of endpoints that are draining or no longer listed

    async def start(self) -> None:
        """Start all endpoints and sidecars."""
        plan = self.context.plan
        for _ in range(plan.endpoints):
            await self.add_endpoint()
        for number in range(plan.sidecars):
            target = SidecarTarget(f"n{number}", free_port())
            self.sidecars.append(SidecarProcess(target, self.context, self.folder / target.name))
        await asyncio.gather(*(sidecar.start() for sidecar in self.sidecars))

    async def stop(self) -> None:
        """Kill all sidecars that are still running, then stop all endpoints and discovery."""
        for sidecar in self.sidecars:
            if sidecar.process is not None and sidecar.process.returncode is None:
                await sidecar.kill()
        servers = [endpoint.server for endpoint in self.endpoints]
        servers += [proxy.server for proxy in self.proxies.values()]
        await asyncio.gather(*(server.stop() for server in servers), self.context.discovery.stop())

    def draw_serving_sidecar(self) -> SidecarProcess | None:
        """Draw a sidecar that is serving; return None if at most a third of the sidecars are."""
        serving = [sidecar for sidecar in self.sidecars if sidecar.target.state is TargetState.SERVING]
        return self.context.rng.choice(serving) if 3 * len(serving) > len(self.sidecars) else None

    async def add_endpoint(self, warming_up: bool = False) -> None:
        """Start a new endpoint behind a proxy, and let discovery list it."""
        plan = self.context.plan
        number = len(self.endpoints)
        rng = random.Random(f"{plan.seed}-{number}")
        endpoint = FaultyEndpoint(f"s-{number}", self.context.oracle, rng, plan.endpoint_fault_scale)
        await endpoint.server.start()
        proxy = FaultProxy(endpoint.server.port, rng)
        await proxy.server.start()
        self.endpoints.append(endpoint)
        self.proxies[endpoint.name] = proxy
        self.list_endpoint(endpoint.name, "ready", warming_up)

    def list_endpoint(self, name: str, lifecycle: str, warming_up: bool = False) -> None:
        """Let discovery list an endpoint with this lifecycle, as started now if it is warming up."""
        self.context.discovery.change_endpoint(self._list_entry(name, lifecycle, warming_up))

    def _list_entry(self, name: str, lifecycle: str, warming_up: bool) -> Row:
        now_ms = int(asyncio.get_running_loop().time() * MS_PER_S)
        return endpoint_row(
            name,
            f"127.0.0.1:{self.proxies[name].server.port}",
            zone=self.context.rng.choice("ab"),
            lifecycle=lifecycle,
            started_ms=now_ms if warming_up else 0,
        )
