"""Creates all rules of one instance and the state that they share, and applies new settings to them."""

from __future__ import annotations

import random
from collections.abc import Mapping

from corkdoor.interface import Actions
from corkdoor.policy.admission import Admission
from corkdoor.policy.availability import Availability
from corkdoor.policy.capacity_shortage import CapacityShortage
from corkdoor.policy.endpoint_choice import EndpointChooser
from corkdoor.policy.endpoint_state import OrderedEndpoints
from corkdoor.policy.endpoint_table import EndpointTable
from corkdoor.policy.hedging import Hedging
from corkdoor.policy.idle_connections import IdleConnections
from corkdoor.policy.latency_ratio import LatencyRatio
from corkdoor.policy.outcome_feedback import OutcomeFeedback
from corkdoor.policy.outlier_ejection import OutlierEjection
from corkdoor.policy.overload import OverloadDetector
from corkdoor.policy.peer_latency import PeerLatency
from corkdoor.policy.placement_table import PlacementTable
from corkdoor.policy.priorities import Priorities
from corkdoor.policy.rejections import Rejections
from corkdoor.policy.request import Request
from corkdoor.policy.request_queue import RequestQueue
from corkdoor.policy.retries import RetryBudget, RetryPolicy
from corkdoor.policy.routing import Router
from corkdoor.policy.service_times import ServiceTimes
from corkdoor.policy.slow_start import SlowStart
from corkdoor.policy.token_buckets import REFILL_WINDOW_US, TokenBuckets
from corkdoor.policy.unresponsive import UnresponsiveDetector
from corkdoor.policy.zone_spillover import ZoneSpillover
from corkdoor.settings import Settings


class Rules:
    """The rules; each is created with the rules that it depends on.

    Args:
        settings: the current settings.
        requests: the requests of the instance, by id.
        actions: carries out the actions that the rules call themselves.
        rng: the source of all random draws.
        now_us: the time of the start.

    Attributes:
        impaired: the endpoints whose available share may be below 1.

    The other attributes are the rules, each described in the module of its class.
    """

    def __init__(
        self,
        settings: Settings,
        requests: Mapping[str, Request],
        actions: Actions,
        rng: random.Random,
        now_us: int,
    ) -> None:
        self._requests = requests
        self.buckets = TokenBuckets(settings, rng.randrange(REFILL_WINDOW_US), now_us)
        self.impaired: OrderedEndpoints = {}
        self.placements = PlacementTable(settings, requests)
        self.endpoint_table = EndpointTable(settings, self.placements, self.impaired)
        self.priorities = Priorities(settings)
        self.queue = RequestQueue(self.priorities.count, settings.layer)
        self._create_feedback_rules(settings, actions, rng, now_us)
        self._create_decision_rules(settings, rng)

    def _create_feedback_rules(
        self, settings: Settings, actions: Actions, rng: random.Random, now_us: int
    ) -> None:
        """Create the rules that record requests and their outcomes."""
        self.ratio = LatencyRatio(now_us)
        self.service_times = ServiceTimes(settings.layer, now_us)
        self.shortage = CapacityShortage()
        self.idle_connections = IdleConnections(settings, actions, rng)
        self.ejection = OutlierEjection(self.endpoint_table, self.impaired, actions, rng)
        self._unresponsive = UnresponsiveDetector()
        self.feedback = OutcomeFeedback(
            self.idle_connections,
            OverloadDetector(self.service_times, self.impaired),
            self.ejection,
            PeerLatency(),
            self._unresponsive,
            self.ratio,
            self.buckets,
        )

    def _create_decision_rules(self, settings: Settings, rng: random.Random) -> None:
        """Create the rules that decide on requests."""
        self.admission = Admission(settings, self.priorities, self.ratio, self.queue, self.shortage)
        self.rejections = Rejections(settings, rng)
        self.slow_start = SlowStart(settings, rng)
        self.availability = Availability(self.slow_start, self._unresponsive, self.impaired)
        self.chooser = EndpointChooser(settings, self.slow_start, self.availability, rng)
        self.spillover = ZoneSpillover(settings, self.priorities)
        self.router = Router(
            self.priorities, self.shortage, self.availability, self.spillover, self.chooser, rng
        )
        self.retry_budget = RetryBudget()
        self.retries = RetryPolicy(settings, self.retry_budget)
        self.hedging = Hedging(settings, self.ratio, self.queue, self.retry_budget)

    def configure(self, now_us: int, previous: Settings, settings: Settings) -> None:
        """Apply new settings in place of the previous ones; the rules keep their estimates."""
        self.placements.configure(settings)
        self._reset_for_new_objectives(now_us, previous, settings)
        self.buckets.configure(settings, now_us)
        self.priorities.configure(settings)
        for rule in (
            self.idle_connections,
            self.admission,
            self.rejections,
            self.slow_start,
            self.chooser,
            self.spillover,
            self.retries,
            self.hedging,
        ):
            rule.configure(settings)
        for request in self._requests.values():
            class_name = request.request_class.name
            request.priority = self.priorities.find_or_lowest(class_name, request.over_quota)
        self.queue.reorder(self.priorities.count)
        self.endpoint_table.configure(settings)

    def _reset_for_new_objectives(self, now_us: int, previous: Settings, settings: Settings) -> None:
        """Discard latencies if a latency objective has changed: they were recorded as shares of it."""
        before = {c.name: c.latency_objective_us for c in previous.classes}
        rises = [before[c.name] / c.latency_objective_us for c in settings.classes if c.name in before]
        if all(rise == 1.0 for rise in rises):
            return
        self.ratio.reset(now_us)
        self.service_times.reset(now_us)
        for placement in self.placements.all():
            for pool in placement.pools:
                pool.limit.reset_latencies(now_us, max(1.0, *rises))
