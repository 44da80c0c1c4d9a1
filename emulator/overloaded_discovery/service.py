"""The discovery of the simulation: one queue of polls, and watches that cost nothing while they wait."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from emulator.overloaded_discovery.event_queue import EventQueue
from emulator.overloaded_discovery.scenario import OverloadResult, OverloadScenario, SimulatedPoll


class OverloadedDiscovery:
    """Works through polls in turn, and rejects what comes while enough wait.

    Args:
        events: the clock.
        scenario: what a poll costs, and how many may wait.
        on_response: called with a poll and the generation that it is answered with.
        on_rejection: called with a poll that is rejected.
    """

    def __init__(
        self,
        events: EventQueue,
        scenario: OverloadScenario,
        on_response: Callable[[SimulatedPoll, int], None],
        on_rejection: Callable[[SimulatedPoll], None],
    ) -> None:
        self.events = events
        self.scenario = scenario
        self.on_response = on_response
        self.on_rejection = on_rejection
        self.generation = 1
        self.result = OverloadResult()
        self._queue: deque[SimulatedPoll] = deque()
        self._rejection_work_us = 0  # since the current poll was begun
        self._watches: dict[tuple[int, int], SimulatedPoll] = {}  # by sidecar and serial

    def receive(self, poll: SimulatedPoll) -> None:
        """Queue or reject a poll."""
        self.result.polls += 1
        if len(self._queue) > self.scenario.capacity:
            self.result.rejected += 1
            self._rejection_work_us += int(self.scenario.rejection_cost_share * self.scenario.cost_us)
            self.on_rejection(poll)
            return
        self._push(poll)

    def disconnect(self, sidecar: int, serial: int) -> None:
        """End an open watch; a poll in the queue is served for nobody."""
        self._watches.pop((sidecar, serial), None)

    def change(self) -> None:
        """Make a new generation; those who watch are notified in turn."""
        self.generation += 1
        watches, self._watches = self._watches, {}
        for poll in watches.values():
            self._push(poll)

    def _push(self, poll: SimulatedPoll) -> None:
        self._queue.append(poll)
        if len(self._queue) == 1:
            self._begin()

    def _begin(self) -> None:
        self._rejection_work_us = 0
        self.events.call_after(self.scenario.cost_us, self._serve)

    def _serve(self) -> None:
        if self._rejection_work_us:  # these came in between, and are done first
            work_us, self._rejection_work_us = self._rejection_work_us, 0
            self.events.call_after(work_us, self._serve)
            return
        poll = self._queue.popleft()
        if self._queue:
            self._begin()
        if poll.after is None or poll.after < self.generation:
            self.on_response(poll, self.generation)
            return
        self._watches[poll.sidecar, poll.serial] = poll
        self.events.call_after(poll.wait_us, lambda: self._end_watch(poll))

    def _end_watch(self, poll: SimulatedPoll) -> None:
        if self._watches.pop((poll.sidecar, poll.serial), None) is not None:
            self.on_response(poll, self.generation)
