"""Endpoints that misbehave, and the proxy before each of them."""

from __future__ import annotations

import asyncio
import contextlib
import random
from enum import Enum

from faults.http import read_message, reset
from faults.oracle import Oracle, Run


class Behaviour(Enum):
    """What an endpoint does with one attempt."""

    SERVE = "serve"
    DECLINE = "decline"
    ERROR = "error"
    HANG = "hang"
    RESET = "reset"
    CUT = "cut"  # half an answer, then a reset
    STOP = "stop"  # half an answer, then silence
    NOISE = "noise"


TROUBLE = (
    (Behaviour.DECLINE, 0.06),
    (Behaviour.ERROR, 0.04),
    (Behaviour.HANG, 0.02),
    (Behaviour.RESET, 0.03),
    (Behaviour.CUT, 0.03),
    (Behaviour.STOP, 0.02),
    (Behaviour.NOISE, 0.02),
)


class FaultyEndpoint:
    """Serves attempts in all forms that the protocol allows, or fails at them."""

    def __init__(self, name: str, oracle: Oracle, rng: random.Random) -> None:
        self.name = name
        self.oracle = oracle
        self.rng = rng
        self.trouble = 1.0  # times the shares of TROUBLE

    async def start(self) -> FaultyEndpoint:
        """Listen on a free port of loopback."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self

    def _draw(self) -> Behaviour:
        drawn = self.rng.random()
        for behaviour, share in TROUBLE:
            drawn -= share * self.trouble
            if drawn < 0:
                return behaviour
        return Behaviour.SERVE

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        run: Run | None = None
        loop = asyncio.get_running_loop()
        try:
            while True:
                message = await read_message(reader)
                behaviour = self._draw()
                told_ms = int(message.headers.get("req-deadline-ms", "0"))
                request_id = message.headers.get("req-id", "")
                runs = behaviour is not Behaviour.DECLINE
                run = self.oracle.attempt(request_id, self.name, told_ms, loop.time(), runs)
                keep = await self._answer(behaviour, request_id, writer, reader)
                if run is not None:
                    run.ended_s = loop.time()
                if not keep:
                    return
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, RuntimeError):
            pass
        finally:
            if run is not None and run.ended_s is None:
                run.ended_s = loop.time()
            writer.close()

    async def _answer(
        self,
        behaviour: Behaviour,
        request_id: str,
        writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader,
    ) -> bool:
        """Answer, and return whether the connection stays."""
        body = request_id.encode() + self.rng.randbytes(self.rng.choice((0, 40, 3000, 20_000)))
        if behaviour is Behaviour.DECLINE:
            writer.write(b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        await self._work(reader, self.rng.expovariate(1 / 0.02))
        if behaviour is Behaviour.ERROR:
            writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
            return True
        if behaviour is Behaviour.HANG:
            await reader.read(1)  # until the sidecar gives up
            return False
        if behaviour is Behaviour.NOISE:
            writer.write(b"\x00noise\r\n\r\n")
            return False
        if behaviour is Behaviour.SERVE:
            return await self._whole(request_id, body, writer)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body[:-1]))
        if behaviour is Behaviour.STOP:
            await reader.read(1)
            return False
        reset(writer)
        return False

    async def _work(self, reader: asyncio.StreamReader, seconds: float) -> None:
        """Take this long, unless the sidecar gives up before: it sends nothing else on the connection."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reader.read(1), seconds)
            raise ConnectionResetError

    async def _whole(self, request_id: str, body: bytes, writer: asyncio.StreamWriter) -> bool:
        self.oracle.records[request_id].bodies.add(body)
        form = self.rng.randrange(4)
        if form == 0:
            data, keep = b"HTTP/1.1 200 OK\r\nX-Note: n\r\n\r\n" + body, False
        elif form == 1:
            chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
            coding = self.rng.choice((b"chunked", b" chunked ", b"  Chunked"))
            data, keep = b"HTTP/1.1 200 OK\r\nTransfer-Encoding:%b\r\n\r\n%b" % (coding, chunk), True
        else:
            data, keep = b"HTTP/1.1 200 OK\r\ncontent-length: %d \r\n\r\n%b" % (len(body), body), True
        if self.rng.random() < 0.3:
            place = self.rng.randrange(len(data))
            writer.write(data[:place])
            await asyncio.sleep(0.01)
            data = data[place:]
        writer.write(data)
        await writer.drain()
        return keep


class FaultProxy:
    """Passes bytes on between a sidecar and an endpoint, and breaks connections at any byte."""

    def __init__(self, target: int, rng: random.Random) -> None:
        self.target = target
        self.rng = rng
        self.breaks = 0.0  # share of connections that break, at most this many bytes on
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> FaultProxy:
        """Listen on a free port of loopback."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            behind = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            reset(writer)
            return
        both = {writer, behind[1]}
        self.writers |= both
        passed = [
            asyncio.ensure_future(self._pass(reader, behind[1])),
            asyncio.ensure_future(self._pass(behind[0], writer)),
        ]
        await asyncio.wait(passed)
        self.writers -= both
        for each in both:
            each.close()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        left = self.rng.randrange(4000) if self.rng.random() < self.breaks else None
        try:
            while data := await reader.read(16_384):
                if left is not None:
                    data, left = data[:left], left - len(data)
                writer.write(data)
                await writer.drain()
                if left is not None and left <= 0:
                    raise ConnectionResetError
            if not writer.is_closing():
                writer.write_eof()
        except (OSError, RuntimeError):
            reset(writer)

    def break_all(self) -> None:
        """Reset all connections at once."""
        for writer in list(self.writers):
            reset(writer)
