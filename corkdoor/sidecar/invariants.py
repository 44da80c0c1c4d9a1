"""The invariants of sending, closing and starting, and counters and log events for their violations.

The balancer decides when an event arrives. The state on which it decided may have changed when the bytes are
written. A guard therefore checks an invariant immediately before the action, and omits an action that would
violate it.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

from corkdoor.log_events import LogEvent

log = logging.getLogger(__name__)


class Invariant(Enum):
    """What must hold when the sidecar sends, closes or accepts; the value is logged as the `rule`."""

    SENT_AFTER_ANSWER = "no attempt for a request that has its final response"
    SENT_AFTER_DEADLINE = "no attempt after the deadline of the request"
    SENT_AFTER_DISCONNECT = "no attempt for a client that has disconnected"
    SENT_TO_REMOVED = "no attempt to an endpoint that is draining or removed"
    SENT_UNNOTIFIED = "no attempt to an endpoint whose drain is considered notified, although no list arrived"
    UNSAFE_RETRY = "no retry that may run a request twice"
    CLOSED_UNANSWERED = "no close of a connection on which a response is pending"
    ACCEPTED_BEFORE_START = "no request accepted before the balancer has started"


class InvariantLog:
    """Logs the violations that the guards found or prevented, and counts them since the start."""

    def __init__(self) -> None:
        self.broken: Counter[Invariant] = Counter()
        self.possibly_broken: Counter[Invariant] = Counter()
        self.prevented: Counter[Invariant] = Counter()

    def record_broken(self, invariant: Invariant, detail: str) -> None:
        """Record a violation that events alone can't cause: the program has a fault."""
        self.broken[invariant] += 1
        log.error(_event("invariant_broken", invariant, detail))

    def record_possibly_broken(self, invariant: Invariant, detail: str) -> None:
        """Record a possible violation: a list that arrives late does not state when its changes were made."""
        self.possibly_broken[invariant] += 1
        log.warning(_event("invariant_possibly_broken", invariant, detail))

    def record_prevented(self, invariant: Invariant, detail: str) -> None:
        """Record a prevented violation: an event arrived after the decision, and the action was omitted."""
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
