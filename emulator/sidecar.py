"""A real sidecar as a process of its own, and what the kernel says it spends."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple, Self

from emulator.worker import ROOT

VARIABLE = "EMULATOR_BREAKDOWN"  # names the file of `emulator.breakdown`
READY_S = 10.0  # a sidecar that doesn't answer `/up` by then has failed
POLL_S = 0.02
TICKS_PER_S = os.sysconf("SC_CLK_TCK")

# One class that is safe to repeat: the plainest call. A copy is one of 36 callers, as the services of the
# target size are.
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
    # With a quota that no load here reaches: a caller without one is refused once its latencies vary.
    "Parties": [{"Name": "acme", "Share": 1.0, "QuotaPerS": 360_000.0}],
    "Discovery": "push",
    "Balancers": 36,
    "MyZone": "z0",
    "Tiers": ["one"],
}


class SidecarError(Exception):
    """A sidecar that didn't come up, with the end of its log."""


class Usage(NamedTuple):
    """What a process has spent so far, and holds now; the kernel counts processor time in hundredths."""

    user_s: float
    system_s: float
    rss_bytes: int
    pss_bytes: int

    @property
    def cpu_s(self) -> float:
        return self.user_s + self.system_s


def _kib(text: str, name: str) -> int:
    line = next(line for line in text.splitlines() if line.startswith(name + ":"))
    return int(line.split()[1]) * 1024


def usage(pid: int) -> Usage:
    """Read `/proc`: seconds and bytes. OSError: the process has ended."""
    folder = Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    memory = (folder / "smaps_rollup").read_text()
    return Usage(
        int(fields[11]) / TICKS_PER_S,
        int(fields[12]) / TICKS_PER_S,
        _kib(memory, "Rss"),
        _kib(memory, "Pss"),
    )


def runtime_s(pid: int) -> float:
    """The processor time so far in seconds, from the scheduler's own clock in nanoseconds."""
    return int((Path("/proc") / str(pid) / "schedstat").read_text().split()[0]) / 1e9


def entry(name: str, address: str, zone: str = "z0", lifecycle: str = "ready") -> dict[str, Any]:
    """One endpoint in discovery's form."""
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": zone,
        "machineType": "m",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


def listing(generation: int, reset: bool, rows: list[dict[str, Any]]) -> dict[str, Any]:
    return {"generation": generation, "reset": reset, "instances": rows}


def free_port() -> int:
    """A loopback port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as found:
        port: int = found.getsockname()[1]
        return port


async def is_up(port: int) -> bool:
    """Whether `GET /up` at this loopback port is answered 200."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    try:
        writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        head = await reader.read(64)
        return head.startswith(b"HTTP/1.1 200")
    except OSError:
        return False
    finally:
        writer.close()


class Sidecar:
    """Starts a sidecar on these endpoints (name to address), and kills it when the context is left."""

    def __init__(
        self,
        endpoints: dict[str, str],
        discovery: str = "127.0.0.1:1",
        module: str = "corkdoor.sidecar",
        **settings: Any,
    ) -> None:
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.module = module
        rows = [entry(name, address) for name, address in endpoints.items()]
        self.document = {
            "name": "n0",
            "listen": self.address,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
            "known": listing(1, True, rows),
            "settings": {**SETTINGS, **settings},
        }

    async def __aenter__(self) -> Self:
        self.folder = tempfile.TemporaryDirectory()
        folder = Path(self.folder.name)
        (folder / "config.json").write_text(json.dumps(self.document), encoding="utf-8")
        self.log = folder / "log"
        self.figures = folder / "figures.json"
        environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        with self.log.open("wb") as sink:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-m",
                self.module,
                env={**environ, "GW_CONFIG": str(folder / "config.json"), VARIABLE: str(self.figures)},
                stdin=asyncio.subprocess.DEVNULL,
                stderr=sink,
                cwd=ROOT,
            )
        self.pid = self.process.pid
        try:
            await asyncio.wait_for(self._ready(), READY_S)
        except (TimeoutError, SidecarError):
            tail = self.log.read_text(errors="replace")[-500:]
            await self.__aexit__()
            raise SidecarError(f"it isn't up: {tail}") from None
        return self

    async def _ready(self) -> None:
        while not await is_up(self.port):
            if self.process.returncode is not None:
                raise SidecarError("it ended")
            await asyncio.sleep(POLL_S)

    async def __aexit__(self, *_: object) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.folder.cleanup()

    def usage(self) -> Usage:
        return usage(self.pid)

    def runtime_s(self) -> float:
        return runtime_s(self.pid)

    async def breakdown(self) -> dict[str, Any]:
        """The figures of `emulator.breakdown`, where that module runs. TimeoutError: none came."""
        self.figures.unlink(missing_ok=True)
        self.process.send_signal(signal.SIGUSR1)
        async with asyncio.timeout(READY_S):
            while not self.figures.exists():
                await asyncio.sleep(POLL_S)
        found: dict[str, Any] = json.loads(self.figures.read_text())
        return found
