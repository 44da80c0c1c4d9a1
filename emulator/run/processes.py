"""The processes of a run: processes of simulated sidecars, and real sidecars."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from emulator.errors import ProcessEndedError, ProcessTimeoutError
from emulator.process_usage import read_cpu_s, read_resident_mb
from emulator.simulated_sidecars.messages import (
    Command,
    KillCommand,
    Sample,
    SampleCommand,
    StartCommand,
    WorkerConfig,
)
from emulator.worker import end_process
from testbed.environment import sidecar_environment

READY_TIMEOUT_S = 30.0  # a process must become ready within this time
RESPONSE_TIMEOUT_S = 20.0  # a process must respond to a sample command within this time
END_TIMEOUT_S = 5.0  # a process is killed unless it ends within this time after its input is closed
LINE_LIMIT_BYTES = 1 << 26
SIMULATED = "a process of simulated sidecars"
REAL = "a real sidecar"


class SimulatedSidecarProcess:
    """A process of simulated sidecars, as the scenario runner sees it.

    Args:
        process: the running process.
        numbers: the numbers of its sidecars among all sidecars.
    """

    def __init__(self, process: asyncio.subprocess.Process, numbers: range) -> None:
        self.process = process
        self.numbers = numbers

    @classmethod
    async def start(cls, config: WorkerConfig, folder: Path) -> SimulatedSidecarProcess:
        """Start a process and wait until it is ready.

        Raises:
            RunError: it ended, or did not become ready in time.
        """
        path = folder / f"worker-{config.process}.json"
        path.write_bytes(msgspec.json.encode(config))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "emulator.simulated_sidecars",
            str(path),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_LIMIT_BYTES,
        )
        started = cls(process, range(config.first, config.first + len(config.sidecars)))
        await started._read_line(READY_TIMEOUT_S)
        return started

    async def _read_line(self, timeout_s: float) -> bytes:
        assert self.process.stdout is not None
        try:
            async with asyncio.timeout(timeout_s):
                line = await self.process.stdout.readline()
        except TimeoutError:
            raise ProcessTimeoutError(SIMULATED, timeout_s) from None
        if not line:
            raise ProcessEndedError(SIMULATED)
        return line

    def send(self, command: Command) -> None:
        """Send a command; one that names sidecars is reduced to those of this process.

        Raises:
            RunError: the process has ended.
        """
        assert self.process.stdin is not None
        if isinstance(command, StartCommand | KillCommand):
            own = [number for number in command.sidecars if number in self.numbers]
            if command.sidecars and not own:
                return
            command = msgspec.structs.replace(command, sidecars=own)
        if self.process.stdin.is_closing():
            raise ProcessEndedError(SIMULATED)
        self.process.stdin.write(msgspec.json.encode(command) + b"\n")

    async def sample(self) -> Sample:
        """Request a sample, and return what its sidecars did since the last one.

        Raises:
            RunError: it ended, or did not respond in time.
        """
        self.send(SampleCommand())
        return msgspec.json.decode(await self._read_line(RESPONSE_TIMEOUT_S), type=Sample)

    async def stop(self) -> None:
        """Stop the process."""
        await end_process(self.process, END_TIMEOUT_S)


class RealUsage(NamedTuple):
    """The processor time that a real sidecar has used so far, and its resident memory."""

    cpu_s: float
    resident_mb: float


class RealSidecar:
    """A real sidecar as a separate process, observed only through the kernel's statistics."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self.process = process

    @classmethod
    def start(cls, document: dict[str, Any], folder: Path) -> RealSidecar:
        """Start a sidecar with this configuration."""
        path = folder / f"{document['name']}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        command = [sys.executable, "-B", "-m", "corkdoor.sidecar"]
        with (folder / f"{document['name']}.log").open("wb") as log:
            return cls(subprocess.Popen(command, env=sidecar_environment(path), stderr=log))

    def usage(self) -> RealUsage:
        """Return its processor time and its resident memory.

        Raises:
            RunError: it has ended.
        """
        if self.process.poll() is not None:
            raise ProcessEndedError(REAL, self.process.returncode)
        return RealUsage(read_cpu_s(self.process.pid), read_resident_mb(self.process.pid))

    def kill(self) -> None:
        """Kill the process at once: it has no clients to drain."""
        self.process.kill()
        self.process.wait()
