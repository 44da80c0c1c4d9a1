"""Worker processes of the emulator. They respond to each JSON line on standard input with one JSON line."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import Any, Self

import msgspec

from emulator.errors import WorkerError
from testbed.environment import ROOT

LINE_LIMIT_BYTES = 1 << 24  # enough for a histogram, or for the addresses of some thousand endpoints
EXIT_TIMEOUT_S = 5.0  # a worker that has not ended by then, after the end of its input, is killed
RESPONSE_TIMEOUT_S = 60.0  # default time limit of a request to a worker


class Worker:
    """Runs a module such as `emulator.endpoints`. Leaving the context closes its input, which ends it."""

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
        await end_process(self.process, EXIT_TIMEOUT_S)

    async def request(self, message: msgspec.Struct, timeout_s: float = RESPONSE_TIMEOUT_S) -> dict[str, Any]:
        """Send one message, and return the response.

        Raises:
            WorkerError: the worker reported an error, or ended.
            TimeoutError: there was no response within `timeout_s` seconds.
        """
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")
        line = await asyncio.wait_for(self.process.stdout.readline(), timeout_s)
        if not line:
            raise WorkerError(self.module, "has ended")
        response: dict[str, Any] = msgspec.json.decode(line)
        if "error" in response:
            raise WorkerError(self.module, str(response["error"]))
        return response


async def end_process(process: asyncio.subprocess.Process, timeout_s: float) -> None:
    """Close a process's input, and kill the process if it has not ended within `timeout_s` seconds."""
    if process.stdin is not None:
        process.stdin.close()
    try:
        async with asyncio.timeout(timeout_s):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()


# --- functions that run in the worker process ---


async def read_input() -> asyncio.StreamReader:
    """Return a reader of this process's standard input."""
    reader = asyncio.StreamReader(limit=LINE_LIMIT_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


def write_line(line: bytes) -> None:
    """Write one line to standard output, and flush it."""
    sys.stdout.buffer.write(line + b"\n")
    sys.stdout.buffer.flush()


async def serve_requests(handle: Callable[[bytes], Awaitable[object]]) -> None:
    """Respond to each line of standard input with one line until the input ends. Errors are responses too."""
    reader = await read_input()
    while line := await reader.readline():
        try:
            response = await handle(line)
        except (ValueError, KeyError, OSError, msgspec.MsgspecError) as error:
            response = {"error": f"{type(error).__name__}: {error}"}
        write_line(msgspec.json.encode(response))
