"""The balancer: combines the rules of `corkdoor/policy` and carries out their decisions.

It receives the events of `corkdoor/interface.py` and calls the actions defined there. It has no rules of its
own and does no I/O.

A request passes through these steps: admission (token buckets, priorities, load shedding), the request queue
while the concurrency limit is reached, and endpoint choice. After a failed attempt, retry safety and the
retry budget decide whether the request is retried. The design follows "How Airbnb Built Adaptive Traffic
Management for a Multi-tenant Key-value Store".
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from corkdoor.interface import Actions, Events
from corkdoor.load_report import LoadReport
from corkdoor.model import DiscoveryMode, Endpoint, Outcome, Timer, WatchEventKind
from corkdoor.policy.discovery.polling import DiscoveryPolling
from corkdoor.policy.endpoint_pool import EndpointPool
from corkdoor.policy.endpoint_state import EndpointState
from corkdoor.policy.errors import DuplicateRequestError, FixedSettingError, NotStartedError
from corkdoor.policy.placement import Placement
from corkdoor.policy.rejections import RejectionReason
from corkdoor.policy.request import Attempt, Request
from corkdoor.policy.request_state import RequestState
from corkdoor.policy.routing import Route
from corkdoor.policy.rules import Rules
from corkdoor.policy.unresponsive import MIN_IN_FLIGHT
from corkdoor.settings import Settings

QUEUE_SWEEP_INTERVAL_US = 20_000  # interval between checks of the request queue and of the pending hedges
FAILED_CALL_KINDS = frozenset((WatchEventKind.FAILED, WatchEventKind.REJECTED, WatchEventKind.LOST))


class Balancer(Events):
    """Makes the decisions of one instance.

    Args:
        settings: the initial settings.
        seed: the seed of all random draws.
        actions: carries out the decisions.

    Attributes:
        settings: the current settings.
        classes: the request classes of the current settings, by name.
        requests: the requests for which a response is pending or that have attempts in flight, by id.
        started: whether `start` has been called. It creates the attributes below.
        rules: the rules of `corkdoor/policy`.
        queue: the requests that wait for capacity.
        endpoints: the endpoints that are ready or that have attempts in flight, by id.
        discovery: schedules the calls to discovery.
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.requests: dict[str, Request] = {}
        self.started = False
        self._actions = actions
        self._random = random.Random(seed)
        self._sweep_due_us: int | None = None

    # --- lifecycle ---

    def start(self, now_us: int) -> None:
        """Create the rules; called once, before all other events except `reconfigure`."""
        self.started = True
        self.rules = Rules(self.settings, self.requests, self._actions, self._random, now_us)
        self.queue = self.rules.queue
        self.endpoints = self.rules.endpoint_table.by_id
        self.discovery = DiscoveryPolling(self.settings, now_us, self._actions, self._random)
        if self.settings.discovery_mode is DiscoveryMode.POLL:
            self._actions.watch_discovery(True)

    def reconfigure(self, now_us: int, settings: Settings) -> None:
        """Apply new settings. Open requests keep their class and the endpoints that it allows.

        Raises:
            FixedSettingError: a setting differs that can't change at run time. In this case no setting
                changes.
        """
        previous = self.settings
        if settings.layer != previous.layer:
            raise FixedSettingError("layer")
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        if not self.started:
            return
        self.rules.configure(now_us, previous, settings)
        self.discovery.configure(settings)
        if settings.discovery_mode is not previous.discovery_mode:
            self.discovery.start_call(now_us)
        if self.queue.count:
            self._dispatch(now_us)

    @property
    def placements(self) -> list[Placement]:
        """The placements of all current classes and of open requests from earlier settings."""
        return self.rules.placements.all()

    # --- discovery ---

    def on_watch_event(self, now_us: int, kind: WatchEventKind, endpoints: Sequence[Endpoint]) -> None:
        """Process an endpoint list, changes to the list, or a failed call to discovery."""
        if kind in FAILED_CALL_KINDS:
            self.discovery.on_failure(now_us, kind)
            return
        if kind is not WatchEventKind.CACHED:
            self.discovery.on_response(now_us, empty=not endpoints)
        self.rules.endpoint_table.update(now_us, kind, endpoints)
        if self.queue.count:
            self._dispatch(now_us)

    def on_discovery_address_changed(self, now_us: int) -> None:
        """Process a change of discovery's address; no call has been sent to the new address yet."""
        self.discovery.on_address_changed(now_us)

    # --- timers ---

    def on_timer(self, now_us: int, timer: Timer) -> None:
        """Process a timer that has expired."""
        if timer is Timer.DISCOVERY_POLL:
            self.discovery.on_timer(now_us)
        elif self._sweep_due_us is not None and now_us >= self._sweep_due_us:
            self._sweep_due_us = None
            self._sweep(now_us)

    def _start_sweep_timer(self, now_us: int) -> None:
        if self._sweep_due_us is None:
            self._sweep_due_us = now_us + QUEUE_SWEEP_INTERVAL_US
            self._actions.start_timer(QUEUE_SWEEP_INTERVAL_US, Timer.QUEUE_SWEEP)

    def _sweep(self, now_us: int) -> None:
        """Send queued requests, reject those that have timed out, and send hedges that are due."""
        self._dispatch(now_us)
        while (request := self.queue.timed_out(now_us)) is not None:
            self._reject(request, RejectionReason.QUEUE_TIMEOUT)
        self.queue.update_sojourn(now_us)
        while (request := self.rules.hedging.pop_due(now_us)) is not None:
            if self.rules.hedging.allows(request) and self._try_send(now_us, request):
                self.rules.retry_budget.take()
        self.rules.hedging.drop_unneeded()
        if self.queue.count or self.rules.hedging.pending:
            self._start_sweep_timer(now_us)

    def _dispatch(self, now_us: int) -> None:
        """Send queued requests while there is capacity, highest priority first."""
        queue = self.queue
        queue.update_sojourn(now_us)
        for priority in range(queue.priority_count):
            while (request := queue.head(priority)) is not None:
                if not self._try_send(now_us, request):
                    break
                queue.record_dequeued()

    # --- requests ---

    def on_request(
        self,
        now_us: int,
        request_id: str,
        class_name: str,
        tenant: str | None,
        timeout_us: int,
        cost_hint_us: int | None,
    ) -> None:
        """Reject, send or queue an arriving request."""
        if not self.started:
            raise NotStartedError
        if request_id in self.requests:
            raise DuplicateRequestError(request_id)
        request = self._create_request(now_us, request_id, class_name, tenant, timeout_us)
        adjusted_cost_ru = self.rules.admission.set_cost_and_priority(request, cost_hint_us)
        reason = self.rules.admission.process_arrival(now_us, request, timeout_us)
        if reason is not None:
            self._reject(request, reason)
            return
        self.rules.admission.charge(request, adjusted_cost_ru)
        self._send_or_queue(now_us, request)

    def _create_request(
        self, now_us: int, request_id: str, class_name: str, tenant: str | None, timeout_us: int
    ) -> Request:
        if now_us >= self.rules.buckets.next_refill_us:
            self.rules.buckets.refill(now_us)
            self.rules.placements.end_window()
        bucket = self.rules.buckets.get_or_create(tenant or "")
        placement = self.rules.placements.by_class[class_name]
        request = Request(request_id, self.classes[class_name], placement, bucket, now_us, timeout_us)
        self.requests[request_id] = request
        bucket.last_request_us = now_us
        return request

    def _send_or_queue(self, now_us: int, request: Request) -> None:
        sent = self.rules.admission.may_skip_queue(request) and self._try_send(now_us, request)
        if not request.over_quota:
            self.rules.shortage.record(sent)
        if sent:
            return
        reason = self.rules.admission.unsent_rejection_reason(request)
        if reason is not None:
            self._reject(request, reason)
        elif self.queue.push(now_us, request):
            self._start_sweep_timer(now_us)
        else:
            self._reject(request, RejectionReason.NO_TIME_TO_QUEUE)

    def on_request_cancelled(self, now_us: int, request_id: str) -> None:
        """Process a request whose client has left, or to which the host has responded itself."""
        del now_us  # part of every event's signature
        request = self.requests.get(request_id)
        if request is not None:
            self._finish(request)

    def _reject(self, request: Request, reason: RejectionReason) -> None:
        """Respond without a result: reject the request where that is allowed, otherwise fail it."""
        self.rules.rejections.record(reason)
        if self.rules.rejections.may_reject(request):
            self._actions.reject_request(request.id, self.rules.rejections.draw_retry_after_us())
        else:
            self._actions.fail_request(request.id)
        self._finish(request)

    def _finish(self, request: Request) -> None:
        """Finish a request for which no response is pending.

        Cancels its attempts, where the settings allow that. Removes the request if none is in flight.
        """
        if request.state is RequestState.QUEUED:
            self.queue.record_dequeued()
        if not request.outstanding:
            request.enter(RequestState.CLOSED)
            del self.requests[request.id]
            return
        request.enter(RequestState.ANSWERED)
        if self.settings.limits.cancellation_allowed:
            for number in sorted(request.outstanding):
                self._actions.cancel_attempt(request.id, number)

    # --- attempts ---

    def _try_send(self, now_us: int, request: Request) -> bool:
        route = self.rules.router.find_route(now_us, request)
        if route is None:
            return False
        self._send(now_us, request, route)
        return True

    def _send(self, now_us: int, request: Request, route: Route) -> None:
        pool, endpoint = route
        if not request.attempts:
            self._record_first_attempt(now_us, request, pool)
        idle_step = None  # unknown while other attempts are in flight: any idle connection may be used next
        if not endpoint.in_flight:
            endpoint.waiting_since_us = now_us
            idle_step = self.rules.idle_connections.prepare_connection(now_us, endpoint)
        request.add_attempt(Attempt(endpoint, now_us, pool, idle_step))
        self.rules.slow_start.take_token(endpoint)
        self._acquire(now_us, pool, endpoint)
        self._actions.send_attempt(request.id, endpoint.id)

    def _record_first_attempt(self, now_us: int, request: Request, pool: EndpointPool) -> None:
        self.rules.retry_budget.refill()
        request.placement.recent_cost_ru += request.cost_ru
        if self.rules.hedging.schedule(now_us, request, pool.limit.median * request.objective_us):
            self._start_sweep_timer(now_us)

    def _acquire(self, now_us: int, pool: EndpointPool, endpoint: EndpointState) -> None:
        """Count an attempt that is being sent as in flight at its endpoint and in its pool."""
        endpoint.last_used_us = now_us
        endpoint.in_flight += 1
        if endpoint.in_flight >= MIN_IN_FLIGHT:  # from here on it is checked for unresponsiveness
            self.rules.impaired[endpoint] = None
        pool.sent_in_window += 1
        pool.limit.in_flight += 1

    def on_response_start(self, now_us: int, request_id: str, attempt: int) -> None:
        """Process the start of a streaming class's response, which is the request's final response."""
        del now_us, attempt  # part of the event's signature; it doesn't matter which attempt responds
        request = self.requests.get(request_id)
        if request is not None and request.outstanding:
            request.enter(RequestState.ANSWERED)

    def on_attempt_end(
        self,
        now_us: int,
        request_id: str,
        attempt: int,
        endpoint_id: str,
        elapsed_us: int,
        request_closed: bool,
        outcome: Outcome,
        load: LoadReport | None = None,
    ) -> None:
        """Record the result of an attempt, and retry or finish its request."""
        del endpoint_id  # the recorded attempt holds its endpoint
        request = self.requests.get(request_id)
        if request is None or attempt not in request.outstanding:
            return
        ended = request.end_attempt(attempt, outcome)
        self._release(now_us, ended)
        self.rules.feedback.record(now_us, request, ended, elapsed_us, outcome, load)
        if request.needs_no_response or request_closed:
            self._finish(request)
        elif not request.outstanding:
            self._retry_or_reject(now_us, request, outcome)
        if self.queue.count:
            self._dispatch(now_us)

    def _release(self, now_us: int, attempt: Attempt) -> None:
        """Stop counting an attempt that has ended as in flight at its endpoint and in its pool."""
        endpoint = attempt.endpoint
        endpoint.in_flight -= 1
        self.rules.endpoint_table.remove_if_unused(endpoint)
        endpoint.last_used_us = now_us
        attempt.pool.limit.in_flight -= 1

    def _retry_or_reject(self, now_us: int, request: Request, outcome: Outcome) -> None:
        request.enter(RequestState.BETWEEN_ATTEMPTS)
        if self.rules.retries.take_retry(now_us, request, outcome):
            route = self.rules.router.find_retry_route(now_us, request)
            if route is not None:
                self._send(now_us, request, route)
                return
        self._reject(request, RejectionReason.ATTEMPTS_FAILED)
