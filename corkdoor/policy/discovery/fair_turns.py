"""Fair turns at an overloaded discovery, one that rejects calls at once because its queue is full.

Inputs: how long rejected calls took, how long answers took, and how much time is left until an answer is
due. Returns waits in microseconds. Whoever calls just as the queue has room is served, so instances that
poll at one rate are served by chance and some not for very long. Instead those that were answered lately
yield, with their retries and with the watch that would follow an answer, and those that have waited longest
poll about once in the time that a turn takes. Polling more often would keep discovery busy with rejections
alone.
"""

from __future__ import annotations

import random

from corkdoor.model import DiscoveryMode, WatchEventKind
from corkdoor.policy.discovery.poll_limits import PollLimits
from corkdoor.settings import Settings

REJECTED_AT_ONCE_US = 250_000  # a call that is rejected within this has not waited for its turn
YIELD_SLACK_US = 2_000_000  # an instance with more time left than this yields its turn
FIRST_TURN_US = 300_000  # assumed until an answer shows what a turn takes
MIN_TURN_US = 200_000
MAX_TURN_US = 400_000
MAX_MEAN_WAIT_US = 1_000_000
USUAL_REJECTIONS = 12  # in a row; beyond that the mean wait grows in proportion
MIN_WAIT_SHARE = 0.5  # of the mean wait; the jitter adds up to once the mean
REST_US = 3_000_000
POLL_INTERVAL_PARTS = 4  # a rest takes at most this fraction of the poll interval
REST_JITTER = (0.75, 1.25)


class FairTurns:
    """Waits while discovery is overloaded.

    Attributes:
        turn_us: what a turn takes, in microseconds.
        overloaded: whether a call found the queue full since the last rest.
        rejections: such calls in a row.
    """

    def __init__(self, settings: Settings, limits: PollLimits) -> None:
        self.turn_us = FIRST_TURN_US
        self.overloaded = False
        self.rejections = 0
        self.configure(settings, limits)

    def configure(self, settings: Settings, limits: PollLimits) -> None:
        """Put other settings in force."""
        self.limits = limits
        self.yielding = settings.discovery_mode is DiscoveryMode.POLL  # pushed changes are due at once
        rest_us = min(REST_US, settings.lifecycle.poll_interval_us // POLL_INTERVAL_PARTS)
        self.rest_us = rest_us if self.yielding else 0

    def reset_rejections(self) -> None:
        """Start over: an answer has come, or the address has changed."""
        self.rejections = 0

    def learn(self, spent_us: int) -> None:
        """Learn what a turn takes from an answer that did not wait for a change.

        Args:
            spent_us: from the beginning of the call to its answer, in microseconds.
        """
        self.turn_us = max(MIN_TURN_US, min(spent_us, MAX_TURN_US))

    def record_failure(self, kind: WatchEventKind, spent_us: int) -> bool:
        """Take note of a failed call, and return whether it found discovery's queue full.

        Args:
            kind: how the call failed.
            spent_us: from its beginning to its failure, in microseconds.
        """
        queue_full = kind is WatchEventKind.REJECTED and spent_us < REJECTED_AT_ONCE_US
        self.overloaded |= queue_full
        return queue_full

    def wait_us(self, spent_us: int, slack_us: int, jitter: float) -> int:
        """Return the wait after a call that found the queue full, in microseconds.

        Args:
            spent_us: from the beginning of the call to its rejection, in microseconds.
            slack_us: the time left until an answer is due, in microseconds; below 0: it is overdue.
            jitter: drawn from 0 to 1.
        """
        self.rejections += 1
        yield_us = max(0, slack_us - YIELD_SLACK_US) if self.yielding else 0
        mean_us = min(MAX_MEAN_WAIT_US, self.turn_us * max(1.0, self.rejections / USUAL_REJECTIONS))
        turn_wait_us = yield_us + int(mean_us * (MIN_WAIT_SHARE + jitter))
        return min(self.limits.after_rejection_us - spent_us, turn_wait_us)

    def take_rest_us(self, rng: random.Random) -> int:
        """Return how long the watch rests after an answer, in microseconds; 0: it goes on at once."""
        if not self.overloaded:
            return 0
        self.overloaded = False
        return int(self.rest_us * rng.uniform(*REST_JITTER))
