"""Pacing of calls to an overloaded discovery.

Inputs: how calls ended, how long they took, and how much time is left until a response is due. Returns delays
and pauses in microseconds.

Discovery is overloaded if it rejects calls at once because its queue is full, or if it takes long to respond
to a poll. Two groups then keep the others waiting. A call that arrives just as the queue has room is served,
so instances that all poll at one rate are served by chance, and some of them not for a very long time. An
open watch is served at each change, ahead of the instances that have to poll.

While discovery is overloaded and changes are dense, every instance therefore pauses after a response. The
pause always has the same length: once all instances have been served, each finds the same free queue position
again in the next round. While changes are sparse a watch costs discovery little, so an instance pauses only
if it was rejected since its last pause. A rejected instance with time to spare defers its next call. The
instances that have waited longest poll about once per service time: polling more often would keep discovery
busy with rejections alone.

An instance whose watch gets one response after another is never rejected, and can't distinguish a slow
discovery from frequent changes. It makes one short pause, the probe pause, and polls after it: the time that
this poll takes shows whether discovery is slow.
"""

from __future__ import annotations

from corkdoor.model import DiscoveryMode, WatchEventKind
from corkdoor.policy.discovery.poll_limits import PollLimits
from corkdoor.settings import Settings

IMMEDIATE_REJECTION_US = 250_000  # a call that is rejected within this time has not waited in the queue
SLOW_POLL_US = 500_000  # a poll that takes longer has waited behind many others
DEFERRAL_SLACK_US = 2_000_000  # an instance with more time left than this lets others go first
INITIAL_SERVICE_TIME_US = 300_000  # assumed until a response shows the service time
MIN_SERVICE_TIME_US = 200_000
MAX_SERVICE_TIME_US = 400_000
MAX_MEAN_DELAY_US = 1_000_000  # upper bound of the mean delay between the calls of a rejected instance
REJECTIONS_AT_BASE_DELAY = 12  # consecutive rejections above which the mean delay grows in proportion
# The delay after a rejection, without the deferral and before its upper limit, is drawn from 0.5 to 1.5 times
# the mean delay: it is the mean times the sum of this share and the jitter, 0 to 1.
MIN_DELAY_SHARE = 0.5
PAUSE_US = 4_000_000  # longest pause: it leaves 2 s of the 6 s within which a response is due
DENSE_CHANGE_INTERVAL_US = 6_000_000  # changes less than this apart are dense: a new watch soon ends again
PAUSE_LATENCY_FACTOR = 4  # a pause lasts at most this multiple of the time that a slow poll took
PAUSE_POLL_INTERVAL_DIVISOR = 2  # a pause lasts at most the poll interval divided by this
# After more than this many consecutive responses without a sign of overload, the duration of the last poll
# sets the pause, which gets shorter, or shows that the overload is over.
RECOVERY_RESPONSES = 3
FAST_POLL_US = 100_000  # a discovery that responds to a poll within this time has capacity for watches
# A watch that gets its response within this time, but not within FAST_POLL_US, may have waited in the queue.
# Its response is a dense response.
DENSE_WATCH_US = 2_000_000
DENSE_RESPONSES_BEFORE_PROBE = 3  # consecutive dense responses after which the watch makes a probe pause
# Upper bound of the number of dense responses before a probe pause. The number doubles each time that the
# poll after a probe pause was fast.
MAX_DENSE_RESPONSES_BEFORE_PROBE = 48
PROBE_PAUSE_US = 500_000  # length of a probe pause


class OverloadPacing:
    """Delays and pauses of one instance while discovery is overloaded.

    Attributes:
        service_time_us: how long discovery needs for one call, in microseconds.
        overloaded: whether a recent call found the queue full, or a recent poll was slow.
        rejections: the number of consecutive calls that found the queue full.
        defers_to_others: whether this instance lets others go first while it has time left.
        pause_us: the longest pause that the settings allow, in microseconds; 0: never pause.
    """

    def __init__(self, settings: Settings, limits: PollLimits) -> None:
        self.service_time_us = INITIAL_SERVICE_TIME_US
        self.overloaded = False
        self.rejections = 0
        self._responses_since_overload = 0  # counted while changes are dense
        self._rejected_since_pause = False  # by an immediate rejection
        self._last_change_us: int | None = None
        self._changes_dense = False
        self._overload_pause_us = 0  # the pause that the current overload calls for
        self._last_poll_us = 0  # how long the last poll took
        self._dense_responses = 0
        self._dense_responses_before_probe = DENSE_RESPONSES_BEFORE_PROBE
        self._probing = False  # the next poll shows whether discovery is slow
        self._polls_slow = False  # the overload was detected by slow polls, not by rejections
        self.configure(settings, limits)

    def configure(self, settings: Settings, limits: PollLimits) -> None:
        """Apply settings."""
        self.limits = limits
        # A push deployment doesn't defer its calls: pushed changes are due at once.
        self.defers_to_others = settings.discovery_mode is DiscoveryMode.POLL
        pause_us = min(PAUSE_US, settings.lifecycle.poll_interval_us // PAUSE_POLL_INTERVAL_DIVISOR)
        self.pause_us = pause_us if self.defers_to_others else 0

    def reset_rejections(self) -> None:
        """Reset the count of consecutive rejections, after a response or a change of the address."""
        self.rejections = 0

    def record_service_time(self, spent_us: int) -> None:
        """Update the service time from a response that did not wait for a change.

        Args:
            spent_us: the time from the start of the call to its response, in microseconds.
        """
        self.service_time_us = max(MIN_SERVICE_TIME_US, min(spent_us, MAX_SERVICE_TIME_US))

    def record_poll(self, spent_us: int) -> None:
        """Record how long a poll took, or has taken so far without a response, in microseconds."""
        self._last_poll_us = spent_us
        probing, self._probing = self._probing, False
        if spent_us > SLOW_POLL_US or (probing and spent_us > FAST_POLL_US):
            self._record_overload(PAUSE_LATENCY_FACTOR * spent_us, slow=True)
            self._dense_responses_before_probe = DENSE_RESPONSES_BEFORE_PROBE
        elif probing:
            self._dense_responses_before_probe = min(
                2 * self._dense_responses_before_probe, MAX_DENSE_RESPONSES_BEFORE_PROBE
            )

    def record_change(self, now_us: int) -> None:
        """Record the arrival of a list with changes, at `now_us` in microseconds."""
        last_us, self._last_change_us = self._last_change_us, now_us
        self._changes_dense = last_us is not None and now_us - last_us < DENSE_CHANGE_INTERVAL_US

    def record_watch(self, spent_us: int) -> None:
        """Record how long a watch was open until it brought a change, in microseconds."""
        dense = FAST_POLL_US < spent_us < DENSE_WATCH_US
        self._dense_responses = self._dense_responses + 1 if dense else 0

    def record_failure(self, kind: WatchEventKind, spent_us: int) -> bool:
        """Record a failed call, and return whether it found discovery's queue full.

        Args:
            kind: how the call failed.
            spent_us: the time from the start of the call to its failure, in microseconds.
        """
        queue_full = kind is WatchEventKind.REJECTED and spent_us < IMMEDIATE_REJECTION_US
        if queue_full:
            self._rejected_since_pause = True
            self._record_overload(PAUSE_US, slow=False)
        return queue_full

    def take_rejection_delay_us(self, spent_us: int, slack_us: int, jitter: float) -> int:
        """Count a call that found the queue full, and return the delay of the next call, in microseconds.

        Args:
            spent_us: the time from the start of the call to its rejection, in microseconds.
            slack_us: the time left until a response is due, in microseconds; below 0: it is overdue.
            jitter: a random number from 0 to 1.
        """
        self.rejections += 1
        mean_us = min(
            MAX_MEAN_DELAY_US, self.service_time_us * max(1.0, self.rejections / REJECTIONS_AT_BASE_DELAY)
        )
        paced_delay_us = self.deferral_us(slack_us) + int(mean_us * (MIN_DELAY_SHARE + jitter))
        return min(self.limits.after_rejection_us - spent_us, paced_delay_us)

    def deferral_us(self, slack_us: int) -> int:
        """Return how long this instance lets others go first, in microseconds.

        Args:
            slack_us: the time left until a response is due, in microseconds.
        """
        return max(0, slack_us - DEFERRAL_SLACK_US) if self.defers_to_others else 0

    def take_pause_us(self) -> int:
        """Return the pause after a response, in microseconds, and update the state of the overload.

        Returns 0 if the next watch starts at once.
        """
        if not self.overloaded:
            return self._take_probe_pause_us()
        rejected, self._rejected_since_pause = self._rejected_since_pause, False
        if not self._changes_dense:  # a watch costs discovery nothing until the next change
            return self.pause_us if rejected else 0
        self._responses_since_overload += 1
        if self._responses_since_overload > RECOVERY_RESPONSES:
            self._overload_pause_us = PAUSE_LATENCY_FACTOR * self._last_poll_us
            self.overloaded = self._last_poll_us > FAST_POLL_US
        return min(self.pause_us, self._overload_pause_us)

    def _take_probe_pause_us(self) -> int:
        if self._dense_responses < self._dense_responses_before_probe:
            return 0
        self._dense_responses = 0
        self._probing = True
        return min(self.pause_us, PROBE_PAUSE_US)

    @property
    def polls_after_pause(self) -> bool:
        """Whether the call after a pause is a poll, whose duration shows how busy discovery is.

        No poll is needed while discovery rejects calls: it is then known to be busy, and a watch alone costs
        it less than a poll followed by a watch.
        """
        return self._probing or self._polls_slow or self._responses_since_overload >= RECOVERY_RESPONSES

    def _record_overload(self, pause_us: int, slow: bool) -> None:
        self._overload_pause_us = max(self._overload_pause_us, pause_us) if self.overloaded else pause_us
        self.overloaded = True
        self._polls_slow = slow
        self._responses_since_overload = 0
