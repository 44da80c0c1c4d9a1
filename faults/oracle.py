"""The oracle of the soak: what clients and endpoints saw of each request, and which promise that breaks."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum

from faults.notifications import Notifications

LATE_S = 0.5  # an answer may come so long after the deadline: it only earns nothing
AFTER_LEAVING_S = 0.1  # an attempt may begin so long after its client closed
HELD_UP_S = 0.15  # a process may be held up for so long between reading its clock and writing
TRANSIT_S = 0.1  # for the bytes on a busy machine, beside that
BAD_CLIENT_S = 3.0  # within which a client that stops in the middle of a request gets its error or a close
LAG_KEPT_S = 3.0  # a lateness of the soak's own loop is allowed for so long


class Effect(Enum):
    """What a repeat of a request would do."""

    SAFE = "look"
    KEYED = "hold"
    UNSAFE = "pay"


class Promise(Enum):
    """What the soak checks; the values stand in its report."""

    ANSWERED = "every request that was taken gets an answer in time"
    GENUINE = "a 200 holds what an endpoint made for the request"
    VALID = "a request in a form that the protocol allows is not turned away as bad"
    NOT_TWICE = "an unsafe request runs once, a keyed one within its window"
    ONE_OUT = "no two attempts of a request are out at once"
    REFUSAL_HARMLESS = "a refusal tells that the request never ran"
    NOT_FOR_NOBODY = "no attempt begins after its client left"
    DEADLINE = "an endpoint is told at most what the client has left"
    DRAIN = "no attempt goes to an endpoint that was told to drain"
    BAD_CLIENT = "a client that stops within a request gets its error or a close in 3 s"
    ALIVE = "no process crashes, and one that is told to end does so in time"
    GUARDS = "no guard of the program finds an invariant broken, and no traceback is logged"


@dataclass
class Run:
    """One attempt that came whole to an endpoint and was not declined."""

    endpoint: str
    began_s: float
    ended_s: float | None = None  # when its answer or its connection ended, as the endpoint saw it


@dataclass
class Record:
    """One request."""

    request_id: str
    effect: Effect
    sent_s: float
    deadline_s: float  # how long its client waits
    sidecar: str
    due_s: float = 0.0  # when its answer is due, by the clock: those in front of it come first
    left_s: float | None = None  # when its client closed
    status: int | None = None
    answered_s: float | None = None
    excused: bool = False  # its process was killed, or may have been: nothing is owed
    runs: list[Run] = field(default_factory=list)
    bodies: set[bytes] = field(default_factory=set)


@dataclass(frozen=True)
class Violation:
    """A broken promise, with what is needed to find it in the logs."""

    promise: Promise
    detail: str
    at_s: float


class Oracle:
    """Collects what was seen; `judge` checks each request once it is over."""

    def __init__(self, window_s: float, grace_s: float, notifications: Notifications) -> None:
        self.window_s = window_s  # of deduplication
        self.grace_s = grace_s  # of a drain
        self.notifications = notifications
        self.worst_lag_s = 0.0
        self._lags: deque[tuple[float, float]] = deque()  # when, and how late this loop was
        self.records: dict[str, Record] = {}
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()

    def note_lag(self, now_s: float, late_s: float) -> None:
        """The loop of the soak was late: a busy machine delays what the oracle sees."""
        self.worst_lag_s = max(self.worst_lag_s, late_s)
        self._lags.append((now_s, late_s))
        while self._lags[0][0] < now_s - LAG_KEPT_S:
            self._lags.popleft()

    def lag_s(self) -> float:
        """The longest of the last seconds."""
        return max((late_s for _, late_s in self._lags), default=0.0)

    def violate(self, promise: Promise, detail: str, at_s: float) -> None:
        """Note a broken promise."""
        self.violations.append(Violation(promise, detail, at_s))

    def sent(self, record: Record) -> None:
        """A request is about to be written."""
        self.records[record.request_id] = record
        self.counts["requests"] += 1

    def attempt(self, request_id: str, endpoint: str, told_ms: int, now_s: float, runs: bool) -> Run | None:
        """An attempt came whole to an endpoint."""
        record = self.records.get(request_id)
        if record is None:
            self.violate(Promise.GENUINE, f"{request_id} at {endpoint}: no client sent it", now_s)
            return None
        self.counts["attempts"] += 1
        where = f"{request_id} ({record.effect.value}) by {record.sidecar} at {endpoint}"
        lag_s = self.lag_s()
        if record.left_s is not None and now_s > record.left_s + AFTER_LEAVING_S + HELD_UP_S + lag_s:
            self.violate(Promise.NOT_FOR_NOBODY, f"{where}, {now_s - record.left_s:.2f} s after", now_s)
        left_s = record.sent_s + record.deadline_s - now_s
        if told_ms / 1000 > left_s + HELD_UP_S + TRANSIT_S + lag_s:
            self.violate(Promise.DEADLINE, f"{where}: {told_ms} ms told, {left_s * 1000:.0f} ms left", now_s)
        told_s = self.notifications.retired_since_s(record.sidecar, endpoint, now_s)
        if told_s is not None and now_s > told_s + self.grace_s + HELD_UP_S + TRANSIT_S + lag_s:
            self.violate(Promise.DRAIN, f"{where}, {now_s - told_s:.2f} s after it counted as told", now_s)
        if not runs:
            return None
        run = Run(endpoint, now_s)
        self._check_repeat(record, run, where, now_s)
        record.runs.append(run)
        return run

    def _check_repeat(self, record: Record, run: Run, where: str, now_s: float) -> None:
        if not record.runs:
            return
        out = [earlier for earlier in record.runs if earlier.ended_s is None]
        if out:  # its end may still be on its way
            asyncio.get_running_loop().call_later(TRANSIT_S, self._check_one_out, out, where, now_s)
        if record.effect is Effect.UNSAFE:
            self.violate(Promise.NOT_TWICE, where, now_s)
        first_s = record.runs[0].began_s
        if record.effect is Effect.KEYED and now_s > first_s + self.window_s + TRANSIT_S + self.lag_s():
            self.violate(Promise.NOT_TWICE, f"{where}, {now_s - first_s:.2f} s after the first", now_s)

    def _check_one_out(self, out: list[Run], where: str, at_s: float) -> None:
        if any(earlier.ended_s is None for earlier in out):
            self.violate(Promise.ONE_OUT, where, at_s)

    def judge(self, record: Record, status: int | None, body: bytes, now_s: float) -> None:
        """The request is over for its client: with an answer, or `status` None without one."""
        record.status, record.answered_s = status, now_s
        where = f"{record.request_id} ({record.effect.value}) by {record.sidecar}"
        if record.left_s is not None or record.excused:
            self.counts["left or excused"] += 1
            return
        late_s = now_s - max(record.due_s, record.sent_s + record.deadline_s)
        if status is None:
            self.violate(Promise.ANSWERED, f"{where}: no answer", now_s)
            return
        self.counts[f"answered {status}"] += 1
        if late_s > LATE_S + self.lag_s():
            self.violate(Promise.ANSWERED, f"{where}: {late_s:.2f} s late", now_s)
        if status == 200 and body not in record.bodies:
            self.violate(Promise.GENUINE, f"{where}: {len(body)} bytes that no endpoint sent whole", now_s)
        if 400 <= status < 500 and status != 429:
            self.violate(Promise.VALID, f"{where}: {status}", now_s)
        if status in (429, 503) and record.effect is Effect.UNSAFE and record.runs:
            self.violate(Promise.REFUSAL_HARMLESS, where, now_s)
