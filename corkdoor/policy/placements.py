"""Placements: which endpoints a request class may use, as a pool in this zone and one in the others.

Classes with the same constraint share a placement. Subsets are drawn from the allowed endpoints alone: a
subset drawn from all endpoints and filtered afterwards could leave none.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, NamedTuple

from corkdoor.policy.endpoint_pool import EndpointPool, subset_size
from corkdoor.policy.endpoint_state import EndpointState
from corkdoor.settings import RequestClass, Settings

if TYPE_CHECKING:
    from corkdoor.policy.request import Request

MIN_REMOTE_SHARE = 0.25  # share of the fair share that an instance uses in other zones at least
WORK_DECAY = 0.95  # of the work sent, kept from one refill window to the next: a memory of ten seconds
MIN_SHARE_LEFT = 0.1  # share of an even load that wider placements keep at endpoints of narrower ones


class NarrowerPlacement(NamedTuple):
    """A placement with fewer endpoints, and the share of an even load that it leaves there to wider ones."""

    placement: Placement
    share_left: float


class Placement:
    """The endpoints that the classes of one placement constraint may use.

    Attributes:
        allowed_zones: the only zones allowed; None: any.
        allowed_machine_types: the only machine types allowed; None: any.
        local: the endpoints of this instance's zone.
        remote: the endpoints of the other zones.
        pools: both, the local one first.
        recent_work_ru: the cost of the requests sent lately.
        narrower: the placements with fewer endpoints.
    """

    def __init__(self, request_class: RequestClass, layer: int) -> None:
        self.allowed_zones = request_class.allowed_zones
        self.allowed_machine_types = request_class.allowed_machine_types
        self.local, self.remote = EndpointPool(layer), EndpointPool(layer)
        self.local.limit.peer, self.remote.limit.peer = self.remote.limit, self.local.limit
        self.pools = (self.local, self.remote)
        self.recent_work_ru = 0.0
        self.narrower: list[NarrowerPlacement] = []

    @property
    def endpoint_count(self) -> int:
        """How many endpoints are allowed and ready."""
        return len(self.local.endpoints) + len(self.remote.endpoints)

    def allows(self, endpoint: EndpointState) -> bool:
        """Return whether the endpoint meets the constraint."""
        return (self.allowed_zones is None or endpoint.zone in self.allowed_zones) and (
            self.allowed_machine_types is None or endpoint.machine_type in self.allowed_machine_types
        )

    def pool_of(self, endpoint: EndpointState, zone: str) -> EndpointPool:
        """Return the pool that an allowed endpoint belongs to, for an instance in `zone`."""
        return self.local if endpoint.zone == zone else self.remote

    def share_left(self, endpoint: EndpointState) -> float:
        """Return the share of an even load that narrower placements leave at the endpoint, up to 1."""
        share = 1.0
        for narrower, share_left in self.narrower:
            if narrower.allows(endpoint):
                share = share_left
        return share

    def resize_pools(self, settings: Settings) -> None:
        """Set the limits and subsets of both pools by this instance's share of the endpoints.

        Guards against overload of a small zone: instances are not spread over zones as endpoints are.
        """
        fair_share = self.endpoint_count / settings.instance_count
        local_share = min(fair_share, len(self.local.endpoints))
        remote_share = max(fair_share - local_share, MIN_REMOTE_SHARE * fair_share)
        for pool, share in ((self.local, local_share), (self.remote, remote_share)):
            pool.limit.resize(share)
            size = subset_size(pool.limit.limit, share, pool.limit.in_flight)
            pool.subset.fill(pool.endpoints, settings.instance_index, settings.instance_count, size)


class PlacementTable:
    """The placements of all classes, and of requests that arrived under earlier settings."""

    def __init__(self, settings: Settings, requests: Mapping[str, Request]) -> None:
        self._requests = requests
        self.by_class: dict[str, Placement] = {}
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Take the classes of the settings; placements with the same constraint are kept."""
        known = {(p.allowed_zones, p.allowed_machine_types): p for p in self.all()}
        self.by_class = {
            c.name: known.setdefault((c.allowed_zones, c.allowed_machine_types), Placement(c, settings.layer))
            for c in settings.classes
        }

    def all(self) -> list[Placement]:
        """Return all placements, each once."""
        of_requests = (request.placement for request in self._requests.values())
        return list(dict.fromkeys([*self.by_class.values(), *of_requests]))

    def resize_pools(self, settings: Settings) -> None:
        """Set the limits and subsets of all pools."""
        for placement in self.all():
            placement.resize_pools(settings)

    def end_window(self) -> None:
        """End a refill window: update the send rates, and what wider placements leave to narrower ones.

        Guards against classes without a constraint that fill the few endpoints of a constrained class.
        """
        placements = self.all()
        for placement in placements:
            for pool in placement.pools:
                pool.end_window()
        _update_narrower(placements)
        for placement in placements:
            placement.recent_work_ru *= WORK_DECAY


def _update_narrower(placements: Iterable[Placement]) -> None:
    total_work_ru = sum(p.recent_work_ru for p in placements)
    even_work_ru = total_work_ru / max(1, *(p.endpoint_count for p in placements))  # for each endpoint
    for wider in placements:
        wider.narrower = []
        if not even_work_ru:
            continue
        for narrower in placements:
            if 0 < narrower.endpoint_count < wider.endpoint_count:
                load = narrower.recent_work_ru / narrower.endpoint_count / even_work_ru
                wider.narrower.append(NarrowerPlacement(narrower, max(MIN_SHARE_LEFT, 1.0 - load)))
