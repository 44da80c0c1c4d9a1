"""Fair turns at an overloaded discovery.

Inputs: how calls ended and how long they took, and how much time is left until an answer is due. Returns
waits in microseconds. Discovery is overloaded where it rejects calls at once because its queue is full, or
takes long to answer a poll. Whoever calls just as the queue has room is served, so instances that poll at one
rate are served by chance and some not for very long; and whoever watches is served at each change, ahead of
those that have to poll. So while discovery is overloaded and changes are dense every instance rests after an
answer, always for the same time: once all are served they find the same gaps again in the next round. Where
changes are rare a watch costs little, and an instance rests only if it was rejected since its last rest.
Those that have waited longest poll about once in the time that a turn takes. Polling more often would keep
discovery busy with rejections alone.

An instance whose watch is answered again and again is never rejected, and can't tell a slow discovery from
many changes. It rests once for a moment: the time that the poll after that takes does tell.
"""

from __future__ import annotations

from corkdoor.model import DiscoveryMode, WatchEventKind
from corkdoor.policy.discovery.poll_limits import PollLimits
from corkdoor.settings import Settings

REJECTED_AT_ONCE_US = 250_000  # a call that is rejected within this has not waited for its turn
SLOW_POLL_US = 500_000  # a poll that takes longer has waited behind many others
YIELD_SLACK_US = 2_000_000  # an instance with more time left than this yields its turn
FIRST_TURN_US = 300_000  # assumed until an answer shows what a turn takes
MIN_TURN_US = 200_000
MAX_TURN_US = 400_000
MAX_MEAN_WAIT_US = 1_000_000
USUAL_REJECTIONS = 12  # in a row; beyond that the mean wait grows in proportion
MIN_WAIT_SHARE = 0.5  # of the mean wait; the jitter adds up to once the mean
REST_US = 4_000_000  # of the 6 s within which an answer is due
DENSE_CHANGES_US = 6_000_000  # between two lists with changes; a watch that follows is soon answered again
REST_LATENCIES = 4  # a rest takes at most so many times the time of a slow poll
POLL_INTERVAL_PARTS = 2  # and at most this fraction of the poll interval
CALM_ANSWERS = 3  # in a row, after which a rest is shorter, or discovery overloaded no more
FAST_POLL_US = 100_000  # a discovery that answers a poll within this has capacity for watches
DENSE_ANSWER_US = 2_000_000  # a watch that is answered sooner, but not fast, may have waited in the queue
DENSE_ANSWERS = 3  # in a row, after which the watch rests once
MAX_DENSE_ANSWERS = 48  # twice as many each time that the poll after the rest was fast
PROBE_REST_US = 500_000


class FairTurns:
    """Waits while discovery is overloaded.

    Attributes:
        turn_us: what a turn takes, in microseconds.
        overloaded: whether a call found the queue full, or a poll was slow, not long ago.
        rejections: calls in a row that found the queue full.
    """

    def __init__(self, settings: Settings, limits: PollLimits) -> None:
        self.turn_us = FIRST_TURN_US
        self.overloaded = False
        self.rejections = 0
        self._calm_answers = 0
        self._rejected = False  # at once, since the last rest
        self._last_change_us: int | None = None
        self._changes_dense = False
        self._overload_rest_us = 0  # the rest that the overload asks for
        self._poll_us = 0  # what the last poll took
        self._dense_answers = 0
        self._dense_answers_allowed = DENSE_ANSWERS
        self._probing = False  # the next poll tells whether discovery is slow
        self._slow = False  # the overload shows in slow polls, and not in rejections
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

    def record_poll(self, spent_us: int) -> None:
        """Take note of how long a poll took, or has taken without an answer, in microseconds."""
        self._poll_us = spent_us
        probing, self._probing = self._probing, False
        if spent_us > SLOW_POLL_US or (probing and spent_us > FAST_POLL_US):
            self._record_overload(REST_LATENCIES * spent_us, slow=True)
            self._dense_answers_allowed = DENSE_ANSWERS
        elif probing:
            self._dense_answers_allowed = min(2 * self._dense_answers_allowed, MAX_DENSE_ANSWERS)

    def record_change(self, now_us: int) -> None:
        """Take note of a list with changes, at this time in microseconds."""
        last_us, self._last_change_us = self._last_change_us, now_us
        self._changes_dense = last_us is not None and now_us - last_us < DENSE_CHANGES_US

    def record_watch(self, spent_us: int) -> None:
        """Take note of how long a watch took to bring a change, in microseconds."""
        dense = FAST_POLL_US < spent_us < DENSE_ANSWER_US
        self._dense_answers = self._dense_answers + 1 if dense else 0

    def record_failure(self, kind: WatchEventKind, spent_us: int) -> bool:
        """Take note of a failed call, and return whether it found discovery's queue full.

        Args:
            kind: how the call failed.
            spent_us: from its beginning to its failure, in microseconds.
        """
        queue_full = kind is WatchEventKind.REJECTED and spent_us < REJECTED_AT_ONCE_US
        if queue_full:
            self._rejected = True
            self._record_overload(REST_US, slow=False)
        return queue_full

    def wait_us(self, spent_us: int, slack_us: int, jitter: float) -> int:
        """Return the wait after a call that found the queue full, in microseconds.

        Args:
            spent_us: from the beginning of the call to its rejection, in microseconds.
            slack_us: the time left until an answer is due, in microseconds; below 0: it is overdue.
            jitter: drawn from 0 to 1.
        """
        self.rejections += 1
        mean_us = min(MAX_MEAN_WAIT_US, self.turn_us * max(1.0, self.rejections / USUAL_REJECTIONS))
        turn_wait_us = self.yield_us(slack_us) + int(mean_us * (MIN_WAIT_SHARE + jitter))
        return min(self.limits.after_rejection_us - spent_us, turn_wait_us)

    def yield_us(self, slack_us: int) -> int:
        """Return how long an instance leaves its turn to others, in microseconds.

        Args:
            slack_us: the time left until an answer is due, in microseconds.
        """
        return max(0, slack_us - YIELD_SLACK_US) if self.yielding else 0

    def take_rest_us(self) -> int:
        """Return how long the watch rests after an answer, in microseconds; 0: it goes on at once."""
        if not self.overloaded:
            return self._probe_rest_us()
        rejected, self._rejected = self._rejected, False
        if not self._changes_dense:  # a watch costs discovery nothing until the next change
            return self.rest_us if rejected else 0
        self._calm_answers += 1
        if self._calm_answers > CALM_ANSWERS:
            self._overload_rest_us = REST_LATENCIES * self._poll_us
            self.overloaded = self._poll_us > FAST_POLL_US
        return min(self.rest_us, self._overload_rest_us)

    def _probe_rest_us(self) -> int:
        if self._dense_answers < self._dense_answers_allowed:
            return 0
        self._dense_answers = 0
        self._probing = True
        return min(self.rest_us, PROBE_REST_US)

    @property
    def wants_poll(self) -> bool:
        """Whether the call after a rest is to tell how busy discovery is.

        While discovery rejects calls that is known, and a watch costs it less than a poll and a watch.
        """
        return self._probing or self._slow or self._calm_answers >= CALM_ANSWERS

    def _record_overload(self, rest_us: int, slow: bool) -> None:
        self._overload_rest_us = max(self._overload_rest_us, rest_us) if self.overloaded else rest_us
        self.overloaded = True
        self._slow = slow
        self._calm_answers = 0
