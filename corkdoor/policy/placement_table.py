"""The placement table: the placements of all classes, and how they share endpoints.

Classes with the same constraint share a placement. If a constrained class uses the capacity of its few
endpoints, wider placements leave most of that capacity to it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from corkdoor.policy.placement import NarrowerPlacement, Placement, PlacementConstraint
from corkdoor.policy.request import Request
from corkdoor.settings import Settings

RECENT_COST_DECAY = 0.95  # factor on recent costs at the end of each refill window: a memory of ten seconds
# Least share of an even load that a wider placement may use at the endpoints of a narrower placement.
MIN_SHARE_LEFT = 0.1


class PlacementTable:
    """The placements of all classes, and of requests that arrived under earlier settings.

    Args:
        settings: the current settings.
        requests: the requests of the instance, by id.

    Attributes:
        by_class: the placements of the classes of the settings, by class name.
    """

    def __init__(self, settings: Settings, requests: Mapping[str, Request]) -> None:
        self._requests = requests
        self.by_class: dict[str, Placement] = {}
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply the classes of the settings; placements with the same constraint are kept."""
        by_constraint = {placement.constraint: placement for placement in self.all()}
        self.by_class = {}
        for request_class in settings.classes:
            constraint = PlacementConstraint.of(request_class)
            if constraint not in by_constraint:
                by_constraint[constraint] = Placement(constraint, settings.layer)
            self.by_class[request_class.name] = by_constraint[constraint]

    def all(self) -> list[Placement]:
        """Return all placements, each once."""
        of_requests = (request.placement for request in self._requests.values())
        return list(dict.fromkeys([*self.by_class.values(), *of_requests]))

    def resize_pools(self, settings: Settings) -> None:
        """Set the limits and subsets of all pools."""
        for placement in self.all():
            placement.resize_pools(settings)

    def end_window(self) -> None:
        """End a refill window: update the send rates, and the shares that placements leave to wider ones.

        Guards against unconstrained classes that use up the few endpoints of a constrained class.
        """
        placements = self.all()
        for placement in placements:
            for pool in placement.pools:
                pool.end_window()
        _update_narrower(placements)
        for placement in placements:
            placement.recent_cost_ru *= RECENT_COST_DECAY


def _update_narrower(placements: Sequence[Placement]) -> None:
    """Set the shares that each placement may use at the endpoints of narrower ones, by recent costs."""
    total_cost_ru = sum(p.recent_cost_ru for p in placements)
    # The cost per endpoint if it were spread evenly over the endpoints of the widest placement.
    even_cost_ru = total_cost_ru / max(1, *(p.endpoint_count for p in placements))
    for wider in placements:
        wider.narrower = []
        if not even_cost_ru:
            continue
        for narrower in placements:
            if 0 < narrower.endpoint_count < wider.endpoint_count:
                load = narrower.recent_cost_ru / narrower.endpoint_count / even_cost_ru
                wider.narrower.append(NarrowerPlacement(narrower, max(MIN_SHARE_LEFT, 1.0 - load)))
