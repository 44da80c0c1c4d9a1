"""The states of a request inside the balancer, and the legal transitions between them."""

from __future__ import annotations

from enum import Enum

from corkdoor.state_machine import TransitionTable


class RequestState(Enum):
    """Where a request stands."""

    __hash__ = object.__hash__  # members are unique objects; the hash of Enum is slow

    NEW = "new"  # arrived, neither sent nor queued yet
    QUEUED = "queued"  # waits for capacity; nothing was sent
    IN_FLIGHT = "in_flight"  # attempts are in flight, an answer is owed
    BETWEEN_ATTEMPTS = "between_attempts"  # all attempts ended without an answer; one is still owed
    ANSWERED = "answered"  # no answer is owed any more, but attempts are still in flight
    CLOSED = "closed"  # no answer is owed and no attempt is in flight


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
