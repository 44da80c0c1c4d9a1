"""Zone spill-over: when a request may go to another zone because its own zone is full.

A crossing costs a share of an answer's value. The higher that share, the longer a request waits for capacity
in its own zone first; a request that saves no more than the cost never crosses.
"""

from __future__ import annotations

from corkdoor.policy.priorities import Priorities
from corkdoor.policy.request import Request
from corkdoor.policy.request_queue import MAX_WAIT_SHARE_OUTERMOST
from corkdoor.settings import Settings

SAVED_SHARE = 0.5  # the share of a request's value that spilling over is taken to save


class ZoneSpillover:
    """Decides whether a request may cross into another zone."""

    def __init__(self, settings: Settings, priorities: Priorities) -> None:
        self._priorities = priorities
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Take the cost of a crossing from the settings."""
        self._cost = settings.costs.cross_zone

    def allows(self, now_us: int, request: Request) -> bool:
        """Return whether the crossing saves more than it costs and the request has waited long enough."""
        saved = self._priorities.objective_weights[request.priority] * SAVED_SHARE
        if saved <= self._cost:
            return False
        waited_us = now_us - request.arrived_us
        return waited_us >= self._cost / saved * MAX_WAIT_SHARE_OUTERMOST * request.objective_us
