"""Zone spill-over: when a request may be sent to another zone because its own zone is full.

An attempt in another zone costs a share of the value of a response. The higher that share, the longer a
request first waits for capacity in its own zone. A request that saves no more than this cost does not spill
over at all.
"""

from __future__ import annotations

from corkdoor.policy.priorities import Priorities
from corkdoor.policy.request import Request
from corkdoor.policy.request_queue import MAX_WAIT_SHARE_OUTERMOST
from corkdoor.settings import Settings

SAVED_VALUE_SHARE = 0.5  # the share of a request's value that spilling over is assumed to save


class ZoneSpillover:
    """Decides whether a request may spill over into another zone."""

    def __init__(self, settings: Settings, priorities: Priorities) -> None:
        self._priorities = priorities
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply the cost of an attempt in another zone from the settings."""
        self._cost = settings.costs.cross_zone

    def allows(self, now_us: int, request: Request) -> bool:
        """Return whether spilling over saves more than it costs and the request has waited long enough."""
        saved = self._priorities.objective_weights[request.priority] * SAVED_VALUE_SHARE
        if saved <= self._cost:
            return False
        waited_us = now_us - request.arrived_us
        return waited_us >= self._cost / saved * MAX_WAIT_SHARE_OUTERMOST * request.objective_us
