"""The invariants of sending, closing and starting, and the record of what their guards found.

The balancer decides when an event comes; what it decided on may be over by the time that bytes leave. A guard
checks an invariant at that last moment, and leaves the action out where it does not hold.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

from corkdoor.log_events import LogEvent

log = logging.getLogger(__name__)


class Invariant(Enum):
    """What must hold whenever the sidecar sends, closes or accepts; the value says it in words."""

    SENT_AFTER_ANSWER = "no attempt for a request that is answered"
    SENT_AFTER_DEADLINE = "no attempt after the deadline"
    SENT_AFTER_DISCONNECT = "no attempt for a client that has disconnected"
    SENT_TO_REMOVED = "no attempt to an endpoint that is draining or removed"
    SENT_UNNOTIFIED = "no attempt to an endpoint whose draining counts as notified, though no list came"
    UNSAFE_RETRY = "no retry that may run twice"
    CLOSED_UNANSWERED = "no close of a connection with an answer owed"
    ACCEPTED_BEFORE_START = "no request before the balancer has started"


class InvariantLog:
    """Counts and logs what the guards found, since the start."""

    def __init__(self) -> None:
        self.broken: Counter[Invariant] = Counter()
        self.possibly_broken: Counter[Invariant] = Counter()
        self.prevented: Counter[Invariant] = Counter()

    def record_broken(self, invariant: Invariant, detail: str) -> None:
        """The program is wrong: events alone can't bring this about."""
        self.broken[invariant] += 1
        log.error(_event("invariant_broken", invariant, detail))

    def record_possibly_broken(self, invariant: Invariant, detail: str) -> None:
        """It may have been broken: a list that came late does not say when its changes were made."""
        self.possibly_broken[invariant] += 1
        log.warning(_event("invariant_possibly_broken", invariant, detail))

    def record_prevented(self, invariant: Invariant, detail: str) -> None:
        """Events crossed, and the action was left out."""
        self.prevented[invariant] += 1
        log.info(_event("invariant_violation_prevented", invariant, detail))

    def counts(self) -> dict[str, int]:
        """Return the counts since the start by name, such as `broken_closed_unanswered`."""
        kinds = (
            ("broken", self.broken),
            ("possibly_broken", self.possibly_broken),
            ("prevented", self.prevented),
        )
        return {
            f"{kind}_{invariant.name.lower()}": count
            for kind, counter in kinds
            for invariant, count in sorted(counter.items(), key=lambda item: item[0].name)
        }


def _event(name: str, invariant: Invariant, detail: str) -> LogEvent:
    return LogEvent(name, invariant=invariant.name.lower(), rule=invariant.value, detail=detail)
