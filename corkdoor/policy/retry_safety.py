"""Retry safety: when a request may be rejected, and when another attempt may be sent.

A rejection promises that the request had no effect. Another attempt for a request that may have run is safe
if the request is idempotent, or if the endpoint drops a repeat with the same idempotency key.
"""

from __future__ import annotations

from typing import NamedTuple

from corkdoor.model import DeduplicationScope, Idempotency, Outcome

WITHOUT_RESPONSE = frozenset((Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED))
NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class FirstRun(NamedTuple):
    """The earliest attempt of a request that may have run: when it was sent, to which zone and cell."""

    sent_us: int
    zone: str
    cell: int | None


def may_reject(idempotency: Idempotency, deduplication_scope: DeduplicationScope, may_have_run: bool) -> bool:
    """Return whether a request may be rejected; if not, its only possible response is a failure."""
    if not may_have_run or idempotency is Idempotency.IDEMPOTENT:
        return True
    return idempotency is Idempotency.WITH_KEY and deduplication_scope is DeduplicationScope.ALL


def may_resend(
    idempotency: Idempotency,
    deduplication_scope: DeduplicationScope,
    window_us: int,
    first_run: FirstRun | None,
    now_us: int,
    zone: str,
    cell: int | None,
) -> bool:
    """Return whether another attempt may go to an endpoint in this zone and cell.

    Args:
        idempotency: whether the request may be repeated.
        deduplication_scope: which endpoints know each other's idempotency keys.
        window_us: how long they know a key, in microseconds.
        first_run: the earliest attempt that may have run; None: no attempt may have run.
        now_us: when the other attempt would be sent.
        zone: the endpoint's zone.
        cell: the endpoint's deduplication cell; None: it belongs to no cell.
    """
    if first_run is None or idempotency is Idempotency.IDEMPOTENT:
        return True
    if idempotency is Idempotency.NOT_IDEMPOTENT or now_us - first_run.sent_us > window_us:
        return False
    if deduplication_scope is DeduplicationScope.ALL:
        return True
    if deduplication_scope is DeduplicationScope.ZONE:
        return first_run.zone == zone
    return first_run.cell == cell
