"""The states of a connection to an endpoint, and the transitions between them."""

from __future__ import annotations

from enum import IntEnum, auto

from corkdoor.state_machine import TransitionTable


class ConnectionState(IntEnum):
    """The state of a connection, which carries one exchange at a time."""

    IDLE = auto()  # no exchange
    SENDING = auto()  # the kernel has not accepted all of the request
    AWAITING_RESPONSE = auto()  # the kernel has accepted all of the request, and no response has begun
    RECEIVING_EARLY = auto()  # a response has begun before the kernel has accepted all of the request
    RECEIVING = auto()  # a response has begun, and the kernel has accepted all of the request
    CLOSED = auto()


# Module-level names: looking up enum members is slow.
IDLE, SENDING, AWAITING_RESPONSE, RECEIVING_EARLY, RECEIVING, CLOSED = ConnectionState

CONNECTION_STATES = TransitionTable(
    "upstream_connection",
    {
        IDLE: frozenset((AWAITING_RESPONSE, CLOSED)),
        SENDING: frozenset((AWAITING_RESPONSE, RECEIVING_EARLY, CLOSED)),
        AWAITING_RESPONSE: frozenset((SENDING, RECEIVING, CLOSED)),
        RECEIVING_EARLY: frozenset((RECEIVING, CLOSED)),
        RECEIVING: frozenset((IDLE, CLOSED)),
        CLOSED: frozenset(),
    },
)
RESPONSE_BEGUN = frozenset((RECEIVING_EARLY, RECEIVING))  # states in which a response has begun
REQUEST_SENT = frozenset((AWAITING_RESPONSE, RECEIVING))  # states in which the kernel has the whole request
# The state that follows when response bytes arrive, by the current state.
STATE_AFTER_DATA = {SENDING: RECEIVING_EARLY, AWAITING_RESPONSE: RECEIVING}
# The state that follows when the kernel has accepted all of the request, by the current state.
STATE_AFTER_SEND = {SENDING: AWAITING_RESPONSE, RECEIVING_EARLY: RECEIVING}
