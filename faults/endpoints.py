"""Endpoints that misbehave, and a fault proxy for each of them."""

from __future__ import annotations

import asyncio
import contextlib
import random
from enum import Enum
from typing import NamedTuple

from faults.oracle import Execution, Oracle
from testbed.http_messages import Message, read_message, reset
from testbed.loopback_server import LoopbackServer

BODY_SIZES = (0, 40, 3000, 20_000)  # bytes of a response's body after the request's id
MEAN_SERVICE_S = 0.02
SPLIT_WRITE_SHARE = 0.3  # share of responses that are written in two parts
SPLIT_WRITE_INTERVAL_S = 0.01  # between the two parts
READ_BYTES = 16_384
MAX_BYTES_BEFORE_BREAK = 4000  # a connection that breaks passes on fewer bytes than this in one direction


class Behaviour(Enum):
    """What an endpoint does with one attempt."""

    SERVE = "serve"
    DECLINE = "decline"
    ERROR = "error"
    HANG = "hang"  # no response
    RESET = "reset"
    TRUNCATE = "truncate"  # a partial response, then a reset
    STALL = "stall"  # a partial response, then silence
    GARBAGE = "garbage"  # bytes that are no HTTP response


FAULT_SHARES = (
    (Behaviour.DECLINE, 0.06),
    (Behaviour.ERROR, 0.04),
    (Behaviour.HANG, 0.02),
    (Behaviour.RESET, 0.03),
    (Behaviour.TRUNCATE, 0.03),
    (Behaviour.STALL, 0.02),
    (Behaviour.GARBAGE, 0.02),
)
SIMPLE_RESPONSES = {
    Behaviour.DECLINE: b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
    Behaviour.ERROR: b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    Behaviour.GARBAGE: b"\x00noise\r\n\r\n",
}


class EncodedResponse(NamedTuple):
    """The bytes of a complete response, and whether the connection stays open after it."""

    data: bytes
    keep_alive: bool


class FaultyEndpoint:
    """Responds to attempts in each form that the protocol allows, or fails them.

    Args:
        name: the endpoint's id.
        oracle: records the attempts and responses.
        rng: random numbers, shared with the endpoint's proxy.
        fault_scale: factor on the shares in FAULT_SHARES.
    """

    def __init__(self, name: str, oracle: Oracle, rng: random.Random, fault_scale: float) -> None:
        self.name = name
        self.oracle = oracle
        self.rng = rng
        self.fault_scale = fault_scale
        self.server = LoopbackServer(self._serve)

    def _draw_behaviour(self) -> Behaviour:
        drawn = self.rng.random()
        for behaviour, share in FAULT_SHARES:
            drawn -= share * self.fault_scale
            if drawn < 0:
                return behaviour
        return Behaviour.SERVE

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        execution: Execution | None = None
        loop = asyncio.get_running_loop()
        try:
            while True:
                message = await read_message(reader)
                behaviour = self._draw_behaviour()
                execution = self._record_attempt(message, behaviour)
                request_id = message.headers.get("req-id", "")
                keep_alive = await self._respond(behaviour, request_id, writer, reader)
                if execution is not None:
                    execution.ended_s = loop.time()
                if not keep_alive:
                    return
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, RuntimeError):
            pass
        finally:
            if execution is not None and execution.ended_s is None:
                execution.ended_s = loop.time()

    def _record_attempt(self, message: Message, behaviour: Behaviour) -> Execution | None:
        deadline_ms = int(message.headers.get("req-deadline-ms", "0"))
        request_id = message.headers.get("req-id", "")
        now_s = asyncio.get_running_loop().time()
        executes = behaviour is not Behaviour.DECLINE
        return self.oracle.record_attempt(request_id, self.name, deadline_ms, now_s, executes)

    async def _respond(
        self,
        behaviour: Behaviour,
        request_id: str,
        writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader,
    ) -> bool:
        """Respond to one attempt; return whether the connection stays open."""
        body = request_id.encode() + self.rng.randbytes(self.rng.choice(BODY_SIZES))
        if behaviour is not Behaviour.DECLINE:
            await self._simulate_service(reader, self.rng.expovariate(1 / MEAN_SERVICE_S))
        if behaviour is Behaviour.SERVE:
            return await self._write_complete(request_id, body, writer)
        if behaviour in SIMPLE_RESPONSES:
            writer.write(SIMPLE_RESPONSES[behaviour])
            return behaviour is not Behaviour.GARBAGE
        if behaviour is not Behaviour.HANG:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body[:-1]))
        if behaviour in (Behaviour.HANG, Behaviour.STALL):
            await reader.read(1)  # waits until the sidecar gives up
        else:
            reset(writer)
        return False

    async def _simulate_service(self, reader: asyncio.StreamReader, seconds: float) -> None:
        """Wait for the service time; raise ConnectionResetError if the sidecar gives up before.

        The sidecar sends nothing else on the connection in this time, so a read that returns means that it
        gave up.
        """
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reader.read(1), seconds)
            raise ConnectionResetError

    async def _write_complete(self, request_id: str, body: bytes, writer: asyncio.StreamWriter) -> bool:
        """Write a complete response in a random form; return whether the connection stays open."""
        self.oracle.records[request_id].bodies.add(body)
        data, keep_alive = self._encode(body)
        if self.rng.random() < SPLIT_WRITE_SHARE:
            offset = self.rng.randrange(len(data))
            writer.write(data[:offset])
            await asyncio.sleep(SPLIT_WRITE_INTERVAL_S)
            data = data[offset:]
        writer.write(data)
        await writer.drain()
        return keep_alive

    def _encode(self, body: bytes) -> EncodedResponse:
        """Return a response that ends with the connection, is chunked or has a Content-Length."""
        form = self.rng.randrange(4)  # 2 and 3 both stand for a Content-Length
        if form == 0:  # the body ends with the connection
            return EncodedResponse(b"HTTP/1.1 200 OK\r\nX-Note: n\r\n\r\n" + body, keep_alive=False)
        if form == 1:
            chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
            coding = self.rng.choice((b"chunked", b" chunked ", b"  Chunked"))
            data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding:%b\r\n\r\n%b" % (coding, chunk)
            return EncodedResponse(data, keep_alive=True)
        data = b"HTTP/1.1 200 OK\r\ncontent-length: %d \r\n\r\n%b" % (len(body), body)
        return EncodedResponse(data, keep_alive=True)


class FaultProxy:
    """Forwards bytes between a sidecar and an endpoint, and breaks connections at a random byte.

    Args:
        endpoint_port: the endpoint's loopback port.
        rng: random numbers, shared with the endpoint.
    """

    def __init__(self, endpoint_port: int, rng: random.Random) -> None:
        self.endpoint_port = endpoint_port
        self.rng = rng
        self.broken_connection_share = 0.0  # the probability that a direction of a connection breaks early
        self.server = LoopbackServer(self._serve)
        self._upstream_writers: set[asyncio.StreamWriter] = set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.endpoint_port)
        except OSError:
            reset(writer)
            return
        self._upstream_writers.add(upstream_writer)
        copies = [
            asyncio.ensure_future(self._copy(reader, upstream_writer)),
            asyncio.ensure_future(self._copy(upstream_reader, writer)),
        ]
        await asyncio.wait(copies)
        self._upstream_writers.discard(upstream_writer)
        upstream_writer.close()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        breaks = self.rng.random() < self.broken_connection_share
        remaining = self.rng.randrange(MAX_BYTES_BEFORE_BREAK) if breaks else None
        try:
            while data := await reader.read(READ_BYTES):
                if remaining is not None:
                    data, remaining = data[:remaining], remaining - len(data)
                writer.write(data)
                await writer.drain()
                if remaining is not None and remaining <= 0:
                    raise ConnectionResetError
            if not writer.is_closing():
                writer.write_eof()
        except (OSError, RuntimeError):
            reset(writer)

    def reset_all(self) -> None:
        """Reset all connections on both sides."""
        self.server.reset_connections()
        for writer in list(self._upstream_writers):
            reset(writer)
