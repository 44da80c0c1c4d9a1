"""Clients of the soak: good ones, and those that leave, stop, write slowly or send many requests at once."""

from __future__ import annotations

import asyncio
import contextlib
import random
from enum import Enum

from faults.http import Message, read_message, reset
from faults.oracle import BAD_CLIENT_S, Effect, Oracle, Promise, Record
from faults.plan import Plan

GIVE_UP_S = 1.5  # after the deadline: then no answer is coming any more
RESTS_S = (0.0, 0.02, 0.3)
CROWD_AT_ONCE = 40  # connections of a crowd
CROWD_STEP_S = 0.05
CROWD_GONE_S = 0.5  # after which the sidecar has room again


class Kind(Enum):
    """How a client behaves with its next request."""

    GOOD = "good"
    LEAVES = "leaves"
    AT_ONCE = "many at once"
    SLOW = "writes slowly"
    STOPS = "stops within a request"


KINDS = (Kind.GOOD,) * 14 + (Kind.LEAVES, Kind.LEAVES, Kind.AT_ONCE, Kind.SLOW, Kind.STOPS)


class Target:
    """A sidecar as the front sees it."""

    def __init__(self, name: str, port: int) -> None:
        self.name = name
        self.port = port
        self.open = False  # whether clients are sent there
        self.crowded = False  # whether idle clients fill its descriptors: new connections may be shut unread
        self.killed_s: list[float] = []  # when its process was killed outright, or at the end of a drain

    def excuses(self, since_s: float) -> bool:
        """Whether a process died since, so that no answer can be owed."""
        return any(killed_s >= since_s for killed_s in self.killed_s)


class SoakClient:
    """Keeps one connection where it can, and asks again and again."""

    def __init__(
        self, number: int, targets: list[Target], oracle: Oracle, rng: random.Random, plan: Plan
    ) -> None:
        self.number = number
        self.plan = plan
        self.targets = targets
        self.oracle = oracle
        self.rng = rng
        self.serial = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.target: Target | None = None
        self.rested = False  # whether the connection has served a request before

    async def run(self, until_s: float) -> None:
        """Ask until that time of the loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.choice(RESTS_S) + self.rng.random() * 0.1)
            if self.writer is None and not await self._connect():
                continue
            kind = self.rng.choice(KINDS)
            if kind is Kind.STOPS:
                await self._stop_half_way()
            else:
                await self._ask(kind)
        self._close()

    async def _connect(self) -> bool:
        opens = [target for target in self.targets if target.open]
        if not opens:
            await asyncio.sleep(0.05)
            return False
        self.target = self.rng.choice(opens)
        try:
            async with asyncio.timeout(2):
                self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.target.port)
        except (OSError, TimeoutError):
            return False
        self.rested = False
        return True

    def _close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    def _new(self) -> tuple[Record, bytes]:
        assert self.target is not None
        self.serial += 1
        effect = self.rng.choice(list(Effect))
        deadline_s = self.rng.choice(self.plan.deadlines_s)
        request_id = f"{self.number:04x}{self.serial:06x}"
        body = b"" if effect is Effect.SAFE else b"b" * self.rng.choice((0, 10, 2000))
        method = "GET" if effect is Effect.SAFE else "POST"
        space = self.rng.choice(("", " ", "  "))
        lines = [
            f"{method} /{effect.value}/x HTTP/1.1",
            "Host: service",
            f"Req-Id:{space}{request_id}{space}",
            f"Req-Owner: acme{space}",
            f"Req-Deadline-Ms: {int(deadline_s * 1000)}{space}",
        ]
        if effect is Effect.KEYED:
            lines.append(f"Idempotency-Key: k{request_id}")
        if effect is not Effect.SAFE:
            lines.append(f"Content-Length: {len(body)}")
        now_s = asyncio.get_running_loop().time()
        record = Record(request_id, effect, now_s, deadline_s, self.target.name)
        return record, "\r\n".join([*lines, "", ""]).encode() + body

    async def _ask(self, kind: Kind) -> None:
        count = self.rng.randrange(2, 9) if kind is Kind.AT_ONCE else 1
        made = [self._new() for _ in range(count)]
        for record, _ in made:
            self.oracle.sent(record)
        data = b"".join(data for _, data in made)
        records = [record for record, _ in made]
        try:
            await self._send(data, kind, records)
            for place, record in enumerate(records):  # answers come in the order of requests
                record.due_s = max(r.sent_s + r.deadline_s for r in records[: place + 1])
            if kind is Kind.LEAVES:
                await self._leave(records[0])
                return
            for record in records:
                if not await self._take_answer(record):
                    self._give_up(records[records.index(record) + 1 :])
                    return
        except (OSError, RuntimeError):  # the latter: uvloop's word for a transport that has closed
            self._give_up([record for record in records if record.answered_s is None])

    async def _send(self, data: bytes, kind: Kind, records: list[Record]) -> None:
        """Write; a request's time is counted from its last byte."""
        assert self.writer is not None
        loop = asyncio.get_running_loop()
        step = 20 if kind is Kind.SLOW else len(data)
        for place in range(0, len(data), step):
            for record in records:
                record.sent_s = loop.time()
            self.writer.write(data[place : place + step])
            if kind is Kind.SLOW:
                await asyncio.sleep(0.005)
        await self.writer.drain()

    async def _leave(self, record: Record) -> None:
        assert self.writer is not None
        await asyncio.sleep(self.rng.random() * min(0.2, record.deadline_s))
        record.left_s = asyncio.get_running_loop().time()
        if self.rng.random() < 0.5:
            reset(self.writer)
        self._close()

    async def _take_answer(self, record: Record) -> bool:
        """Wait for the answer; whether the connection goes on."""
        assert self.reader is not None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(record.due_s + GIVE_UP_S):
                message = await read_message(self.reader)
        except (asyncio.IncompleteReadError, OSError, TimeoutError) as error:
            self._judge_missing(record, error)
            return False
        self.oracle.judge(record, int(message.first.split(" ")[1]), message.body, loop.time())
        self.rested = True
        if self._ends(message):
            self._close()
            return False
        return True

    def _ends(self, message: Message) -> bool:
        return message.headers.get("connection", "").lower() == "close"

    def _judge_missing(self, record: Record, error: Exception) -> None:
        """No whole answer came: a resting connection may have ended just then, or a process died."""
        assert self.target is not None
        unread = isinstance(error, asyncio.IncompleteReadError | OSError) and not isinstance(
            error, TimeoutError
        )
        began = isinstance(error, asyncio.IncompleteReadError) and bool(error.partial)
        crossed = unread and not began and self.rested and not record.runs
        shut_unread = unread and not began and self.target.crowded and not record.runs
        record.excused = crossed or shut_unread or self.target.excuses(record.sent_s)
        self.oracle.counts["shut unread in a crowd"] += shut_unread and not crossed
        self.oracle.counts["crossed an end"] += crossed
        self.oracle.judge(record, None, b"", asyncio.get_running_loop().time())
        self._close()

    def _give_up(self, records: list[Record]) -> None:
        """The connection ended in front of these: they may be sent again elsewhere."""
        now_s = asyncio.get_running_loop().time()
        for record in records:
            record.excused = True
            if record.runs:
                record.excused = self.target is not None and self.target.excuses(record.sent_s)
            self.oracle.judge(record, None, b"", now_s)
        self._close()

    async def _stop_half_way(self) -> None:
        """Send a part of a request and stay."""
        assert self.writer is not None and self.reader is not None and self.target is not None
        loop = asyncio.get_running_loop()
        _, data = self._new()
        begun_s = loop.time()
        target = self.target
        try:
            self.writer.write(data[: self.rng.randrange(1, len(data) - 1)])
            async with asyncio.timeout(BAD_CLIENT_S + 0.5):
                await self.reader.read()
        except TimeoutError:
            if not target.excuses(begun_s) and loop.time() - begun_s > BAD_CLIENT_S + self.oracle.lag_s():
                self.oracle.violate(Promise.BAD_CLIENT, f"client {self.number} at {target.name}", loop.time())
        except (OSError, RuntimeError):
            pass  # closed: that is what it is owed
        self.oracle.counts["stopped half way"] += 1
        self._close()


class IdleCrowd:
    """Idle clients that connect to one sidecar and ask nothing, more than it has descriptors for."""

    def __init__(self, target: Target, count: int) -> None:
        self.target = target
        self.count = count

    async def play(self, until_s: float) -> None:
        """Stay until then; those that are closed come again."""
        loop = asyncio.get_running_loop()
        self.target.crowded = True
        writers: list[asyncio.StreamWriter] = []
        while loop.time() < until_s:
            writers = [writer for writer in writers if not writer.is_closing()]
            for _ in range(min(CROWD_AT_ONCE, self.count - len(writers))):
                with contextlib.suppress(OSError):
                    writers.append((await asyncio.open_connection("127.0.0.1", self.target.port))[1])
            await asyncio.sleep(CROWD_STEP_S)
        for writer in writers:
            writer.close()
        await asyncio.sleep(CROWD_GONE_S)
        self.target.crowded = False
