"""The real proxy with simulated attempts: a timer ends them, without a connection to an endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Protocol

from corkdoor.model import Outcome, WatchEventKind
from corkdoor.sidecar.balancer_events import notify
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.config import Config
from corkdoor.sidecar.discovery.endpoint_list import ResolvedEndpoint
from corkdoor.sidecar.proxy import Proxy
from emulator.simulated_sidecars.messages import RequestOutcome

TENANT = "acme"


class SidecarObserver(Protocol):
    """The interface through which a simulated proxy calls its process."""

    def draw_service_s(self) -> float:
        """Draw the service time of an attempt in seconds."""

    def record_list(self, sidecar: int, generation: int) -> None:
        """Record that a sidecar has applied a list, or changes of it."""

    def record_outcome(self, outcome: RequestOutcome) -> None:
        """Count a synthetic request that has ended."""


class SimulatedProxy(Proxy):
    """One simulated sidecar.

    Args:
        config: the configuration, as a real sidecar has it.
        number: the number of the sidecar among those of all processes.
        observer: the process of the sidecar.
    """

    def __init__(self, config: Config, number: int, observer: SidecarObserver) -> None:
        super().__init__(config)
        self.number = number
        self.observer = observer
        self.killed = False
        self._attempts: dict[str, int] = {}  # number of the last attempt, by request id

    def on_watch_event(self, kind: WatchEventKind, entries: Sequence[ResolvedEndpoint]) -> None:
        """Apply a list or changes of it, and record that."""
        super().on_watch_event(kind, entries)
        if kind in (WatchEventKind.FULL, WatchEventKind.DELTA):
            self.observer.record_list(self.number, self.watcher.generation)

    def request(self, request_id: str, class_name: str, deadline_us: int) -> None:
        """Pass a synthetic request to the decision module."""
        notify(self.balancer.on_request, request_id, class_name, TENANT, deadline_us, None)

    # --- actions of the decision module ---

    def send_attempt(self, request_id: str, endpoint_id: str) -> None:
        """Start an attempt, which succeeds after a random service time."""
        attempt = self._attempts[request_id] = self._attempts.get(request_id, -1) + 1
        service_s = self.observer.draw_service_s()
        loop = asyncio.get_running_loop()
        loop.call_later(service_s, self._end_attempt, request_id, attempt, endpoint_id, now_us())

    def _end_attempt(self, request_id: str, attempt: int, endpoint_id: str, sent_us: int) -> None:
        if self.killed:
            return
        if self._attempts.pop(request_id, None) is not None:
            self.observer.record_outcome(RequestOutcome.SERVED)
        spent_us = now_us() - sent_us
        arguments = (request_id, attempt, endpoint_id, spent_us, True, Outcome.OK, None)
        notify(self.balancer.on_attempt_end, *arguments)

    def reject_request(self, request_id: str, _retry_after_us: int | None) -> None:
        """Count a request that was rejected."""
        self._attempts.pop(request_id, None)
        self.observer.record_outcome(RequestOutcome.REJECTED)

    def fail_request(self, request_id: str) -> None:
        """Count a request that failed."""
        self._attempts.pop(request_id, None)
        self.observer.record_outcome(RequestOutcome.FAILED)

    # --- lifecycle ---

    def kill(self) -> None:
        """Act as if the process had been killed: reset the connection to discovery, and stop all activity."""
        self.killed = True
        self.watch_discovery(False)
