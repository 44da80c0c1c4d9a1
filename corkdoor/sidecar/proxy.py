"""The host of the decision module: carries out its actions and tells it what happens. It decides nothing.

It holds what the module must not be able to lose: each request has one final answer, and an alarm that
gives it one in time whatever becomes of the module, the endpoints or the network.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

from corkdoor.balancer import Balancer
from corkdoor.log_events import LogEvent
from corkdoor.model import DiscoveryMode, Outcome, Readiness, Timer, WatchEventKind
from corkdoor.policy.discovery.connect_timeout import connect_timeout_s
from corkdoor.sidecar.bounds import Budget
from corkdoor.sidecar.clock import Alarm, now_us
from corkdoor.sidecar.config import Config, ConfigError
from corkdoor.sidecar.discovery.endpoint_list import ResolvedEndpoint
from corkdoor.sidecar.discovery.watcher import DiscoveryWatcher
from corkdoor.sidecar.invariants import Invariant, InvariantLog, Location, Sent, may_repeat
from corkdoor.sidecar.proxied_request import ProxiedRequest
from corkdoor.sidecar.upstream import Attempt, Response, Upstream, load_of
from corkdoor.status import state

log = logging.getLogger(__name__)
request_log = logging.getLogger(f"{__name__}.requests")  # a line for each request that is not answered 200


def _require_same(old: Config, new: Config) -> None:
    """What callers and the platform know a process by stays as it is until the process ends."""
    fixed = (
        ("name", old.name, new.name),
        ("listen", f"{old.listen.host}:{old.listen.port}", f"{new.listen.host}:{new.listen.port}"),
        ("settings: Layer", old.settings.layer, new.settings.layer),
    )
    for key, was, told in fixed:
        if told != was:
            raise ConfigError(f"{key}: {was} can't become {told} while the process runs")


def _left_ms(request: ProxiedRequest) -> int:
    return (request.deadline_us - now_us()) // 1000


class Proxy:
    """Implements the module's `Actions` and feeds its `Events`."""

    def __init__(self, config: Config) -> None:
        settings = config.settings
        self.settings = settings
        self.config = config  # the one in force
        self.changes = 0  # of the settings, since the start
        self.changed_s = time.time()  # when they came into force
        self.requests: dict[str, ProxiedRequest] = {}
        self.serial = 0
        self.list_calls: Counter[str] = Counter()  # since the last report: what calls to discovery brought
        self.tally: Counter[str] = Counter()  # since the last report: answers by status, attempts by outcome
        self.ending = False  # nothing new is begun
        self.listed = asyncio.Event()  # a list has named endpoints
        self.budget = Budget(config.bounds.held)  # for requests and answers alike
        self.invariants = InvariantLog()
        self.upstream = Upstream(
            settings.limits.idle_connection_us,
            settings.limits.connect_timeout_us,
            config.bounds.endpoints,
            self.budget,
            self.invariants,
        )
        self.watcher = DiscoveryWatcher(
            config.discovery.host,
            config.discovery.port,
            config.known.generation,
            connect_timeout_s(settings),
            self.on_list,
        )
        self.balancer = Balancer(settings, config.seed, self)

    def start(self) -> None:
        """Start the module on the list that was known last, which is in use until discovery answers."""
        self.balancer.start(now_us())
        self.on_list(WatchEventKind.CACHED, self.config.known.entries)
        if self.settings.discovery_mode is DiscoveryMode.PUSH:
            self.watcher.start()

    def reload(self, config: Config) -> None:
        """Put another configuration in force, or raise ConfigError and change nothing."""
        _require_same(self.config, config)
        settings, bounds = config.settings, config.bounds
        if settings != self.settings:
            self.balancer.reconfigure(now_us(), settings)  # first: where it refuses, nothing has changed
            self.settings = settings
        self.budget.most = bounds.held
        self.upstream.configure(
            settings.limits.idle_connection_us, settings.limits.connect_timeout_us, bounds.endpoints
        )
        self._follow_discovery(config)
        if config.digest != self.config.digest:
            self.changes += 1
            self.changed_s = time.time()
        self.config = config

    def _follow_discovery(self, config: Config) -> None:
        """A live watch stays where it is: all sidecars may be told at once, and each new one costs a list."""
        self.watcher.connect_timeout_s = connect_timeout_s(config.settings)
        address = config.discovery
        if (address.host, address.port) != (self.watcher.host, self.watcher.port):
            self.watcher.change_address(address.host, address.port)
            if not self._tell(self.balancer.on_discovery_moved):
                self.watcher.start()

    def version(self) -> str:
        """Which settings are in force, since when, and after how many changes."""
        since = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(self.changed_s))
        return f"settings {self.config.digest} since {since}, change {self.changes}"

    def report(self) -> str:
        """What happened since the last report, and the state, in one line for those on call."""
        up = self.upstream
        lines = [self.version(), f"open requests {len(self.requests)}, connections {up.open} of {up.most}"]
        lines.append(
            f"{self._list_state()}, longest {self.balancer.discovery.freshness.longest_age_us / 1e6:.1f} s"
        )
        for tally in (self.list_calls, self.tally, up.tally):
            lines.append(", ".join(f"{name} {count}" for name, count in sorted(tally.items())) or "-")
            tally.clear()
        return "; ".join([*lines, self.invariants.summary(), state(self.balancer, now_us())])

    @property
    def ready(self) -> bool:
        return self.listed.is_set()

    def _tell(self, event: Callable[..., None], *values: Any) -> bool:
        """Tell the module; its failure must neither end the process nor lose what it holds."""
        try:
            event(now_us(), *values)
        except Exception:
            log.exception("the module failed")
            return False
        return True

    # --- requests ---

    def take(self, request: ProxiedRequest) -> None:
        """A request has come whole: from here on one answer is owed."""
        self.serial += 1
        # An id of our own: a client that repeats one must not meet what the module still holds under it.
        request_id = request.request_id = f"{self.serial:016x}"
        self.requests[request_id] = request
        if not self.balancer.started:
            self.invariants.note_broken(Invariant.TAKEN_BEFORE_START, request.client.label())
        if self.ending:
            self._answer(request, 503, [], b"")
            return
        request.alarm = Alarm(request.due_us, partial(self._out_of_time, request))
        left = request.deadline_us - now_us()
        if not self._tell(
            self.balancer.on_request,
            request_id,
            request.request_class.name,
            request.tenant,
            left,
            request.hint_us,
        ):
            self._abandon(request, 500)

    def gone(self, request: ProxiedRequest) -> None:
        """The client has closed its connection: nothing more is sent for it."""
        if not request.answered:
            self.tally["gone"] += 1
            self._close(request)
            self._tell(self.balancer.on_request_cancelled, request.request_id)

    def _close(self, request: ProxiedRequest) -> None:
        request.answered = True
        if not request.out:
            self._discard(request)

    def _discard(self, request: ProxiedRequest) -> None:
        """Nothing more can come for it; its attempts point back at it, so it would be garbage in a cycle."""
        self.requests.pop(request.request_id, None)
        request.attempts.clear()
        # Not before: an attempt that outlives its request, at a silent machine, must end by time as well.
        if request.alarm is not None:
            request.alarm.cancel()
            request.alarm = None  # it points back at the request

    def _answer(
        self, request: ProxiedRequest, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """The one final answer: whatever would be a second one is dropped here."""
        if request.answered:
            return
        label = request.client.label()
        history = self._history(request) if status != 200 else ""
        self._close(request)
        self.tally[str(status)] += 1
        if history:
            request_log.info("%s answered %d with %d ms left: %s", label, status, _left_ms(request), history)
        request.client.answer(status, headers, body)

    def _history(self, request: ProxiedRequest) -> str:
        """The attempts of a request, for the log: where each went, how long it took, and how it ended."""
        now = now_us()
        ends = (f"{a.endpoint} {a.ended()} {(now - a.sent_us) // 1000} ms" for a in request.attempts)
        return f"class {request.request_class.name}, " + (", ".join(ends) or "never sent")

    def _abandon(self, request: ProxiedRequest, status: int) -> None:
        """Answer in place of the module, and tell it that the request is over."""
        if not request.answered:
            self._answer(request, status, [], b"")
            self._tell(self.balancer.on_request_cancelled, request.request_id)

    def _out_of_time(self, request: ProxiedRequest) -> None:
        """Attempts end by time, and so does what the module holds: an answer is due now, not later."""
        for attempt in list(request.attempts):
            attempt.drop(Outcome.TIMEOUT)
        self._abandon(request, 504)

    def end(self) -> None:
        """The process ends: what is open is answered now, and what still comes is turned away unsent."""
        self.ending = True
        for request in list(self.requests.values()):
            self._abandon(request, 504)

    # --- attempts ---

    def _data(self, request: ProxiedRequest, attempt: Attempt, until_us: int) -> bytes | None:
        """The bytes of an attempt that is written now, or None where the guard leaves it out.

        Asked at the last moment: on a busy loop, or while nothing is read from the client, its leaving waits
        in the kernel behind the very event that sends the attempt.
        """
        now = now_us()
        left_ms = (until_us - now) // 1000
        refused = self._guard_send(request, attempt, left_ms, now)
        if refused is not None:
            self.invariants.note_prevented(refused, f"{request.client.label()} to {attempt.endpoint}")
            if refused is Invariant.SENT_AFTER_DEPARTURE:
                # Later, for the module may be at work above.
                asyncio.get_running_loop().call_soon(self.gone, request)
            return None
        return b"%sReq-Deadline-Ms: %d\r\n\r\n%s" % (request.head, left_ms, request.body)

    def _guard_send(
        self, request: ProxiedRequest, attempt: Attempt, left_ms: int, now: int
    ) -> Invariant | None:
        """The one guard of sending and repeating: what speaks against these bytes, or None."""
        if request.answered:
            return Invariant.SENT_AFTER_ANSWER
        if left_ms < 1:
            return Invariant.SENT_AFTER_DEADLINE
        if request.client.departed():
            return Invariant.SENT_AFTER_DEPARTURE
        before = [Sent(a.written_us, a.location, a.outcome) for a in request.attempts if a.written_us]
        if before and not may_repeat(
            request.request_class, self.settings.limits, before, attempt.location, now
        ):
            return Invariant.REPEATED_UNSAFELY
        return None

    def _ended(
        self, request: ProxiedRequest, attempt: Attempt, outcome: Outcome, response: Response | None
    ) -> None:
        request.out -= 1
        self.tally[outcome.name.lower()] += 1
        if outcome is Outcome.OK and response is not None:
            self._answer(request, 200, response.headers, response.body)
        if request.answered and not request.out:
            self._discard(request)
        spent = now_us() - attempt.sent_us
        told = self._tell(
            self.balancer.on_attempt_end,
            request.request_id,
            attempt.number,
            attempt.endpoint,
            spent,
            request.answered,
            outcome,
            load_of(response) if response is not None else None,
        )
        if not told and not request.out:
            self._abandon(request, 500)

    # --- the module's actions ---

    def send_attempt(self, request_id: str, endpoint_id: str, max_wait_us: int) -> None:
        request = self.requests.get(request_id)
        if request is None:
            log.error("an attempt was asked for a request that is over")
            return
        until = request.due_us
        if max_wait_us:
            until = min(until, now_us() + max_wait_us)
        attempt = Attempt(
            len(request.attempts),
            endpoint_id,
            self._location(endpoint_id),
            partial(self._data, request, until_us=until),
            partial(self._ended, request),
            f"{request.client.label()} attempt {len(request.attempts)}",
        )
        if request.attempts:
            last = request.attempts[-1].outcome
            self.tally[f"again after {last.name.lower() if last else 'no answer yet'}"] += 1
        request.attempts.append(attempt)
        request.out += 1
        if request.answered or attempt.number >= self.settings.limits.max_attempts:
            asyncio.get_running_loop().call_soon(attempt.end, Outcome.NOT_SENT)
            return
        if until < request.due_us:
            attempt.alarm = Alarm(until, partial(attempt.drop, Outcome.TIMEOUT))
        self.upstream.send(attempt)

    def _location(self, endpoint: str) -> Location:
        known = self.balancer.endpoints[endpoint]
        return Location(known.zone, known.cell)

    def cancel_attempt(self, request_id: str, attempt: int) -> None:
        request = self.requests.get(request_id)
        if request is not None and attempt < len(request.attempts):
            # Later, for its outcome must not reach the module inside one of the module's own calls.
            asyncio.get_running_loop().call_soon(request.attempts[attempt].drop, Outcome.CANCELLED)

    def reject_request(self, request_id: str, retry_after_us: int) -> None:
        request = self.requests.get(request_id)
        if request is not None:
            headers = [(b"Retry-After", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else []
            self._answer(request, 503, headers, b"")

    def fail_request(self, request_id: str) -> None:
        request = self.requests.get(request_id)
        if request is not None:
            self._answer(request, 504 if now_us() >= request.due_us else 502, [], b"")

    def start_timer(self, delay_us: int, timer: Timer) -> None:
        Alarm(now_us() + delay_us, partial(self._tell, self.balancer.on_timer, timer))

    def watch_discovery(self, enabled: bool) -> None:
        if enabled:
            self.watcher.start()
        else:
            self.watcher.stop()

    def close_idle_connections(self, endpoint_id: str) -> None:
        self.upstream.close_idle(endpoint_id)

    def log_event(self, event: str, /, **fields: object) -> None:
        log.info(LogEvent(event, **fields))

    # --- discovery ---

    def on_list(self, form: WatchEventKind, entries: list[ResolvedEndpoint]) -> None:
        """Rule 3: the pools learn first, so that nothing new leaves for what drains or is gone."""
        lives = Counter(entry.endpoint.readiness.value for entry in entries)
        told = ", ".join(f"{count} {life}" for life, count in sorted(lives.items())) or "nothing new"
        log.info("discovery tells (%s): %s; before: %s", form.name.lower(), told, self._list_state())
        self.list_calls[f"list {form.name.lower()}"] += 1
        if form in (WatchEventKind.FULL, WatchEventKind.CACHED):
            for missing in self.upstream.pools.keys() - {entry.endpoint.id for entry in entries}:
                self._retire(missing, "not in the list", form)
        for endpoint, host, port in entries:
            if endpoint.readiness is Readiness.READY:
                self.upstream.place(endpoint.id, host, port, endpoint.started_us)
            else:
                self._retire(endpoint.id, endpoint.readiness.value, form)
        if entries:
            self.listed.set()
        self._tell(self.balancer.on_watch_event, form, [entry.endpoint for entry in entries])

    def _retire(self, endpoint: str, why: str, form: WatchEventKind) -> None:
        """Begin nothing new there; note what was sent once its change may have counted as told."""
        pool = self.upstream.retire(endpoint)
        if pool is None or form is WatchEventKind.CACHED:
            return
        since_us = self.balancer.discovery.freshness.breach_possible_since_us()
        if since_us is not None and pool.written_us > since_us:
            late_s = (pool.written_us - since_us) / 1e6
            detail = (
                f"{pool.written} to {endpoint}, {late_s:.2f} s late if its change ({why}) was missed first"
            )
            message = f"told by {form.name.lower()} of version {self.watcher.generation}"
            self.invariants.note_possible(Invariant.SENT_UNTOLD, f"{detail}; {message}, {self._list_state()}")

    def _list_state(self) -> str:
        """Where the list comes from, its version, and for how long changes may have been missed."""
        watcher, freshness = self.watcher, self.balancer.discovery.freshness
        return (
            f"list {watcher.generation} of {watcher.host}:{watcher.port}, untold for"
            f" {freshness.age_us(now_us()) / 1e6:.2f} s,"
            f" {freshness.consecutive_failures} calls failed in a row"
        )
