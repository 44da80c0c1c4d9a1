"""Stand-ins of clients, endpoints and discovery, and one real sidecar; shared by the cases of this folder.

Everything listens on 127.0.0.1, on free ports. Times in the record are seconds since the script began.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
READY_TIMEOUT_S = 30.0
ZONE = "tallinn-ylemiste"


class CaseError(Exception):
    """The case could not run."""


def free_port() -> int:
    """Return a free loopback port below the range that outgoing connections use."""
    while True:
        port = random.randrange(10_000, 30_000)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


class Record:
    """The file `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
        self._file.flush()


class Message(NamedTuple):
    """An HTTP message whose body length is given by Content-Length."""

    first_line: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message; raises IncompleteReadError if the connection ends before."""
    head = await reader.readuntil(b"\r\n\r\n")
    first_line, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first_line, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


def encode(status: int, reason: str, body: bytes, extra: str = "") -> bytes:
    """Encode a response."""
    return f"HTTP/1.1 {status} {reason}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Listener:
    """A TCP server on a free port."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._writers.add(writer)
        try:
            await self._handler(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, asyncio.CancelledError):
            pass  # the peer has ended the connection, or the script ends
        finally:
            self._writers.discard(writer)
            writer.close()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            reset(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Discovery:
    """Discovery at one address: whole lists, and watches that wait for a change."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._rows: dict[str, tuple[int, dict[str, Any]]] = {}
        self.generation = 1
        self._changed = asyncio.Event()
        self.listener = Listener(self._serve)

    def put(self, endpoint: str, port: int, lifecycle: str = "ready") -> None:
        """Add or change an endpoint."""
        self.generation += 1
        row = {
            "instanceId": endpoint,
            "hostPort": f"127.0.0.1:{port}",
            "zone": ZONE,
            "machineType": "liides-uus",
            "cell": 1,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }
        self._rows[endpoint] = (self.generation, row)
        self._changed.set()
        self._changed = asyncio.Event()

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list."""
        rows = [row for _, row in self._rows.values() if row["lifecycle"] != "gone"]
        return {"generation": self.generation, "reset": True, "instances": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            target = (await read_message(reader)).first_line.split(" ")[1]
            query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
            if "after" in query:
                answer = await self._watch(int(query["after"]), int(query.get("wait_ms", "0")))
            else:
                answer = self.whole_list()
            writer.write(encode(200, "OK", json.dumps(answer).encode()))

    async def _watch(self, after: int, wait_ms: int) -> dict[str, Any]:
        until_s = time.monotonic() + wait_ms / 1000
        while self.generation <= after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), until_s - time.monotonic())
            if time.monotonic() >= until_s:
                break
        rows = [row for changed, row in self._rows.values() if changed > after]
        return {"generation": max(after, self.generation), "reset": False, "instances": rows}


def small_site(**allowed: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: the example of the wire's page, with these permissions."""
    return {
        "Allowed": {
            "ConnIdleUs": 5_000_000,
            "ConnectTimeoutUs": 150_000,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 8000,
            "MaxAttempts": 3,
            "MaxOpen": 20000,
            "MaxRetryAfterUs": 2_000_000,
            "MayCancel": True,
            "Multiplex": 1,
            "Peers": True,
            "Probing": True,
            "RetryAfter": True,
            "SecondCopies": False,
            **allowed,
        },
        "Balancers": 5,
        "Categories": [
            {
                "AimUs": 1_500_000,
                "Credit": 2.0,
                "DeadlineUs": 4_000_000,
                "DedupWindowUs": 5_000_000,
                "Effect": "idempotent",
                "Group": "all",
                "LateShare": 0.3,
                "Name": "laoseis",
                "Streaming": False,
            },
            {
                "AimUs": 1_500_000,
                "Credit": 2.0,
                "DeadlineUs": 4_000_000,
                "DedupWindowUs": 5_000_000,
                "Effect": "idempotent",
                "Group": "all",
                "LateShare": 0.3,
                "Name": "hind",
                "Streaming": False,
            },
            {
                "AimUs": 1_500_000,
                "Credit": 3.0,
                "DeadlineUs": 4_000_000,
                "DedupWindowUs": 6_000_000,
                "Effect": "deduplicated",
                "Group": "all",
                "LateShare": 0.2,
                "Name": "tellimus",
                "Streaming": False,
            },
        ],
        "Charges": {"Connection": 0.0, "CrossZone": 0.07, "Handshake": 0.02, "Waste": 0.02},
        "Clients": {"MarksRetry": True},
        "Discovery": "ask",
        "Family": "chain",
        "Goal": {"Whole": 0.45, "WorstClass": 0.35, "WorstTenant": 0.1, "WorstWindow": 0.1},
        "Kinds": ["liides-uus", "liides-vana"],
        "Layer": 0,
        "Localities": [ZONE],
        "MyZone": ZONE,
        "OverShareWorth": 0.1,
        "Parties": [
            {"Name": "kauplused", "QuotaPerS": 271.0, "Share": 0.81},
            {"Name": "e-pood", "QuotaPerS": 63.0, "Share": 0.19},
        ],
        "Rank": 0,
        "Report": {"Fields": ["pending", "served_ps", "svc_ms"], "How": "answers"},
        "Rules": {
            "AnswerSlackUs": 20000,
            "AskEveryUs": 10_000_000,
            "ColdFrom": 0.33,
            "ColdUs": 8_900_000,
            "DrainGraceUs": 1_500_000,
            "FallUs": 1_500_000,
            "OverloadFactor": 2.5,
        },
        "StepUs": 5000,
        "Tiers": ["poe-liides"],
        "Weights": "none",
        "WorthBy": "work",
    }


class Sidecar:
    """One real sidecar, started with the command `run` of the deploy file."""

    def __init__(self, folder: Path, record: Record, discovery: Discovery, settings: dict[str, Any],
                 sockets: int = 1024, memory_mb: int = 192) -> None:  # fmt: skip
        self._folder, self._record, self._discovery = folder, record, discovery
        self._settings, self._limits = settings, {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.log = folder / "sidecar.log"

    async def start(self) -> None:
        """Start the process and wait until `GET /up` answers 200."""
        config = self._folder / "config.json"
        address, discovery = f"127.0.0.1:{self.port}", f"127.0.0.1:{self._discovery.listener.port}"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": address,
                    "discovery": discovery,
                    "seed": f"{random.getrandbits(64):016x}",
                    "limits": self._limits,
                    "peers": [],
                    "known": self._discovery.whole_list(),
                    "settings": self._settings,
                }
            )
        )
        environ = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environ |= {
            "GW_NAME": "n0",
            "GW_LISTEN": address,
            "GW_DISCOVERY": discovery,
            "GW_CONFIG": str(config),
            "TMPDIR": str(self._folder),
        }
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environ,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        until_s = time.monotonic() + READY_TIMEOUT_S
        while not await self._is_up():
            if time.monotonic() > until_s or self.process.returncode is not None:
                raise CaseError(f"the sidecar is not ready: {self.log.read_text()[-500:]}")
            await asyncio.sleep(0.05)
        self._record.write("sidecar: ready")

    async def _is_up(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n")
            answer = await read_message(reader)
            writer.close()
            return " 200 " in answer.first_line
        return False

    def send_signal(self, number: int) -> None:
        """Send a signal to the process that `run` started."""
        assert self.process is not None
        if self.process.returncode is None:
            self._record.write(f"sidecar: {signal.Signals(number).name} is sent")
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process if it still runs."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()


def encode_request(
    request_class: str, request_id: str, deadline_ms: int, body: bytes = b"", key: str = ""
) -> bytes:
    """Encode a request in the form of the protocol page: GET, or POST with a body and mostly with a key."""
    method = "POST" if body else "GET"
    head = (
        f"{method} /{request_class} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {request_id}\r\n"
        f"Req-Owner: kauplused\r\nReq-Deadline-Ms: {deadline_ms}\r\n"
    )
    if key:
        head += f"Idempotency-Key: {key}\r\n"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def new_id() -> str:
    """Return a new request id of 16 hexadecimal digits."""
    return f"{random.getrandbits(64):016x}"


Case = Callable[[Path, Record, bool], Coroutine[Any, Any, bool]]


async def _run(case: Coroutine[Any, Any, bool], limit_s: float) -> bool:
    task = asyncio.ensure_future(case)
    for number in (signal.SIGTERM, signal.SIGINT):  # the case ends its sidecar before the script ends
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, limit_s)


def run_case(case_file: str, case: Case, limit_s: float = 110.0) -> None:
    """Run a case in a temporary folder, and exit with its status: HELD, BROKEN or NOT_RUN."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(case_file).resolve().parent)
    record.write(f"trouble: {'yes' if trouble else 'no'}")
    status = NOT_RUN
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        try:
            held = asyncio.run(_run(case(folder, record, trouble), limit_s))
            status = HELD if held else BROKEN
        except (Exception, asyncio.CancelledError) as error:  # an error of the script breaks no rule
            record.write(f"could not run: {type(error).__name__}: {error}")
    record.write(
        {HELD: "result: the rule held", BROKEN: "result: the rule was broken"}.get(status, "result: not run")
    )
    sys.exit(status)
