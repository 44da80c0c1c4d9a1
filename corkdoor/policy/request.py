"""A request with a response pending or with attempts in flight, and its attempts."""

from __future__ import annotations

from dataclasses import dataclass

from corkdoor.model import Outcome
from corkdoor.policy.endpoint_pool import EndpointPool
from corkdoor.policy.endpoint_state import EndpointState
from corkdoor.policy.placement import Placement
from corkdoor.policy.request_state import REQUEST_TRANSITIONS, RequestState
from corkdoor.policy.retry_safety import NEVER_RAN, FirstRun
from corkdoor.policy.token_buckets import TenantBucket
from corkdoor.settings import RequestClass

MAX_RESPONSE_MARGIN_US = 60_000  # a queued request gets its response this long before its client gives up
RESPONSE_MARGIN_SHARE = 0.15  # upper bound of the response margin, as a share of the request's timeout


@dataclass(slots=True)
class Attempt:
    """One attempt of a request.

    Attributes:
        endpoint: the endpoint that it was sent to.
        sent_us: when it was sent.
        pool: the pool whose concurrency limit it counts against.
        idle_step: how long its connection was idle, as a step of `IdleConnections`; None: unknown.
    """

    endpoint: EndpointState
    sent_us: int
    pool: EndpointPool
    idle_step: int | None


class Request:
    """One request.

    Attributes:
        id: its id.
        request_class: its class, by the settings that were current when it arrived.
        objective_us: the latency objective of this class.
        placement: the endpoints that it may use.
        bucket: the token bucket of its tenant.
        arrived_us: when it arrived.
        respond_by_us: until when a response has any value.
        response_margin_us: how long before `respond_by_us` a queued request gets its response, and from when
            on no retry is sent.
        state: its state.
        attempts: all attempts, by number.
        outstanding: the numbers of the attempts in flight.
        first_run: the earliest of the ended attempts that the endpoint has possibly executed; None: there is
            none.
        over_quota: whether its tenant was over its quota when it arrived.
        priority: its priority; 0 is sent first.
        cost_ru: its cost in request units, without the adjustment for latency pressure.
        charged_ru: what its tenant was charged for it on arrival, in request units.
    """

    __slots__ = (
        "arrived_us",
        "attempts",
        "bucket",
        "charged_ru",
        "cost_ru",
        "first_run",
        "id",
        "objective_us",
        "outstanding",
        "over_quota",
        "placement",
        "priority",
        "request_class",
        "respond_by_us",
        "response_margin_us",
        "state",
    )  # fmt: skip

    def __init__(
        self,
        request_id: str,
        request_class: RequestClass,
        placement: Placement,
        bucket: TenantBucket,
        now_us: int,
        timeout_us: int,
    ) -> None:
        self.id = request_id
        self.request_class = request_class
        self.objective_us = request_class.latency_objective_us
        self.placement = placement
        self.bucket = bucket
        self.arrived_us = now_us
        self.respond_by_us = now_us + timeout_us
        self.response_margin_us = min(MAX_RESPONSE_MARGIN_US, max(0, int(RESPONSE_MARGIN_SHARE * timeout_us)))
        self.state = RequestState.NEW
        self.attempts: list[Attempt] = []
        self.outstanding: set[int] = set()
        self.first_run: FirstRun | None = None
        self.over_quota = False
        self.priority = 0
        self.cost_ru = 0.0
        self.charged_ru = 0.0

    @property
    def needs_no_response(self) -> bool:
        """Whether no response is pending any more: it was sent or begun, or the request was cancelled."""
        return self.state is RequestState.ANSWERED or self.state is RequestState.CLOSED

    def enter(self, state: RequestState) -> None:
        """Change to this state, unless the request is in it."""
        if state is not self.state:
            self.state = REQUEST_TRANSITIONS.check(self.state, state)

    def add_attempt(self, attempt: Attempt) -> None:
        """Record an attempt that is sent now."""
        self.outstanding.add(len(self.attempts))
        self.attempts.append(attempt)
        self.enter(RequestState.IN_FLIGHT)

    def was_sent_to(self, endpoint: EndpointState) -> bool:
        """Return whether any attempt was sent to the endpoint."""
        return any(attempt.endpoint is endpoint for attempt in self.attempts)

    def end_attempt(self, number: int, outcome: Outcome) -> Attempt:
        """Record the end of an attempt that was in flight, update `first_run`, and return the attempt."""
        self.outstanding.discard(number)
        attempt = self.attempts[number]
        if outcome not in NEVER_RAN and (self.first_run is None or attempt.sent_us < self.first_run.sent_us):
            self.first_run = FirstRun(attempt.sent_us, attempt.endpoint.zone, attempt.endpoint.cell)
        return attempt
