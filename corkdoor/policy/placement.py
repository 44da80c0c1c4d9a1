"""A placement: the endpoints that request classes with the same constraint may use.

The endpoints of this instance's zone form one pool, those of all other zones another. Subsets are drawn from
the allowed endpoints only: a subset that is drawn from all endpoints and then filtered could be empty.
"""

from __future__ import annotations

from typing import NamedTuple

from corkdoor.policy.endpoint_pool import EndpointPool, subset_size
from corkdoor.policy.endpoint_state import EndpointState
from corkdoor.settings import RequestClass, Settings

MIN_REMOTE_SHARE = 0.25  # least share of its fair share of endpoints that an instance uses in other zones


class PlacementConstraint(NamedTuple):
    """Where the requests of a class may be sent.

    Attributes:
        zones: the only zones allowed; None: any.
        machine_types: the only machine types allowed; None: any.
    """

    zones: frozenset[str] | None
    machine_types: frozenset[str] | None

    @classmethod
    def of(cls, request_class: RequestClass) -> PlacementConstraint:
        """Return the constraint of a class."""
        return cls(request_class.allowed_zones, request_class.allowed_machine_types)

    def allows(self, endpoint: EndpointState) -> bool:
        """Return whether the endpoint meets the constraint."""
        return (self.zones is None or endpoint.zone in self.zones) and (
            self.machine_types is None or endpoint.machine_type in self.machine_types
        )


class NarrowerPlacement(NamedTuple):
    """A placement with fewer endpoints, as seen from a wider one.

    Attributes:
        placement: the placement with fewer endpoints.
        share_left: the share of an even load that it leaves to the wider placement at its endpoints.
    """

    placement: Placement
    share_left: float


class Placement:
    """The endpoints that the classes of one placement constraint may use.

    Attributes:
        constraint: which endpoints are allowed.
        local: the pool of this instance's zone.
        remote: the pool of all other zones.
        pools: both pools, the local one first.
        recent_cost_ru: the cost of the requests sent recently, in request units; it decays over time.
        narrower: the placements with fewer endpoints.
    """

    def __init__(self, constraint: PlacementConstraint, layer: int) -> None:
        self.constraint = constraint
        self.local, self.remote = EndpointPool(layer), EndpointPool(layer)
        self.local.limit.peer, self.remote.limit.peer = self.remote.limit, self.local.limit
        self.pools = (self.local, self.remote)
        self.recent_cost_ru = 0.0
        self.narrower: list[NarrowerPlacement] = []

    @property
    def endpoint_count(self) -> int:
        """The number of endpoints that are allowed and ready."""
        return len(self.local.endpoints) + len(self.remote.endpoints)

    def pool_of(self, endpoint: EndpointState, zone: str) -> EndpointPool:
        """Return the pool that an allowed endpoint belongs to if this instance is in `zone`."""
        return self.local if endpoint.zone == zone else self.remote

    def share_left(self, endpoint: EndpointState) -> float:
        """Return the share of an even load, up to 1, that narrower placements leave at the endpoint."""
        share = 1.0
        for narrower, share_left in self.narrower:
            if narrower.constraint.allows(endpoint):
                share = share_left
        return share

    def resize_pools(self, settings: Settings) -> None:
        """Set the limits and subsets of both pools according to this instance's share of the endpoints.

        Guards against overload of a zone with few endpoints: instances may be distributed over the zones in
        other proportions than endpoints.
        """
        fair_share = self.endpoint_count / settings.instance_count
        local_share = min(fair_share, len(self.local.endpoints))
        remote_share = max(fair_share - local_share, MIN_REMOTE_SHARE * fair_share)
        for pool, share in ((self.local, local_share), (self.remote, remote_share)):
            pool.limit.resize(share)
            size = subset_size(pool.limit.max_in_flight, share, pool.limit.in_flight)
            pool.subset.select(pool.endpoints, settings.instance_index, settings.instance_count, size)
