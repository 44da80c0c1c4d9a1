"""The test oracle of the soak: checks the sidecars' guarantees on what clients and endpoints observe.

Clients record each request and its response, and endpoints record each attempt. The oracle compares them and
collects the violations. All times are the event loop's, in seconds. Sidecars and the soak share one machine,
so checks on times allow for stalled processes, bytes in transit, and the lag of the soak's own event loop.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from faults.notifications import Notifications

# A response that comes up to this long after its deadline is no violation: it has no value for the client.
RESPONSE_TOLERANCE_S = 0.5
CLOSE_TOLERANCE_S = 0.1  # an attempt may start up to this long after its client closed the connection
STALL_TOLERANCE_S = 0.15  # a process may be stalled this long between reading its clock and writing
TRANSIT_TOLERANCE_S = 0.1  # the time that bytes may take on a busy machine, in addition to a stall
# A client that stops in the middle of a request gets an error or a closed connection within this time.
STALLED_CLIENT_TIMEOUT_S = 3.0
LAG_WINDOW_S = 3.0  # checks allow for the largest lag of the soak's own event loop within this time

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503


class Idempotency(Enum):
    """Whether a request may be executed more than once; the values are the names of the request classes."""

    IDEMPOTENT = "look"
    KEYED = "hold"  # has an idempotency key and may be repeated within the deduplication window
    UNSAFE = "pay"  # may be executed only once


class Guarantee(Enum):
    """What the soak checks; the report prints the values and, for each violation, the member's name."""

    RESPONSE_IN_TIME = "every accepted request gets a response in time"
    GENUINE = "a 200 response carries what an endpoint sent for the request"
    VALID_REQUEST_ACCEPTED = "a request in a form that the protocol allows is not rejected as invalid"
    NO_DUPLICATE_EXECUTION = (
        "an unsafe request is executed at most once, a keyed one only within its deduplication window"
    )
    ONE_IN_FLIGHT = "no two attempts of a request are in flight at the same time"
    REJECTED_NOT_EXECUTED = "a rejected request was never executed"
    CLIENT_CONNECTED = "no attempt starts after its client closed the connection"
    DEADLINE = "an attempt carries at most the remaining time until the client's deadline"
    DRAIN = "no attempt goes to an endpoint after the sidecar was notified of its drain"
    STALLED_CLIENT = "a client that stops within a request gets an error or a closed connection within 3 s"
    PROCESS_LIFECYCLE = "no process crashes, and each exits in time after SIGTERM"
    CLEAN_LOG = "no sidecar logs a broken invariant or a traceback"


@dataclass
class Execution:
    """One attempt that an endpoint received completely and did not decline."""

    endpoint: str
    started_s: float
    ended_s: float | None = None  # when the endpoint ended its response or saw the connection end


@dataclass
class RequestRecord:
    """One request as its client and the endpoints saw it; times are the event loop's, in seconds."""

    request_id: str
    idempotency: Idempotency
    sent_s: float  # when its last part was written
    deadline_s: float  # how long its client waits for the response, counted from `sent_s`
    sidecar: str
    # Loop time at which its response is due: the latest deadline among this request and those that were
    # pipelined before it, whose responses come first.
    response_due_s: float = 0.0
    client_closed_s: float | None = None  # when its client closed the connection
    status: int | None = None
    ended_s: float | None = None  # when its client had a response, or gave up
    exempt: bool = False  # no response is expected, because its process was killed or may have been
    executions: list[Execution] = field(default_factory=list)
    bodies: set[bytes] = field(default_factory=set)  # bodies of the complete responses that endpoints sent


@dataclass(frozen=True)
class Violation:
    """A broken guarantee, with the details needed to find it in the logs."""

    guarantee: Guarantee
    detail: str
    at_s: float


class LagSample(NamedTuple):
    """A loop time, and how late the soak's own event loop was then, in seconds."""

    at_s: float
    late_s: float


class Oracle:
    """Collects what clients and endpoints record, and the violations found in it.

    `record_attempt` checks each attempt, and `check_outcome` each request once its client is done with it.

    Args:
        deduplication_window_s: how long a request with an idempotency key may be repeated.
        drain_grace_s: how long a draining endpoint may still get attempts after the sidecar was notified.
        notifications: when each sidecar is considered notified of each change.
    """

    def __init__(
        self, deduplication_window_s: float, drain_grace_s: float, notifications: Notifications
    ) -> None:
        self.deduplication_window_s = deduplication_window_s
        self.drain_grace_s = drain_grace_s
        self.notifications = notifications
        self.max_lag_s = 0.0
        self._lags: deque[LagSample] = deque()
        self.records: dict[str, RequestRecord] = {}
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()

    def record_lag(self, now_s: float, late_s: float) -> None:
        """Record how late the soak's loop was, in seconds: a busy machine delays what the oracle observes."""
        self.max_lag_s = max(self.max_lag_s, late_s)
        self._lags.append(LagSample(now_s, late_s))
        while self._lags[0].at_s < now_s - LAG_WINDOW_S:
            self._lags.popleft()

    def recent_lag_s(self) -> float:
        """Return the largest lag within the last LAG_WINDOW_S, in seconds."""
        return max((lag.late_s for lag in self._lags), default=0.0)

    def record_violation(self, guarantee: Guarantee, detail: str, at_s: float) -> None:
        """Record a broken guarantee at a loop time in seconds."""
        self.violations.append(Violation(guarantee, detail, at_s))

    def record_request(self, record: RequestRecord) -> None:
        """Record a request that is about to be written."""
        self.records[record.request_id] = record
        self.counts["requests"] += 1

    # --- attempts, as the endpoints see them ---

    def record_attempt(
        self, request_id: str, endpoint: str, deadline_ms: int, now_s: float, executes: bool
    ) -> Execution | None:
        """Record and check an attempt that an endpoint received completely.

        Args:
            request_id: the id of the attempt's request.
            endpoint: the endpoint that received it.
            deadline_ms: the remaining time that it carries.
            now_s: the loop time.
            executes: whether the endpoint executes it; otherwise the endpoint declines it.

        Returns:
            The execution, whose end the endpoint sets; None for a declined attempt or an unknown request.
        """
        record = self.records.get(request_id)
        if record is None:
            self.record_violation(Guarantee.GENUINE, f"{request_id} at {endpoint}: no client sent it", now_s)
            return None
        self.counts["attempts"] += 1
        where = f"{_label(record)} at {endpoint}"
        self._check_client_connected(record, where, now_s)
        self._check_deadline(record, deadline_ms, where, now_s)
        self._check_drain(record, endpoint, where, now_s)
        if not executes:
            return None
        execution = Execution(endpoint, now_s)
        self._check_duplicate_execution(record, where, now_s)
        record.executions.append(execution)
        return execution

    def _check_client_connected(self, record: RequestRecord, where: str, now_s: float) -> None:
        client_closed_s = record.client_closed_s
        if (
            client_closed_s is not None
            and now_s > client_closed_s + CLOSE_TOLERANCE_S + STALL_TOLERANCE_S + self.recent_lag_s()
        ):
            self.record_violation(
                Guarantee.CLIENT_CONNECTED, f"{where}, {now_s - client_closed_s:.2f} s after the close", now_s
            )

    def _check_deadline(self, record: RequestRecord, deadline_ms: int, where: str, now_s: float) -> None:
        remaining_s = record.sent_s + record.deadline_s - now_s
        if deadline_ms / 1000 > remaining_s + STALL_TOLERANCE_S + TRANSIT_TOLERANCE_S + self.recent_lag_s():
            detail = f"{where}: attempt carries {deadline_ms} ms, {remaining_s * 1000:.0f} ms remain"
            self.record_violation(Guarantee.DEADLINE, detail, now_s)

    def _check_drain(self, record: RequestRecord, endpoint: str, where: str, now_s: float) -> None:
        since_s = self.notifications.retirement_notified_s(record.sidecar, endpoint, now_s)
        if (
            since_s is not None
            and now_s
            > since_s + self.drain_grace_s + STALL_TOLERANCE_S + TRANSIT_TOLERANCE_S + self.recent_lag_s()
        ):
            self.record_violation(
                Guarantee.DRAIN, f"{where}, {now_s - since_s:.2f} s after its notification", now_s
            )

    def _check_duplicate_execution(self, record: RequestRecord, where: str, now_s: float) -> None:
        if not record.executions:
            return
        in_flight = [earlier for earlier in record.executions if earlier.ended_s is None]
        if in_flight:  # the end of the earlier attempt may still be in transit, so check again later
            loop = asyncio.get_running_loop()
            loop.call_later(TRANSIT_TOLERANCE_S, self._check_one_in_flight, in_flight, where, now_s)
        if record.idempotency is Idempotency.UNSAFE:
            self.record_violation(Guarantee.NO_DUPLICATE_EXECUTION, where, now_s)
        first_s = record.executions[0].started_s
        allowed_s = first_s + self.deduplication_window_s + TRANSIT_TOLERANCE_S + self.recent_lag_s()
        if record.idempotency is Idempotency.KEYED and now_s > allowed_s:
            self.record_violation(
                Guarantee.NO_DUPLICATE_EXECUTION, f"{where}, {now_s - first_s:.2f} s after the first", now_s
            )

    def _check_one_in_flight(self, in_flight: list[Execution], where: str, at_s: float) -> None:
        if any(earlier.ended_s is None for earlier in in_flight):
            self.record_violation(Guarantee.ONE_IN_FLIGHT, where, at_s)

    # --- responses, as the clients see them ---

    def check_outcome(self, record: RequestRecord, status: int | None, body: bytes, now_s: float) -> None:
        """Check a request that its client has a response for, or has given up.

        Args:
            record: the request.
            status: the response's status; None if no complete response was received.
            body: the response's body.
            now_s: the loop time.
        """
        record.status, record.ended_s = status, now_s
        where = _label(record)
        if record.client_closed_s is not None or record.exempt:
            self.counts["client closed or exempt"] += 1
            return
        late_s = now_s - max(record.response_due_s, record.sent_s + record.deadline_s)
        if status is None:
            self.record_violation(Guarantee.RESPONSE_IN_TIME, f"{where}: no response", now_s)
            return
        self.counts[f"responses {status}"] += 1
        if late_s > RESPONSE_TOLERANCE_S + self.recent_lag_s():
            self.record_violation(Guarantee.RESPONSE_IN_TIME, f"{where}: {late_s:.2f} s late", now_s)
        self._check_response(record, status, body, now_s)

    def _check_response(self, record: RequestRecord, status: int, body: bytes, now_s: float) -> None:
        where = _label(record)
        if status == HTTP_OK and body not in record.bodies:
            self.record_violation(
                Guarantee.GENUINE,
                f"{where}: {len(body)} bytes that are no endpoint's complete response",
                now_s,
            )
        if HTTP_BAD_REQUEST <= status < HTTP_SERVER_ERROR and status != HTTP_TOO_MANY_REQUESTS:
            self.record_violation(Guarantee.VALID_REQUEST_ACCEPTED, f"{where}: {status}", now_s)
        rejected = status in (HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE)
        if rejected and record.idempotency is Idempotency.UNSAFE and record.executions:
            self.record_violation(Guarantee.REJECTED_NOT_EXECUTED, where, now_s)


def _label(record: RequestRecord) -> str:
    return f"{record.request_id} ({record.idempotency.value}) via {record.sidecar}"
