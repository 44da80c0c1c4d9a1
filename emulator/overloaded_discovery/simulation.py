"""Plays a scenario: all sidecars, their discovery, and the changes of the list."""

from __future__ import annotations

import random

from corkdoor.model import DiscoveryMode, Idempotency
from corkdoor.settings import LifecycleRules, Limits, RequestClass, Settings
from emulator.overloaded_discovery.event_queue import EventQueue
from emulator.overloaded_discovery.scenario import (
    DRAIN_GRACE_US,
    LATENCY_US,
    POLL_INTERVAL_US,
    OverloadResult,
    OverloadScenario,
    S,
    SimulatedPoll,
)
from emulator.overloaded_discovery.service import OverloadedDiscovery
from emulator.overloaded_discovery.sidecar import LostWatch, SimulatedSidecar

STARTS_WITHIN_US = 5 * S
FIRST_CHANGE_US = 18 * S
FIRST_MOVE_US = 20 * S
MOVES_IN_A_ROW_US = 1 * S
AFTER_LAST_CHANGE_US = 10 * S
SEEDS_EACH = 10_000  # of each scenario's seed, for its sidecars


class Simulation:
    """One scenario.

    Args:
        scenario: what is played.
    """

    def __init__(self, scenario: OverloadScenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.events = EventQueue()
        self.discovery = OverloadedDiscovery(self.events, scenario, self._send_response, self._send_rejection)
        self.changes_us: list[int] = []  # when each generation from the second on was made
        settings = _settings()
        self.sidecars = [
            SimulatedSidecar(
                number,
                scenario.seed * SEEDS_EACH + number,
                settings,
                self.events,
                self.discovery,
                self.rng,
            )
            for number in range(scenario.sidecars)
        ]

    def play(self) -> OverloadResult:
        """Play all of it and return what it brought."""
        started_us, scenario = self.events.now_us, self.scenario
        for sidecar in self.sidecars:
            self.events.call_after(self.rng.randrange(STARTS_WITHIN_US), sidecar.start)
        for sidecar in self.sidecars:
            for _ in range(scenario.moves):
                delay_us = FIRST_MOVE_US + self.rng.randrange(scenario.moves_within_us)
                self.events.call_after(delay_us, sidecar.move)
            self._plan_moves(sidecar)
        at_us = FIRST_CHANGE_US
        while at_us < scenario.length_us - AFTER_LAST_CHANGE_US:
            self.events.call_after(at_us, self._change)
            at_us += int(scenario.change_interval_us * self.rng.uniform(0.5, 1.5))
        self.events.run(started_us + scenario.length_us)
        return self._result()

    def _plan_moves(self, sidecar: SimulatedSidecar) -> None:
        """Move it again and again, up to the last change."""
        scenario = self.scenario
        if scenario.move_interval_us is None:
            return
        at_us = FIRST_MOVE_US + scenario.moves_within_us
        while at_us < scenario.length_us - AFTER_LAST_CHANGE_US:
            at_us += int(self.rng.expovariate(1 / scenario.move_interval_us))
            for _ in range(scenario.moves):
                self.events.call_after(at_us + self.rng.randrange(MOVES_IN_A_ROW_US), sidecar.move)

    def _change(self) -> None:
        self.changes_us.append(self.events.now_us)
        self.discovery.change()

    def _send_response(self, poll: SimulatedPoll, generation: int) -> None:
        sidecar = self.sidecars[poll.sidecar]
        if self.rng.random() < self.scenario.lost_share:
            if poll.follows_response and poll.after is not None:
                sidecar.lost_watches.append(LostWatch(poll.sent_us, poll.sent_us + poll.wait_us))
        else:
            self.events.call_after(LATENCY_US, lambda: sidecar.on_response(poll, generation))

    def _send_rejection(self, poll: SimulatedPoll) -> None:
        self.events.call_after(LATENCY_US, lambda: self.sidecars[poll.sidecar].on_rejection(poll))

    def _result(self) -> OverloadResult:
        result = self.discovery.result
        for sidecar in self.sidecars:
            for change in sidecar.applied_changes(self.changes_us):
                result.delays_us.append(change.applied_us - change.made_us)
                result.late += change.applied_us > sidecar.due_us(change) + DRAIN_GRACE_US
        return result


def _settings() -> Settings:
    return Settings(
        classes=[RequestClass("read", 1 * S, 3 * S, Idempotency.IDEMPOTENT)],
        limits=Limits(max_attempts=3),
        lifecycle=LifecycleRules(drain_grace_us=DRAIN_GRACE_US, poll_interval_us=POLL_INTERVAL_US),
        discovery_mode=DiscoveryMode.POLL,
    )
