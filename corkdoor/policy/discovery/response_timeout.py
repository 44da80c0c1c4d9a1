"""How long a call waits for discovery's response before a second call is made alongside it.

Inputs: the results of the calls, and jitter. Returns times in microseconds.

Discovery serves its calls one after another. A call that is given up therefore loses its queue position, and
discovery still spends its service time on a response that nobody receives. One call alone can't distinguish a
late response from a lost one, but a second call alongside the first can. If responses are only late, the
response to the first call arrives first. If the response to the second call arrives first, the response to
the first call is lost. From then on second calls are made sooner for a while (prompt second calls).

Second calls are prompt also while discovery rejects calls at once: no call then waits long in its queue.
"""

from __future__ import annotations

from corkdoor.policy.discovery.overload_pacing import IMMEDIATE_REJECTION_US

# Time from the start of a poll, to which discovery responds at once, to the second call. It is longer than a
# call waits in discovery's queue (MAX_QUEUE_WAIT_US of `list_freshness`).
POLL_RESPONSE_TIMEOUT_US = 3_000_000
# Time from the end of a watch's timeout (how long discovery may wait for a change) to the second call: 1 s
# after that end, the changes in the response are considered notified.
WATCH_RESPONSE_TIMEOUT_US = 1_000_000
MIN_WATCH_TIMEOUT_US = 500_000  # a call that lets discovery wait less than this is a poll
MAX_LATE_TIMEOUT_US = 4_000_000
LATE_TIMEOUT_FACTOR = 1.5  # timeout of the next call, relative to how late the last response was
GIVE_UP_DELAY_US = 2_000_000  # least time from the start of second calls until all calls are given up
PROMPT_LATENCY_FACTOR = 3  # a prompt second call is made after this multiple of the usual latency
MIN_PROMPT_TIMEOUT_US = 500_000
MAX_PROMPT_TIMEOUT_US = 4_000_000
# How long second calls are prompt after a lost response or an immediate rejection.
PROMPT_PERIOD_US = 60_000_000
LATENCY_DECAY = 0.75  # each response lowers the estimated latency at most to this share of it
REJECTED_BACKOFF_US = 300_000  # least mean delay of the next second call after discovery rejected one
FAILED_BACKOFF_US = 100_000  # mean delay of the next second call after one failed in another way
MIN_BACKOFF_SHARE = 0.7  # lower bound of a backoff relative to its mean; jitter adds up to 0.6 of the mean


class ResponseTimeout:
    """How long to wait for responses: longer while they are late, shorter while some get lost."""

    def __init__(self) -> None:
        self._late_timeout_us = 0  # how long to wait for a late response
        self._latency_us = 0  # estimated latency of a response
        self._prompt_until_us: int | None = None

    def second_call_delay_us(self, now_us: int, wait_us: int) -> int:
        """Return the delay from the start of the first call to that of the second, in microseconds.

        Args:
            now_us: the current time, in microseconds.
            wait_us: how long the first call lets discovery wait for a change, in microseconds.
        """
        if self._is_prompt(now_us):
            return wait_us + self._prompt_timeout_us()
        least_us = POLL_RESPONSE_TIMEOUT_US if wait_us < MIN_WATCH_TIMEOUT_US else WATCH_RESPONSE_TIMEOUT_US
        return wait_us + max(least_us, self._late_timeout_us)

    def second_response_timeout_us(self, now_us: int) -> int:
        """Return how long to wait for the response to a second call before the next one, in microseconds."""
        return self._prompt_timeout_us() if self._is_prompt(now_us) else self.give_up_delay_us()

    def give_up_delay_us(self) -> int:
        """Return the time from the start of second calls until all calls are given up, in microseconds."""
        return max(GIVE_UP_DELAY_US, self._late_timeout_us, self._latency_us)

    def second_call_backoff_us(self, rejected: bool, jitter: float) -> int:
        """Return the backoff after a second call that failed, in microseconds.

        Args:
            rejected: whether discovery rejected the call: its queue may be full.
            jitter: a random number from 0 to 1.
        """
        mean_us = max(REJECTED_BACKOFF_US, self._latency_us) if rejected else FAILED_BACKOFF_US
        return int(mean_us * (MIN_BACKOFF_SHARE + 2 * (1 - MIN_BACKOFF_SHARE) * jitter))

    def on_response(self, excess_us: int) -> None:
        """Record a response to the first call.

        Args:
            excess_us: how long the response took beyond the time that the call lets discovery wait, in
                microseconds; below 0: it came before that time was over.
        """
        late = excess_us > WATCH_RESPONSE_TIMEOUT_US
        self._late_timeout_us = (
            min(int(LATE_TIMEOUT_FACTOR * excess_us), MAX_LATE_TIMEOUT_US)
            if late
            else self._late_timeout_us // 2
        )
        self._record_latency(excess_us)

    def on_second_response(self, now_us: int, spent_us: int) -> None:
        """Record a response to a second call after `spent_us`: the response to the first call is lost."""
        self._prompt_until_us = now_us + PROMPT_PERIOD_US
        self._late_timeout_us = 0
        self._record_latency(spent_us)

    def on_rejection(self, now_us: int, spent_us: int) -> None:
        """Record a first call that discovery rejected after `spent_us`."""
        if spent_us < IMMEDIATE_REJECTION_US:
            self._prompt_until_us = now_us + PROMPT_PERIOD_US

    def on_given_up(self) -> None:
        """Record that no call got a response in time.

        Either the responses were lost, or discovery is even slower than assumed.
        """
        self._late_timeout_us = min(max(2 * self._late_timeout_us, GIVE_UP_DELAY_US), MAX_LATE_TIMEOUT_US)

    def _record_latency(self, latency_us: int) -> None:
        self._latency_us = max(latency_us, int(LATENCY_DECAY * self._latency_us))

    def _is_prompt(self, now_us: int) -> bool:
        return self._prompt_until_us is not None and now_us < self._prompt_until_us

    def _prompt_timeout_us(self) -> int:
        return max(
            MIN_PROMPT_TIMEOUT_US, min(PROMPT_LATENCY_FACTOR * self._latency_us, MAX_PROMPT_TIMEOUT_US)
        )
