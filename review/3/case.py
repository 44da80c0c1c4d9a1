"""Clients send several requests at once on a connection, among them orders with long bodies."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

from standins import (
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

DESCRIPTORS, MEMORY_MB = 256, 48
CLIENTS = 80  # under a third of the descriptors
ROUNDS = 4
ROUND_PAUSE_S = 1.0
READS, ORDERS = 2, 4  # requests that a client sends at once: the reads first
ORDER_BYTES = 60_000  # a body holds 64 KiB at most
DEADLINE_MS = 4000
ANSWER_SLACK_S = 0.55
ENDPOINTS = 8
SERVICE_S = (0.05, 0.15)


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


class Request:
    """One request, its bytes, and the answer to it."""

    def __init__(self, is_read: bool) -> None:
        self.id, self.is_read = new_id(), is_read
        key = "" if is_read else new_id() + new_id()
        body = b"" if is_read else b"o" * ORDER_BYTES
        self.data = encode_request("laoseis" if is_read else "tellimus", self.id, DEADLINE_MS, body, key)
        self.status: str | None = None


class Client:
    """Sends its requests at once, or, without the disruption, each after the answer to the one before."""

    def __init__(self, number: int, port: int, record: Record) -> None:
        self.name, self.port, self.record = f"client {number}", port, record
        self.requests: list[Request] = []

    async def send_at_once(self) -> None:
        """Send a round of requests at once, and read the answers."""
        requests = self._new_requests()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.record.write(f"{self.name} sends at once: {' '.join(self._label(each) for each in requests)}")
        writer.write(b"".join(each.data for each in requests))
        await self._read(reader, requests)
        writer.close()

    async def send_in_turn(self) -> None:
        """Send a round of requests, each after the answer to the one before."""
        for request in self._new_requests():
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            self.record.write(f"{self.name} sends {self._label(request)}")
            writer.write(request.data)
            await self._read(reader, [request])
            writer.close()

    def _new_requests(self) -> list[Request]:
        requests = [Request(is_read=number < READS) for number in range(READS + ORDERS)]
        self.requests += requests
        return requests

    @staticmethod
    def _label(request: Request) -> str:
        return f"{request.id} /{'laoseis' if request.is_read else 'tellimus'}"

    async def _read(self, reader: asyncio.StreamReader, requests: list[Request]) -> None:
        """Read the answers, which come in the order of the requests."""
        until_s = time.monotonic() + DEADLINE_MS / 1000 + ANSWER_SLACK_S
        for request in requests:
            try:
                answer = await asyncio.wait_for(read_message(reader), until_s - time.monotonic())
            except (TimeoutError, asyncio.IncompleteReadError, OSError) as error:
                end = (
                    "no answer in time"
                    if isinstance(error, TimeoutError)
                    else "the sidecar ends the connection"
                )
                self.record.write(f"{self.name}: {end}, {request.id} has no answer")
                return
            request.status = answer.first_line.split(" ")[1]
            self.record.write(
                f"{self.name} gets {request.status} for {request.id}: {answer.body[:40].decode()!r}"
            )


async def case(folder: Path, record: Record, trouble: bool) -> bool:
    """Run the case; return whether the rule held."""
    discovery = Discovery(record)
    await discovery.listener.start()
    for number in range(ENDPOINTS):
        endpoint = Endpoint(f"s-{number}", record)
        await endpoint.listener.start()
        discovery.put(endpoint.name, endpoint.listener.port)
    sidecar = Sidecar(folder, record, discovery, small_site(), sockets=DESCRIPTORS, memory_mb=MEMORY_MB)
    try:
        await sidecar.start()
        clients = [Client(number, sidecar.port, record) for number in range(CLIENTS)]
        for _ in range(ROUNDS):
            await asyncio.gather(*(c.send_at_once() if trouble else c.send_in_turn() for c in clients))
            await asyncio.sleep(ROUND_PAUSE_S)
    finally:
        await sidecar.stop()
    requests = [request for client in clients for request in client.requests]
    # The reads stand before all orders of their connection, so the sidecar has read them whole before any
    # body that it has no memory for.
    lost = [request for request in requests if request.is_read and request.status is None]
    statuses: dict[str, int] = {}
    for request in requests:
        statuses[request.status or "none"] = statuses.get(request.status or "none", 0) + 1
    record.write(f"requests by status: {statuses}; reads that were never answered: {len(lost)}")
    for request in lost:
        record.write(f"LOST {request.id}")
    return not lost


if __name__ == "__main__":
    run_case(__file__, case)
