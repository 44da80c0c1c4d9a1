"""Decides whether another attempt of a request may be sent, given the outcomes of those sent before.

The decision is based on what the sidecar itself has written, not on the state of the balancer.
"""

from __future__ import annotations

from collections.abc import Sequence
from operator import attrgetter
from typing import NamedTuple

from corkdoor.model import Idempotency, Outcome
from corkdoor.policy.retry_safety import NEVER_RAN, FirstRun, may_resend
from corkdoor.settings import Limits, RequestClass

# Allowance for the longest delay of the process between reading the clock and writing the attempt.
MAX_SEND_DELAY_US = 150_000


class Location(NamedTuple):
    """The zone and cell of an endpoint: they decide which endpoints know each other's idempotency keys."""

    zone: str
    cell: int | None


class SentAttempt(NamedTuple):
    """An attempt that has been passed to the kernel.

    Attributes:
        sent_us: when the attempt was passed to the kernel, in microseconds.
        location: the zone and cell of its endpoint.
        outcome: how the attempt ended; None: it is in flight.
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
    """Return whether an attempt to an endpoint at `location` may be sent at `now_us`.

    The deduplication window starts at the earliest attempt that may have run. It is shortened by
    MAX_SEND_DELAY_US, because the attempt must arrive within the window.
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
