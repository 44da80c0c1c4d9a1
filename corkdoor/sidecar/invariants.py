"""What must hold when a sidecar sends, repeats, closes or starts: a guard for each, checked at run time.

The module decides when it is asked to; what it decided on may be over by the time that bytes leave, or a
connection closes. A guard is asked at that last moment. Where it says no, the action is left out, and the
log and the figures tell of it: `prevented` where events merely crossed, `broken` where the program is wrong,
`possible` where the process can't know: a list that came too late tells no time of its changes.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from corkdoor.model import Idempotency, Outcome
from corkdoor.policy.retry_safety import NEVER_RAN, FirstRun, may_resend
from corkdoor.settings import Limits, RequestClass

HELD_UP_US = 150_000  # a process may be held up for so long between reading its clock and writing
log = logging.getLogger(__name__)


class Invariant(Enum):
    """The promises that are checked; the values stand in the log and the figures."""

    SENT_AFTER_ANSWER = "no attempt for a request that is answered"
    SENT_AFTER_DEADLINE = "no attempt once its time is over"
    SENT_AFTER_DEPARTURE = "no attempt for a caller that has left"
    SENT_TO_RETIRED = "no attempt to an endpoint that drains or is gone"
    SENT_UNTOLD = "no attempt to an endpoint whose drain counts as told, though no list came"
    REPEATED_UNSAFELY = "no repeat that may run twice"
    CLOSED_UNANSWERED = "no close of a connection with an answer owed"
    TAKEN_BEFORE_START = "no request before the module has started"


class Location(NamedTuple):
    """Where an endpoint stands: what groups of endpoints that drop repeats are made of."""

    zone: str
    cell: int


class Sent(NamedTuple):
    """An attempt whose bytes were given to the kernel; `outcome` is None while it is out."""

    at_us: int
    location: Location
    outcome: Outcome | None


class InvariantLog:
    """Counts and logs what the guards found."""

    def __init__(self) -> None:
        self.broken: Counter[Invariant] = Counter()  # since the start
        self.prevented: Counter[Invariant] = Counter()
        self.possible: Counter[Invariant] = Counter()

    def note_broken(self, invariant: Invariant, detail: str) -> None:
        """The program is wrong: events can't bring this about."""
        self.broken[invariant] += 1
        log.error("invariant broken: %s: %s", invariant.value, detail)

    def note_prevented(self, invariant: Invariant, detail: str) -> None:
        """Events crossed, and the action was left out."""
        self.prevented[invariant] += 1
        log.info("left out: %s: %s", invariant.value, detail)

    def note_possible(self, invariant: Invariant, detail: str) -> None:
        """It may have been broken: what would tell is not known here."""
        self.possible[invariant] += 1
        log.warning("invariant possibly broken: %s: %s", invariant.value, detail)

    def summary(self) -> str:
        """The counts since the start, in one line."""
        kinds = (("broken", self.broken), ("possible", self.possible), ("prevented", self.prevented))
        counts = [
            f"{kind} {invariant.name.lower()} {count}"
            for kind, found in kinds
            for invariant, count in sorted(found.items(), key=_name)
        ]
        return "invariants: " + (", ".join(counts) or "all held")


def _name(item: tuple[Invariant, int]) -> str:
    return item[0].name


def may_repeat(
    request_class: RequestClass, limits: Limits, sent: Iterable[Sent], to: Location, now_us: int
) -> bool:
    """Whether another attempt may leave now, by what became of those before it (rule 2).

    The deduplication window counts from the earliest attempt that may have run, and a send may be held up.
    """
    earlier = [attempt for attempt in sent if attempt.outcome not in NEVER_RAN]
    out = any(attempt.outcome is None for attempt in earlier)
    if out and (not limits.hedging_allowed or request_class.idempotency is Idempotency.NOT_IDEMPOTENT):
        return False
    if not earlier:
        return True
    first = min(earlier)
    window_us = request_class.deduplication_window_us - HELD_UP_US
    return may_resend(
        request_class.idempotency,
        request_class.deduplication_scope,
        window_us,
        FirstRun(first.at_us, *first.location),
        now_us,
        to.zone,
        to.cell,
    )
