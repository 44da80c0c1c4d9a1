"""The process starts of endpoints that were removed from the endpoint table.

An endpoint that is listed again with the same start time has not restarted, so it needs no slow start.
"""

from __future__ import annotations

from corkdoor.policy.endpoint_state import STARTED_LONG_AGO, EndpointState, ProcessStart

MAX_REMOVED = 4096  # bounds the memory, as discovery may list new ids without end


class RemovedEndpoints:
    """The process starts of the endpoints that were removed last."""

    def __init__(self) -> None:
        self._starts: dict[str, ProcessStart] = {}  # in the order of removal

    def add(self, endpoint: EndpointState) -> None:
        """Record the start of an endpoint that is removed; past the bound, drop the oldest record."""
        self._starts.pop(endpoint.id, None)
        self._starts[endpoint.id] = ProcessStart(endpoint.listed_started_us, endpoint.started_us)
        if len(self._starts) > MAX_REMOVED:
            del self._starts[next(iter(self._starts))]

    def pop(self, endpoint_id: str) -> ProcessStart:
        """Return the recorded start of an endpoint that is listed again, and drop the record."""
        return self._starts.pop(endpoint_id, STARTED_LONG_AGO)
