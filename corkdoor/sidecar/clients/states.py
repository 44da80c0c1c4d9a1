"""The states of a client connection, and the transitions between them.

A connection has three states that change independently: the state of its input, the state of its output, and
what is known about the client. Whether reading is paused is a fourth state, kept by `read_flow`.
"""

from __future__ import annotations

from enum import IntEnum, auto

from corkdoor.state_machine import TransitionTable


class InputState(IntEnum):
    """The position of the parser in the stream of requests."""

    IDLE = auto()  # between requests
    HEAD = auto()
    BODY = auto()  # including trailers
    ENDED = auto()  # no more input is parsed; the last request was complete
    TRUNCATED = auto()  # no more input is parsed; the last request is incomplete
    CLOSED = auto()  # the connection has ended


class OutputState(IntEnum):
    """Whether the client reads its responses."""

    FLOWING = auto()
    BLOCKED = auto()  # too much output is buffered: no further request is served


class ClientState(IntEnum):
    """Whether the client has made a valid request; time limits and eviction depend on it."""

    NEW = auto()  # the client has made no valid request
    ESTABLISHED = auto()


class ReadState(IntEnum):
    """Whether input is read from the connection."""

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
