"""One sidecar as a separate process: its configuration, its start, its signals and its end."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
from pathlib import Path

from faults.context import SoakContext
from faults.oracle import Guarantee
from faults.preload import FaultControl
from faults.sidecar_log import LogFinding, read_findings
from faults.targets import SidecarTarget, TargetState
from testbed.environment import ROOT, sidecar_environment

READY_TIMEOUT_S = 10.0  # a process that does not respond to `/up` within this time has failed
READY_CHECK_INTERVAL_S = 0.05
NEW_CLIENTS_RANGE_S = (0.2, 0.4)  # new clients keep connecting for this long after SIGTERM
STAT_STATE_FIELD, STAT_USER_TICKS_FIELD = 0, 11  # indexes of /proc/PID/stat's fields after the command's name


class SidecarProcess:
    """One sidecar, which keeps its name and port when it is restarted.

    Args:
        target: the sidecar as its clients see it.
        context: the objects that all parts of the soak share.
        folder: a new folder for the sidecar's configuration, its log and the file that controls its faults.
    """

    def __init__(self, target: SidecarTarget, context: SoakContext, folder: Path) -> None:
        self.target = target
        self.context = context
        self.folder = folder
        folder.mkdir()
        self.control = FaultControl(folder / "control", context.rng.getrandbits(32))
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.discovery_ports: list[int] = []
        self.discovery_index = 0  # the index of the discovery port that the configuration names
        self.configured_generation = 0  # the generation of the endpoint list in the configuration

    # --- configuration ---

    def write_config(self) -> None:
        """Write the configuration for a start or a reload, and replace the previous one atomically."""
        context = self.context
        self.configured_generation = context.discovery.generation
        document = {
            "name": self.target.name,
            "listen": f"127.0.0.1:{self.target.port}",
            "discovery": f"127.0.0.1:{self.discovery_ports[self.discovery_index]}",
            "seed": f"{context.rng.getrandbits(64):x}",
            "limits": {"sockets": context.rng.choice(context.plan.socket_limits), "memory_mb": 96},
            "known": context.discovery.endpoint_list(),
            "settings": context.plan.settings(),
        }
        draft = self.folder / "new.json"
        draft.write_text(json.dumps(document), encoding="utf-8")
        draft.replace(self.config_path)

    @property
    def config_path(self) -> Path:
        """The file that the process reads when it starts and when it reloads."""
        return self.folder / "config.json"

    def move_discovery(self, index: int) -> None:
        """Reload the configuration with the discovery address of this index."""
        previous, self.discovery_index = self.discovery_index, index
        self.write_config()
        self.send_signal(signal.SIGHUP)
        if previous != index:
            self.context.notifications.record_move(self.target.name, asyncio.get_running_loop().time())
            self.context.discovery.schedule_close_of_address(self.target.name, previous)

    # --- start ---

    async def start(self) -> None:
        """Start the process, and let clients connect once it is up.

        A process that is not up within READY_TIMEOUT_S is recorded as a violation.
        """
        loop = asyncio.get_running_loop()
        if not self.discovery_ports:
            self.discovery_ports = await self.context.discovery.listen(self.target.name)
        self.write_config()
        self.context.notifications.record_start(self.target.name, self.configured_generation, loop.time())
        self.starts += 1
        self.process = await self._spawn()
        started_s = loop.time()
        while not await self._is_up():
            if loop.time() - started_s > READY_TIMEOUT_S:
                self._record_lifecycle_violation(f"is not ready in time: {describe_process(self.process)}")
                self.target.enter(TargetState.FAILED)
                return
            await asyncio.sleep(READY_CHECK_INTERVAL_S)
        self.target.enter(TargetState.SERVING)

    async def _spawn(self) -> asyncio.subprocess.Process:
        environ = sidecar_environment(self.config_path) | self.control.environment(
            self.context.preload_library
        )
        with self._log_path.open("ab") as log:
            return await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.context.command, cwd=ROOT, env=environ, stderr=log
            )

    async def _is_up(self) -> bool:
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.target.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    # --- signals and exit ---

    def send_signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def shut_down(self) -> None:
        """Send SIGTERM, and SIGKILL if the process has not exited in time.

        New clients keep connecting for a random time after SIGTERM.
        """
        assert self.process is not None
        loop = asyncio.get_running_loop()
        kill_s = loop.time() + self.context.plan.kill_after_s
        self.target.enter(TargetState.SHUTTING_DOWN)
        self.send_signal(signal.SIGTERM)
        await asyncio.sleep(self.context.rng.uniform(*NEW_CLIENTS_RANGE_S))
        self.target.enter(TargetState.DOWN)
        try:
            async with asyncio.timeout_at(kill_s):
                status = await self.process.wait()
        except TimeoutError:
            self._record_lifecycle_violation("has not exited in time after SIGTERM")
            await self.kill()
            return
        self.context.shutdowns.record(kill_s - loop.time())
        if status != 0:
            self._record_lifecycle_violation(f"exited with status {status} after SIGTERM")

    async def kill(self) -> None:
        """Send SIGKILL; the requests that are lost with the process are no violations."""
        assert self.process is not None
        self.target.kill_times_s.append(asyncio.get_running_loop().time())
        self.target.enter(TargetState.DOWN)
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        # Recorded again: no process responds to what clients wrote before their connections ended, either.
        self.target.kill_times_s.append(asyncio.get_running_loop().time())

    # --- checks ---

    @property
    def _log_path(self) -> Path:
        return self.folder / "log"

    def _record_lifecycle_violation(self, detail: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self.context.oracle.record_violation(
            Guarantee.PROCESS_LIFECYCLE, f"{self.target.name} {detail}", now_s
        )

    def check_log(self) -> None:
        """Record a violation for each broken invariant and each traceback in the log."""
        oracle = self.context.oracle
        text = self._log_path.read_text(encoding="utf-8", errors="replace")
        for line in read_findings(text.splitlines()):
            possibly = line.finding is LogFinding.INVARIANT_POSSIBLY_BROKEN
            oracle.counts["invariants possibly broken"] += possibly
            if not possibly:
                oracle.record_violation(Guarantee.CLEAN_LOG, f"{self.target.name}: {line.text}", 0.0)


def describe_process(process: asyncio.subprocess.Process) -> str:
    """Return the kernel's view of a process: state, where it is blocked, open files, or how it exited."""
    if process.returncode is not None:
        return f"exited with status {process.returncode}"
    folder = Path(f"/proc/{process.pid}")
    try:
        fields = (folder / "stat").read_text(encoding="utf-8").rpartition(")")[2].split()
        blocked_in = (folder / "wchan").read_text(encoding="utf-8")
        system_call = (folder / "syscall").read_text(encoding="utf-8").strip()
        files = [os.readlink(path) for path in (folder / "fd").iterdir()]
    except OSError as error:
        return f"unknown ({error.strerror})"
    state = f"state {fields[STAT_STATE_FIELD]}, {int(fields[STAT_USER_TICKS_FIELD])} ticks of user time"
    return f"{state}, blocked in {blocked_in}, system call {system_call}, files {files}"
