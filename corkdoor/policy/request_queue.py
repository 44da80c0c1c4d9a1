"""The request queue: requests that wait for capacity, the highest priority first.

The queue controls its sojourn time as CoDel does. When, for a whole interval, the oldest request of some
priority has waited longer than the target, new requests are rejected until the sojourn time is below the
target again or the queue is empty.
"""

from __future__ import annotations

import heapq
from collections import deque
from typing import NamedTuple

from corkdoor.policy.request import Request
from corkdoor.policy.request_state import RequestState

TARGET_SOJOURN_SHARE = 0.12  # the target sojourn time, as a share of the latency objective
SOJOURN_INTERVAL_US = 200_000  # arrivals are rejected once the sojourn time was above its target this long
MAX_WAIT_SHARE_OUTERMOST = 0.35  # longest wait in the outermost layer, as a share of the latency objective
# Longest wait in inner layers, as a share of the latency objective. It is longer than in the outermost layer
# because a rejection by an inner layer surfaces as a failure.
MAX_WAIT_SHARE_INNER = 0.5


class QueueTimeout(NamedTuple):
    """When the wait of a queued request ends; `serial` orders timeouts that are due at the same time."""

    at_us: int
    serial: int
    request: Request


class RequestQueue:
    """The queued requests.

    Attributes:
        count: the number of queued requests.
    """

    def __init__(self, priority_count: int, layer: int) -> None:
        self._max_wait_share = MAX_WAIT_SHARE_INNER if layer else MAX_WAIT_SHARE_OUTERMOST
        self._by_priority: list[deque[Request]] = [deque() for _ in range(priority_count)]
        self._timeouts: list[QueueTimeout] = []
        self._serial = 0
        self._above_target_since_us: int | None = None
        self.count = 0

    @property
    def priority_count(self) -> int:
        """The number of priorities."""
        return len(self._by_priority)

    def reorder(self, priority_count: int) -> None:
        """Sort the queued requests into the changed priorities; within a priority, in order of arrival."""
        queued = [r for queue in self._by_priority for r in queue if r.state is RequestState.QUEUED]
        queued.sort(key=lambda request: request.arrived_us)
        self._by_priority = [deque() for _ in range(priority_count)]
        for request in queued:
            self._by_priority[request.priority].append(request)

    def push(self, now_us: int, request: Request) -> bool:
        """Queue a request; return False if it has no time left to wait."""
        wait_us = int(self._max_wait_share * request.objective_us)
        timeout_us = min(now_us + wait_us, request.respond_by_us - request.response_margin_us)
        if timeout_us <= now_us:
            return False
        request.enter(RequestState.QUEUED)
        self._by_priority[request.priority].append(request)
        self._serial += 1
        self.count += 1
        heapq.heappush(self._timeouts, QueueTimeout(timeout_us, self._serial, request))
        return True

    def record_dequeued(self) -> None:
        """Record that a request is no longer QUEUED; its entries are removed when they are found."""
        self.count -= 1
        if not self.count:
            # Once the queue is empty, earlier waits must not cause rejections.
            self._above_target_since_us = None

    def head(self, priority: int) -> Request | None:
        """Return the oldest queued request of a priority, or None."""
        queue = self._by_priority[priority]
        while queue and queue[0].state is not RequestState.QUEUED:
            queue.popleft()
        return queue[0] if queue else None

    def timed_out(self, now_us: int) -> Request | None:
        """Return a queued request whose wait has ended, or None."""
        timeouts = self._timeouts
        while timeouts and timeouts[0].request.state is not RequestState.QUEUED:
            heapq.heappop(timeouts)
        return timeouts[0].request if timeouts and timeouts[0].at_us <= now_us else None

    def update_sojourn(self, now_us: int) -> None:
        """Update since when the sojourn time has been above its target."""
        for priority in range(len(self._by_priority)):
            request = self.head(priority)
            if request is None:
                continue
            if now_us - request.arrived_us > TARGET_SOJOURN_SHARE * request.objective_us:
                if self._above_target_since_us is None:
                    self._above_target_since_us = now_us
                return
        self._above_target_since_us = None

    def rejects_arrivals(self, now_us: int) -> bool:
        """Return whether the sojourn time has been above its target for a whole interval."""
        since_us = self._above_target_since_us
        return since_us is not None and now_us - since_us >= SOJOURN_INTERVAL_US

    def longest_wait_us(self, now_us: int) -> int:
        """Return how long the oldest queued request has waited, in microseconds; 0 if none is queued."""
        heads = map(self.head, range(len(self._by_priority)))
        return max((now_us - request.arrived_us for request in heads if request), default=0)
