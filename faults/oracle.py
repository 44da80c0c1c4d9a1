"""The oracle of the soak: what clients and endpoints saw of each request, and which promise that breaks."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from faults.notifications import Notifications

LATE_S = 0.5  # a response may come so long after the deadline: it only earns nothing
AFTER_CLOSE_S = 0.1  # an attempt may begin so long after its client closed
STALL_S = 0.15  # a process may be stalled for so long between reading its clock and writing
TRANSIT_S = 0.1  # for the bytes on a busy machine, beside that
STALLED_CLIENT_S = (
    3.0  # within which a client that stops in the middle of a request gets its error or a close
)
LAG_WINDOW_S = 3.0  # a delay of the soak's own event loop is allowed for so long


HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503


class Idempotency(Enum):
    """What a repeat of a request would do; the values are the names of the request classes."""

    IDEMPOTENT = "look"
    KEYED = "hold"  # with an idempotency key
    UNSAFE = "pay"


class Promise(Enum):
    """What the soak checks; the values stand in its report."""

    ANSWERED = "every accepted request gets a response in time"
    GENUINE = "a 200 holds what an endpoint sent for the request"
    VALID = "a request in a form that the protocol allows is not rejected as bad"
    NOT_TWICE = "an unsafe request runs once, a keyed one within its window"
    ONE_IN_FLIGHT = "no two attempts of a request are in flight at once"
    REJECTED_UNRUN = "a rejected request never ran"
    CLIENT_PRESENT = "no attempt begins after its client closed"
    DEADLINE = "an attempt carries at most what is left of the client's deadline"
    DRAIN = "no attempt goes to an endpoint of whose drain the sidecar was notified"
    STALLED_CLIENT = "a client that stops within a request gets an error or a close in 3 s"
    ALIVE = "no process crashes, and each ends in time after SIGTERM"
    GUARDS = "no check of the program finds an invariant broken, and no traceback is logged"


@dataclass
class Execution:
    """One attempt that came complete to an endpoint and was not declined."""

    endpoint: str
    started_s: float
    ended_s: float | None = None  # when its response or its connection ended, as the endpoint saw it


@dataclass
class RequestRecord:
    """One request, as its client and the endpoints saw it; times are the event loop's, in seconds."""

    request_id: str
    idempotency: Idempotency
    sent_s: float
    deadline_s: float  # how long its client waits
    sidecar: str
    due_s: float = 0.0  # loop time at which its response is due: those in front of it come first
    closed_s: float | None = None  # when its client closed
    status: int | None = None
    ended_s: float | None = None  # when its client had a response, or gave up
    excused: bool = False  # its process was killed, or may have been: no response is owed
    executions: list[Execution] = field(default_factory=list)
    bodies: set[bytes] = field(default_factory=set)  # of complete responses that endpoints sent


@dataclass(frozen=True)
class Violation:
    """A broken promise, with what is needed to find it in the logs."""

    promise: Promise
    detail: str
    at_s: float


class Lag(NamedTuple):
    """How late the soak's own event loop was at a moment, in seconds."""

    at_s: float
    late_s: float


class Oracle:
    """Collects what was seen; `judge` checks each request once it is over.

    Args:
        window_s: how long a request with an idempotency key may be repeated.
        grace_s: how long a draining endpoint may still get attempts.
        notifications: which changes each sidecar counts as notified of.
    """

    def __init__(self, window_s: float, grace_s: float, notifications: Notifications) -> None:
        self.window_s = window_s
        self.grace_s = grace_s
        self.notifications = notifications
        self.worst_lag_s = 0.0
        self._lags: deque[Lag] = deque()
        self.records: dict[str, RequestRecord] = {}
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()

    def note_lag(self, now_s: float, late_s: float) -> None:
        """Note that the soak's loop was late by seconds: a busy machine delays what the oracle sees."""
        self.worst_lag_s = max(self.worst_lag_s, late_s)
        self._lags.append(Lag(now_s, late_s))
        while self._lags[0].at_s < now_s - LAG_WINDOW_S:
            self._lags.popleft()

    def lag_s(self) -> float:
        """Return the longest delay of the last seconds, in seconds."""
        return max((lag.late_s for lag in self._lags), default=0.0)

    def violate(self, promise: Promise, detail: str, at_s: float) -> None:
        """Note a broken promise at a loop time in seconds."""
        self.violations.append(Violation(promise, detail, at_s))

    def sent(self, record: RequestRecord) -> None:
        """Note a request that is about to be written."""
        self.records[record.request_id] = record
        self.counts["requests"] += 1

    # --- attempts, as endpoints see them ---

    def attempt(
        self, request_id: str, endpoint: str, deadline_ms: int, now_s: float, executes: bool
    ) -> Execution | None:
        """Check an attempt that came complete to an endpoint.

        Args:
            request_id: the request that it is of.
            endpoint: where it came to.
            deadline_ms: what it carries as its deadline.
            now_s: the loop time.
            executes: whether the endpoint executes it; else it declines.

        Returns:
            The execution, whose end the endpoint notes; None for a declined attempt.
        """
        record = self.records.get(request_id)
        if record is None:
            self.violate(Promise.GENUINE, f"{request_id} at {endpoint}: no client sent it", now_s)
            return None
        self.counts["attempts"] += 1
        where = f"{_label(record)} at {endpoint}"
        self._check_client_present(record, where, now_s)
        self._check_deadline(record, deadline_ms, where, now_s)
        self._check_drain(record, endpoint, where, now_s)
        if not executes:
            return None
        execution = Execution(endpoint, now_s)
        self._check_repeat(record, where, now_s)
        record.executions.append(execution)
        return execution

    def _check_client_present(self, record: RequestRecord, where: str, now_s: float) -> None:
        closed_s = record.closed_s
        if closed_s is not None and now_s > closed_s + AFTER_CLOSE_S + STALL_S + self.lag_s():
            self.violate(Promise.CLIENT_PRESENT, f"{where}, {now_s - closed_s:.2f} s after", now_s)

    def _check_deadline(self, record: RequestRecord, deadline_ms: int, where: str, now_s: float) -> None:
        left_s = record.sent_s + record.deadline_s - now_s
        if deadline_ms / 1000 > left_s + STALL_S + TRANSIT_S + self.lag_s():
            detail = f"{where}: {deadline_ms} ms announced, {left_s * 1000:.0f} ms left"
            self.violate(Promise.DEADLINE, detail, now_s)

    def _check_drain(self, record: RequestRecord, endpoint: str, where: str, now_s: float) -> None:
        since_s = self.notifications.retired_since_s(record.sidecar, endpoint, now_s)
        if since_s is not None and now_s > since_s + self.grace_s + STALL_S + TRANSIT_S + self.lag_s():
            self.violate(Promise.DRAIN, f"{where}, {now_s - since_s:.2f} s after its notification", now_s)

    def _check_repeat(self, record: RequestRecord, where: str, now_s: float) -> None:
        if not record.executions:
            return
        in_flight = [earlier for earlier in record.executions if earlier.ended_s is None]
        if in_flight:  # its end may still be on its way
            loop = asyncio.get_running_loop()
            loop.call_later(TRANSIT_S, self._check_one_in_flight, in_flight, where, now_s)
        if record.idempotency is Idempotency.UNSAFE:
            self.violate(Promise.NOT_TWICE, where, now_s)
        first_s = record.executions[0].started_s
        allowed_s = first_s + self.window_s + TRANSIT_S + self.lag_s()
        if record.idempotency is Idempotency.KEYED and now_s > allowed_s:
            self.violate(Promise.NOT_TWICE, f"{where}, {now_s - first_s:.2f} s after the first", now_s)

    def _check_one_in_flight(self, in_flight: list[Execution], where: str, at_s: float) -> None:
        if any(earlier.ended_s is None for earlier in in_flight):
            self.violate(Promise.ONE_IN_FLIGHT, where, at_s)

    # --- responses, as clients see them ---

    def judge(self, record: RequestRecord, status: int | None, body: bytes, now_s: float) -> None:
        """Check a request that is over for its client.

        Args:
            record: the request.
            status: the response's status; None where no complete response came.
            body: the response's body.
            now_s: the loop time.
        """
        record.status, record.ended_s = status, now_s
        where = _label(record)
        if record.closed_s is not None or record.excused:
            self.counts["client closed or excused"] += 1
            return
        late_s = now_s - max(record.due_s, record.sent_s + record.deadline_s)
        if status is None:
            self.violate(Promise.ANSWERED, f"{where}: no response", now_s)
            return
        self.counts[f"answered {status}"] += 1
        if late_s > LATE_S + self.lag_s():
            self.violate(Promise.ANSWERED, f"{where}: {late_s:.2f} s late", now_s)
        self._check_response(record, status, body, now_s)

    def _check_response(self, record: RequestRecord, status: int, body: bytes, now_s: float) -> None:
        where = _label(record)
        if status == HTTP_OK and body not in record.bodies:
            self.violate(Promise.GENUINE, f"{where}: {len(body)} bytes that no endpoint sent whole", now_s)
        if HTTP_BAD_REQUEST <= status < HTTP_SERVER_ERROR and status != HTTP_TOO_MANY_REQUESTS:
            self.violate(Promise.VALID, f"{where}: {status}", now_s)
        rejected = status in (HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE)
        if rejected and record.idempotency is Idempotency.UNSAFE and record.executions:
            self.violate(Promise.REJECTED_UNRUN, where, now_s)


def _label(record: RequestRecord) -> str:
    return f"{record.request_id} ({record.idempotency.value}) by {record.sidecar}"
