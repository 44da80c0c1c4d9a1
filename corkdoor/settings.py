"""The settings of one instance, as typed and validated values.

A value outside its range raises SettingsError.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, fields
from typing import Any

from corkdoor.model import DeduplicationScope, DiscoveryMode, Idempotency

MAX_ABSOLUTE_VALUE = 1 << 64  # larger numbers would overflow in calculations after the settings are applied


class SettingsError(ValueError):
    """Settings that can't be applied.

    Attributes:
        key: the name of the invalid field, or its key in the document from which the settings were read.
        reason: what is wrong with the value.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason


def _require(condition: bool, field_name: str, reason: str) -> None:
    if not condition:
        raise SettingsError(field_name, reason)


def _require_bounded_numbers(settings: Any) -> None:
    for setting in fields(settings):
        value = getattr(settings, setting.name)
        if isinstance(value, int | float):
            _require(
                abs(value) <= MAX_ABSOLUTE_VALUE, setting.name, "must be a number between -2**64 and 2**64"
            )


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    Attributes:
        name: the class's name, which is the first segment of a request's path.
        latency_objective_us: a response within this time has the class's full value, in microseconds.
        deadline_us: the longest time that a client waits for a response, in microseconds.
        idempotency: whether a request may be repeated.
        deduplication_scope: which endpoints drop a repeat with the same idempotency key.
        deduplication_window_us: how long these endpoints drop repeats, in microseconds.
        priority_weight: the value of a successful response, relative to the other classes.
        late_answer_value: the share of the value that a response after the latency objective has, 0 to 1.
        streaming: whether a response is forwarded before it is complete.
        allowed_zones: the only zones to which requests may be sent, or None if any zone is allowed.
        allowed_machine_types: the only machine types to which requests may be sent, or None if any type is
            allowed.
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
        _require_bounded_numbers(self)
        _require(bool(self.name), "name", "must not be empty")
        _require(self.latency_objective_us > 0, "latency_objective_us", "must be above 0")
        _require(self.deadline_us > 0, "deadline_us", "must be above 0")
        _require(self.deduplication_window_us >= 0, "deduplication_window_us", "must not be negative")
        _require(self.priority_weight >= 0, "priority_weight", "must not be negative")
        _require(0 <= self.late_answer_value <= 1, "late_answer_value", "must be between 0 and 1")


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant.

    Attributes:
        name: the name by which requests identify the tenant.
        weight: the tenant's weight when the served rate is divided among the tenants; 0 has the effect of 1.
        quota_per_s: the requests per second granted to the tenant at all instances together; 0 if no quota is
            stated.
    """

    name: str
    weight: float = 0.0
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _require_bounded_numbers(self)
        _require(bool(self.name), "name", "must not be empty")
        _require(self.weight >= 0, "weight", "must not be negative")
        _require(self.quota_per_s >= 0, "quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits.

    Attributes:
        max_attempts: the maximum number of attempts of one request at this instance, including retries and
            hedges; at least 1.
        max_retry_after_us: the longest Retry-After that clients obey, in microseconds.
        hedging_allowed: whether a request may have a second attempt in flight in addition to the first.
        cancellation_allowed: whether attempts are cancelled when no client waits for their response.
        retry_after_allowed: whether a rejection carries a Retry-After.
        idle_connection_us: the idle time after which endpoints close a connection, in microseconds, or None
            if unknown.
        connect_timeout_us: the time after which a connection that is not established has failed, in
            microseconds.
    """

    max_attempts: int = 3
    max_retry_after_us: int = 1_000_000
    hedging_allowed: bool = False
    cancellation_allowed: bool = False
    retry_after_allowed: bool = False
    idle_connection_us: int | None = None
    connect_timeout_us: int = 250_000

    def __post_init__(self) -> None:
        _require_bounded_numbers(self)
        _require((self.idle_connection_us or 0) >= 0, "idle_connection_us", "must not be negative")
        _require(self.connect_timeout_us > 0, "connect_timeout_us", "must be above 0")
        _require(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        _require(self.max_retry_after_us >= 0, "max_retry_after_us", "must not be negative")


@dataclass(frozen=True, slots=True)
class Costs:
    """The costs of decisions, as shares of the value of one successful response.

    Attributes:
        cross_zone: the cost of an attempt in another zone.
    """

    cross_zone: float = 0.0

    def __post_init__(self) -> None:
        _require_bounded_numbers(self)


@dataclass(frozen=True, slots=True)
class Objective:
    """The criteria by which the deployment is measured.

    Attributes:
        request_weight: the weight of the criteria that sum the values of individual requests.
        class_weight: the weight of the criteria that count every class equally, regardless of the value of
            its requests.
    """

    request_weight: float = 1.0
    class_weight: float = 0.0

    def __post_init__(self) -> None:
        _require_bounded_numbers(self)
        _require(self.request_weight >= 0, "request_weight", "must not be negative")
        _require(self.class_weight >= 0, "class_weight", "must not be negative")


@dataclass(frozen=True, slots=True)
class LifecycleRules:
    """The rules for endpoints that start or drain, and for the freshness of the endpoint list.

    Attributes:
        slow_start_us: how long an endpoint warms up after its start, in microseconds.
        slow_start_initial_share: the share of its capacity that an endpoint has at its start, above 0 and at
            most 1.
        overload_factor: the multiple of its current capacity that a warming endpoint can handle.
        drain_grace_us: the time after the notification of a drain from which on no attempt may be sent to the
            endpoint, in microseconds.
        poll_interval_us: the time after which a change that no poll has fetched is considered notified, in
            microseconds from when the change was made.
    """

    slow_start_us: int = 10_000_000
    slow_start_initial_share: float = 0.1
    overload_factor: float = 2.0
    drain_grace_us: int = 1_500_000
    poll_interval_us: int = 10_000_000

    def __post_init__(self) -> None:
        _require_bounded_numbers(self)
        _require(self.slow_start_us >= 0, "slow_start_us", "must not be negative")
        _require(self.drain_grace_us >= 0, "drain_grace_us", "must not be negative")
        _require(self.poll_interval_us >= 0, "poll_interval_us", "must not be negative")
        _require(
            0 < self.slow_start_initial_share <= 1,
            "slow_start_initial_share",
            "must be above 0 and at most 1",
        )
        _require(self.overload_factor > 0, "overload_factor", "must be above 0")


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one instance; a reload replaces all of them at once.

    Attributes:
        classes: the request classes, at least one, with unique names.
        instance_index: this instance's index among the instances of its tier, from 0.
        instance_count: the number of instances in the tier.
        layer: the number of tiers between the external clients and this instance; 0 for the outermost.
        layer_count: the number of tiers.
        zone: this instance's zone; empty if unknown.
        tenants: the tenants, with unique names.
        over_quota_weight: the value of a request over its tenant's quota, as a share of the value of a
            request within the quota.
        discovery_mode: who updates the endpoint list.
        limits: what the deployment permits.
        costs: the costs of decisions.
        objective: the criteria by which the deployment is measured.
        lifecycle: the rules for starting and draining endpoints and for the freshness of the endpoint list.
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
        _require_bounded_numbers(self)
        _require(len(self.classes) > 0, "classes", "at least one is needed")
        names = [c.name for c in self.classes]
        _require(len(set(names)) == len(names), "classes", "names must be unique")
        names = [t.name for t in self.tenants]
        _require(len(set(names)) == len(names), "tenants", "names must be unique")
        _require(self.instance_index >= 0, "instance_index", "must not be negative")
        _require(self.instance_count >= 1, "instance_count", "must be at least 1")
        _require(self.layer >= 0, "layer", "must not be negative")
        _require(self.layer_count > self.layer, "layer_count", "must be greater than layer")
        _require(self.over_quota_weight >= 0, "over_quota_weight", "must not be negative")
