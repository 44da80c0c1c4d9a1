"""A process of the emulator that takes JSON lines and gives one line back for each."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any, Self

import msgspec

ROOT = Path(__file__).resolve().parent.parent
LINE_LIMIT = 1 << 24  # bytes: a histogram, or the addresses of some thousand endpoints


class WorkerError(Exception):
    """A worker that told of a fault, or ended."""


class Worker:
    """Runs a module such as `emulator.endpoint`; ends with its input when the context is left."""

    def __init__(self, module: str) -> None:
        self.module = module

    async def __aenter__(self) -> Self:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.module,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
            limit=LINE_LIMIT,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), 5.0)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    async def ask(self, message: msgspec.Struct, timeout_s: float = 60.0) -> dict[str, Any]:
        """Send one message and return its answer. WorkerError: a fault. TimeoutError: none in time."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")
        line = await asyncio.wait_for(self.process.stdout.readline(), timeout_s)
        if not line:
            raise WorkerError(f"{self.module} has ended")
        answer: dict[str, Any] = msgspec.json.decode(line)
        if "fault" in answer:
            raise WorkerError(str(answer["fault"]))
        return answer
