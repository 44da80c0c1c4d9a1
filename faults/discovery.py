"""A discovery that works through calls one after another, and fails in many ways."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from dataclasses import dataclass
from enum import Enum

from faults.http import read_message, reset
from faults.notifications import Change, Notifications

ADDRESSES = 3  # that lead to the same lists; a reload may name another one
WHOLE = -1  # in place of a generation: the whole list is asked for
LEFT_EVERY_S = 0.02  # how often it is looked whether a sidecar that waits has hung up
SHORT_S = 0.005  # between two pieces of an answer
PIECES = 4  # that an answer is written in, where it is not written in one go
REFUSAL = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
Row = dict[str, object]


class Mode(Enum):
    """What discovery does with calls."""

    SERVE = "serve"
    REFUSE = "refuse"
    RESET = "reset"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Shape:
    """How discovery serves."""

    cost_s: float = 0.0  # of each call and of each answer to a watch, one after another
    refusal_share: float = 0.05  # of that cost, that turning a call away costs
    room: int = 1_000  # calls that may wait for their turn; more are refused at once
    lost_share: float = 0.0  # of answers: kept back, cut or broken off
    pieces: bool = False  # answers are written in small pieces
    whole_share: float = 0.0  # of answers that could be changes alone, those that are the whole list
    omits_draining: bool = False  # whole lists leave out what drains


@dataclass(frozen=True, slots=True)
class Call:
    """A call as it came."""

    sidecar: str
    after: int
    wait_s: float
    asked_s: float


class FaultyDiscovery:
    """Tells the list, and changes to watches; notes what it wrote to whom."""

    def __init__(self, notifications: Notifications, shape: Shape, rng: random.Random) -> None:
        self.notifications = notifications
        self.shape = shape
        self.rng = rng
        self.rows: dict[str, Row] = {}
        self.versions: dict[str, int] = {}
        self.generation = 1
        self.mode = Mode.SERVE
        self.calls = 0
        self.refused = 0
        self._changed = asyncio.Event()
        self._writers: dict[asyncio.StreamWriter, None] = {}
        self._free_s = 0.0  # when all work that was taken is done
        self._taken = 0  # calls that wait for their turn or have it

    async def listen(self, sidecar: str) -> list[int]:
        """Listen for one sidecar; returns the ports of its addresses."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(sidecar, reader, writer)

        servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for _ in range(ADDRESSES)]
        return [int(server.sockets[0].getsockname()[1]) for server in servers]

    # --- the list ---

    def listing(self, after: int = WHOLE) -> dict[str, object]:
        """What changed after a generation; the whole list by default."""
        whole = after == WHOLE
        unlisted = {"gone", "draining"} if self.shape.omits_draining else {"gone"}
        rows = [row for name, row in self.rows.items() if self.versions[name] > after]
        rows = [row for row in rows if not whole or row["lifecycle"] not in unlisted]
        return {"generation": self.generation, "reset": whole, "instances": rows}

    def change(self, row: Row) -> None:
        """Put an entry in, or change it; watches are told."""
        self.generation += 1
        name = str(row["instanceId"])
        self.rows[name] = row
        self.versions[name] = self.generation
        now_s = asyncio.get_running_loop().time()
        self.notifications.change(Change(self.generation, name, row["lifecycle"] == "ready", now_s))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # --- troubles ---

    def turn(self, mode: Mode) -> None:
        """Change what calls meet; open watches end, but for those that fall silent.

        Those end at the return: a silent one may last as long as its wait, and what it misses counts later.
        """
        was_silent, self.mode = self.mode is Mode.SILENT, mode
        if mode in (Mode.REFUSE, Mode.RESET) or was_silent:
            self.end_watches()

    def end_watches(self) -> None:
        """Reset all connections: whoever watches has to ask anew."""
        for writer in list(self._writers):
            reset(writer)

    # --- calls ---

    async def _serve(self, sidecar: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers[writer] = None
        try:
            while True:
                message = await read_message(reader)
                call = self._read(sidecar, message.first.split(" ")[1])
                work = asyncio.ensure_future(self._answer(call, writer))
                while not work.done() and not reader.at_eof() and reader.exception() is None:
                    await asyncio.wait((work,), timeout=LEFT_EVERY_S)
                if not work.done():
                    work.cancel()
                    return
                if not work.result():
                    return
        except (asyncio.IncompleteReadError, OSError, RuntimeError):
            pass
        finally:
            self._writers.pop(writer, None)
            writer.close()

    def _read(self, sidecar: str, path: str) -> Call:
        query = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if pair)
        wait_s = int(query.get("wait_ms", "0")) / 1000
        return Call(sidecar, int(query.get("after", WHOLE)), wait_s, asyncio.get_running_loop().time())

    async def _answer(self, call: Call, writer: asyncio.StreamWriter) -> bool:
        """Answer one call; whether the connection stays."""
        self.calls += 1
        if self.mode is Mode.SILENT:
            await asyncio.sleep(60)
        if self.mode is Mode.RESET:
            reset(writer)
            return False
        if self.mode is Mode.REFUSE or self._taken > self.shape.room:
            self.refused += 1
            self._free_s += self.shape.refusal_share * self.shape.cost_s
            writer.write(REFUSAL)
            return True
        await self._take_turn()
        if call.after != WHOLE and call.after >= self.generation:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), call.wait_s)
            if self.mode is Mode.SILENT:
                await asyncio.sleep(60)
            await self._take_turn()
        return await self._write(call, writer)

    async def _take_turn(self) -> None:
        """Wait until all that came before is done, and this as well."""
        if not self.shape.cost_s:
            return
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        done_s = self._free_s = max(now_s, self._free_s) + self.shape.cost_s
        self._taken += 1
        loop.call_at(done_s, self._done)  # also where the sidecar hangs up: it is served for nobody
        await asyncio.sleep(done_s - now_s)

    def _done(self) -> None:
        self._taken -= 1

    async def _write(self, call: Call, writer: asyncio.StreamWriter) -> bool:
        whole = call.after == WHOLE or self.rng.random() < self.shape.whole_share
        generation = self.generation
        body = json.dumps(self.listing(WHOLE if whole else call.after)).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        if self.rng.random() < self.shape.lost_share:
            self._note_lost(call)
            return await self._lose(data, writer)
        step = max(1, len(data) // PIECES) if self.shape.pieces else len(data)
        for place in range(0, len(data), step):
            if place:
                await asyncio.sleep(SHORT_S)
            if writer.is_closing():  # an outage came in between
                self._note_lost(call)
                return False
            writer.write(data[place : place + step])
        self.notifications.wrote(call.sidecar, generation, asyncio.get_running_loop().time())
        return True

    def _note_lost(self, call: Call) -> None:
        if call.after != WHOLE:
            self.notifications.lost_answer(call.sidecar, call.asked_s, call.asked_s + call.wait_s)

    async def _lose(self, data: bytes, writer: asyncio.StreamWriter) -> bool:
        """The answer does not come, or not whole: kept back, stopped half way, or broken off."""
        way = self.rng.randrange(3)
        if way > 0:
            writer.write(data[: len(data) // 2])
        if way < 2:
            await asyncio.sleep(60)  # until the sidecar gives it up
        await asyncio.sleep(SHORT_S)
        reset(writer)
        return False
