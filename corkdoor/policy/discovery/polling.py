"""The calls of one instance to discovery, from one to the next.

Joins the rules of this package: it passes them what became of each call, and starts the next call after the
wait that the first rule concerned returns.
"""

from __future__ import annotations

import random

from corkdoor.interface import Actions
from corkdoor.model import Timer, WatchEventKind
from corkdoor.policy.discovery.address_debounce import AddressDebounce
from corkdoor.policy.discovery.failure_backoff import BackoffPhase, FailureBackoff
from corkdoor.policy.discovery.fair_turns import FairTurns
from corkdoor.policy.discovery.immediate_retry import ImmediateRetry
from corkdoor.policy.discovery.list_freshness import ListFreshness
from corkdoor.policy.discovery.poll_limits import poll_limits
from corkdoor.policy.discovery.poll_state import POLL_TRANSITIONS, PollState
from corkdoor.settings import Settings

KEEP_PLACE_US = 1_200_000  # an old address closes its connections 1.5 s after the change


class DiscoveryPolling:
    """Opens and closes the watch on discovery, by what became of the last call.

    A call that is answered is followed by a watch, which the host keeps open by itself.

    Args:
        settings: the instance's settings.
        now_us: the time, in microseconds.
        actions: opens and closes the watch, and starts timers.
        rng: of the jitter.

    Attributes:
        state: what polling does now.
        next_poll_us: when a timer starts the next call; None where none does.
        call_is_poll: whether the call that is out is to be answered at once, and is no watch.
        freshness: how fresh the endpoint list is.
    """

    def __init__(self, settings: Settings, now_us: int, actions: Actions, rng: random.Random) -> None:
        limits = poll_limits(settings)
        self.actions = actions
        self.random = rng
        self.freshness = ListFreshness(settings, now_us)
        self.immediate_retry = ImmediateRetry()
        self.turns = FairTurns(settings, limits)
        self.backoff = FailureBackoff(limits)
        self.debounce = AddressDebounce()
        self.state = PollState.CALLING
        self.next_poll_us: int | None = None
        self.call_is_poll = False
        self.call_began_us = now_us  # that of the call that is out, or of the last one

    def configure(self, settings: Settings) -> None:
        """Put other settings in force."""
        limits = poll_limits(settings)
        self.backoff.limits = limits
        self.turns.configure(settings, limits)
        self.freshness.configure(settings)

    def poll(self, now_us: int) -> None:
        """Start a call; one that is still out at an older address is given up."""
        poll_first = self.state is PollState.RESTING and self.turns.wants_poll
        at_new_address = self.state is PollState.SETTLING
        self.call_is_poll = poll_first or at_new_address
        self._enter(PollState.CALLING, None)
        self.call_began_us = now_us
        self.actions.watch_discovery(True, poll_first)

    def on_timer(self, now_us: int) -> None:
        """Start the next call where it is due; timers that were overtaken do nothing."""
        if self.next_poll_us is not None and now_us >= self.next_poll_us:
            self.poll(now_us)

    def on_failure(self, now_us: int, kind: WatchEventKind) -> None:
        """Schedule the next call after one that failed; a host may report a failure more than once."""
        if self.state is not PollState.CALLING:
            return
        spent_us = now_us - self.call_began_us
        if kind is WatchEventKind.LOST and self.call_is_poll:
            self.turns.record_poll(spent_us)
        self.freshness.on_failure(now_us, kind, spent_us)
        self._schedule(PollState.BACKING_OFF, now_us, self._wait_after_failure_us(now_us, kind, spent_us))

    def on_answer(self, now_us: int, empty: bool) -> None:
        """Take note of an answer; at an overloaded discovery the watch rests after it.

        Args:
            now_us: the time, in microseconds.
            empty: whether it held no endpoint. It may stand in place of changes, so the watch goes on.
        """
        spent_us = now_us - self.call_began_us
        if self.call_is_poll:
            self.turns.record_poll(spent_us)
        if not empty:
            self._learn_from_list(now_us, spent_us)
        self.call_is_poll = False
        self.call_began_us = now_us  # of the watch that follows
        self._reset_retries()
        self.backoff.on_answer()
        self.freshness.on_answer(now_us, empty)
        if self.state is PollState.RESTING:  # it was on its way as the watch was closed
            self.freshness.on_watch_closed()
            return
        rest_us = 0 if empty else self.turns.take_rest_us()
        if rest_us:
            self.freshness.on_watch_closed()
            self.actions.watch_discovery(False)
            self._schedule(PollState.RESTING, now_us, rest_us)
        elif self.state is PollState.SETTLING:  # the host goes on with the new address
            self._enter(PollState.CALLING, None)

    def on_address_changed(self, now_us: int) -> None:
        """Poll discovery at its new address; a call that is out at the old one is waited for until then."""
        calling = self.state is PollState.CALLING
        if calling and self.call_is_poll:
            self.turns.record_poll(now_us - self.call_began_us)
        self.freshness.on_address_changed(now_us)
        self._reset_retries()
        self.backoff.on_address_changed()
        wait_us = self._wait_at_new_address_us(now_us, calling)
        if wait_us:
            self._schedule(PollState.SETTLING, now_us, wait_us)
        else:
            self.poll(now_us)
            self.call_is_poll = True

    def _wait_at_new_address_us(self, now_us: int, calling: bool) -> int:
        wait_us = self.debounce.wait_us(now_us)
        if not self.turns.overloaded:
            return wait_us
        if self.state is PollState.SETTLING and self.next_poll_us is not None:
            return max(wait_us, self.next_poll_us - now_us)
        keep_us = KEEP_PLACE_US if calling and self.turns.yielding else 0
        return max(wait_us, keep_us)

    def _learn_from_list(self, now_us: int, spent_us: int) -> None:
        if self.backoff.phase is not BackoffPhase.NEW_ADDRESS:  # there the list is complete, changed or not
            self.turns.record_change(now_us)
        if self.freshness.watch_open:
            self.turns.record_watch(spent_us)
        else:
            self.turns.learn(spent_us)

    def _reset_retries(self) -> None:
        self.immediate_retry.reset()
        self.turns.reset_rejections()

    def _wait_after_failure_us(self, now_us: int, kind: WatchEventKind, spent_us: int) -> int:
        # Guards against instances that poll in step after discovery has rejected them all.
        jitter = self.random.random()
        queue_full = self.turns.record_failure(kind, spent_us)
        was_immediate_retry = self.immediate_retry.count > 0
        wait_us = self.immediate_retry.wait_us(kind, jitter)
        if wait_us is not None:
            return wait_us
        if queue_full:
            self.backoff.on_failure()
            return self.turns.wait_us(spent_us, self.freshness.answer_due_us() - now_us, jitter)
        return self.backoff.wait_us(kind, spent_us, was_immediate_retry, jitter)

    def _schedule(self, state: PollState, now_us: int, wait_us: int) -> None:
        self._enter(state, now_us + wait_us)
        self.actions.start_timer(wait_us, Timer.DISCOVERY_POLL)

    def _enter(self, state: PollState, next_poll_us: int | None) -> None:
        self.state = POLL_TRANSITIONS.check(self.state, state)
        self.next_poll_us = next_poll_us
