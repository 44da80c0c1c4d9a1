"""Measures a sidecar's resident memory by endpoints, connections and open requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable
from typing import Any, NamedTuple

from emulator.endpoints.messages import ChangeEndpoint, EndpointAction, EndpointCounter
from emulator.sidecar import Sidecar
from emulator.slopes.fixtures import (
    ScriptedDiscovery,
    make_rows,
    open_endpoints,
    read_counter,
    wait_for_counter,
)
from emulator.slopes.points import Point, Scale

WARM_UP_REQUESTS = 200
ENDPOINT_COUNT = 36
HANGING_ENDPOINT_COUNT = 200
REQUESTS_PER_ROUND = 25  # sent one after the other on one connection
REQUEST_ROUNDS = 2  # rounds for each 25 connections that are to be opened
REQUEST_LINES = ("GET /look/a HTTP/1.1", "Host: a", "Req-Id: {}", "Req-Owner: acme", "Req-Deadline-Ms: 20000")
RESPONSE_END = b"done"


class ClientSocket(NamedTuple):
    """The reader and the writer of a client connection."""

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
    """Send a request on each connection, one after the other, and read each response."""
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
    """Measure resident memory by the length of the list, before any request."""
    for size in scale.sizes:
        addresses = {row["instanceId"]: row["hostPort"] for row in make_rows(size)}
        async with ScriptedDiscovery() as discovery, Sidecar(addresses, discovery.address) as sidecar:
            yield _point("memory_by_endpoint", "endpoints", size, sidecar)


async def memory_by_client(scale: Scale) -> AsyncIterator[Point]:
    """Measure resident memory by open client connections, each of which has had one response."""
    async with open_endpoints(ENDPOINT_COUNT) as (_, addresses), ScriptedDiscovery() as discovery:
        for count in scale.connections:
            async with Sidecar(addresses, discovery.address) as sidecar:
                warm_up_sockets = await _connect(sidecar, 1)
                await _exchange(warm_up_sockets * WARM_UP_REQUESTS)
                sockets = await _connect(sidecar, count)
                await _exchange(sockets)
                yield _point("memory_by_caller_connection", "connections", count, sidecar)
                _abort(warm_up_sockets + sockets)


async def memory_by_upstream(scale: Scale) -> AsyncIterator[Point]:
    """Measure resident memory by connections to endpoints: a few requests at a time over many endpoints."""
    name = "memory_by_upstream_connection"
    max_connections = max(scale.connections)
    async with open_endpoints(max_connections) as (worker, addresses), ScriptedDiscovery() as discovery:
        for count in scale.connections:
            rounds = count // REQUESTS_PER_ROUND * REQUEST_ROUNDS
            async with Sidecar(addresses, discovery.address, Balancers=1) as sidecar:
                sockets = await _connect(sidecar, 1)
                for _ in range(rounds):
                    await _exchange(sockets * REQUESTS_PER_ROUND)
                open_connections = await read_counter(worker, EndpointCounter.OPEN)
                yield _point(
                    name, "connections", open_connections, sidecar, calls=rounds * REQUESTS_PER_ROUND
                )
                _abort(sockets)
            await wait_for_counter(worker, EndpointCounter.OPEN, 0)


async def memory_by_request(scale: Scale) -> AsyncIterator[Point]:
    """Measure resident memory by open requests, each with its own connection on both sides."""
    for count in scale.connections:
        async with (
            open_endpoints(HANGING_ENDPOINT_COUNT) as (worker, addresses),
            ScriptedDiscovery() as discovery,
        ):
            for name in addresses:
                await worker.request(ChangeEndpoint(name, EndpointAction.HANG))
            async with Sidecar(addresses, discovery.address, Balancers=1) as sidecar:
                sockets = await _connect(sidecar, count)
                _send_requests(sockets)
                all_hang = await wait_for_counter(worker, EndpointCounter.HUNG, count)
                point = _point("memory_by_open_request", "requests", count, sidecar)
                point.valid = all_hang
                yield point
                _abort(sockets)
