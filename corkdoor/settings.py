"""The settings of one instance, as typed and validated values; one out of range raises SettingsError."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, fields
from typing import Any

from corkdoor.model import DeduplicationScope, DiscoveryMode, Idempotency

MAX_FIGURE = 1 << 64  # larger figures would overflow once they are in force


class SettingsError(ValueError):
    """Settings that can't be put in force.

    Attributes:
        key: the field concerned, or its key in the document that the settings were read from.
        reason: what is wrong with its value.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason


def _require(ok: bool, field_name: str, reason: str) -> None:
    if not ok:
        raise SettingsError(field_name, reason)


def _require_bounded(settings: Any) -> None:
    for one in fields(settings):
        value = getattr(settings, one.name)
        if isinstance(value, int | float):
            _require(abs(value) <= MAX_FIGURE, one.name, "too large, or no number")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    Attributes:
        name: the class's name, the first segment of a request's path.
        latency_objective_us: an answer within this time earns the class's full value, in microseconds.
        deadline_us: the longest time that a client waits, in microseconds.
        idempotency: whether a request may be repeated.
        deduplication_scope: which endpoints drop a repeat with the same idempotency key.
        deduplication_window_us: for how long they do, in microseconds.
        priority_weight: the value of an answered request, relative to the other classes.
        late_answer_value: the share of its value that an answer after the objective earns, 0 to 1.
        streaming: whether an answer is passed on before it is complete.
        allowed_zones: the only zones that it may be sent to; None: any.
        allowed_machine_types: the only machine types that it may be sent to; None: any.
    """

    name: str
    latency_objective_us: int
    deadline_us: int
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0
    priority_weight: float = 1.0
    late_answer_value: float = 0.0
    streaming: bool = False
    allowed_zones: frozenset[str] | None = None
    allowed_machine_types: frozenset[str] | None = None

    def __post_init__(self) -> None:
        _require_bounded(self)
        _require(bool(self.name), "name", "must not be empty")
        _require(self.latency_objective_us > 0, "latency_objective_us", "must be above 0")
        _require(self.deadline_us > 0, "deadline_us", "must be above 0")
        _require(self.deduplication_window_us >= 0, "deduplication_window_us", "must not be negative")
        _require(self.priority_weight >= 0, "priority_weight", "must not be negative")
        _require(0 <= self.late_answer_value <= 1, "late_answer_value", "must lie in 0..1")


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant.

    Attributes:
        name: the name that requests state.
        weight: its weight in what is divided among the tenants; 0 counts as 1.
        quota_per_s: requests a second that it is granted at all instances together; 0: none stated.
    """

    name: str
    weight: float = 0.0
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _require_bounded(self)
        _require(bool(self.name), "name", "must not be empty")
        _require(self.weight >= 0, "weight", "must not be negative")
        _require(self.quota_per_s >= 0, "quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits.

    Attributes:
        max_attempts: attempts of one request at this instance, retries and hedges included, at least 1.
        max_retry_after_us: the longest Retry-After that clients obey, in microseconds.
        hedging_allowed: whether a request may have a second attempt out beside the first.
        cancellation_allowed: whether attempts that nobody waits for are cancelled.
        retry_after_allowed: whether a rejection carries a Retry-After.
        idle_connection_us: endpoints close connections that were idle for so long, in microseconds; None:
            unknown.
        connect_timeout_us: a connection that is not up by then has failed, in microseconds.
    """

    max_attempts: int = 3
    max_retry_after_us: int = 1_000_000
    hedging_allowed: bool = False
    cancellation_allowed: bool = False
    retry_after_allowed: bool = False
    idle_connection_us: int | None = None
    connect_timeout_us: int = 250_000

    def __post_init__(self) -> None:
        _require_bounded(self)
        _require((self.idle_connection_us or 0) >= 0, "idle_connection_us", "must not be negative")
        _require(self.connect_timeout_us > 0, "connect_timeout_us", "must be above 0")
        _require(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        _require(self.max_retry_after_us >= 0, "max_retry_after_us", "must not be negative")


@dataclass(frozen=True, slots=True)
class Costs:
    """What decisions cost, as shares of the value of one answered request.

    Attributes:
        cross_zone: the cost of an attempt in another zone.
    """

    cross_zone: float = 0.0

    def __post_init__(self) -> None:
        _require_bounded(self)


@dataclass(frozen=True, slots=True)
class Objective:
    """What the deployment is measured by.

    Attributes:
        request_weight: weight of the parts that add up the value of single requests.
        class_weight: weight of the parts that count each class alike, however little its requests are worth.
    """

    request_weight: float = 1.0
    class_weight: float = 0.0

    def __post_init__(self) -> None:
        _require_bounded(self)
        _require(self.request_weight >= 0, "request_weight", "must not be negative")
        _require(self.class_weight >= 0, "class_weight", "must not be negative")


@dataclass(frozen=True, slots=True)
class LifecycleRules:
    """The rules on endpoints that start or drain, and on how fresh the endpoint list has to be.

    Attributes:
        slow_start_us: how long an endpoint warms up after its start, in microseconds.
        slow_start_initial_share: the share of its capacity that it has at its start, above 0 to 1.
        overload_factor: a warming endpoint bears this multiple of the load that its capacity stands for.
        drain_grace_us: how soon after the notification of a drain no more attempts may be sent.
        poll_interval_us: a change that was not polled for counts as notified so long after it was made.
    """

    slow_start_us: int = 10_000_000
    slow_start_initial_share: float = 0.1
    overload_factor: float = 2.0
    drain_grace_us: int = 1_500_000
    poll_interval_us: int = 10_000_000

    def __post_init__(self) -> None:
        _require_bounded(self)
        _require(self.slow_start_us >= 0, "slow_start_us", "must not be negative")
        _require(self.drain_grace_us >= 0, "drain_grace_us", "must not be negative")
        _require(self.poll_interval_us >= 0, "poll_interval_us", "must not be negative")
        _require(0 < self.slow_start_initial_share <= 1, "slow_start_initial_share", "must lie in (0, 1]")
        _require(self.overload_factor > 0, "overload_factor", "must be above 0")


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one instance; a reload replaces them as a whole.

    Attributes:
        classes: the classes of requests, at least one, with distinct names.
        instance_index: this instance's number among those of its tier, from 0.
        instance_count: how many instances the tier has.
        layer: how many tiers lie between the clients outside and this instance; 0: the outermost.
        layer_count: how many tiers there are.
        zone: the zone that this instance stands in; empty: unknown.
        tenants: the tenants, with distinct names.
        over_quota_weight: what a request over its tenant's quota is worth, as a share of one within it.
        discovery_mode: who brings the endpoint list up to date.
        limits: what the deployment permits.
        costs: what decisions cost.
        objective: what the deployment is measured by.
        lifecycle: the rules on starting and draining endpoints.
    """

    classes: Sequence[RequestClass]
    instance_index: int = 0
    instance_count: int = 1
    layer: int = 0
    layer_count: int = 1
    zone: str = ""
    tenants: Sequence[Tenant] = ()
    over_quota_weight: float = 1.0
    discovery_mode: DiscoveryMode = DiscoveryMode.PUSH
    limits: Limits = field(default_factory=Limits)
    costs: Costs = field(default_factory=Costs)
    objective: Objective = field(default_factory=Objective)
    lifecycle: LifecycleRules = field(default_factory=LifecycleRules)

    def __post_init__(self) -> None:
        _require_bounded(self)
        _require(len(self.classes) > 0, "classes", "at least one is needed")
        names = [c.name for c in self.classes]
        _require(len(set(names)) == len(names), "classes", "names must differ")
        names = [t.name for t in self.tenants]
        _require(len(set(names)) == len(names), "tenants", "names must differ")
        _require(self.instance_index >= 0, "instance_index", "must not be negative")
        _require(self.instance_count >= 1, "instance_count", "must be at least 1")
        _require(self.layer >= 0, "layer", "must not be negative")
        _require(self.layer_count > self.layer, "layer_count", "must be more than layer")
        _require(self.over_quota_weight >= 0, "over_quota_weight", "must not be negative")
