"""Worker processes of the emulator: one JSON line in, one JSON line back."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import Any, Self

import msgspec

from emulator.errors import WorkerError
from testbed.environment import ROOT

LINE_LIMIT_BYTES = 1 << 24  # a histogram, or the addresses of some thousand endpoints
END_S = 5.0  # within which a worker ends once its input has, before it is killed
REPLY_S = 60.0


class Worker:
    """Runs a module such as `emulator.endpoints`; ends with its input when the context is left."""

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
            limit=LINE_LIMIT_BYTES,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await end_process(self.process, END_S)

    async def request(self, message: msgspec.Struct, timeout_s: float = REPLY_S) -> dict[str, Any]:
        """Send one message and return its reply.

        Raises:
            WorkerError: the worker reported an error, or ended.
            TimeoutError: no reply came within `timeout_s` seconds.
        """
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")
        line = await asyncio.wait_for(self.process.stdout.readline(), timeout_s)
        if not line:
            raise WorkerError(self.module, "has ended")
        reply: dict[str, Any] = msgspec.json.decode(line)
        if "error" in reply:
            raise WorkerError(self.module, str(reply["error"]))
        return reply


async def end_process(process: asyncio.subprocess.Process, timeout_s: float) -> None:
    """Close a process's input, and kill it where it has not ended within `timeout_s` seconds."""
    if process.stdin is not None:
        process.stdin.close()
    try:
        async with asyncio.timeout(timeout_s):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()


# --- within the worker ---


async def read_input() -> asyncio.StreamReader:
    """Return a reader of this process's standard input."""
    reader = asyncio.StreamReader(limit=LINE_LIMIT_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


def write_line(line: bytes) -> None:
    """Write one line to standard output at once."""
    sys.stdout.buffer.write(line + b"\n")
    sys.stdout.buffer.flush()


async def serve_requests(handle: Callable[[bytes], Awaitable[object]]) -> None:
    """Answer each line of standard input with one line, until the input ends; errors become replies."""
    reader = await read_input()
    while line := await reader.readline():
        try:
            reply = await handle(line)
        except (ValueError, KeyError, OSError, msgspec.MsgspecError) as error:
            reply = {"error": f"{type(error).__name__}: {error}"}
        write_line(msgspec.json.encode(reply))
