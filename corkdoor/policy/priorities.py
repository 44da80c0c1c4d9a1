"""Priorities: the order in which requests are served, by the value of their class.

The value of a class is its priority weight divided by the highest priority weight. For requests of tenants
over their quota it is multiplied by the over-quota weight. Classes of equal value share one priority, so that
none of them starves. Requests over the quota never share a priority with requests within it.
"""

from __future__ import annotations

from corkdoor.settings import Settings

LOW_PRIORITY_WEIGHT = 0.5  # requests with a value below this have low priority


class Priorities:
    """The priorities of all classes.

    Attributes:
        weights: the value of each priority, relative to the most valuable class; the highest first.
        objective_weights: what a response adds to the objective of the deployment, by priority. That
            objective may count all classes equally.
    """

    def __init__(self, settings: Settings) -> None:
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Compute the priorities from the classes of the settings."""
        max_weight = max(c.priority_weight for c in settings.classes) or 1.0
        weights = {
            (c.name, over_quota): c.priority_weight
            / max_weight
            * (settings.over_quota_weight if over_quota else 1.0)
            for c in settings.classes
            for over_quota in (False, True)
        }
        ranked = sorted({(-weight, over_quota) for (_, over_quota), weight in weights.items()})
        self._by_class = {key: ranked.index((-weight, key[1])) for key, weight in weights.items()}
        self.weights = [-negative for negative, _ in ranked]
        objective = settings.objective
        class_share = objective.class_weight / (objective.class_weight + objective.request_weight or 1.0)
        self.objective_weights = [
            (1 - class_share) * -negative + class_share * (settings.over_quota_weight if over_quota else 1.0)
            for negative, over_quota in ranked
        ]

    @property
    def count(self) -> int:
        """The number of priorities."""
        return len(self.weights)

    def find(self, class_name: str, over_quota: bool) -> int:
        """Return the priority of a class of the settings; 0 is the highest."""
        return self._by_class[class_name, over_quota]

    def find_or_lowest(self, class_name: str, over_quota: bool) -> int:
        """Return the priority of a class, or the lowest one for a class that the settings no longer have."""
        return self._by_class.get((class_name, over_quota), len(self.weights) - 1)

    def is_low(self, priority: int) -> bool:
        """Return whether requests of this priority have a value below `LOW_PRIORITY_WEIGHT`."""
        return self.weights[priority] < LOW_PRIORITY_WEIGHT
