"""The states of a stream transport, and which may follow which."""

from __future__ import annotations

from enum import IntEnum, auto

from corkdoor.state_machine import TransitionTable


class TransportState(IntEnum):
    """The life of one connection."""

    OPEN = auto()
    CLOSING = auto()  # closed by the protocol: the connection ends once all output is sent
    CLOSED = auto()  # the descriptor has been given back


class ReceiveState(IntEnum):
    """What happens to input."""

    READING = auto()
    PAUSED = auto()  # input stays in the kernel
    ENDED = auto()  # the peer has ended its output, or the connection ends


class SendState(IntEnum):
    """What happens to output."""

    OPEN = auto()
    ENDING = auto()  # nothing more is accepted; what is buffered is still sent
    ENDED = auto()


class WriterState(IntEnum):
    """Whether the protocol may write: it is told to stop while too much output is buffered."""

    WRITABLE = auto()
    PAUSED = auto()


class WatchState(IntEnum):
    """What a watch on a descriptor's readiness is doing."""

    OFF = auto()
    WATCHING = auto()
    RETRYING = auto()  # a system call failed for want of memory: a timer runs until the next try


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
