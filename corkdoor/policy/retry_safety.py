"""When a request may be refused, and when it may be sent again (rule 2 of the protocol page)."""

from __future__ import annotations

from corkdoor.model import DeduplicationScope, Idempotency, Outcome

UNANSWERED = frozenset((Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED))
NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


def may_reject(idempotency: Idempotency, deduplication_scope: DeduplicationScope, may_have_run: bool) -> bool:
    """Rule 2: whether `shed` is a legal answer; if not, only `surrender` is."""
    if not may_have_run or idempotency is Idempotency.IDEMPOTENT:
        return True
    return idempotency is Idempotency.WITH_KEY and deduplication_scope is DeduplicationScope.ALL


def may_resend(
    idempotency: Idempotency,
    deduplication_scope: DeduplicationScope,
    window_us: int,
    first: tuple[int, str, int] | None,
    now: int,
    to: tuple[str, int],
) -> bool:
    """Rule 2: whether another attempt may go to an endpoint `to` (zone, cell).

    `first` is the earliest attempt that may have run, as (sent at, zone, cell), or None.
    """
    if first is None or idempotency is Idempotency.IDEMPOTENT:
        return True
    if idempotency is Idempotency.NOT_IDEMPOTENT or now - first[0] > window_us:
        return False
    if deduplication_scope is DeduplicationScope.ALL:
        return True
    return first[1] == to[0] if deduplication_scope is DeduplicationScope.ZONE else first[2] == to[1]
