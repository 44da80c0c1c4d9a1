"""Whether another attempt of a request may leave, by what became of those that were sent.

The guard goes by what the sidecar itself has written, and not by what the balancer believes.
"""

from __future__ import annotations

from collections.abc import Sequence
from operator import attrgetter
from typing import NamedTuple

from corkdoor.model import Idempotency, Outcome
from corkdoor.policy.retry_safety import NEVER_RAN, FirstRun, may_resend
from corkdoor.settings import Limits, RequestClass

MAX_SEND_DELAY_US = 150_000  # the process may be delayed for so long between reading its clock and writing


class Location(NamedTuple):
    """Where an endpoint stands: what groups of endpoints that drop repeats are made of."""

    zone: str
    cell: int | None


class SentAttempt(NamedTuple):
    """An attempt whose bytes were given to the kernel.

    Attributes:
        sent_us: when.
        location: where its endpoint stands.
        outcome: how it ended; None: it is in flight.
    """

    sent_us: int
    location: Location
    outcome: Outcome | None


def may_send_again(
    request_class: RequestClass,
    limits: Limits,
    sent: Sequence[SentAttempt],
    location: Location,
    now_us: int,
) -> bool:
    """Return whether an attempt to `location` may leave at `now_us`.

    The deduplication window counts from the earliest attempt that may have run. It is taken to be shorter
    by MAX_SEND_DELAY_US, since the attempt must arrive within it.
    """
    may_have_run = [attempt for attempt in sent if attempt.outcome not in NEVER_RAN]
    in_flight = any(attempt.outcome is None for attempt in may_have_run)
    if in_flight and (not limits.hedging_allowed or request_class.idempotency is Idempotency.NOT_IDEMPOTENT):
        return False
    if not may_have_run:
        return True
    first = min(may_have_run, key=attrgetter("sent_us"))
    return may_resend(
        request_class.idempotency,
        request_class.deduplication_scope,
        request_class.deduplication_window_us - MAX_SEND_DELAY_US,
        FirstRun(first.sent_us, *first.location),
        now_us,
        *location,
    )
