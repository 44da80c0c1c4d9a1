"""One sidecar of the simulation: the real decision module, and the discovery client around it."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import NamedTuple, cast

from corkdoor.balancer import Balancer
from corkdoor.interface import Actions
from corkdoor.model import Endpoint, Readiness, Timer, WatchEventKind
from corkdoor.policy.discovery.watch_timeout import WatchTimeout
from corkdoor.settings import Settings
from corkdoor.sidecar.discovery.client import POLL_TIMEOUT_S, WATCH_GRACE_S
from emulator.overloaded_discovery.event_queue import EventQueue
from emulator.overloaded_discovery.scenario import (
    LATENCY_US,
    LOST_AFTER_US,
    MOVED_AFTER_US,
    MS,
    NOTIFIED_AFTER_US,
    S,
    SimulatedPoll,
)
from emulator.overloaded_discovery.service import OverloadedDiscovery

ENTRY = Endpoint("10.0.0.1:80", "a", "m", 0, Readiness.READY)  # in place of what a response holds


class AppliedList(NamedTuple):
    """When a list was applied, and its generation."""

    at_us: int
    generation: int


class AppliedChange(NamedTuple):
    """When a change was made, and when the sidecar had it."""

    made_us: int
    applied_us: int


class LostWatch(NamedTuple):
    """When a watch whose response was lost began, and when it was to end."""

    sent_us: int
    end_us: int


class SimulatedSidecar:
    """Polls discovery as its decision module decides.

    Args:
        number: of the sidecar.
        seed: of its decision module.
        settings: of its decision module.
        events: the clock.
        discovery: that it polls.
        rng: which all sidecars share.
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
        self.moved_us: int | None = None  # when the last reload moved discovery
        self._needs_full_list = False  # since a move
        self._follows_response = False  # the next poll does
        self._watch_timeout = WatchTimeout()
        self._serial = 0
        self._watching = False
        self.balancer = Balancer(settings, seed, cast(Actions, self))

    def start(self) -> None:
        """Start as the process does, on a cached list."""
        self.balancer.start(self.events.now_us)
        self.balancer.on_watch_event(self.events.now_us, WatchEventKind.CACHED, [])

    def move(self) -> None:
        """Reload with another address of the same discovery."""
        self.watch_discovery(False)
        self._needs_full_list, self.moved_us = True, self.events.now_us
        self.balancer.on_discovery_address_changed(self.events.now_us)

    # --- the decision module's actions ---

    def watch_discovery(self, enabled: bool) -> None:
        """Poll, or disconnect."""
        if enabled and not self._watching:
            self._watching = True
            self._poll()
        elif not enabled and self._watching:
            self._follows_response = self._watching = False
            self._watch_timeout.on_interruption(self.events.now_us)
            self._disconnect()

    def start_timer(self, delay_us: int, timer: Timer) -> None:
        """Start the timer for polling; no other is set here."""
        if timer is Timer.DISCOVERY_POLL:
            self.events.call_after(delay_us, self._on_poll_timer)

    def _on_poll_timer(self) -> None:
        self.balancer.on_timer(self.events.now_us, Timer.DISCOVERY_POLL)

    # --- its polls ---

    def _disconnect(self) -> None:
        number, serial = self.number, self._serial
        self.events.call_after(LATENCY_US, lambda: self.discovery.disconnect(number, serial))
        self._serial += 1

    def _poll(self) -> None:
        self._serial += 1
        wait_us = self._watch_timeout.draw_ms(self.rng.random()) * MS
        moved = self._needs_full_list
        timeout_us = int(POLL_TIMEOUT_S * S) if moved else wait_us + int(WATCH_GRACE_S * S)
        after = None if moved else self.generation
        now_us = self.events.now_us
        poll = SimulatedPoll(self.number, self._serial, after, wait_us, now_us, self._follows_response)
        self.events.call_after(LATENCY_US, lambda: self.discovery.receive(poll))
        self.events.call_after(timeout_us, lambda: self._give_up(poll))

    def on_response(self, poll: SimulatedPoll, generation: int) -> None:
        """Apply a list, and poll anew."""
        if poll.serial != self._serial:
            return
        self._serial += 1
        now_us = self.events.now_us
        kind = WatchEventKind.FULL if self._needs_full_list else WatchEventKind.DELTA
        self._needs_full_list, self.generation = False, generation
        self._watch_timeout.on_answer()
        self._follows_response = True
        self.applied.append(AppliedList(now_us, generation))
        has_changed = poll.after is None or poll.after < generation
        self.balancer.on_watch_event(now_us, kind, [ENTRY] if has_changed else [])
        if self._watching:
            self._poll()

    def on_rejection(self, poll: SimulatedPoll) -> None:
        """Take a rejected poll as a failure."""
        if poll.serial == self._serial:
            self._fail(WatchEventKind.REJECTED)

    def _give_up(self, poll: SimulatedPoll) -> None:
        if poll.serial == self._serial:
            self._disconnect()
            self._fail(WatchEventKind.LOST)

    def _fail(self, kind: WatchEventKind) -> None:
        self._serial += 1
        self._watch_timeout.on_failure(self.events.now_us, kind)
        self._follows_response = self._watching = False
        self.balancer.on_watch_event(self.events.now_us, kind, [])

    # --- what it knew, and when ---

    def applied_changes(self, changes_us: list[int]) -> Iterator[AppliedChange]:
        """Yield when each change was made, and when the sidecar had it or the simulation ended."""
        for generation, made_us in enumerate(changes_us, 2):
            applied = (entry.at_us for entry in self.applied if entry.generation >= generation)
            yield AppliedChange(made_us, next(applied, self.events.now_us))

    def due_us(self, change: AppliedChange) -> int:
        """Return when the sidecar counts as notified of a change."""
        made_us = change.made_us
        due_us = made_us + NOTIFIED_AFTER_US
        if self.moved_us is not None and made_us <= self.moved_us < due_us:
            due_us = max(due_us, self.moved_us + MOVED_AFTER_US)
        for watch in self.lost_watches:
            if watch.sent_us <= change.applied_us and made_us <= watch.end_us:
                due_us = max(due_us, watch.end_us + LOST_AFTER_US)
        return due_us
