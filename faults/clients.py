"""The soak's clients, which send requests normally, close early, stall, write slowly or pipeline requests."""

from __future__ import annotations

import asyncio
import random
from enum import Enum
from typing import NamedTuple

from faults.oracle import STALLED_CLIENT_TIMEOUT_S, Guarantee, Idempotency, Oracle, RequestRecord
from faults.plan import Plan
from faults.targets import SidecarTarget
from testbed.http_messages import Message, read_message, reset

GIVE_UP_AFTER_DUE_S = 1.5  # no response is expected any more this long after it was due
REQUEST_PAUSES_S = (0.0, 0.02, 0.3)  # one of these passes before each request
MAX_PAUSE_JITTER_S = 0.1  # added at random to the pause before a request
CONNECT_TIMEOUT_S = 2.0
NO_TARGET_PAUSE_S = 0.05  # the pause before the next try when no sidecar accepts clients
PIPELINED_REQUESTS_RANGE = (2, 9)  # requests sent at once; the upper bound is exclusive
# Requests that a client sends at once before it closes the connection. Served one after another, they take
# much longer than a sidecar may continue to serve a client that has closed.
ABANDONED_REQUESTS = 40
ABANDON_AFTER_S = 0.05  # from sending the abandoned requests until the client closes
SLOW_PIECE_BYTES = 20  # the bytes that a slow client writes at a time
SLOW_PIECE_INTERVAL_S = 0.005
MAX_CLOSE_DELAY_S = 0.2  # a client that closes early does so within this time after its request
RESET_SHARE = 0.5  # share of closing clients that reset the connection
BODY_SIZES = (0, 10, 2000)  # bytes of a request's body


class ClientBehaviour(Enum):
    """How a client behaves with its next request."""

    NORMAL = "normal"
    CLOSES_EARLY = "closes before the response"
    PIPELINES = "sends several requests at once"
    WRITES_SLOWLY = "writes slowly"
    STALLS = "stops within a request"
    ABANDONS_MANY = "sends many requests at once and closes"


BEHAVIOURS = (ClientBehaviour.NORMAL,) * 14 + (
    ClientBehaviour.CLOSES_EARLY,
    ClientBehaviour.CLOSES_EARLY,
    ClientBehaviour.PIPELINES,
    ClientBehaviour.WRITES_SLOWLY,
    ClientBehaviour.STALLS,
    ClientBehaviour.ABANDONS_MANY,
)


class NewRequest(NamedTuple):
    """A random request and its bytes."""

    record: RequestRecord
    data: bytes


class SoakClient:
    """Sends one request after another, over the same connection as long as that stays open.

    Args:
        number: the client's number, unique in the soak.
        targets: the sidecars that the client may connect to.
        oracle: records and checks the requests.
        rng: the client's own random numbers.
        plan: the plan of the soak, which has the deadlines.
    """

    def __init__(
        self, number: int, targets: list[SidecarTarget], oracle: Oracle, rng: random.Random, plan: Plan
    ) -> None:
        self.number = number
        self.plan = plan
        self.targets = targets
        self.oracle = oracle
        self.rng = rng
        self.serial = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.target: SidecarTarget | None = None
        self.reused = False  # whether a response has come over this connection
        self.connect_started_s = 0.0  # loop time at which the client started to connect

    async def run(self, until_s: float) -> None:
        """Send requests until `until_s`, a loop time in seconds."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.choice(REQUEST_PAUSES_S) + self.rng.random() * MAX_PAUSE_JITTER_S)
            if self.writer is None and not await self._connect():
                continue
            behaviour = self.rng.choice(BEHAVIOURS)
            if behaviour is ClientBehaviour.STALLS:
                await self._stop_within_request()
            elif behaviour is ClientBehaviour.ABANDONS_MANY:
                await self._abandon_many()
            else:
                await self._request(behaviour)
        self._close()

    # --- the connection ---

    async def _connect(self) -> bool:
        open_targets = [target for target in self.targets if target.accepts_clients]
        if not open_targets:
            await asyncio.sleep(NO_TARGET_PAUSE_S)
            return False
        self.target = self.rng.choice(open_targets)
        self.connect_started_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.target.port)
        except (OSError, TimeoutError):
            return False
        self.reused = False
        return True

    def _close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    # --- requests ---

    def _draw_request(self) -> NewRequest:
        assert self.target is not None
        self.serial += 1
        idempotency = self.rng.choice(list(Idempotency))
        deadline_s = self.rng.choice(self.plan.deadlines_s)
        request_id = f"{self.number:04x}{self.serial:06x}"
        reads = idempotency is Idempotency.IDEMPOTENT
        body = b"" if reads else b"b" * self.rng.choice(BODY_SIZES)
        space = self.rng.choice(("", " ", "  "))
        lines = [
            f"{'GET' if reads else 'POST'} /{idempotency.value}/x HTTP/1.1",
            "Host: service",
            f"Req-Id:{space}{request_id}{space}",
            f"Req-Owner: acme{space}",
            f"Req-Deadline-Ms: {int(deadline_s * 1000)}{space}",
        ]
        if idempotency is Idempotency.KEYED:
            lines.append(f"Idempotency-Key: k{request_id}")
        if not reads:
            lines.append(f"Content-Length: {len(body)}")
        now_s = asyncio.get_running_loop().time()
        record = RequestRecord(request_id, idempotency, now_s, deadline_s, self.target.name)
        return NewRequest(record, "\r\n".join([*lines, "", ""]).encode() + body)

    async def _request(self, behaviour: ClientBehaviour) -> None:
        pipelines = behaviour is ClientBehaviour.PIPELINES
        count = self.rng.randrange(*PIPELINED_REQUESTS_RANGE) if pipelines else 1
        requests = [self._draw_request() for _ in range(count)]
        records = [request.record for request in requests]
        for record in records:
            self.oracle.record_request(record)
        try:
            await self._send(b"".join(request.data for request in requests), behaviour, records)
            for index, record in enumerate(records):  # responses come in the order of requests
                record.response_due_s = max(
                    earlier.sent_s + earlier.deadline_s for earlier in records[: index + 1]
                )
            if behaviour is ClientBehaviour.CLOSES_EARLY:
                await self._close_early(records[0])
            else:
                await self._read_responses(records)
        except (OSError, RuntimeError):  # uvloop raises RuntimeError on a closed transport
            self._end_without_response([record for record in records if record.ended_s is None])

    async def _send(self, data: bytes, behaviour: ClientBehaviour, records: list[RequestRecord]) -> None:
        """Write the requests; their deadlines are counted from when the last part was written."""
        assert self.writer is not None
        loop = asyncio.get_running_loop()
        slow = behaviour is ClientBehaviour.WRITES_SLOWLY
        step = SLOW_PIECE_BYTES if slow else len(data)
        for offset in range(0, len(data), step):
            for record in records:
                record.sent_s = loop.time()
            self.writer.write(data[offset : offset + step])
            if slow:
                await asyncio.sleep(SLOW_PIECE_INTERVAL_S)
        await self.writer.drain()

    async def _close_early(self, record: RequestRecord) -> None:
        await asyncio.sleep(self.rng.random() * min(MAX_CLOSE_DELAY_S, record.deadline_s))
        self._disconnect([record])

    def _disconnect(self, records: list[RequestRecord]) -> None:
        assert self.writer is not None
        for record in records:
            record.client_closed_s = asyncio.get_running_loop().time()
        if self.rng.random() < RESET_SHARE:
            reset(self.writer)
        self._close()

    async def _abandon_many(self) -> None:
        """Send many requests at once, and close while most of them are queued behind the first."""
        assert self.writer is not None
        requests = [self._draw_request() for _ in range(ABANDONED_REQUESTS)]
        records = [request.record for request in requests]
        for record in records:
            self.oracle.record_request(record)
        try:
            await self._send(
                b"".join(request.data for request in requests), ClientBehaviour.ABANDONS_MANY, records
            )
            await asyncio.sleep(ABANDON_AFTER_S)
        except (OSError, RuntimeError):
            pass  # the sidecar has closed the connection already
        self._disconnect(records)
        self.oracle.counts["closed after many requests"] += 1

    # --- responses ---

    async def _read_responses(self, records: list[RequestRecord]) -> None:
        for index, record in enumerate(records):
            if not await self._read_response(record):
                self._end_without_response(records[index + 1 :])
                return

    async def _read_response(self, record: RequestRecord) -> bool:
        """Wait for the response; return whether the connection stays open."""
        assert self.reader is not None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(record.response_due_s + GIVE_UP_AFTER_DUE_S):
                message = await read_message(self.reader)
        except (asyncio.IncompleteReadError, OSError, TimeoutError) as error:
            self._check_missing_response(record, error)
            return False
        self.oracle.check_outcome(record, int(message.first_line.split(" ")[1]), message.body, loop.time())
        self.reused = True
        if _announces_close(message):
            self._close()
            return False
        return True

    def _check_missing_response(self, record: RequestRecord, error: Exception) -> None:
        """Check a request without a complete response, which is allowed in three cases.

        The sidecar may have closed an idle connection as the request was sent, its descriptors may have been
        exhausted by idle clients, or its process may have been killed.
        """
        assert self.target is not None
        connection_ended = not isinstance(error, TimeoutError)
        partial = isinstance(error, asyncio.IncompleteReadError) and bool(error.partial)
        untouched = connection_ended and not partial and not record.executions
        raced_with_close = untouched and self.reused
        closed_unread = untouched and self.target.descriptors_exhausted
        # A request that is written just after the process was killed is read by no process.
        killed = self.target.was_killed_since(record.sent_s) or (
            untouched and self.target.was_killed_since(self.connect_started_s)
        )
        record.exempt = raced_with_close or closed_unread or killed
        self.oracle.counts["closed unread with descriptors exhausted"] += (
            closed_unread and not raced_with_close
        )
        self.oracle.counts["raced with a connection close"] += raced_with_close
        self.oracle.check_outcome(record, None, b"", asyncio.get_running_loop().time())
        self._close()

    def _end_without_response(self, records: list[RequestRecord]) -> None:
        """Check requests whose connection ended before their responses.

        Those that no endpoint has executed may be sent again elsewhere, so no response is expected for them.
        """
        now_s = asyncio.get_running_loop().time()
        for record in records:
            record.exempt = True
            if record.executions:
                record.exempt = self.target is not None and self.target.was_killed_since(record.sent_s)
            self.oracle.check_outcome(record, None, b"", now_s)
        self._close()

    # --- stalls ---

    async def _stop_within_request(self) -> None:
        """Send a part of a request, and keep the connection open."""
        assert self.writer is not None
        assert self.reader is not None
        assert self.target is not None
        loop = asyncio.get_running_loop()
        data = self._draw_request().data
        started_s = loop.time()
        target = self.target
        try:
            self.writer.write(data[: self.rng.randrange(1, len(data) - 1)])
            async with asyncio.timeout(STALLED_CLIENT_TIMEOUT_S + 0.5):
                await self.reader.read()
        except TimeoutError:
            self._check_stalled_client(target, started_s)
        except (OSError, RuntimeError):
            pass  # the sidecar has closed the connection, as it should
        self.oracle.counts["stopped within a request"] += 1
        self._close()

    def _check_stalled_client(self, target: SidecarTarget, started_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        if (
            target.was_killed_since(started_s)
            or now_s - started_s <= STALLED_CLIENT_TIMEOUT_S + self.oracle.recent_lag_s()
        ):
            return
        self.oracle.record_violation(
            Guarantee.STALLED_CLIENT, f"client {self.number} at {target.name}", now_s
        )


def _announces_close(message: Message) -> bool:
    return message.headers.get("connection", "").lower() == "close"
