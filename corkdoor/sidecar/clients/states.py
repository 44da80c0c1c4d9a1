"""The states of a client's connection, and which may follow which.

It has three states at a time, since they change independently: of its input, of its output, and of
what is known of the client. Whether reading is paused is a fourth, kept by `read_flow`.
"""

from __future__ import annotations

from enum import IntEnum, auto

from corkdoor.state_machine import TransitionTable


class InputState(IntEnum):
    """Where in the stream of requests the parser is."""

    IDLE = auto()  # between requests
    HEAD = auto()
    BODY = auto()  # trailers included
    ENDED = auto()  # nothing more is read; the last request was complete
    TRUNCATED = auto()  # nothing more is read, in the middle of a request
    CLOSED = auto()  # the connection has ended


class OutputState(IntEnum):
    """Whether the client reads its responses."""

    FLOWING = auto()
    BLOCKED = auto()  # too much is buffered: no further request is served


class ClientState(IntEnum):
    """What the client has shown of itself; limits on time and eviction depend on it."""

    NEW = auto()  # it has made no valid request
    ESTABLISHED = auto()


class ReadState(IntEnum):
    """Whether the connection is read."""

    READING = auto()
    PAUSED = auto()


INPUT_TRANSITIONS = TransitionTable(
    "client_input",
    {
        InputState.IDLE: frozenset((InputState.HEAD, InputState.ENDED)),
        InputState.HEAD: frozenset((InputState.BODY, InputState.TRUNCATED)),
        InputState.BODY: frozenset((InputState.IDLE, InputState.TRUNCATED)),
        InputState.ENDED: frozenset((InputState.CLOSED,)),
        InputState.TRUNCATED: frozenset((InputState.CLOSED,)),
        InputState.CLOSED: frozenset(),
    },
)
OUTPUT_TRANSITIONS = TransitionTable(
    "client_output",
    {
        OutputState.FLOWING: frozenset((OutputState.BLOCKED,)),
        OutputState.BLOCKED: frozenset((OutputState.FLOWING,)),
    },
)
CLIENT_TRANSITIONS = TransitionTable(
    "client",
    {
        ClientState.NEW: frozenset((ClientState.ESTABLISHED,)),
        ClientState.ESTABLISHED: frozenset(),
    },
)
READ_TRANSITIONS = TransitionTable(
    "client_read_flow",
    {
        ReadState.READING: frozenset((ReadState.PAUSED,)),
        ReadState.PAUSED: frozenset((ReadState.READING,)),
    },
)
