"""One attempt of a request at one endpoint."""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum, auto

from corkdoor.model import Outcome
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.resend_guard import Location
from corkdoor.sidecar.upstream.connection import Connection
from corkdoor.sidecar.upstream.response import Response
from corkdoor.state_machine import TransitionTable


class AttemptState(IntEnum):
    """How far an attempt has come."""

    PENDING = auto()  # nothing of it was written
    SENT = auto()  # its bytes were given to the kernel
    ENDED = auto()


PENDING, SENT, ENDED = AttemptState  # bound once: members are slow to look up
ATTEMPT_STATES = TransitionTable(
    "attempt",
    {
        PENDING: frozenset((SENT, ENDED)),
        SENT: frozenset((ENDED,)),
        ENDED: frozenset(),
    },
)


class Attempt:
    """One attempt; it ends once.

    Args:
        number: its place among the attempts of its request, from 0.
        endpoint_id: where it goes.
        location: where that endpoint stands.
        encode: makes the bytes to send as they go out, or returns None where it must not be sent.
        on_end: is called once with the outcome, and with the response where one came.
        label: what the log calls it.

    Attributes:
        state: how far it has come.
        outcome: how it ended; None: it has not.
        started_us: when the balancer chose it, before any connection was taken or opened.
        sent_us: when its bytes were given to the kernel; None: they were not.
        connection: the one that carries it.
    """

    __slots__ = (
        "connection",
        "encode",
        "endpoint_id",
        "label",
        "location",
        "number",
        "on_end",
        "outcome",
        "sent_us",
        "started_us",
        "state",
    )

    def __init__(
        self,
        number: int,
        endpoint_id: str,
        location: Location,
        encode: Callable[[Attempt], bytes | None],
        on_end: Callable[[Attempt, Outcome, Response | None], None],
        label: str = "",
    ) -> None:
        self.number = number
        self.endpoint_id = endpoint_id
        self.location = location
        self.encode = encode
        self.on_end = on_end
        self.label = label
        self.state = PENDING
        self.outcome: Outcome | None = None
        self.started_us = now_us()
        self.sent_us: int | None = None
        self.connection: Connection | None = None

    @property
    def ended(self) -> bool:
        """Whether it has its outcome."""
        return self.state is ENDED

    def mark_sent(self, connection: Connection) -> int:
        """Note that this connection carries it from now on, and return the time."""
        self.state = ATTEMPT_STATES.check(self.state, SENT)
        self.connection = connection
        self.sent_us = now_us()
        return self.sent_us

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """End it, unless it has ended."""
        if self.state is ENDED:
            return
        self.state = ATTEMPT_STATES.check(self.state, ENDED)
        self.outcome = outcome
        self.connection = None
        self.on_end(self, outcome, response)

    def outcome_name(self) -> str:
        """How it ended, for the log."""
        return "in_flight" if self.outcome is None else self.outcome.name.lower()
