"""One sidecar of the simulation: the real decision module with a simulated discovery client."""

from __future__ import annotations

import random
from collections.abc import Iterator
from functools import partial
from typing import NamedTuple, cast

from corkdoor.balancer import Balancer
from corkdoor.interface import Actions
from corkdoor.model import Endpoint, Readiness, Timer, WatchEventKind
from corkdoor.policy.discovery.response_timeout import ResponseTimeout
from corkdoor.policy.discovery.watch_timeout import POLL_TIMEOUT_MS, WatchTimeout
from corkdoor.settings import Settings
from emulator.overloaded_discovery.event_queue import EventQueue
from emulator.overloaded_discovery.scenario import (
    MS,
    NOTIFIED_AFTER_ADDRESS_CHANGE_US,
    NOTIFIED_AFTER_LOST_WATCH_US,
    NOTIFIED_AFTER_US,
    OLD_ADDRESS_CLOSE_DELAY_US,
    ONE_WAY_LATENCY_US,
    SimulatedPoll,
)
from emulator.overloaded_discovery.service import OverloadedDiscovery

# Stands for the entries of any response.
PLACEHOLDER_ENDPOINT = Endpoint("10.0.0.1:80", "a", "m", 0, Readiness.READY)


class AppliedList(NamedTuple):
    """When the sidecar applied a list, and the list's generation."""

    at_us: int
    generation: int


class AppliedChange(NamedTuple):
    """When a change of the list was made, and when the sidecar applied it."""

    made_us: int
    applied_us: int


class LostWatch(NamedTuple):
    """When a watch whose response was lost was sent, and when its timeout ends."""

    sent_us: int
    end_us: int


class SimulatedSidecar:
    """Polls discovery when its decision module decides so.

    Args:
        number: the number of the sidecar.
        seed: the seed of its decision module.
        settings: the settings of its decision module.
        events: the clock.
        discovery: the discovery that it polls.
        rng: the random number generator that all sidecars share.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        settings: Settings,
        events: EventQueue,
        discovery: OverloadedDiscovery,
        rng: random.Random,
    ) -> None:
        self.number = number
        self.events = events
        self.discovery = discovery
        self.rng = rng
        self.generation = 1
        self.applied: list[AppliedList] = []
        self.lost_watches: list[LostWatch] = []
        self.address_changed_us: int | None = None  # when discovery's address last changed
        # Set by a change of the address, until the new address responds.
        self._needs_full_list = False
        self._follows_response = False  # whether the next poll follows a response, not a failure
        self._watch_timeout = WatchTimeout()
        self._response_timeout = ResponseTimeout()
        self._first_sent_us = self._first_wait_us = self._second_sent_us = 0
        self._last_serial = 0
        # Serials of the polls in flight: the first poll, and possibly a second one alongside it.
        self._in_flight: list[int] = []
        self._at_old_address = False  # whether the polls in flight were sent to a former address
        self._watching = False
        self.balancer = Balancer(settings, seed, cast(Actions, self))

    def start(self) -> None:
        """Start with a cached list, as a real sidecar does."""
        self.balancer.start(self.events.now_us)
        self.balancer.on_watch_event(self.events.now_us, WatchEventKind.CACHED, [])

    def change_address(self) -> None:
        """Reload with another address of the same discovery. The old address closes its connections later."""
        self._needs_full_list, self.address_changed_us = True, self.events.now_us
        if self._in_flight and not self._at_old_address:
            self._at_old_address = True
            self.events.call_after(
                OLD_ADDRESS_CLOSE_DELAY_US, partial(self._close_old_address, self._in_flight[0])
            )
        self.balancer.on_discovery_address_changed(self.events.now_us)

    # --- the decision module's actions ---

    def watch_discovery(self, enabled: bool, poll_first: bool = False) -> None:
        """Poll at the current address, or disconnect."""
        if self._watching and (not enabled or self._at_old_address):
            self._follows_response = self._watching = False
            self._watch_timeout.on_interruption(self.events.now_us)
            self._disconnect()
        if enabled and not self._watching:
            self._watching = True
            self._watch_timeout.on_start(poll_first)
            self._poll()

    def start_timer(self, delay_us: int, timer: Timer) -> None:
        """Start the timer for polling. Other timers are ignored."""
        if timer is Timer.DISCOVERY_POLL:
            self.events.call_after(delay_us, self._on_poll_timer)

    def _on_poll_timer(self) -> None:
        self.balancer.on_timer(self.events.now_us, Timer.DISCOVERY_POLL)

    # --- polls ---

    def _disconnect(self) -> None:
        """Give up all polls in flight."""
        for serial in self._in_flight:
            self.events.call_after(
                ONE_WAY_LATENCY_US, partial(self.discovery.disconnect, self.number, serial)
            )
        self._in_flight.clear()

    def _poll(self) -> None:
        """Send a first poll, and schedule a second poll alongside it if the response is late."""
        self._at_old_address = False
        self._first_sent_us = self.events.now_us
        self._first_wait_us = self._watch_timeout.draw_ms(self.rng.random()) * MS
        first = self._send_poll(self._first_wait_us)
        wait_us = 0 if self._needs_full_list else self._first_wait_us
        second_delay_us = self._response_timeout.second_call_delay_us(self.events.now_us, wait_us)
        self.events.call_after(second_delay_us, lambda: self._start_second_polls(first))

    def _start_second_polls(self, first: int) -> None:
        if first in self._in_flight and not self._at_old_address:
            self._send_second_poll(first)
            self.events.call_after(self._response_timeout.give_up_delay_us(), lambda: self._give_up(first))

    def _send_second_poll(self, first: int) -> None:
        if first not in self._in_flight or self._at_old_address:
            return
        self._follows_response = False
        self._second_sent_us = self.events.now_us
        second = self._send_poll(POLL_TIMEOUT_MS * MS)
        timeout_us = self._response_timeout.second_response_timeout_us(self.events.now_us)
        self.events.call_after(timeout_us, lambda: self._replace_second(first, second))

    def _replace_second(self, first: int, second: int) -> None:
        if second in self._in_flight:
            self._in_flight.remove(second)
            self.events.call_after(
                ONE_WAY_LATENCY_US, partial(self.discovery.disconnect, self.number, second)
            )
            self._send_second_poll(first)

    def _send_poll(self, wait_us: int) -> int:
        self._last_serial += 1
        self._in_flight.append(self._last_serial)
        after = None if self._needs_full_list else self.generation
        now_us = self.events.now_us
        poll = SimulatedPoll(self.number, self._last_serial, after, wait_us, now_us, self._follows_response)
        self.events.call_after(ONE_WAY_LATENCY_US, lambda: self.discovery.receive(poll))
        return self._last_serial

    def on_response(self, poll: SimulatedPoll, generation: int) -> None:
        """Apply the list of a response, and poll again."""
        if poll.serial not in self._in_flight:
            return
        now_us = self.events.now_us
        if poll.serial == self._in_flight[0]:
            self._response_timeout.on_response(now_us - self._first_sent_us - self._first_wait_us)
        else:
            self._response_timeout.on_second_response(now_us, now_us - self._second_sent_us)
        self._in_flight.remove(poll.serial)
        self._disconnect()
        self._watch_timeout.on_response()
        self._follows_response = True
        self._needs_full_list = self._needs_full_list and self._at_old_address
        self.generation = generation
        self.applied.append(AppliedList(now_us, generation))
        has_changed = poll.after is None or poll.after < generation
        kind = WatchEventKind.FULL if poll.after is None else WatchEventKind.DELTA
        self.balancer.on_watch_event(now_us, kind, [PLACEHOLDER_ENDPOINT] if has_changed else [])
        if self._watching and not self._in_flight:
            self._poll()

    def on_rejection(self, poll: SimulatedPoll) -> None:
        """Report a rejected first poll as a failure. A rejected second poll is sent again after a backoff."""
        if poll.serial not in self._in_flight:
            return
        first = self._in_flight[0]
        if poll.serial == first:
            self._response_timeout.on_rejection(self.events.now_us, self.events.now_us - self._first_sent_us)
            self._disconnect()
            self._fail(WatchEventKind.REJECTED)
            return
        self._in_flight.remove(poll.serial)
        backoff_us = self._response_timeout.second_call_backoff_us(True, self.rng.random())
        self.events.call_after(backoff_us, lambda: self._send_second_poll(first))

    def _give_up(self, first: int) -> None:
        if first in self._in_flight:
            self._response_timeout.on_given_up()
            self._disconnect()
            self._fail(WatchEventKind.LOST)

    def _close_old_address(self, first: int) -> None:
        if first in self._in_flight and self._at_old_address:
            self._disconnect()
            self._fail(WatchEventKind.FAILED)

    def _fail(self, kind: WatchEventKind) -> None:
        self._watch_timeout.on_failure(self.events.now_us, kind)
        self._follows_response = self._watching = False
        self.balancer.on_watch_event(self.events.now_us, kind, [])

    # --- results ---

    def applied_changes(self, changes_us: list[int]) -> Iterator[AppliedChange]:
        """Yield when each change was made and when the sidecar applied it.

        For a change that was never applied, this is the end of the simulation.

        Args:
            changes_us: when each change was made, in microseconds; the first one created generation 2.
        """
        for generation, made_us in enumerate(changes_us, 2):
            applied = (entry.at_us for entry in self.applied if entry.generation >= generation)
            yield AppliedChange(made_us, next(applied, self.events.now_us))

    def notified_at_us(self, change: AppliedChange) -> int:
        """Return when a change is considered notified to the sidecar, in microseconds."""
        made_us = change.made_us
        notified_us = made_us + NOTIFIED_AFTER_US
        if self.address_changed_us is not None and made_us <= self.address_changed_us < notified_us:
            notified_us = max(notified_us, self.address_changed_us + NOTIFIED_AFTER_ADDRESS_CHANGE_US)
        for watch in self.lost_watches:
            if watch.sent_us <= change.applied_us and made_us <= watch.end_us:
                notified_us = max(notified_us, watch.end_us + NOTIFIED_AFTER_LOST_WATCH_US)
        return notified_us
