"""The longest interval between the starts of two calls to discovery.

Inputs: the settings. A change is considered notified 6 s after discovery had it and could be reached. In the
worst case a call has started just before discovery came back. The next call must then start, connect, wait in
discovery's queue and get its response within those 6 s. In a push deployment a change is considered notified
at once, so an instance polls sooner.
"""

from __future__ import annotations

from typing import NamedTuple

from corkdoor.model import DiscoveryMode
from corkdoor.settings import Settings

FIRST_INTERVAL_US = 750_000  # the first backoff interval, and the least limit if this instance polls
# Longest backoff interval after a failure, and after a rejection that is the first failure in a row.
MAX_INTERVAL_US = 3_500_000
# Longest interval after any other rejection. It is longer than MAX_INTERVAL_US, because a rejection shows
# that discovery gets more calls than it can respond to.
MAX_INTERVAL_REJECTED_US = 5_500_000
# A change is considered notified after four poll intervals, so the next call starts within three.
MAX_POLL_INTERVALS = 3
# Numerator and denominator of the fraction of the drain grace that is the limit in a push deployment.
PUSH_DRAIN_GRACE_FRACTION = (3, 8)


class PollLimits(NamedTuple):
    """The longest time from the start of one call to the start of the next.

    Attributes:
        after_failure_us: the limit after a call that failed, in microseconds.
        after_rejection_us: the limit after a call that discovery rejected, in microseconds.
    """

    after_failure_us: int
    after_rejection_us: int


def poll_limits(settings: Settings) -> PollLimits:
    """Return the longest time from the start of one call to discovery to the start of the next.

    Both limits are computed from the poll interval. They are at least `FIRST_INTERVAL_US`, and at most
    `MAX_INTERVAL_US` after a failure and `MAX_INTERVAL_REJECTED_US` after a rejection. In a push deployment
    the limit after a failure is computed from the drain grace, also up to `MAX_INTERVAL_US`, and the one
    after a rejection is always `MAX_INTERVAL_REJECTED_US`.
    """
    lifecycle = settings.lifecycle
    if settings.discovery_mode is DiscoveryMode.PUSH:
        numerator, denominator = PUSH_DRAIN_GRACE_FRACTION
        limit_us = numerator * lifecycle.drain_grace_us // denominator
        return PollLimits(min(MAX_INTERVAL_US, limit_us), MAX_INTERVAL_REJECTED_US)
    limit_us = max(FIRST_INTERVAL_US, MAX_POLL_INTERVALS * lifecycle.poll_interval_us)
    return PollLimits(min(MAX_INTERVAL_US, limit_us), min(MAX_INTERVAL_REJECTED_US, limit_us))
