"""A real sidecar in a process of its own, and its use of processor time and memory."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any, Self

from emulator.errors import SidecarStartError
from emulator.process_usage import ProcessUsage, read_precise_cpu_s, read_usage
from testbed.discovery_wire import endpoint_list, endpoint_row
from testbed.environment import ROOT, sidecar_environment
from testbed.ports import free_port

BREAKDOWN_VARIABLE = "EMULATOR_BREAKDOWN"  # names the file that `emulator.breakdown` writes
READY_TIMEOUT_S = 10.0  # a sidecar that does not respond 200 to `/up` by then has failed to start
CHECK_INTERVAL_S = 0.02
LOG_TAIL_CHARACTERS = 500
UNREACHABLE_DISCOVERY = "127.0.0.1:1"  # nothing listens at this address
UP_RESPONSE_BYTES = 64  # enough for the status line of the response

# One idempotent request class, the simplest case. The sidecar is one of 36, as at the target size.
SETTINGS: dict[str, Any] = {
    "Categories": [
        {
            "Name": "look",
            "AimUs": 1_000_000,
            "DeadlineUs": 30_000_000,
            "Effect": "idempotent",
            "LateShare": 0.5,
        }
    ],
    "Allowed": {"MaxAttempts": 3, "MayCancel": True, "ConnIdleUs": 60_000_000},
    # No load here reaches this quota. A tenant without a quota is rejected as soon as its latencies vary.
    "Parties": [{"Name": "acme", "Share": 1.0, "QuotaPerS": 360_000.0}],
    "Discovery": "push",
    "Balancers": 36,
    "MyZone": "z0",
    "Tiers": ["one"],
}


async def is_up(port: int) -> bool:
    """Return whether the response to `GET /up` at a loopback port has status 200."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    try:
        writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        head = await reader.read(UP_RESPONSE_BYTES)
        return head.startswith(b"HTTP/1.1 200")
    except OSError:
        return False
    finally:
        writer.close()


class Sidecar:
    """Starts a sidecar when its context is entered, and kills it when its context is left.

    Args:
        endpoints: the addresses of its endpoints by name.
        discovery: the address of discovery.
        module: the module to run; by default the sidecar's own.
        settings: the settings that differ from SETTINGS, with the keys of the protocol.
    """

    def __init__(
        self,
        endpoints: dict[str, str],
        discovery: str = UNREACHABLE_DISCOVERY,
        module: str = "corkdoor.sidecar",
        **settings: Any,
    ) -> None:
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.module = module
        rows = [endpoint_row(name, address) for name, address in endpoints.items()]
        self.document = {
            "name": "n0",
            "listen": self.address,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
            "known": endpoint_list(1, True, rows),
            "settings": {**SETTINGS, **settings},
        }

    async def __aenter__(self) -> Self:
        self._temporary = tempfile.TemporaryDirectory()
        folder = Path(self._temporary.name)
        self._breakdown_path = folder / "figures.json"
        log_path = folder / "log"
        await self._spawn(folder / "config.json", log_path)
        self.pid = self.process.pid
        try:
            await asyncio.wait_for(self._wait_until_ready(), READY_TIMEOUT_S)
        except (TimeoutError, ProcessLookupError):
            log_tail = log_path.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]
            await self.__aexit__()
            raise SidecarStartError(log_tail) from None
        return self

    async def _spawn(self, config_path: Path, log_path: Path) -> None:
        config_path.write_text(json.dumps(self.document), encoding="utf-8")
        environment = sidecar_environment(config_path)
        environment[BREAKDOWN_VARIABLE] = str(self._breakdown_path)
        with log_path.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-m",
                self.module,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stderr=log,
                cwd=ROOT,
            )

    async def _wait_until_ready(self) -> None:
        while not await is_up(self.port):
            if self.process.returncode is not None:
                raise ProcessLookupError(self.pid)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def __aexit__(self, *_: object) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self._temporary.cleanup()

    def usage(self) -> ProcessUsage:
        """Return the processor time and the memory that the sidecar's process uses."""
        return read_usage(self.pid)

    def precise_cpu_s(self) -> float:
        """Return the process's processor time in seconds, from the scheduler's clock in nanoseconds."""
        return read_precise_cpu_s(self.pid)

    async def breakdown(self) -> dict[str, Any]:
        """Return the measurements of `emulator.breakdown`, if the sidecar runs that module.

        Raises:
            TimeoutError: it wrote no measurements in time.
        """
        self._breakdown_path.unlink(missing_ok=True)
        self.process.send_signal(signal.SIGUSR1)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not self._breakdown_path.exists():
                await asyncio.sleep(CHECK_INTERVAL_S)
        measured: dict[str, Any] = json.loads(self._breakdown_path.read_text(encoding="utf-8"))
        return measured
