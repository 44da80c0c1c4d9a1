"""Sends the attempts that the balancer requests, and reports their outcomes.

The invariants of sending are checked immediately before an attempt is written.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from functools import partial
from http import HTTPStatus

from corkdoor.balancer import Balancer
from corkdoor.log_events import LogEvent
from corkdoor.model import Outcome
from corkdoor.settings import Limits
from corkdoor.sidecar.balancer_events import notify
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.invariants import Invariant, InvariantLog
from corkdoor.sidecar.proxied_request import OPEN, ProxiedRequest
from corkdoor.sidecar.request_registry import RequestRegistry
from corkdoor.sidecar.resend_guard import Location, SentAttempt, may_send_again
from corkdoor.sidecar.upstream.attempt import Attempt
from corkdoor.sidecar.upstream.pool_manager import PoolManager
from corkdoor.sidecar.upstream.response import STATUS_OK, Response, load_report

SUCCESS = Outcome.OK  # module-level name: looking up enum members is slow
log = logging.getLogger(__name__)


class AttemptSender:
    """Carries out the actions `send_attempt` and `cancel_attempt` of the balancer.

    Attributes:
        limits: the limits of the current settings.
        counters: attempts by outcome and retries by the outcome of the attempt before them, since the last
            status line.
    """

    def __init__(
        self,
        limits: Limits,
        balancer: Balancer,
        requests: RequestRegistry,
        pools: PoolManager,
        invariants: InvariantLog,
        counters: Counter[str],
    ) -> None:
        self.limits = limits
        self.counters = counters
        self._balancer = balancer
        self._requests = requests
        self._pools = pools
        self._invariants = invariants

    def send(self, request_id: str, endpoint_id: str) -> None:
        """Send an attempt, which times out when its request does."""
        request = self._requests.find(request_id)
        if request is None:
            log.error(LogEvent("attempt_for_unknown_request", request=request_id))
            return
        attempt = self._new_attempt(request, endpoint_id)
        if request.attempts:
            last = request.attempts[-1].outcome
            self.counters[f"retries_after_{last.name.lower() if last else 'no_outcome_yet'}"] += 1
        request.attempts.append(attempt)
        if request.state is not OPEN or attempt.number >= self.limits.max_attempts:
            asyncio.get_running_loop().call_soon(attempt.end, Outcome.NOT_SENT)
            return
        self._pools.send(attempt)

    def cancel(self, request_id: str, number: int) -> None:
        """Cancel an attempt in the next loop iteration, because the balancer is still handling an event."""
        request = self._requests.find(request_id)
        if request is not None and number < len(request.attempts):
            attempt = request.attempts[number]
            asyncio.get_running_loop().call_soon(self._pools.cancel, attempt, Outcome.CANCELLED)

    def _new_attempt(self, request: ProxiedRequest, endpoint_id: str) -> Attempt:
        number = len(request.attempts)
        endpoint = self._balancer.endpoints[endpoint_id]
        return Attempt(
            number,
            endpoint_id,
            Location(endpoint.zone, endpoint.cell),
            partial(self._encode, request),
            partial(self._on_end, request),
            f"{request.client.label()} attempt {number}",
        )

    def _encode(self, request: ProxiedRequest, attempt: Attempt) -> bytes | None:
        """Return the bytes of an attempt that is about to be written; None: an invariant forbids sending it.

        The check is made immediately before writing, because the client may have disconnected unnoticed. The
        disconnect waits in the kernel while nothing is read from the client, and on a busy loop it may wait
        behind the event that sends the attempt.
        """
        now = now_us()
        remaining_ms = (request.respond_by_us - now) // 1000
        violated = self._check_send(request, attempt, remaining_ms, now)
        if violated is None:
            if request.client.may_have_disconnected():
                self.counters["attempts_client_uncertain"] += 1
            return b"%sReq-Deadline-Ms: %d\r\n\r\n%s" % (request.head, remaining_ms, request.body)
        self._invariants.record_prevented(
            violated, f"request {request.client.label()} to {attempt.endpoint_id}"
        )
        if violated is Invariant.SENT_AFTER_DISCONNECT:
            asyncio.get_running_loop().call_soon(self._requests.cancel, request)
        return None

    def _check_send(
        self, request: ProxiedRequest, attempt: Attempt, remaining_ms: int, now: int
    ) -> Invariant | None:
        """Return the invariant that sending now would violate; None: the attempt may be sent."""
        if request.state is not OPEN:
            return Invariant.SENT_AFTER_ANSWER
        if remaining_ms < 1:
            return Invariant.SENT_AFTER_DEADLINE
        if request.client.has_disconnected():
            return Invariant.SENT_AFTER_DISCONNECT
        sent = [
            SentAttempt(earlier.sent_us, earlier.location, earlier.outcome)
            for earlier in request.attempts
            if earlier.sent_us is not None
        ]
        if sent and not may_send_again(request.request_class, self.limits, sent, attempt.location, now):
            return Invariant.UNSAFE_RETRY
        return None

    def _on_end(
        self, request: ProxiedRequest, attempt: Attempt, outcome: Outcome, response: Response | None
    ) -> None:
        """Pass a successful response to the client, and notify the balancer of the outcome."""
        self.counters[f"attempts_{outcome.name.lower()}"] += 1
        if outcome is SUCCESS and response is not None:
            self._requests.respond(request, STATUS_OK, response.headers, response.body)
        self._requests.remove_if_done(request)
        notified = notify(
            self._balancer.on_attempt_end,
            request.request_id,
            attempt.number,
            attempt.endpoint_id,
            now_us() - attempt.started_us,
            request.state is not OPEN,  # it has its final response, or is cancelled
            outcome,
            load_report(response) if response is not None else None,
        )
        if not notified and not request.has_attempts_in_flight():
            self._requests.abandon(request, HTTPStatus.INTERNAL_SERVER_ERROR)
