"""The states of stream transports and listening sockets, and the transitions between them."""

from __future__ import annotations

from enum import IntEnum, auto

from corkdoor.state_machine import TransitionTable


class TransportState(IntEnum):
    """The life of one connection."""

    OPEN = auto()
    CLOSING = auto()  # closed by the protocol; the connection ends after all output is sent
    CLOSED = auto()  # the descriptor is closed


class ReceiveState(IntEnum):
    """The state of a transport's input."""

    READING = auto()
    PAUSED = auto()  # input stays in the kernel
    ENDED = auto()  # the peer has ended its output, or the connection is ending


class SendState(IntEnum):
    """The state of a transport's output."""

    OPEN = auto()
    ENDING = auto()  # no more output is accepted; buffered output is still sent
    ENDED = auto()


class WriterState(IntEnum):
    """Whether the protocol may write; it may not while too much output is buffered."""

    WRITABLE = auto()
    PAUSED = auto()


class WatchState(IntEnum):
    """The state of the watch for a descriptor's readiness."""

    OFF = auto()
    WATCHING = auto()
    RETRYING = auto()  # a system call failed for lack of memory; a timer runs until the retry


class ListenerState(IntEnum):
    """The life of a listening socket."""

    OPEN = auto()
    CLOSED = auto()


TRANSPORT_TRANSITIONS = TransitionTable(
    "stream_transport",
    {
        TransportState.OPEN: frozenset((TransportState.CLOSING, TransportState.CLOSED)),
        TransportState.CLOSING: frozenset((TransportState.CLOSED,)),
        TransportState.CLOSED: frozenset(),
    },
)
RECEIVE_TRANSITIONS = TransitionTable(
    "stream_receiver",
    {
        ReceiveState.READING: frozenset((ReceiveState.PAUSED, ReceiveState.ENDED)),
        ReceiveState.PAUSED: frozenset((ReceiveState.READING, ReceiveState.ENDED)),
        ReceiveState.ENDED: frozenset(),
    },
)
SEND_TRANSITIONS = TransitionTable(
    "stream_sender",
    {
        SendState.OPEN: frozenset((SendState.ENDING, SendState.ENDED)),
        SendState.ENDING: frozenset((SendState.ENDED,)),
        SendState.ENDED: frozenset(),
    },
)
WRITER_TRANSITIONS = TransitionTable(
    "stream_writer",
    {
        WriterState.WRITABLE: frozenset((WriterState.PAUSED,)),
        WriterState.PAUSED: frozenset((WriterState.WRITABLE,)),
    },
)
WATCH_TRANSITIONS = TransitionTable(
    "readiness_watch",
    {
        WatchState.OFF: frozenset((WatchState.WATCHING, WatchState.RETRYING)),
        WatchState.WATCHING: frozenset((WatchState.OFF,)),
        WatchState.RETRYING: frozenset((WatchState.OFF,)),
    },
)
LISTENER_TRANSITIONS = TransitionTable(
    "listener",
    {
        ListenerState.OPEN: frozenset((ListenerState.CLOSED,)),
        ListenerState.CLOSED: frozenset(),
    },
)
