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
    """The progress of an attempt."""

    PENDING = auto()  # no byte of the request has been written
    SENT = auto()  # the request has been passed to the kernel
    ENDED = auto()  # the outcome is known


PENDING, SENT, ENDED = AttemptState  # module-level names: looking up enum members is slow
ATTEMPT_STATES = TransitionTable(
    "attempt",
    {
        PENDING: frozenset((SENT, ENDED)),
        SENT: frozenset((ENDED,)),
        ENDED: frozenset(),
    },
)


class Attempt:
    """One attempt of a request; it ends exactly once.

    Args:
        number: the index of the attempt among those of its request, from 0.
        endpoint_id: the endpoint that the attempt is sent to.
        location: the zone and cell of that endpoint.
        encode: called immediately before sending; returns the bytes to send, or None if the attempt must not
            be sent.
        on_end: called once with the outcome, and with the response if there is one.
        label: identifies the attempt in the log.

    Attributes:
        state: the progress of the attempt.
        outcome: how the attempt ended; None: it has not ended.
        started_us: when the balancer chose the endpoint, before a connection was acquired or opened.
        sent_us: when the request was passed to the kernel; None: it was not.
        connection: the connection that carries the attempt; None: before it is sent and after it ends.
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
        """Whether the attempt has ended."""
        return self.state is ENDED

    def mark_sent(self, connection: Connection) -> int:
        """Record that this connection carries the attempt from now on, and return the current time."""
        self.state = ATTEMPT_STATES.check(self.state, SENT)
        self.connection = connection
        self.sent_us = now_us()
        return self.sent_us

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """End the attempt, unless it has already ended."""
        if self.state is ENDED:
            return
        self.state = ATTEMPT_STATES.check(self.state, ENDED)
        self.outcome = outcome
        self.connection = None
        self.on_end(self, outcome, response)

    def outcome_name(self) -> str:
        """Return the outcome as the log states it; `in_flight` until the attempt ends."""
        return "in_flight" if self.outcome is None else self.outcome.name.lower()
