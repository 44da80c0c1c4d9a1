"""The endpoint table: applies endpoint lists, and keeps the pools of all placements in step with them."""

from __future__ import annotations

from collections.abc import Sequence

from corkdoor.model import Endpoint, WatchEventKind
from corkdoor.policy.endpoint_state import EndpointState, OrderedEndpoints
from corkdoor.policy.placement_table import PlacementTable
from corkdoor.policy.removed_endpoints import RemovedEndpoints
from corkdoor.settings import Settings


class EndpointTable:
    """All endpoints that are ready, or that have attempts in flight.

    Args:
        settings: the current settings.
        placements: the placements whose pools hold the ready endpoints.
        impaired: the endpoints whose available share may be below 1; endpoints that change are added.

    Attributes:
        by_id: the endpoints, by id.
        ready_count: the number of ready endpoints.
    """

    def __init__(self, settings: Settings, placements: PlacementTable, impaired: OrderedEndpoints) -> None:
        self.by_id: dict[str, EndpointState] = {}
        self.ready_count = 0
        self._settings = settings
        self._placements = placements
        self._impaired = impaired
        self._removed = RemovedEndpoints()
        self._last_update_us: int | None = None  # when discovery last responded; None: never

    def configure(self, settings: Settings) -> None:
        """Apply settings in which the zone, the placements and the slow-start rules may have changed."""
        self._settings = settings
        if not self.by_id:
            return
        for placement in self._placements.all():
            for pool in placement.pools:
                pool.endpoints = []
        self.ready_count = 0
        for endpoint in self.by_id.values():
            self._add_to_pools(endpoint)
            self._impaired[endpoint] = None
        self._placements.resize_pools(settings)

    def update(self, now_us: int, kind: WatchEventKind, entries: Sequence[Endpoint]) -> None:
        """Apply a complete endpoint list, or for a `DELTA` only the entries that changed."""
        if kind is not WatchEventKind.DELTA:
            self._remove_unlisted({entry.id for entry in entries})
        for entry in entries:
            self._update_entry(now_us, entry)
        if kind is not WatchEventKind.CACHED:
            self._last_update_us = now_us
        self._placements.resize_pools(self._settings)

    def _remove_unlisted(self, listed_ids: set[str]) -> None:
        unlisted = [endpoint for endpoint in self.by_id.values() if endpoint.id not in listed_ids]
        for endpoint in unlisted:
            self._remove_from_pools(endpoint)
            endpoint.ready = False
            self.remove_if_unused(endpoint)

    def _update_entry(self, now_us: int, entry: Endpoint) -> None:
        endpoint = self.by_id.get(entry.id)
        if endpoint is None:
            start = self._removed.pop(entry.id)
            endpoint = EndpointState(entry, start, self._last_update_us, now_us)
            self.by_id[entry.id] = endpoint
        else:
            self._remove_from_pools(endpoint)  # before the update, which may change its zone or machine type
            endpoint.update(entry, self._last_update_us, now_us)
        self._add_to_pools(endpoint)
        self._impaired[endpoint] = None  # it may be warming up
        self.remove_if_unused(endpoint)

    def _add_to_pools(self, endpoint: EndpointState) -> None:
        if not endpoint.ready:
            return
        self.ready_count += 1
        for placement in self._placements.all():
            if placement.constraint.allows(endpoint):
                placement.pool_of(endpoint, self._settings.zone).add(endpoint)

    def _remove_from_pools(self, endpoint: EndpointState) -> None:
        if not endpoint.ready:
            return
        self.ready_count -= 1
        for placement in self._placements.all():
            if placement.constraint.allows(endpoint):
                placement.pool_of(endpoint, self._settings.zone).remove(endpoint)

    def remove_if_unused(self, endpoint: EndpointState) -> None:
        """Remove an endpoint that is not ready and has no attempt in flight.

        Guards against a table that grows without end, as discovery may list new ids again and again.
        """
        if endpoint.ready or endpoint.in_flight or self.by_id.get(endpoint.id) is not endpoint:
            return
        del self.by_id[endpoint.id]
        self._impaired.pop(endpoint, None)
        self._removed.add(endpoint)
