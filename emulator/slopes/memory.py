"""Resident memory by endpoints, connections and open requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable
from typing import Any, NamedTuple

from emulator.endpoints.messages import ChangeEndpoint, EndpointAction, EndpointCounter
from emulator.sidecar import Sidecar
from emulator.slopes.fixtures import ListFeeder, make_rows, open_endpoints, read_counter, wait_for_counter
from emulator.slopes.points import Point, Scale

WARM_UP_REQUESTS = 200
ENDPOINTS = 36
HANGING_ENDPOINTS = 200
REQUESTS_AT_ONCE = 25  # in turn on one connection
REQUEST_ROUNDS = 2  # for each 25 connections that are wanted
REQUEST_LINES = ("GET /look/a HTTP/1.1", "Host: a", "Req-Id: {}", "Req-Owner: acme", "Req-Deadline-Ms: 20000")
RESPONSE_END = b"done"


class ClientSocket(NamedTuple):
    """Both ends of a client's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


def _point(name: str, x_name: str, x: float, sidecar: Sidecar, **detail: Any) -> Point:
    usage = sidecar.usage()
    detail = {"pss_bytes": usage.pss_bytes, **detail}
    return Point(name, x_name, x, usage.rss_bytes, "bytes", True, detail)


async def _connect(sidecar: Sidecar, count: int) -> list[ClientSocket]:
    return [ClientSocket(*await asyncio.open_connection("127.0.0.1", sidecar.port)) for _ in range(count)]


def _send_requests(sockets: Iterable[ClientSocket]) -> None:
    for number, socket in enumerate(sockets):
        _write_request(socket, number)


async def _exchange(sockets: Iterable[ClientSocket]) -> None:
    """Send a request on each connection, one after the other, and read its response."""
    for number, socket in enumerate(sockets):
        _write_request(socket, number)
        await socket.reader.readuntil(RESPONSE_END)


def _write_request(socket: ClientSocket, number: int) -> None:
    head = "\r\n".join(REQUEST_LINES).format(f"c{number:x}")
    socket.writer.write((head + "\r\n\r\n").encode())


def _abort(sockets: Iterable[ClientSocket]) -> None:
    for socket in sockets:
        socket.writer.transport.abort()


async def memory_by_endpoint(scale: Scale) -> AsyncIterator[Point]:
    """Resident memory by the length of the list, before any request."""
    for size in scale.sizes:
        addresses = {row["instanceId"]: row["hostPort"] for row in make_rows(size)}
        async with ListFeeder() as feeder, Sidecar(addresses, feeder.address) as sidecar:
            yield _point("memory_by_endpoint", "endpoints", size, sidecar)


async def memory_by_client(scale: Scale) -> AsyncIterator[Point]:
    """Resident memory by open connections of clients, each of which has had one response."""
    async with open_endpoints(ENDPOINTS) as (_, addresses), ListFeeder() as feeder:
        for count in scale.connections:
            async with Sidecar(addresses, feeder.address) as sidecar:
                warm = await _connect(sidecar, 1)
                await _exchange(warm * WARM_UP_REQUESTS)
                sockets = await _connect(sidecar, count)
                await _exchange(sockets)
                yield _point("memory_by_caller_connection", "connections", count, sidecar)
                _abort(warm + sockets)


async def memory_by_upstream(scale: Scale) -> AsyncIterator[Point]:
    """Resident memory by connections to endpoints: few requests at once, spread over many endpoints."""
    name = "memory_by_upstream_connection"
    most = max(scale.connections)
    async with open_endpoints(most) as (worker, addresses), ListFeeder() as feeder:
        for count in scale.connections:
            rounds = count // REQUESTS_AT_ONCE * REQUEST_ROUNDS
            async with Sidecar(addresses, feeder.address, Balancers=1) as sidecar:
                sockets = await _connect(sidecar, 1)
                for _ in range(rounds):
                    await _exchange(sockets * REQUESTS_AT_ONCE)
                opened = await read_counter(worker, EndpointCounter.OPEN)
                yield _point(name, "connections", opened, sidecar, calls=rounds * REQUESTS_AT_ONCE)
                _abort(sockets)
            await wait_for_counter(worker, EndpointCounter.OPEN, 0)


async def memory_by_request(scale: Scale) -> AsyncIterator[Point]:
    """Resident memory by open requests, each with a connection of its own on both sides."""
    for count in scale.connections:
        async with open_endpoints(HANGING_ENDPOINTS) as (worker, addresses), ListFeeder() as feeder:
            for name in addresses:
                await worker.request(ChangeEndpoint(name, EndpointAction.HANG))
            async with Sidecar(addresses, feeder.address, Balancers=1) as sidecar:
                sockets = await _connect(sidecar, count)
                _send_requests(sockets)
                all_hang = await wait_for_counter(worker, EndpointCounter.HUNG, count)
                point = _point("memory_by_open_request", "requests", count, sidecar)
                point.valid = all_hang
                yield point
                _abort(sockets)
