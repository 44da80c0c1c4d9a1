"""One sidecar as a process of its own: its configuration, its start, its signals and its end."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
from pathlib import Path
from typing import TYPE_CHECKING

from faults.clients import Target
from faults.oracle import Promise
from faults.preload import FaultControl

if TYPE_CHECKING:
    from faults.soak import Soak

ROOT = Path(__file__).parent.parent
READY_S = 10.0
GUARD_EVENTS = ("event=invariant_broken", "event=illegal_transition")
WAKEUP_FAILED = ("signal wakeup fd", "_read_from_self")  # by the interpreter, and by the loop
NEW_CLIENTS_S = (0.2, 0.4)  # after SIGTERM new ones keep coming for so long


class SidecarProcess:
    """One sidecar, restarted under its name and port."""

    def __init__(self, target: Target, soak: Soak, folder: Path) -> None:
        self.target = target
        self.soak = soak
        self.folder = folder
        folder.mkdir()
        self.control = FaultControl(folder / "control", soak.rng.getrandbits(32))
        self.process: asyncio.subprocess.Process | None = None
        self.busy = False  # being restarted
        self.starts = 0
        self.ports: list[int] = []  # of its discovery
        self.address = 0  # which of them it is told
        self.listed = 0  # the generation of the list that its configuration holds

    def write_config(self) -> None:
        """Write what it is told at its start, and again for a reload."""
        plan, discovery = self.soak.plan, self.soak.discovery
        self.listed = discovery.generation
        document = {
            "name": self.target.name,
            "listen": f"127.0.0.1:{self.target.port}",
            "discovery": f"127.0.0.1:{self.ports[self.address]}",
            "seed": f"{self.soak.rng.getrandbits(64):x}",
            "limits": {"sockets": self.soak.rng.choice(plan.sockets), "memory_mb": 96},
            "known": discovery.listing(),
            "settings": plan.settings(),
        }
        path = self.folder / "new.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        path.replace(self.folder / "config.json")

    async def start(self) -> None:
        """Start it, and send clients there once it is up."""
        loop = asyncio.get_running_loop()
        if not self.ports:
            self.ports = await self.soak.discovery.listen(self.target.name)
        self.write_config()
        self.soak.notifications.started(self.target.name, self.listed, loop.time())
        self.starts += 1
        environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        environ |= {
            "GW_CONFIG": str(self.folder / "config.json"),
            **self.control.environment(self.soak.library),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.soak.command, cwd=ROOT, env=environ, stderr=log
            )
        begun_s = loop.time()
        while not await self._up():
            if loop.time() - begun_s > READY_S:
                why = f"{self.target.name} is not ready in time: {state_of(self.process)}"
                self.soak.oracle.violate(Promise.ALIVE, why, loop.time())
                return
            await asyncio.sleep(0.05)
        self.target.open = True

    async def _up(self) -> bool:
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.target.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def move(self, address: int) -> None:
        """A reload that names one of the addresses of its discovery."""
        moves, self.address = address != self.address, address
        self.write_config()
        self.send(signal.SIGHUP)
        if moves:
            self.soak.notifications.moved(self.target.name, asyncio.get_running_loop().time())

    def send(self, number: int) -> None:
        """Send a signal, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """SIGTERM, then SIGKILL where it has not ended in time; new clients keep coming for a moment."""
        assert self.process is not None
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        self.send(signal.SIGTERM)
        await asyncio.sleep(self.soak.rng.uniform(*NEW_CLIENTS_S))
        self.target.open = False
        try:
            async with asyncio.timeout_at(begun_s + self.soak.plan.kill_after_s):
                status = await self.process.wait()
        except TimeoutError:
            self.soak.oracle.violate(Promise.ALIVE, f"{self.target.name} outlives its drain", loop.time())
            await self.kill()
            return
        self.soak.note_end(begun_s + self.soak.plan.kill_after_s - loop.time())
        if status != 0:
            self.soak.oracle.violate(Promise.ALIVE, f"{self.target.name} ended with {status}", loop.time())

    async def kill(self) -> None:
        """SIGKILL: whatever is open is lost, and that is no fault of its own."""
        assert self.process is not None
        self.target.killed_s.append(asyncio.get_running_loop().time())
        self.target.open = False
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        # What clients wrote before their connection told them of it has nobody to answer it either.
        self.target.killed_s.append(asyncio.get_running_loop().time())

    def check_log(self) -> None:
        """A guard that found an invariant broken, an illegal transition, or a traceback, is a violation."""
        log = (self.folder / "log").read_text(encoding="utf-8", errors="replace")
        before = ""
        for line in log.splitlines():
            # The interpreter's own word on a write that was made to fail: the signal is acted on anyway.
            of_wakeup, before = any(word in before for word in WAKEUP_FAILED), line
            self.soak.oracle.counts["possible breaches noted"] += "event=invariant_possibly_broken" in line
            if any(event in line for event in GUARD_EVENTS) or ("Traceback" in line and not of_wakeup):
                self.soak.oracle.violate(Promise.GUARDS, f"{self.target.name}: {line}", 0.0)


def state_of(process: asyncio.subprocess.Process) -> str:
    """What the kernel tells of a process: its state, where it waits, its descriptors, or how it ended."""
    if process.returncode is not None:
        return f"ended with {process.returncode}"
    folder = Path(f"/proc/{process.pid}")
    try:
        state = (folder / "stat").read_text(encoding="utf-8").rpartition(")")[2].split()
        waits = (folder / "wchan").read_text(encoding="utf-8")
        call = (folder / "syscall").read_text(encoding="utf-8").strip()
        files = [os.readlink(path) for path in (folder / "fd").iterdir()]
    except OSError as error:
        return f"unknown ({error.strerror})"
    return (
        f"state {state[0]}, {int(state[11])} ticks of user time, waits in {waits}, call {call}, files {files}"
    )


def free_port() -> int:
    """A port that nobody has, below those that outgoing connections get."""
    while True:
        port = random.randrange(10_000, 30_000)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
