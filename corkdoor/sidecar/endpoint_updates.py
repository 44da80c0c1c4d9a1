"""Applies the endpoint lists of discovery to the connection pools first, and then to the balancer."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Sequence

from corkdoor.balancer import Balancer
from corkdoor.log_events import LogEvent
from corkdoor.model import Readiness, WatchEventKind
from corkdoor.sidecar.balancer_events import notify
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.discovery.endpoint_list import ResolvedEndpoint
from corkdoor.sidecar.discovery.watcher import DiscoveryWatcher
from corkdoor.sidecar.invariants import Invariant, InvariantLog
from corkdoor.sidecar.upstream.pool_manager import PoolManager

COMPLETE_LISTS = (WatchEventKind.FULL, WatchEventKind.CACHED)
log = logging.getLogger(__name__)


class EndpointUpdates:
    """Applies watch events to the connection pools and the balancer.

    Attributes:
        has_endpoints: set once a list has contained an endpoint.
        counters: watch events by kind, since the last status line.
    """

    def __init__(
        self,
        balancer: Balancer,
        pools: PoolManager,
        watcher: DiscoveryWatcher,
        invariants: InvariantLog,
        counters: Counter[str],
    ) -> None:
        self.has_endpoints = asyncio.Event()
        self.counters = counters
        self._balancer = balancer
        self._pools = pools
        self._watcher = watcher
        self._invariants = invariants

    def apply(self, kind: WatchEventKind, entries: Sequence[ResolvedEndpoint]) -> None:
        """Apply a watch event.

        The connection pools are updated first, so that no attempt is sent to an endpoint that is draining or
        removed.
        """
        readiness = Counter(entry.endpoint.readiness.name.lower() for entry in entries)
        log.info(LogEvent("watch_event", kind=kind.name.lower(), **readiness, **self.list_fields()))
        self.counters[f"watch_events_{kind.name.lower()}"] += 1
        if kind in COMPLETE_LISTS:
            for missing in self._pools.pools.keys() - {entry.endpoint.id for entry in entries}:
                self._remove(missing, "missing from the list", kind)
        for endpoint, host, port in entries:
            if endpoint.readiness is Readiness.READY:
                self._pools.put_endpoint(endpoint.id, host, port, endpoint.started_us)
            else:
                self._remove(endpoint.id, endpoint.readiness.name.lower(), kind)
        if entries:
            self.has_endpoints.set()
        notify(self._balancer.on_watch_event, kind, [entry.endpoint for entry in entries])

    def list_fields(self) -> dict[str, object]:
        """Return the log fields of the endpoint list.

        These are its version, the address of discovery, the time since which changes may be missing, and the
        number of consecutive failed calls.
        """
        watcher, freshness = self._watcher, self._balancer.discovery.freshness
        return {
            "list_version": watcher.generation,
            "discovery": f"{watcher.host}:{watcher.port}",
            "list_age_s": freshness.age_us(now_us()) / 1e6,
            "failed_calls": freshness.consecutive_failures,
        }

    def _remove(self, endpoint_id: str, change: str, kind: WatchEventKind) -> None:
        """Stop sending attempts to an endpoint, and record an attempt that may have been sent too late."""
        pool = self._pools.remove_endpoint(endpoint_id)
        if pool is None or kind is WatchEventKind.CACHED or pool.last_sent_us is None:
            return
        breach_since_us = self._balancer.discovery.freshness.breach_possible_since_us()
        if breach_since_us is not None and pool.last_sent_us > breach_since_us:
            late_us = pool.last_sent_us - breach_since_us
            sent = f"request {pool.last_sent_label} to {endpoint_id}"
            missed = f"{late_us / 1e6:.2f} s too late if its change ({change}) was the first one missed"
            source = f"received in {kind.name.lower()} of version {self._watcher.generation}"
            fields = " ".join(f"{key}={value}" for key, value in self.list_fields().items())
            self._invariants.record_possibly_broken(
                Invariant.SENT_UNNOTIFIED, f"{sent}, {missed}; {source}, {fields}"
            )
