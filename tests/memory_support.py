"""A sidecar's process with a memory limit, and what clients, endpoints and discovery send to exceed it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import subprocess
from collections.abc import AsyncIterator, Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from tests.fake_server import FakeServer, endpoint_list, endpoint_row
from tests.sidecar_client import REQUEST_HEAD, Client
from tests.sidecar_process import SidecarProcess, running_sidecar

SAMPLE_INTERVAL_S = 0.01
ENDPOINTS = 40  # so many that the concurrency limits admit all requests
PAUSE_S = 0.3
READ = "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 4000\r\n"
SHORT_FIELDS = "aa:xy\r\n" * 440


class Limits(NamedTuple):
    """The limits of a process, and how many peers the descriptors allow."""

    memory_mb: int
    descriptors: int
    peers: int


LIMITS = {
    "least": Limits(32, 256, 120),  # the least that the platform gives
    "most descriptors": Limits(32, 1024, 500),
    "most peers": Limits(80, 1024, 320),
}


def head_of_short_fields(end: str = "\r\n") -> bytes:
    return f"GET /look HTTP/1.1\r\n{SHORT_FIELDS}{end}".encode()


def read(number: int, fields: str = "") -> bytes:
    return f"{READ.format(id=number)}{fields}\r\n".encode()


def order(number: int, fields: str = "") -> bytes:
    """Return the head of an order."""
    return REQUEST_HEAD.replace("Req-Id: 1", f"Req-Id: {number}").encode() + fields.encode()


# What each peer sends, by the peer's number.
INPUTS: dict[str, Callable[[int], bytes]] = {
    "improper requests behind a read": lambda number: read(number) + 6 * head_of_short_fields(),
    "improper requests": lambda _: 6 * head_of_short_fields(),
    "proper reads": lambda number: b"".join(read(8 * number + i, SHORT_FIELDS) for i in range(6)),
    "unfinished heads": lambda _: head_of_short_fields(end=""),
    "unfinished line": lambda _: b"GET /look HTTP/1.1\r\nA: " + b"a" * 15_000,
    "unfinished body": lambda number: order(number, "Content-Length: 65536\r\n\r\n") + b"x" * 65_000,
    "unfinished trailer": lambda number: (
        order(number, "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: ") + b"a" * 400_000
    ),
    "bodies": lambda number: b"".join(
        order(8 * number + i, "Content-Length: 60000\r\n\r\n") + b"x" * 60_000 for i in range(4)
    ),
    "many bodies behind a read": lambda number: (
        read(40 * number)
        + b"".join(
            order(40 * number + i, "Content-Length: 60000\r\n\r\n") + b"x" * 60_000 for i in range(1, 40)
        )
    ),
    "many proper reads": lambda number: b"".join(read(200 * number + i, SHORT_FIELDS) for i in range(200)),
    "tiny requests": lambda number: read(number) + b"GET / HTTP/1.1\r\n\r\n" * 800,
}


# What an endpoint answers.
LONG_BODY = b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n"
CHUNKED_BODY = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
ANSWERS = {
    "unfinished heads": b"HTTP/1.1 200 OK\r\n" + b"aa:xy\r\n" * 2300,
    "unfinished bodies": LONG_BODY + b"aa:xy\r\n" * 1100 + b"\r\n" + b"x" * 65_000,
    "unfinished trailers": CHUNKED_BODY + b"A: " + b"a" * 1_000_000,
    "long answers": LONG_BODY + b"\r\n" + b"x" * 65_536,
}

UNCHANGED = endpoint_list(1, False)
# What discovery answers; the last ones are valid JSON, but no lists.
LISTS = {
    "longest list": endpoint_list(
        1, True, *(endpoint_row(f"server-{i}", f"127.0.{i // 250}.{i % 250}:9") for i in range(3200))
    ),
    "objects": b'{"generation":1,"reset":true,"instances":[%s{}]}' % (b"{}," * 690_000),
    "arrays": b'{"generation":1,"reset":true,"instances":[%s{}]}' % (b"[]," * 690_000),
}


class MemoryMeter:
    """Samples the anonymous memory of a process until the block ends.

    Attributes:
        peak_mb: the highest sample, in MiB.
    """

    def __init__(self, pid: int) -> None:
        self._status = Path(f"/proc/{pid}/status")
        self.peak_mb = 0.0

    def sample(self) -> None:
        """Take a sample; anonymous memory is the least that counts against the limit."""
        for line in self._status.read_text(encoding="ascii").splitlines():
            if line.startswith("RssAnon:"):
                self.peak_mb = max(self.peak_mb, int(line.split()[1]) / 1024)

    async def run(self) -> None:
        """Take samples until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)


@contextlib.asynccontextmanager
async def measured_sidecar(
    tmp_path: Path, limits: Limits, *list_texts: bytes
) -> AsyncIterator[tuple[SidecarProcess, MemoryMeter]]:
    """Run a sidecar with these limits; its endpoints receive requests at one address and answer none."""
    discovery, endpoint = await FakeServer().start(), await FakeServer().start()
    limits_document = {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.descriptors}
    rows = [endpoint_row(f"s-{number}", endpoint.address) for number in range(ENDPOINTS)]
    known = json.loads(endpoint_list(1, True, *rows))
    changes = {"limits": limits_document, "discovery": discovery.address, "known": known}
    async with running_sidecar(tmp_path, changes) as running:
        running.endpoint = endpoint
        answering = asyncio.create_task(answer_discovery(discovery, list_texts or (UNCHANGED,)))
        meter = MemoryMeter(running.process.pid)
        sampling = asyncio.create_task(meter.run())
        # A full pipe would block the process.
        reading_log = asyncio.create_task(asyncio.to_thread(read_to_end, running.process))
        try:
            yield running, meter
            assert running.process.poll() is None
        finally:
            sampling.cancel()
            answering.cancel()
            running.process.kill()
            await reading_log


def read_to_end(process: subprocess.Popen[str]) -> None:
    """Read the log of a process until it ends."""
    assert process.stderr is not None
    while process.stderr.readline():
        pass


async def answer_discovery(discovery: FakeServer, list_texts: Sequence[bytes]) -> None:
    """Respond to polls and watches with these texts in turn, each after a pause."""
    for list_text in itertools.cycle(list_texts):
        received = await discovery.next_request()
        await asyncio.sleep(PAUSE_S)
        with contextlib.suppress(RuntimeError):  # the sidecar has closed the connection
            received.respond(200, list_text)


async def send_all(running: SidecarProcess, limits: Limits, kind: str) -> list[Client]:
    clients = []
    for _ in range(limits.peers):
        with contextlib.suppress(OSError):
            clients.append(await running.client())
    for number, client in enumerate(clients):
        client.writer.write(INPUTS[kind](number))
    return clients


async def answer_all(endpoint: FakeServer, answer: bytes) -> None:
    """Answer each request with these bytes."""
    while True:
        received = await endpoint.next_request()
        with contextlib.suppress(RuntimeError):  # the sidecar has closed the connection
            received.writer.write(answer)
