"""Discovery's queue: when each poll is served, and how long that takes. No I/O; times in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

US_PER_S = 1e6
NS_PER_S = 1e9


@dataclass(frozen=True, slots=True)
class ServiceCost:
    """The service time of a poll. The defaults are assumptions, because no page states any figures.

    Raises:
        ValueError: a cost is below 0, or the longest wait is not above 0.
    """

    poll_us: float = 500.0
    byte_ns: float = 10.0
    longest_wait_s: float = 2.0  # a poll that waits for longer fails with 503

    def __post_init__(self) -> None:
        if self.poll_us < 0 or self.byte_ns < 0 or self.longest_wait_s <= 0:
            raise ValueError("cost: poll_us and byte_ns must not be negative, longest_wait_s must be above 0")


class Completion(NamedTuple):
    """When a poll leaves the queue, in monotonic seconds, and whether it was served or waited too long."""

    at_s: float
    served: bool


class ServiceQueue:
    """A queue whose polls are served one after another, in the order of their arrival.

    Args:
        cost: determines the service time of each poll.
    """

    def __init__(self, cost: ServiceCost) -> None:
        self.cost = cost
        self.idle_at_s = 0.0  # when all accepted polls have been served
        self.busy_s = 0.0  # total service time of all accepted polls

    def add(self, now_s: float, size: int) -> Completion:
        """Add a poll with a response of `size` bytes, and return when it leaves the queue, served or not."""
        start_s = max(now_s, self.idle_at_s)
        if start_s - now_s > self.cost.longest_wait_s:
            return Completion(now_s + self.cost.longest_wait_s, False)
        service_s = self.cost.poll_us / US_PER_S + size * self.cost.byte_ns / NS_PER_S
        self.idle_at_s = start_s + service_s
        self.busy_s += service_s
        return Completion(self.idle_at_s, True)

    def drop(self, now_s: float) -> None:
        """Drop all polls that have not been served yet, as an outage does."""
        self.busy_s -= max(0.0, self.idle_at_s - now_s)
        self.idle_at_s = now_s
