"""The states of a request inside the balancer, and the legal transitions between them."""

from __future__ import annotations

from enum import Enum

from corkdoor.state_machine import TransitionTable


class RequestState(Enum):
    """The state of a request."""

    __hash__ = object.__hash__  # members are unique objects, and Enum.__hash__ is slow

    NEW = "new"  # arrived, neither sent nor queued yet
    QUEUED = "queued"  # waits for capacity; no attempt was sent
    IN_FLIGHT = "in_flight"  # attempts are in flight, and a response is pending
    BETWEEN_ATTEMPTS = "between_attempts"  # all attempts have ended, and a response is still pending
    ANSWERED = "answered"  # no response is pending, but attempts are still in flight
    CLOSED = "closed"  # no response is pending, and no attempt is in flight


REQUEST_TRANSITIONS = TransitionTable(
    "balancer_request",
    {
        RequestState.NEW: frozenset((RequestState.QUEUED, RequestState.IN_FLIGHT, RequestState.CLOSED)),
        RequestState.QUEUED: frozenset((RequestState.IN_FLIGHT, RequestState.CLOSED)),
        RequestState.IN_FLIGHT: frozenset(
            (RequestState.BETWEEN_ATTEMPTS, RequestState.ANSWERED, RequestState.CLOSED)
        ),
        RequestState.BETWEEN_ATTEMPTS: frozenset((RequestState.IN_FLIGHT, RequestState.CLOSED)),
        RequestState.ANSWERED: frozenset((RequestState.CLOSED,)),
        RequestState.CLOSED: frozenset(),
    },
)
