"""Runs a scenario: all sidecars, their discovery, and the changes of its address and of the list."""

from __future__ import annotations

import random

from corkdoor.model import DiscoveryMode, Idempotency
from corkdoor.settings import LifecycleRules, Limits, RequestClass, Settings
from emulator.overloaded_discovery.event_queue import EventQueue
from emulator.overloaded_discovery.scenario import (
    DRAIN_GRACE_US,
    ONE_WAY_LATENCY_US,
    POLL_INTERVAL_US,
    OverloadResult,
    OverloadScenario,
    S,
    SimulatedPoll,
)
from emulator.overloaded_discovery.service import OverloadedDiscovery
from emulator.overloaded_discovery.sidecar import LostWatch, SimulatedSidecar

STARTS_WITHIN_US = 5 * S  # the starts of all sidecars are spread over this time
FIRST_LIST_CHANGE_US = 18 * S
FIRST_ADDRESS_CHANGE_US = 20 * S
# The reloads of each later group are spread over this time; for the first group the scenario states it.
LATER_ADDRESS_CHANGES_WITHIN_US = 1 * S
# Nothing is scheduled to change in the last part of a simulation, so that changes can be applied in time.
CHANGE_FREE_END_US = 10 * S
SEEDS_PER_SCENARIO = 10_000  # range of sidecar seeds for each seed of a scenario


class Simulation:
    """The simulation of one scenario.

    Args:
        scenario: the parameters.
    """

    def __init__(self, scenario: OverloadScenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.events = EventQueue()
        self.discovery = OverloadedDiscovery(self.events, scenario, self._send_response, self._send_rejection)
        self.changes_us: list[int] = []  # when each generation after the first was created
        settings = _settings()
        self.sidecars = [
            SimulatedSidecar(
                number,
                scenario.seed * SEEDS_PER_SCENARIO + number,
                settings,
                self.events,
                self.discovery,
                self.rng,
            )
            for number in range(scenario.sidecars)
        ]

    def run(self) -> OverloadResult:
        """Run the simulation and return its results."""
        started_us, scenario = self.events.now_us, self.scenario
        for sidecar in self.sidecars:
            self.events.call_after(self.rng.randrange(STARTS_WITHIN_US), sidecar.start)
        for sidecar in self.sidecars:
            for _ in range(scenario.address_changes):
                delay_us = FIRST_ADDRESS_CHANGE_US + self.rng.randrange(scenario.address_changes_within_us)
                self.events.call_after(delay_us, sidecar.change_address)
            self._schedule_address_changes(sidecar)
        at_us = FIRST_LIST_CHANGE_US
        while at_us < scenario.duration_us - CHANGE_FREE_END_US:
            self.events.call_after(at_us, self._change_list)
            at_us += int(scenario.list_change_interval_us * self.rng.uniform(0.5, 1.5))
        self.events.run(started_us + scenario.duration_us)
        return self._result()

    def _schedule_address_changes(self, sidecar: SimulatedSidecar) -> None:
        """Schedule the later groups of address changes of a sidecar, if the scenario has any."""
        scenario = self.scenario
        if scenario.address_change_interval_us is None:
            return
        at_us = FIRST_ADDRESS_CHANGE_US + scenario.address_changes_within_us
        while at_us < scenario.duration_us - CHANGE_FREE_END_US:
            at_us += int(self.rng.expovariate(1 / scenario.address_change_interval_us))
            for _ in range(scenario.address_changes):
                self.events.call_after(
                    at_us + self.rng.randrange(LATER_ADDRESS_CHANGES_WITHIN_US), sidecar.change_address
                )

    def _change_list(self) -> None:
        self.changes_us.append(self.events.now_us)
        self.discovery.change_list()

    def _send_response(self, poll: SimulatedPoll, generation: int) -> None:
        sidecar = self.sidecars[poll.sidecar]
        if self.rng.random() < self.scenario.lost_share:
            if poll.follows_response and poll.after is not None:
                sidecar.lost_watches.append(LostWatch(poll.sent_us, poll.sent_us + poll.wait_us))
        else:
            self.events.call_after(ONE_WAY_LATENCY_US, lambda: sidecar.on_response(poll, generation))

    def _send_rejection(self, poll: SimulatedPoll) -> None:
        self.events.call_after(ONE_WAY_LATENCY_US, lambda: self.sidecars[poll.sidecar].on_rejection(poll))

    def _result(self) -> OverloadResult:
        result = self.discovery.result
        for sidecar in self.sidecars:
            for change in sidecar.applied_changes(self.changes_us):
                result.delays_us.append(change.applied_us - change.made_us)
                result.late += change.applied_us > sidecar.notified_at_us(change) + DRAIN_GRACE_US
        return result


def _settings() -> Settings:
    return Settings(
        classes=[RequestClass("read", 1 * S, 3 * S, Idempotency.IDEMPOTENT)],
        limits=Limits(max_attempts=3),
        lifecycle=LifecycleRules(drain_grace_us=DRAIN_GRACE_US, poll_interval_us=POLL_INTERVAL_US),
        discovery_mode=DiscoveryMode.POLL,
    )
