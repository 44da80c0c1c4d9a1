"""How long clients may take, and may leave their connections unused."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientTimeouts:
    """The limits on one client's connection.

    Attributes:
        first_request_s: from connecting to a first complete request, in seconds; an error or a close is due
            within 3 s.
        stalled_request_s: without a byte, in the middle of a later request, in seconds.
        idle_s: between requests, in seconds; so that clients that never come back do not add up.
        evictable_idle_s: idle connections may be closed to make room for a new one after this, in seconds.
        linger_s: for how long input is still read after a response that the client may not expect yet, in
            seconds.
        check_interval_s: how often connections are checked, in seconds.
    """

    first_request_s: float = 2.6
    stalled_request_s: float = 2.6
    idle_s: float = 5.0
    evictable_idle_s: float = 2.0
    linger_s: float = 1.0
    check_interval_s: float = 0.1
