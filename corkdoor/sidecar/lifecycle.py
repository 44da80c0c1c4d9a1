"""The state of the sidecar process, from its start to the end of its graceful shutdown.

All parts of the sidecar share this state.
"""

from __future__ import annotations

from enum import IntEnum, auto

from corkdoor.state_machine import TransitionTable


class ProcessState(IntEnum):
    """The states of the process; it passes through all of them in this order."""

    STARTING = auto()
    SERVING = auto()
    DRAINING = auto()  # `/up` responds with 503, so new clients go elsewhere; connected clients are served
    CLOSING = auto()  # a client's connection closes after its next response, or when it is idle
    REJECTING = auto()  # the time for responses is over: no new request is forwarded
    STOPPED = auto()


PROCESS_STATES = TransitionTable(
    "process",
    {
        ProcessState.STARTING: frozenset((ProcessState.SERVING,)),
        ProcessState.SERVING: frozenset((ProcessState.DRAINING,)),
        ProcessState.DRAINING: frozenset((ProcessState.CLOSING,)),
        ProcessState.CLOSING: frozenset((ProcessState.REJECTING,)),
        ProcessState.REJECTING: frozenset((ProcessState.STOPPED,)),
        ProcessState.STOPPED: frozenset(),
    },
)
SERVING, CLOSING, REJECTING = ProcessState.SERVING, ProcessState.CLOSING, ProcessState.REJECTING


class Lifecycle:
    """Holds the state of the process.

    Attributes:
        state: the current state; only `enter` may change it.
    """

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = ProcessState.STARTING

    def enter(self, state: ProcessState) -> None:
        """Change to the given state, which must be the next one."""
        self.state = PROCESS_STATES.check(self.state, state)

    @property
    def may_report_ready(self) -> bool:
        """Whether `/up` may respond with 200, so that new clients are sent to this sidecar."""
        return self.state <= SERVING

    @property
    def is_closing(self) -> bool:
        """Whether clients' connections are to be closed."""
        return self.state >= CLOSING

    @property
    def is_rejecting(self) -> bool:
        """Whether new requests are rejected without an attempt."""
        return self.state >= REJECTING
