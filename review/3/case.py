"""Peers send one read and, at once behind it, improper requests with many short header lines."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import string
import time
from pathlib import Path

from standins import (
    CaseError,
    Discovery,
    Listener,
    Record,
    Sidecar,
    encode,
    encode_request,
    new_id,
    read_message,
    run_case,
    small_site,
)

DESCRIPTORS, MEMORY_MB = 1024, 80
SECONDS = 15.0
TROUBLE_AFTER_S = 3.0
BAD_PEERS = 320  # under a third of the descriptors
IMPROPER_REQUESTS = 6  # that each bad peer sends behind its read
HEADER_LINES = 440  # of each improper request: 3 KB on the wire
CONNECTED_S = 0.5  # from connecting until a bad peer sends
CLIENT_REQUESTS_PER_S = 20.0
ENDPOINTS = 8
SERVICE_S = (0.05, 0.15)
DEADLINE_MS = 4000
MEASURE_INTERVAL_S = 0.02


class Endpoint:
    """Serves each request."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.listener = Listener(self.serve)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while True:
            request_id = (await read_message(reader)).headers["req-id"]
            self.record.write(f"{self.name} runs {request_id}")
            await asyncio.sleep(random.uniform(*SERVICE_S))
            writer.write(encode(200, "OK", f"made for {request_id}".encode()))
            self.record.write(f"{self.name} answers {request_id} with 200")


class Exchanges:
    """Connections, each with the answers on it."""

    def __init__(self, port: int, record: Record) -> None:
        self.port, self.record = port, record
        self.unanswered = 0  # proper requests of clients that have no answer

    async def request(self) -> None:
        """Send the request of one client, and read the answer."""
        request_id = new_id()
        await self.run(f"client with {request_id}", encode_request("laoseis", request_id, DEADLINE_MS), 1)

    async def run(self, name: str, data: bytes, answers: int, pause_s: float = 0.0) -> None:
        """Connect, send data after a pause, and read so many answers."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.sleep(pause_s)
        writer.write(data)
        self.record.write(f"{name} sends {len(data)} bytes")
        statuses = []
        try:
            while len(statuses) < answers:
                answer = await asyncio.wait_for(read_message(reader), DEADLINE_MS / 1000 + 2.0)
                statuses.append(answer.first_line.split(" ")[1])
        except (TimeoutError, asyncio.IncompleteReadError, OSError) as error:
            statuses.append(type(error).__name__)
            self.unanswered += name.startswith("client")
        self.record.write(f"{name} gets {' '.join(statuses)}")
        writer.close()


def bad_input() -> bytes:
    """Return a proper read, and requests behind it that have no id, no deadline and no host."""
    names = itertools.islice(itertools.product(string.ascii_lowercase, repeat=2), HEADER_LINES)
    lines = "".join(f"{''.join(name)}:xy\r\n" for name in names)
    improper = f"GET /laoseis HTTP/1.1\r\n{lines}\r\n".encode()
    return encode_request("laoseis", new_id(), DEADLINE_MS) + IMPROPER_REQUESTS * improper


def anonymous_mb(pid: int) -> float:
    """Return the anonymous memory of a process in MiB; what else counts as its memory comes on top.

    Where the system does not tell it, this is the whole resident memory.
    """
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError as error:
        raise CaseError("the sidecar has ended") from error
    kib = {
        name: value.split()[0] for name, _, value in (line.partition(":") for line in lines) if value.split()
    }
    return int(kib.get("RssAnon") or kib["VmRSS"]) / 1024


async def case(folder: Path, record: Record, trouble: bool) -> bool:
    """Run the case; return whether the rule held."""
    discovery = Discovery(record)
    await discovery.listener.start()
    for number in range(ENDPOINTS):
        endpoint = Endpoint(f"s-{number}", record)
        await endpoint.listener.start()
        discovery.put(endpoint.name, endpoint.listener.port)
    sidecar = Sidecar(folder, record, discovery, small_site(), sockets=DESCRIPTORS, memory_mb=MEMORY_MB)
    peak_mb, over_at_s = 0.0, None
    try:
        await sidecar.start()
        assert sidecar.process is not None
        exchanges = Exchanges(sidecar.port, record)
        began_s = time.monotonic()
        next_request_s, trouble_began, tasks = began_s, not trouble, []
        while time.monotonic() < began_s + SECONDS:
            now_s = time.monotonic()
            if now_s >= next_request_s:
                next_request_s += random.expovariate(CLIENT_REQUESTS_PER_S)
                tasks.append(asyncio.create_task(exchanges.request()))
            if not trouble_began and now_s > began_s + TROUBLE_AFTER_S:
                trouble_began = True
                record.write(f"{BAD_PEERS} bad peers connect; each will send, with an id of its own:")
                record.write(repr(bad_input()[:400]) + " and so on")
                tasks += [
                    asyncio.create_task(exchanges.run(f"bad peer {number}", bad_input(), 2, CONNECTED_S))
                    for number in range(BAD_PEERS)
                ]
            used_mb = anonymous_mb(sidecar.process.pid)
            if used_mb > peak_mb + 1.0:
                peak_mb = used_mb
                record.write(f"sidecar: {used_mb:.0f} MiB of anonymous memory, of {MEMORY_MB}")
            if used_mb > MEMORY_MB and over_at_s is None:
                over_at_s = now_s
                record.write("OVER THE LIMIT: the platform kills the sidecar for memory")
                sidecar.send_signal(signal.SIGKILL)
                break
            await asyncio.sleep(MEASURE_INTERVAL_S)
        await asyncio.gather(*tasks)
    finally:
        await sidecar.stop()
    record.write(
        f"most anonymous memory: {peak_mb:.0f} MiB of {MEMORY_MB};"
        f" requests of clients that have no answer: {exchanges.unanswered}"
    )
    return over_at_s is None


if __name__ == "__main__":
    run_case(__file__, case)
