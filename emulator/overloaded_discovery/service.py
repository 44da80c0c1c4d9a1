"""The discovery of the simulation.

It serves polls from one queue, one after another. Watches cost it nothing while they are open.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from emulator.overloaded_discovery.event_queue import EventQueue
from emulator.overloaded_discovery.scenario import OverloadResult, OverloadScenario, SimulatedPoll


class QueuedPoll(NamedTuple):
    """A poll in the queue."""

    poll: SimulatedPoll
    queued_at_us: int
    watched: bool  # whether the poll was a watch that has ended by a change or by its timeout


class OverloadedDiscovery:
    """Serves polls in the order of their arrival, and rejects new polls while the queue is full.

    Args:
        events: the clock.
        scenario: the service time of a poll, and the capacity of the queue.
        on_response: called with a poll and the generation of the response.
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
        self._queue: deque[QueuedPoll] = deque()
        self._abandoned: set[tuple[int, int]] = set()  # sidecar and serial of polls that were given up
        self._rejection_work_us = 0  # time for rejections since the service of the current poll began
        self._watches: dict[tuple[int, int], SimulatedPoll] = {}  # by sidecar and serial

    def receive(self, poll: SimulatedPoll) -> None:
        """Queue or reject a poll."""
        self.result.polls += 1
        if len(self._queue) > self.scenario.capacity:
            self.result.rejected += 1
            self._rejection_work_us += int(self.scenario.rejection_time_share * self.scenario.service_time_us)
            self.on_rejection(poll)
            return
        self._push(poll, watched=False)

    def disconnect(self, sidecar: int, serial: int) -> None:
        """Handle a sidecar that has given up a poll.

        An open watch ends. A poll in the queue is skipped if the scenario says so. Otherwise it is served,
        although nobody receives the response.
        """
        self._watches.pop((sidecar, serial), None)
        if self.scenario.skips_abandoned:
            self._abandoned.add((sidecar, serial))

    def change_list(self) -> None:
        """Create a new generation of the list, and queue the responses to all open watches."""
        self.generation += 1
        watches, self._watches = self._watches, {}
        for poll in watches.values():
            self._push(poll, watched=True)

    def _push(self, poll: SimulatedPoll, watched: bool) -> None:
        self._queue.append(QueuedPoll(poll, self.events.now_us, watched))
        if len(self._queue) == 1:
            self._begin()

    def _begin(self) -> None:
        """Begin the service of the first poll in the queue that is still to be served."""
        while self._queue and self._drop_if_abandoned_or_expired(self._queue[0]):
            self._queue.popleft()
        self._rejection_work_us = 0
        if self._queue:
            self.events.call_after(self.scenario.service_time_us, self._serve)

    def _drop_if_abandoned_or_expired(self, queued: QueuedPoll) -> bool:
        """Return whether a poll is not served. It is rejected if it has waited for the queue limit."""
        poll, limit_us = queued.poll, self.scenario.queue_limit_us
        if (poll.sidecar, poll.serial) in self._abandoned:
            self._abandoned.discard((poll.sidecar, poll.serial))
            return True
        if queued.watched or limit_us is None or self.events.now_us - queued.queued_at_us < limit_us:
            return False
        self.result.rejected += 1
        self.on_rejection(poll)
        return True

    def _serve(self) -> None:
        if self._rejection_work_us:  # polls were rejected meanwhile, which delays the response
            work_us, self._rejection_work_us = self._rejection_work_us, 0
            self.events.call_after(work_us, self._serve)
            return
        queued = self._queue.popleft()
        poll = queued.poll
        self._begin()
        if queued.watched or poll.after is None or poll.after < self.generation:
            self.on_response(poll, self.generation)
            return
        self._watches[poll.sidecar, poll.serial] = poll
        self.events.call_after(poll.wait_us, lambda: self._end_watch(poll))

    def _end_watch(self, poll: SimulatedPoll) -> None:
        if self._watches.pop((poll.sidecar, poll.serial), None) is not None:
            self._push(poll, watched=True)
