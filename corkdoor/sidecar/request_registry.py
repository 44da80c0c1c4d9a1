"""Tracks the accepted requests, and sends exactly one final response to each.

Each request has a timer that responds in time even if the balancer, the endpoints or the network fail.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterator, Mapping
from functools import partial
from http import HTTPStatus

from corkdoor.balancer import Balancer
from corkdoor.log_events import LogEvent
from corkdoor.model import Outcome
from corkdoor.sidecar.balancer_events import notify
from corkdoor.sidecar.clock import DeadlineTimer, now_us
from corkdoor.sidecar.invariants import Invariant, InvariantLog
from corkdoor.sidecar.lifecycle import Lifecycle
from corkdoor.sidecar.memory_budget import MemoryBudget
from corkdoor.sidecar.proxied_request import (
    ANSWERED,
    CANCELLED,
    DONE,
    OPEN,
    REQUEST_STATES,
    ProxiedRequest,
    RequestState,
)
from corkdoor.sidecar.upstream.pool_manager import PoolManager
from corkdoor.sidecar.upstream.response import STATUS_OK

NO_MEMORY_RETRY_AFTER_S = b"1"  # value of Retry-After for a request for which no memory is left
request_log = logging.getLogger(__name__)  # one line for each final response other than 200


class RequestRegistry(Mapping[str, ProxiedRequest]):
    """The accepted requests by id, until they are closed and none of their attempts is in flight.

    Attributes:
        accepted: the number of requests accepted since the start.
        counters: responses by status, attempts by outcome and disconnects of clients, since the last status
            line.
    """

    def __init__(
        self,
        balancer: Balancer,
        pools: PoolManager,
        lifecycle: Lifecycle,
        invariants: InvariantLog,
        counters: Counter[str],
        budget: MemoryBudget,
    ) -> None:
        self.accepted = 0
        self._budget = budget
        self.counters = counters
        self._balancer = balancer
        self._pools = pools
        self._lifecycle = lifecycle
        self._invariants = invariants
        self._requests: dict[str, ProxiedRequest] = {}

    def __getitem__(self, request_id: str) -> ProxiedRequest:
        return self._requests[request_id]

    def __iter__(self) -> Iterator[str]:
        return iter(self._requests)

    def __len__(self) -> int:
        return len(self._requests)

    def find(self, request_id: str) -> ProxiedRequest | None:
        """Return the request with this id; None: it has been removed."""
        return self._requests.get(request_id)

    def accept(self, request: ProxiedRequest) -> None:
        """Accept a complete request; from now on its final response is pending."""
        self.accepted += 1
        # The registry assigns its own id: when a client reuses an id, the balancer may still hold the earlier
        # request under it.
        request_id = request.request_id = f"{self.accepted:016x}"
        self._requests[request_id] = request
        if not self._balancer.started:
            self._invariants.record_broken(Invariant.ACCEPTED_BEFORE_START, request.client.label())
        if self._lifecycle.is_rejecting:
            self.respond(request, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        if not request.try_reserve_memory(self._budget):
            self.respond(request, HTTPStatus.SERVICE_UNAVAILABLE, [(b"Retry-After", NO_MEMORY_RETRY_AFTER_S)])
            return
        request.timeout = DeadlineTimer(request.respond_by_us, partial(self._time_out, request))
        if not notify(
            self._balancer.on_request,
            request_id,
            request.request_class.name,
            request.tenant,
            request.deadline_us - now_us(),
            request.cost_hint_us,
        ):
            self.abandon(request, HTTPStatus.INTERNAL_SERVER_ERROR)

    def cancel(self, request: ProxiedRequest) -> None:
        """Cancel a request whose client has disconnected; no further attempt is sent for it."""
        if request.state is OPEN:
            self.counters["client_disconnects"] += 1
            self._close(request, CANCELLED)
            notify(self._balancer.on_request_cancelled, request.request_id)

    def respond(
        self,
        request: ProxiedRequest,
        status: int,
        headers: list[tuple[bytes, bytes]] | None = None,
        body: bytes = b"",
    ) -> None:
        """Send and count the final response, and log a failure; any further response is dropped."""
        if request.state is not OPEN:
            return
        failure = _failure_event(request, status) if status != STATUS_OK else None
        self._close(request, ANSWERED)
        self.counters[f"responses_{status:d}"] += 1
        if failure is not None:
            request_log.info(failure)
        request.client.respond(status, headers or [], body)

    def abandon(self, request: ProxiedRequest, status: int) -> None:
        """Respond in place of the balancer, and notify it that the request is cancelled."""
        if request.state is OPEN:
            self.respond(request, status)
            notify(self._balancer.on_request_cancelled, request.request_id)

    def abandon_all(self) -> None:
        """Respond with 504 to all open requests, when the process ends."""
        for request in list(self._requests.values()):
            self.abandon(request, HTTPStatus.GATEWAY_TIMEOUT)

    def remove_if_done(self, request: ProxiedRequest) -> None:
        """Remove a request that is closed, once none of its attempts is in flight."""
        state = request.state
        if state is OPEN or state is DONE or request.has_attempts_in_flight():
            return
        request.state = REQUEST_STATES.check(request.state, DONE)
        request.release_memory()
        self._requests.pop(request.request_id, None)
        request.attempts.clear()  # attempts refer to the request, which would leave a reference cycle
        # The timer runs until here, and not only until the request is closed: an attempt that is still in
        # flight at an unresponsive endpoint must time out as well.
        if request.timeout is not None:
            request.timeout.cancel()
            request.timeout = None

    def _close(self, request: ProxiedRequest, state: RequestState) -> None:
        request.state = REQUEST_STATES.check(request.state, state)
        request.drop_payload()
        self.remove_if_done(request)

    def _time_out(self, request: ProxiedRequest) -> None:
        """End the attempts in flight, and respond with 504 if the balancer has not responded."""
        for attempt in list(request.attempts):
            self._pools.cancel(attempt, Outcome.TIMEOUT)
        self.abandon(request, HTTPStatus.GATEWAY_TIMEOUT)


def _failure_event(request: ProxiedRequest, status: int) -> LogEvent:
    """Return the log event of a failed request, with the endpoint, outcome and age of each attempt."""
    now = now_us()
    attempts = (
        f"{attempt.endpoint_id}:{attempt.outcome_name()}:{(now - attempt.started_us) // 1000}ms"
        for attempt in request.attempts
    )
    return LogEvent(
        "request_failed",
        request=request.client.label(),
        status=int(status),
        remaining_ms=request.remaining_ms(),
        request_class=request.request_class.name,
        attempts=",".join(attempts) or "-",
    )
