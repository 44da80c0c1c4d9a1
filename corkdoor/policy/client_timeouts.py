"""Client timeouts: estimates how long ago a client first sent a request, from the timeout it arrives with.

A client that retries keeps the deadline of its first try, so its retries arrive with less than the usual
timeout of their class. The usual timeout is the one that most requests of the class arrive with; it is found
by a majority vote over the arriving requests.
"""

from __future__ import annotations

# Most votes that the usual timeout can have. Each request with another timeout takes one vote away, and the
# usual timeout changes when none is left.
MAX_VOTES = 50
TOLERANCE_PERCENT = 1  # timeouts that differ by at most this percentage of the class's deadline are the same


class UsualTimeout:
    """Estimates the timeout that most requests of one class arrive with."""

    def __init__(self) -> None:
        self._usual_us = 0
        self._votes = 0

    def record_timeout(self, timeout_us: int, deadline_us: int) -> int:
        """Record a request's timeout, and return how long ago its client first sent the request.

        Args:
            timeout_us: how long the client still waits, in microseconds.
            deadline_us: the deadline of the request's class, in microseconds: the timeout of a first try.

        Returns:
            The age in microseconds; 0 for the usual timeout, for one that becomes the usual one now, and for
            one that is not below the deadline.
        """
        if abs(timeout_us - self._usual_us) * 100 <= TOLERANCE_PERCENT * deadline_us:
            self._votes = min(self._votes + 1, MAX_VOTES)
            return 0
        self._votes -= 1
        if self._votes < 0:
            self._usual_us, self._votes = timeout_us, 0
            return 0
        return max(0, deadline_us - timeout_us)
