"""The states of a stream transport, and which may follow which."""

from __future__ import annotations

from enum import IntEnum

from corkdoor.state_machine import TransitionTable


class TransportState(IntEnum):
    """The life of one connection."""

    OPEN = 1
    CLOSING = 2  # closed by the protocol: the connection ends once all output is sent
    CLOSED = 3  # the descriptor has been given back


class ReceiveState(IntEnum):
    """What happens to input."""

    READING = 1
    PAUSED = 2  # input stays in the kernel
    ENDED = 3  # the peer has ended its output, or the connection ends


class SendState(IntEnum):
    """What happens to output."""

    OPEN = 1
    ENDING = 2  # nothing more is accepted; what is buffered is still sent
    ENDED = 3


class WriterState(IntEnum):
    """Whether the protocol may write: it is told to stop while too much output is buffered."""

    WRITABLE = 1
    PAUSED = 2


class WatchState(IntEnum):
    """What a watch on a descriptor's readiness is doing."""

    OFF = 1
    WATCHING = 2
    RETRYING = 3  # a system call failed for want of memory: a timer runs until the next try


class ListenerState(IntEnum):
    """The life of a listening socket."""

    OPEN = 1
    CLOSED = 2


TRANSPORT_STATES = TransitionTable(
    "stream_transport",
    {
        TransportState.OPEN: frozenset((TransportState.CLOSING, TransportState.CLOSED)),
        TransportState.CLOSING: frozenset((TransportState.CLOSED,)),
        TransportState.CLOSED: frozenset(),
    },
)
RECEIVE_STATES = TransitionTable(
    "stream_receiver",
    {
        ReceiveState.READING: frozenset((ReceiveState.PAUSED, ReceiveState.ENDED)),
        ReceiveState.PAUSED: frozenset((ReceiveState.READING, ReceiveState.ENDED)),
        ReceiveState.ENDED: frozenset(),
    },
)
SEND_STATES = TransitionTable(
    "stream_sender",
    {
        SendState.OPEN: frozenset((SendState.ENDING, SendState.ENDED)),
        SendState.ENDING: frozenset((SendState.ENDED,)),
        SendState.ENDED: frozenset(),
    },
)
WRITER_STATES = TransitionTable(
    "stream_writer",
    {
        WriterState.WRITABLE: frozenset((WriterState.PAUSED,)),
        WriterState.PAUSED: frozenset((WriterState.WRITABLE,)),
    },
)
WATCH_STATES = TransitionTable(
    "readiness_watch",
    {
        WatchState.OFF: frozenset((WatchState.WATCHING, WatchState.RETRYING)),
        WatchState.WATCHING: frozenset((WatchState.OFF,)),
        WatchState.RETRYING: frozenset((WatchState.OFF,)),
    },
)
LISTENER_STATES = TransitionTable(
    "listener",
    {
        ListenerState.OPEN: frozenset((ListenerState.CLOSED,)),
        ListenerState.CLOSED: frozenset(),
    },
)
