"""A request that the sidecar has accepted, its attempts, and the client that waits for the response."""

from __future__ import annotations

from enum import IntEnum, auto
from typing import Protocol

from corkdoor.settings import RequestClass
from corkdoor.sidecar.clock import DeadlineTimer, now_us
from corkdoor.sidecar.memory_budget import OPEN_REQUEST_BYTES, REQUEST_SHARE, MemoryBudget, MemoryReservation
from corkdoor.sidecar.upstream.attempt import ENDED, Attempt
from corkdoor.state_machine import TransitionTable

# A response is sent at the latest this long before the client's deadline: its bytes take time to arrive.
RESPONSE_MARGIN_US = 40_000
# Upper bound of the margin between the response and the deadline, as a share of the time left until then.
MAX_RESPONSE_MARGIN_SHARE = 0.1
PAYLOAD_COPIES = 2  # the head and the body, and a copy that an endpoint has not read yet


class RequestState(IntEnum):
    """The progress of a request."""

    OPEN = auto()  # the final response is pending
    ANSWERED = auto()  # the final response has been sent; attempts may still be in flight
    CANCELLED = auto()  # the client has disconnected; attempts may still be in flight
    DONE = auto()  # the request is closed, and no attempt is in flight


OPEN, ANSWERED, CANCELLED, DONE = RequestState  # module-level names: looking up enum members is slow
REQUEST_STATES = TransitionTable(
    "proxied_request",
    {
        OPEN: frozenset((ANSWERED, CANCELLED)),
        ANSWERED: frozenset((DONE,)),
        CANCELLED: frozenset((DONE,)),
        DONE: frozenset(),
    },
)


class Client(Protocol):
    """The sender of a request; it receives exactly one final response."""

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Send the final response."""

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected, even if the event loop has not reported it yet."""

    def may_have_disconnected(self) -> bool:
        """Whether the client may have disconnected in a way that can't be seen at the moment."""

    def label(self) -> str:
        """Return what identifies the client's current request in the log."""


class ProxiedRequest:
    """One accepted request.

    Args:
        client: the client that waits for the response.
        request_class: the class of the request, as configured when the request arrived.
        tenant: the tenant of the request; None: no tenants are configured.
        cost_hint_us: the processing time that the client expects, in microseconds; None: not stated.
        deadline_us: when the client stops waiting for the response.
        head: the request line and header fields for endpoints, except for the remaining time.
        body: the body of the request.

    Attributes:
        request_id: assigned by the registry, unique within the process.
        respond_by_us: when the final response is sent at the latest.
        state: the progress of the request.
        attempts: all attempts, in the order in which the balancer chose their endpoints.
        timeout: the timer that expires at `respond_by_us`.
        memory: the memory that the request takes; None: before it is accepted.
    """

    __slots__ = (
        "attempts",
        "body",
        "client",
        "cost_hint_us",
        "deadline_us",
        "head",
        "memory",
        "request_class",
        "request_id",
        "respond_by_us",
        "state",
        "tenant",
        "timeout",
    )

    def __init__(
        self,
        client: Client,
        request_class: RequestClass,
        tenant: str | None,
        cost_hint_us: int | None,
        deadline_us: int,
        head: bytes,
        body: bytes,
    ) -> None:
        self.client = client
        self.request_class = request_class
        self.tenant = tenant
        self.cost_hint_us = cost_hint_us
        self.deadline_us = deadline_us
        margin_us = min(RESPONSE_MARGIN_US, max(0, int(MAX_RESPONSE_MARGIN_SHARE * (deadline_us - now_us()))))
        self.respond_by_us = deadline_us - margin_us
        self.head = head
        self.body = body
        self.request_id = ""
        self.state = OPEN
        self.attempts: list[Attempt] = []
        self.timeout: DeadlineTimer | None = None
        self.memory: MemoryReservation | None = None

    def try_reserve_memory(self, budget: MemoryBudget) -> bool:
        """Reserve memory for the request and an attempt; return whether the budget allows it."""
        size = OPEN_REQUEST_BYTES + PAYLOAD_COPIES * (len(self.head) + len(self.body))
        if not budget.has_room(size, REQUEST_SHARE):
            budget.refusals += 1
            return False
        self.memory = MemoryReservation(budget)
        self.memory.resize(size)
        return True

    def drop_payload(self) -> None:
        """Release the head and the body, which no further attempt will carry."""
        self.head = self.body = b""
        if self.memory is not None:
            self.memory.resize(OPEN_REQUEST_BYTES)

    def release_memory(self) -> None:
        """Release all memory of a request that is done."""
        if self.memory is not None:
            self.memory.release()

    def has_attempts_in_flight(self) -> bool:
        """Whether any attempt has not ended."""
        for attempt in self.attempts:  # noqa: SIM110 - half the cost of `any`, on every request
            if attempt.state is not ENDED:
                return True
        return False

    def remaining_ms(self) -> int:
        """Return the time until the deadline of the client, in milliseconds."""
        return (self.deadline_us - now_us()) // 1000
