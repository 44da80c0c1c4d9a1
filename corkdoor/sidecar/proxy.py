"""The host of the balancer: carries out the balancer's actions on sockets, and notifies it of events.

The host makes no decisions itself. Its parts are in modules of their own.
"""

from __future__ import annotations

import logging
import time
from collections import Counter
from collections.abc import Sequence
from functools import partial
from http import HTTPStatus

from corkdoor.balancer import Balancer
from corkdoor.log_events import LogEvent
from corkdoor.model import DiscoveryMode, Timer, WatchEventKind
from corkdoor.policy.discovery.connect_timeout import connect_timeout_s
from corkdoor.sidecar.attempt_sender import AttemptSender
from corkdoor.sidecar.balancer_events import notify
from corkdoor.sidecar.clock import DeadlineTimer, now_us
from corkdoor.sidecar.config import Address, Config, check_immutable_values
from corkdoor.sidecar.discovery.endpoint_list import ResolvedEndpoint
from corkdoor.sidecar.discovery.watcher import DiscoveryWatcher
from corkdoor.sidecar.endpoint_updates import EndpointUpdates
from corkdoor.sidecar.invariants import InvariantLog
from corkdoor.sidecar.lifecycle import Lifecycle, ProcessState
from corkdoor.sidecar.memory_budget import MemoryBudget
from corkdoor.sidecar.proxied_request import ProxiedRequest
from corkdoor.sidecar.request_registry import RequestRegistry
from corkdoor.sidecar.upstream.pool_manager import PoolLimits, PoolManager

log = logging.getLogger(__name__)


class Proxy:
    """Connects the parts of the host; implements the balancer's `Actions`.

    Args:
        config: the configuration at the start.

    Attributes:
        config: the current configuration.
        settings: the balancer's settings in the current configuration.
        settings_changes: how many times the settings have changed since the start.
        settings_applied_at_s: when the current settings were applied, in Unix time in seconds.
        lifecycle: the state of the process.
        budget: the budget for the memory that all requests and responses take.
        list_budget: the budget for the memory that reading endpoint lists takes.
        invariants: counts and logs violations of invariants.
        counters: counts events since the last status line, by name.
        upstream: the pools of connections to endpoints.
        requests: the accepted requests.
        attempt_sender: sends attempts.
        watcher: watches discovery.
        endpoint_updates: applies the endpoint lists of discovery.
    """

    def __init__(self, config: Config) -> None:
        self.config = config
        self.settings = config.settings
        self.settings_changes = 0
        self.settings_applied_at_s = time.time()
        self.lifecycle = Lifecycle()
        self.budget = MemoryBudget(config.resource_limits.held_bytes)
        self.list_budget = MemoryBudget(config.resource_limits.list_bytes)
        self.invariants = InvariantLog()
        self.counters: Counter[str] = Counter()
        self.upstream = PoolManager(_pool_limits(config), self.budget, self.invariants)
        self.watcher = DiscoveryWatcher(
            config.discovery.host,
            config.discovery.port,
            config.cached_list.generation,
            connect_timeout_s(config.settings),
            self.list_budget,
            self.on_watch_event,
        )
        self.balancer = Balancer(config.settings, config.seed, self)
        self.requests = RequestRegistry(
            self.balancer, self.upstream, self.lifecycle, self.invariants, self.counters, self.budget
        )
        self.attempt_sender = AttemptSender(
            config.settings.limits,
            self.balancer,
            self.requests,
            self.upstream,
            self.invariants,
            self.counters,
        )
        self.endpoint_updates = EndpointUpdates(
            self.balancer, self.upstream, self.watcher, self.invariants, self.counters
        )

    # --- lifecycle ---

    def start(self) -> None:
        """Start the balancer with the cached endpoint list, which is in use until discovery responds."""
        self.balancer.start(now_us())
        self.on_watch_event(WatchEventKind.CACHED, self.config.cached_list.entries)
        if self.settings.discovery_mode is DiscoveryMode.PUSH:
            self.watcher.start()
        self.lifecycle.enter(ProcessState.SERVING)

    @property
    def has_endpoints(self) -> bool:
        """Whether an endpoint list has named any endpoint since the start."""
        return self.endpoint_updates.has_endpoints.is_set()

    def reject_all(self) -> None:
        """Respond to all open requests, and reject those that arrive from now on without an attempt."""
        self.lifecycle.enter(ProcessState.REJECTING)
        self.requests.abandon_all()

    # --- configuration ---

    def reload(self, config: Config) -> None:
        """Apply another configuration.

        Raises:
            ConfigError: it can't be applied; nothing has changed.
        """
        check_immutable_values(self.config, config)
        if config.settings != self.settings:
            # This call comes first: it may raise, and then nothing else may have been changed.
            self.balancer.reconfigure(now_us(), config.settings)
            self.settings = config.settings
            self.attempt_sender.limits = config.settings.limits
        self.budget.limit_bytes = config.resource_limits.held_bytes
        self.list_budget.limit_bytes = config.resource_limits.list_bytes
        self.upstream.configure(_pool_limits(config))
        self.watcher.connect_timeout_s = connect_timeout_s(config.settings)
        self._set_discovery_address(config.discovery)
        if config.digest != self.config.digest:
            self.settings_changes += 1
            self.settings_applied_at_s = time.time()
        self.config = config

    def _set_discovery_address(self, address: Address) -> None:
        """Watch discovery at this address.

        If the address has not changed, the watch stays open: each new watch costs discovery an endpoint list.
        """
        if (address.host, address.port) != (self.watcher.host, self.watcher.port):
            self.watcher.change_address(address.host, address.port)
            if not notify(self.balancer.on_discovery_address_changed):
                self.watcher.start()

    def settings_version_fields(self) -> dict[str, object]:
        """Return the digest of the current settings, when they were applied, and the number of changes."""
        return {
            "settings": self.config.digest,
            "settings_since": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(self.settings_applied_at_s)),
            "settings_changes": self.settings_changes,
        }

    # --- events ---

    def accept(self, request: ProxiedRequest) -> None:
        """Accept a request that has arrived completely."""
        self.requests.accept(request)

    def cancel(self, request: ProxiedRequest) -> None:
        """Cancel a request whose client has disconnected."""
        self.requests.cancel(request)

    def on_watch_event(self, kind: WatchEventKind, entries: Sequence[ResolvedEndpoint]) -> None:
        """Apply a watch event: an endpoint list, or the outcome of a call to discovery without one."""
        self.endpoint_updates.apply(kind, entries)

    # --- the balancer's actions ---

    def send_attempt(self, request_id: str, endpoint_id: str) -> None:
        """Send an attempt for a request to an endpoint."""
        self.attempt_sender.send(request_id, endpoint_id)

    def cancel_attempt(self, request_id: str, attempt: int) -> None:
        """Cancel one attempt of a request."""
        self.attempt_sender.cancel(request_id, attempt)

    def reject_request(self, request_id: str, retry_after_us: int | None) -> None:
        """Respond with 503, with Retry-After if a time is given."""
        request = self.requests.find(request_id)
        if request is not None:
            headers = [(b"Retry-After", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us else []
            self.requests.respond(request, HTTPStatus.SERVICE_UNAVAILABLE, headers)

    def fail_request(self, request_id: str) -> None:
        """Respond with 504 if the time for the response is over, otherwise with 502."""
        request = self.requests.find(request_id)
        if request is not None:
            timed_out = now_us() >= request.respond_by_us
            self.requests.respond(
                request, HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY
            )

    def start_timer(self, delay_us: int, timer: Timer) -> None:
        """Call the balancer's `on_timer` with this timer after the delay."""
        DeadlineTimer(now_us() + delay_us, partial(notify, self.balancer.on_timer, timer))

    def watch_discovery(self, enabled: bool, poll_first: bool = False) -> None:
        """Start watching the endpoint list, with a poll first if asked to, or stop."""
        if enabled:
            self.watcher.start(poll_first)
        else:
            self.watcher.stop()

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Close the idle connections to one endpoint."""
        self.upstream.close_idle(endpoint_id)

    def log_event(self, event: str, /, **fields: object) -> None:
        """Write an event of the balancer to the log."""
        log.info(LogEvent(event, **fields))


def _pool_limits(config: Config) -> PoolLimits:
    limits = config.settings.limits
    return PoolLimits(
        limits.idle_connection_us, limits.connect_timeout_us, config.resource_limits.endpoint_connections
    )
