"""Statistics of the discovery server: polls by kind and by time, bytes and connections."""

from __future__ import annotations

import time
from collections import Counter
from enum import StrEnum
from typing import NamedTuple


class PollKind(StrEnum):
    """What a poll asked for. The values appear in the records."""

    FULL_LIST = "whole"
    WATCH = "watch"
    UNKNOWN = "unknown"


class PollArrival(NamedTuple):
    """When a poll arrived, in monotonic seconds, and the number of its connection."""

    at_s: float
    connection: int


class DiscoveryStatistics:
    """Counts since the server started."""

    def __init__(self) -> None:
        self.started_s = time.monotonic()
        self.polls: Counter[PollKind] = Counter()
        self.failed = 0  # polls that waited too long in the queue
        self.full_list_bytes = 0  # of response bodies
        self.delta_bytes = 0  # of response bodies
        self.bytes_out = 0  # of responses, with their heads
        self.bytes_in = 0
        self.connections = 0
        self.open_connections = 0
        self.arrivals: list[PollArrival] = []

    def record_poll_arrival(self, kind: PollKind, now_s: float, connection: int) -> None:
        """Count a poll that arrived on a connection, in monotonic seconds."""
        self.polls[kind] += 1
        self.arrivals.append(PollArrival(now_s, connection))

    def count_per_step(self, since_s: float, until_s: float, step_s: float = 1.0) -> list[int]:
        """Return how many polls arrived in each step of a period.

        Args:
            since_s: the start of the period, in monotonic seconds.
            until_s: the end of the period, in monotonic seconds.
            step_s: the length of a step, in seconds.
        """
        bins = [0] * max(1, round((until_s - since_s) / step_s))
        for arrival in self.arrivals:
            index = int((arrival.at_s - since_s) / step_s)
            if since_s <= arrival.at_s and index < len(bins):
                bins[index] += 1
        return bins

    def count_per_second(self) -> list[int]:
        """Return how many polls arrived in each second since the start."""
        return self.count_per_step(self.started_s, time.monotonic() + 1.0)

    @property
    def peak_per_s(self) -> int:
        """The largest number of polls in one second."""
        return max(self.count_per_second())
