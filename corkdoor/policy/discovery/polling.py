"""The sequence of calls of one instance to discovery.

Applies the rules of this package: reports the result of each call to them, and starts the next call after the
delay that the first applicable rule returns.
"""

from __future__ import annotations

import random

from corkdoor.interface import Actions
from corkdoor.model import Timer, WatchEventKind
from corkdoor.policy.discovery.address_debounce import AddressDebounce
from corkdoor.policy.discovery.failure_backoff import BackoffPhase, FailureBackoff
from corkdoor.policy.discovery.immediate_retry import ImmediateRetry
from corkdoor.policy.discovery.list_freshness import ListFreshness
from corkdoor.policy.discovery.overload_pacing import OverloadPacing
from corkdoor.policy.discovery.poll_limits import poll_limits
from corkdoor.policy.discovery.poll_state import POLL_TRANSITIONS, PollState
from corkdoor.settings import Settings

# How long a call in flight at the old address keeps its queue position after a change of the address. It is
# shorter than the 1.5 s after which the old address closes its connections.
KEEP_QUEUE_POSITION_US = 1_200_000


class DiscoveryPolling:
    """Opens and closes the watch on discovery, depending on the result of the last call.

    After each response the host opens a watch of its own accord, and keeps it open.

    Args:
        settings: the instance's settings.
        now_us: the current time, in microseconds.
        actions: opens and closes the watch, and starts timers.
        rng: the random number generator for jitter.

    Attributes:
        state: the state of polling.
        next_call_us: when a timer starts the next call, in microseconds; None: no timer does.
        call_is_poll: whether the call in flight is a poll, not a watch.
        freshness: until when every change of the endpoint list is known.
    """

    def __init__(self, settings: Settings, now_us: int, actions: Actions, rng: random.Random) -> None:
        limits = poll_limits(settings)
        self.actions = actions
        self.random = rng
        self.freshness = ListFreshness(settings, now_us)
        self.immediate_retry = ImmediateRetry()
        self.pacing = OverloadPacing(settings, limits)
        self.backoff = FailureBackoff(limits)
        self.debounce = AddressDebounce()
        self.state = PollState.CALLING
        self.next_call_us: int | None = None
        self.call_is_poll = False
        self.call_began_us = now_us  # of the call in flight, or of the last call if there is none

    def configure(self, settings: Settings) -> None:
        """Apply settings."""
        limits = poll_limits(settings)
        self.backoff.limits = limits
        self.pacing.configure(settings, limits)
        self.freshness.configure(settings)

    def start_call(self, now_us: int) -> None:
        """Start a call. A call that is still in flight at an older address is given up."""
        poll_first = self.state is PollState.RESTING and self.pacing.polls_after_pause
        at_new_address = self.state is PollState.SETTLING
        self.call_is_poll = poll_first or at_new_address
        self._enter(PollState.CALLING, None)
        self.call_began_us = now_us
        self.actions.watch_discovery(True, poll_first)

    def on_timer(self, now_us: int) -> None:
        """Start the next call if it is due. A timer that is no longer current does nothing."""
        if self.next_call_us is not None and now_us >= self.next_call_us:
            self.start_call(now_us)

    def on_failure(self, now_us: int, kind: WatchEventKind) -> None:
        """Schedule the next call after a failed one. A host may report a failure more than once."""
        if self.state is not PollState.CALLING:
            return
        spent_us = now_us - self.call_began_us
        if kind is WatchEventKind.LOST and self.call_is_poll:
            self.pacing.record_poll(spent_us)
        self.freshness.on_failure(now_us, kind, spent_us)
        self._schedule(
            PollState.BACKING_OFF, now_us, self._take_delay_after_failure_us(now_us, kind, spent_us)
        )

    def on_response(self, now_us: int, empty: bool) -> None:
        """Record a response. At an overloaded discovery the watch pauses after it.

        Args:
            now_us: the current time, in microseconds.
            empty: whether the response held no endpoint. Such a response may have come in place of changes,
                so the next watch starts without a pause.
        """
        spent_us = now_us - self.call_began_us
        if self.call_is_poll:
            self.pacing.record_poll(spent_us)
        if not empty:
            self._record_list(now_us, spent_us)
        self.call_is_poll = False
        self.call_began_us = now_us  # of the watch that follows
        self._reset_retries()
        self.backoff.on_response()
        self.freshness.on_response(now_us, empty)
        if self.state is PollState.RESTING:  # the response was under way when the watch was closed
            self.freshness.on_watch_closed()
            return
        pause_us = 0 if empty else self.pacing.take_pause_us()
        if pause_us:
            self.freshness.on_watch_closed()
            self.actions.watch_discovery(False)
            self._schedule(PollState.RESTING, now_us, pause_us)
        elif self.state is PollState.SETTLING:  # the host makes its next call at the new address
            self._enter(PollState.CALLING, None)

    def on_address_changed(self, now_us: int) -> None:
        """Poll discovery at its new address, at once or after a delay.

        A call in flight at the old address may complete during the delay.
        """
        calling = self.state is PollState.CALLING
        if calling and self.call_is_poll:
            self.pacing.record_poll(now_us - self.call_began_us)
        self.freshness.on_address_changed(now_us)
        self._reset_retries()
        self.backoff.on_address_changed()
        delay_us = self._take_new_address_delay_us(now_us, calling)
        if delay_us:
            self._schedule(PollState.SETTLING, now_us, delay_us)
        else:
            self.start_call(now_us)
            self.call_is_poll = True

    def _take_new_address_delay_us(self, now_us: int, calling: bool) -> int:
        delay_us = self.debounce.take_delay_us(now_us)
        if not self.pacing.overloaded:
            return delay_us
        if self.state is PollState.SETTLING and self.next_call_us is not None:
            return max(delay_us, self.next_call_us - now_us)
        min_delay_us = KEEP_QUEUE_POSITION_US if calling and self.pacing.defers_to_others else 0
        return max(delay_us, min_delay_us)

    def _record_list(self, now_us: int, spent_us: int) -> None:
        # The first list of a new address is complete, whether it has changed or not. It is not recorded as a
        # change.
        if self.backoff.phase is not BackoffPhase.NEW_ADDRESS:
            self.pacing.record_change(now_us)
        if self.freshness.watch_open:
            self.pacing.record_watch(spent_us)
        else:
            self.pacing.record_service_time(spent_us)

    def _reset_retries(self) -> None:
        self.immediate_retry.reset()
        self.pacing.reset_rejections()

    def _take_delay_after_failure_us(self, now_us: int, kind: WatchEventKind, spent_us: int) -> int:
        # Jitter guards against instances that poll in step after discovery has rejected them all.
        jitter = self.random.random()
        queue_full = self.pacing.record_failure(kind, spent_us)
        was_immediate_retry = self.immediate_retry.count > 0
        delay_us = self.immediate_retry.take_delay_us(kind, jitter)
        if delay_us is not None:
            return delay_us
        if queue_full:
            self.backoff.on_failure()
            return self.pacing.take_rejection_delay_us(
                spent_us, self.freshness.response_due_us() - now_us, jitter
            )
        return self.backoff.take_backoff_us(kind, spent_us, was_immediate_retry, jitter)

    def _schedule(self, state: PollState, now_us: int, delay_us: int) -> None:
        self._enter(state, now_us + delay_us)
        self.actions.start_timer(delay_us, Timer.DISCOVERY_POLL)

    def _enter(self, state: PollState, next_call_us: int | None) -> None:
        self.state = POLL_TRANSITIONS.check(self.state, state)
        self.next_call_us = next_call_us
