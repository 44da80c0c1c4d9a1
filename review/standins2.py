"""Stand-ins for the cases of the second review: sidecars, endpoints, discovery and clients on loopback.

They follow the protocol page. Where a case needs a disruption, it says so at the call; without one, all of
them behave soundly.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
FIRST_PORT, END_PORT = 10_000, 30_000  # below the ports of outgoing connections
READY_TIMEOUT_S = 30.0
READY_CHECK_S = 0.05
OK = 200
LINGER_RESET = struct.pack("ii", 1, 0)
HEAD_END = b"\r\n\r\n"
MAX_WATCH_S = 60.0
EFFECTS = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}
PUSH = "push"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
MAX_RUN_S = 115.0


def trouble() -> bool:
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file in which a case notes what was sent, answered and run, with seconds since its start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def seconds(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._start_s

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.seconds():9.4f} {text}\n")
        self._file.flush()

    def close(self, status: int, text: str) -> int:
        """Write the result as the last line, and return its exit status."""
        self.note(f"result {('held', 'broken', 'could not run')[status]}: {text}")
        self._file.close()
        print(f"{('held', 'broken', 'could not run')[status]}: {text}")
        return status


def free_port() -> int:
    """Return a loopback port that nobody uses."""
    while True:
        port = random.randrange(FIRST_PORT, END_PORT)
        with contextlib.suppress(OSError), socket.create_server((LOOPBACK, port)):
            return port


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    with contextlib.suppress(OSError, AttributeError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


async def _run_guarded(run: Callable[[], Awaitable[int]]) -> int:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(MAX_RUN_S):
        return await run()


def main(run: Callable[[], Awaitable[int]]) -> int:
    """Run a case, and return its exit status; one that is ended or fails by itself could not run."""
    try:
        return asyncio.run(_run_guarded(run))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return NOT_RUN


# --- settings ---


def site_settings(site: str, *, zone: int = 0, rank: int = 0, balancers: int | None = None) -> dict[str, Any]:
    """Return the settings of a sidecar in the first tier of a site of `deploy/sites`."""
    document = tomllib.loads((ROOT / "deploy" / "sites" / f"{site}.toml").read_text(encoding="utf-8"))
    tier, allow, rules = document["tier"][0], document["allow"], document["rules"]
    kind = tier["kind"][0]
    zones = document["net"]["zones"]
    return {
        "Allowed": {
            "ConnIdleUs": int(tier["conn"]["idle_s"] * 1_000_000),
            "ConnectTimeoutUs": tier["conn"]["connect_timeout_ms"] * 1000,
            "CpuUsPerS": allow["cpu_ms_per_s"] * 1000,
            "MaxAttempts": allow["max_attempts"],
            "MaxOpen": 20_000,
            "MaxRetryAfterUs": document["clients"]["max_retry_after_ms"] * 1000,
            "MayCancel": allow["cancel"],
            "Multiplex": tier["conn"]["streams"],
            "Peers": allow["peers"],
            "Probing": allow["probes"],
            "RetryAfter": allow["retry_after"],
            "SecondCopies": allow["second_copies"],
        },
        "Balancers": balancers or document["scale"]["balancers"][0],
        "Categories": [_category(row) for row in document["class"]],
        "Charges": {"CrossZone": document["prices"]["cross_zone"]},
        "Discovery": document["discovery"]["mode"],
        "Family": document["family"],
        "Goal": {"Whole": 0.45, "WorstClass": 0.35, "WorstTenant": 0.1, "WorstWindow": 0.1},
        "Kinds": [each["name"] for each in tier["kind"]],
        "Layer": 0,
        "Localities": zones,
        "MyZone": zones[zone],
        "OverShareWorth": document["load"]["over_share_worth"],
        "Parties": [
            {"Name": row["name"], "QuotaPerS": 400.0 * row["share"], "Share": row["share"]}
            for row in document["tenant"]
        ],
        "Rank": rank,
        "Report": {"Fields": [], "How": "none"},
        "Rules": {
            "AnswerSlackUs": 20_000,
            "AskEveryUs": 10_000_000,
            "ColdFrom": kind["cold_from"][0],
            "ColdUs": int(kind["cold_s"][1] * 1_000_000),
            "DrainGraceUs": rules["drain_grace_ms"] * 1000,
            "FallUs": rules["fall_ms"] * 1000,
            "OverloadFactor": rules["fall_multiple"],
        },
        "StepUs": 5000,
        "Tiers": [each["name"] for each in document["tier"]],
        "Weights": tier["weights"],
        "WorthBy": document["load"]["worth_by"],
    }


def _category(row: dict[str, Any]) -> dict[str, Any]:
    return {
        "AimUs": row["aim_ms"] * 1000,
        "Credit": float(row["worth"]),
        "DeadlineUs": row["deadline_ms"] * 1000,
        "DedupWindowUs": row.get("window_ms", 0) * 1000,
        "Effect": EFFECTS[row["effect"]],
        "Group": row.get("group", "all"),
        "LateShare": row["late_worth"],
        "Name": row["name"],
        "Streaming": False,
    }


# --- HTTP ---


@dataclass
class Message:
    """A complete HTTP message."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body length is stated, or that has no body.

    Raises:
        asyncio.IncompleteReadError: the connection ended before the message was complete.
        OSError: the connection failed.
    """
    head = await reader.readuntil(HEAD_END)
    first_line, *lines = head[: -len(HEAD_END)].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return Message(first_line, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


def encode_response(status: int, body: bytes, *headers: str) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + HEAD_END + body


# --- servers ---


class Server:
    """A server on loopback; `handle` serves one connection."""

    def __init__(
        self, handle: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
    ) -> None:
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._handle = handle
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port or free_port())
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with contextlib.suppress(
                asyncio.IncompleteReadError, OSError, RuntimeError, asyncio.CancelledError
            ):
                await self._handle(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_connections(self) -> None:
        """Reset the open connections."""
        for writer in list(self.writers):
            reset(writer)

    def stop(self) -> None:
        """Refuse new connections, and reset the open ones."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()


@dataclass
class Run:
    """An attempt whose last byte has come to an endpoint."""

    request_id: str
    endpoint: str
    at_s: float
    began: bool  # whether the endpoint began the work, that is, did not decline it


@dataclass
class Endpoint:
    """A sound endpoint; `behave`, if set, may take over the response to an attempt.

    Attributes:
        name: its instance id.
        service_s: the shortest and the longest time that a request takes.
        behave: called with each attempt; returns whether it has responded.
    """

    name: str
    record: Record
    runs: list[Run]
    service_s: tuple[float, float] = (0.03, 0.09)
    behave: Callable[[Endpoint, Message, asyncio.StreamWriter], Awaitable[bool]] | None = None
    server: Server = field(init=False)

    def __post_init__(self) -> None:
        self.server = Server(self._serve)

    @staticmethod
    def body(request_id: str) -> bytes:
        """Return the body of the answer to a request: no other request has this one."""
        return f"answer to {request_id}".encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            request_id = message.headers.get("req-id", "")
            self.runs.append(Run(request_id, self.name, self.record.seconds(), True))
            self.record.note(f"run {request_id} at {self.name}")
            if self.behave is not None and await self.behave(self, message, writer):
                continue
            await asyncio.sleep(random.uniform(*self.service_s))
            writer.write(encode_response(OK, self.body(request_id)))


class Discovery:
    """Discovery with one list, for one or more sidecars; each change ends the watches with the change."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[str, dict[str, Any]] = {}
        self.versions: dict[str, int] = {}
        self.generation = 1
        self.down = False
        self.refusal: Callable[[asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.server = Server(self._serve)
        self._changed = asyncio.Event()

    def put(
        self, name: str, port: int, *, zone: str, kind: str, cell: int = 0, lifecycle: str = "ready"
    ) -> None:
        """Add or change an entry."""
        self.generation += 1
        self.versions[name] = self.generation
        self.rows[name] = {
            "instanceId": name,
            "hostPort": f"{LOOPBACK}:{port}",
            "zone": zone,
            "machineType": kind,
            "cell": cell,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }
        self._changed.set()
        self._changed = asyncio.Event()

    def change(self, name: str, lifecycle: str) -> None:
        """Change the lifecycle of an entry."""
        self.generation += 1
        self.versions[name] = self.generation
        self.rows[name] = {**self.rows[name], "lifecycle": lifecycle}
        self.record.note(f"list {self.generation}: {name} is {lifecycle}")
        self._changed.set()
        self._changed = asyncio.Event()

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list."""
        rows = [row for row in self.rows.values() if row["lifecycle"] != "gone"]
        return {"generation": self.generation, "reset": True, "instances": rows}

    def _answer(self, after: int | None) -> bytes:
        if after is None:
            return json.dumps(self.whole_list()).encode()
        rows = [row for name, row in self.rows.items() if self.versions[name] > after]
        return json.dumps({"generation": self.generation, "reset": False, "instances": rows}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            query = parse_qs(urlsplit(message.first_line.split(" ")[1]).query)
            after = int(query["after"][-1]) if "after" in query else None
            wait_s = min(MAX_WATCH_S, int(query.get("wait_ms", ["0"])[-1]) / 1000)
            if self.down and self.refusal is not None:
                if await self.refusal(writer):
                    continue
                return
            if after is not None and after >= self.generation:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), wait_s)
            writer.write(encode_response(OK, self._answer(after)))


async def start_endpoints(
    record: Record,
    runs: list[Run],
    settings: dict[str, Any],
    per_zone: int,
    behave: Callable[[Endpoint, Message, asyncio.StreamWriter], Awaitable[bool]] | None = None,
) -> tuple[Discovery, list[Endpoint]]:
    """Start discovery, and endpoints in all zones of the settings; return them, zone by zone."""
    discovery = Discovery(record)
    endpoints: list[Endpoint] = []
    for zone in settings["Localities"]:
        for _ in range(per_zone):
            endpoint = Endpoint(f"s-{len(endpoints):02d}", record, runs, behave=behave)
            await endpoint.server.start()
            discovery.put(endpoint.name, endpoint.server.port, zone=zone, kind=settings["Kinds"][0])
            endpoints.append(endpoint)
    await discovery.server.start()
    return discovery, endpoints


# --- sidecars ---


class Sidecar:
    """A sidecar, started with the command of the deploy file; its files are in a temporary folder."""

    def __init__(self, name: str, discovery_port: int, settings: dict[str, Any], record: Record) -> None:
        self.name = name
        self.port = free_port()
        self.discovery_port = discovery_port
        self.settings = settings
        self.record = record
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.process: subprocess.Popen[bytes] | None = None
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.log_path = self._folder / "log"

    def write_config(self, known: dict[str, Any]) -> None:
        """Replace the configuration."""
        document = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{self.discovery_port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": self.limits,
            "known": known,
            "settings": self.settings,
        }
        draft = self._folder / "new.json"
        draft.write_text(json.dumps(document), encoding="utf-8")
        draft.replace(self._folder / "config.json")

    def start(self, known: dict[str, Any]) -> None:
        """Start the process with this list as the one that it had last."""
        self.write_config(known)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        temporary = self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environ = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environ |= {
            "GW_NAME": self.name,
            "GW_LISTEN": f"{LOOPBACK}:{self.port}",
            "GW_DISCOVERY": f"{LOOPBACK}:{self.discovery_port}",
            "GW_CONFIG": str(self._folder / "config.json"),
            "TMPDIR": str(temporary),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self.record.note(f"{self.name} started")

    async def wait_until_ready(self) -> bool:
        """Return whether `/up` answers 200 in time."""
        give_up_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_s and self.exit_status() is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                    writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                    status = (await read_message(reader)).status
                    writer.close()
                    if status == OK:
                        self.record.note(f"{self.name} ready")
                        return True
            await asyncio.sleep(READY_CHECK_S)
        return False

    def exit_status(self) -> int | None:
        """Return how the process ended; None: it runs."""
        return self.process.poll() if self.process is not None else None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.process is not None and self.process.poll() is None:
            self.record.note(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    def stop(self) -> None:
        """End the process."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()

    def end(self) -> None:
        """End the process for good, and remove its files."""
        self.stop()
        if "KEEP" not in os.environ:
            shutil.rmtree(self._folder, ignore_errors=True)


async def start_all(sidecars: Iterable[Sidecar], known: dict[str, Any]) -> bool:
    """Start sidecars; return whether all of them are ready in time."""
    started = list(sidecars)
    for sidecar in started:
        sidecar.start(known)
    return all(await asyncio.gather(*(sidecar.wait_until_ready() for sidecar in started)))


# --- clients ---


@dataclass
class Sent:
    """A request, and what became of it.

    Attributes:
        request_id: its id.
        sent_s: when its last byte was written.
        deadline_s: how long its client waits.
        status: the status of its answer; None: no whole answer came.
        body: the body of its answer.
        ended_s: when the answer came, or the connection ended.
        how: what ended it, if no whole answer came.
    """

    request_id: str
    sent_s: float
    deadline_s: float
    status: int | None = None
    body: bytes = b""
    ended_s: float | None = None
    how: str = ""


class Clients:
    """Clients of one sidecar: they keep connections, and open more when all are busy.

    Args:
        sidecar: the sidecar.
        record: the record of the case.
    """

    def __init__(self, sidecar: Sidecar, record: Record, tenant: str) -> None:
        self.sidecar = sidecar
        self.record = record
        self.tenant = tenant
        self.sent: list[Sent] = []
        self._resting: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    def encode(self, request_id: str, category: dict[str, Any], deadline_s: float, body: bytes) -> bytes:
        """Return the bytes of a request."""
        safe = category["Effect"] == EFFECTS["safe"]
        lines = [
            f"{'GET' if safe else 'POST'} /{category['Name']} HTTP/1.1",
            "Host: service.internal",
            f"Req-Id: {request_id}",
            f"Req-Owner: {self.tenant}",
            f"Req-Deadline-Ms: {int(deadline_s * 1000)}",
        ]
        if category["Effect"] == EFFECTS["keyed"]:
            lines.append(f"Idempotency-Key: {random.getrandbits(128):032x}")
        if not safe:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + HEAD_END + (b"" if safe else body)

    async def _connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self._resting:
            reader, writer = self._resting.pop()
            if not (reader.at_eof() or writer.is_closing()):
                return reader, writer
            writer.close()
        return await asyncio.open_connection(LOOPBACK, self.sidecar.port)

    async def request(self, category: dict[str, Any], deadline_s: float, body: bytes = b"") -> Sent:
        """Send one request, and wait for its answer for as long as its deadline and half a second more."""
        request_id = f"{random.getrandbits(64):016x}"
        sent = Sent(request_id, self.record.seconds(), deadline_s)
        try:
            reader, writer = await self._connection()
        except OSError:
            sent.how = "refused"
            return sent
        self.sent.append(sent)
        sent.sent_s = self.record.seconds()
        self.record.note(f"sent {request_id} {category['Name']} to {self.sidecar.name}")
        try:
            writer.write(self.encode(request_id, category, deadline_s, body))
            async with asyncio.timeout(deadline_s + 0.6):
                message = await read_message(reader)
        except TimeoutError:
            sent.how = "no answer"
            writer.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            sent.how = f"connection ended: {type(error).__name__}"
            writer.close()
        else:
            sent.status, sent.body = message.status, message.body
            if message.headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self._resting.append((reader, writer))
        sent.ended_s = self.record.seconds()
        answer = f"{sent.status} {sent.body.decode('latin-1')!r}" if sent.status is not None else sent.how
        self.record.note(f"answered {request_id}: {answer}")
        return sent

    def close(self) -> None:
        """Close the resting connections."""
        for _, writer in self._resting:
            writer.close()


async def send_steadily(
    clients: Clients, categories: list[dict[str, Any]], per_s: float, seconds: float, deadline_s: float
) -> None:
    """Send requests at random times, `per_s` in the mean, and wait for the end of all of them."""
    tasks = []
    until_s = clients.record.seconds() + seconds
    while clients.record.seconds() < until_s:
        tasks.append(asyncio.ensure_future(clients.request(random.choice(categories), deadline_s)))
        await asyncio.sleep(random.expovariate(per_s))
    await asyncio.gather(*tasks)
