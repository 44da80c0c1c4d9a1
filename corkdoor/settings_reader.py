"""Reads the settings object of one instance; only here are the keys of its JSON document named.

Each settings type has one table: key, field, parser and default, side by side. Unknown keys are skipped.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from typing import Any, NamedTuple, TypeVar

from corkdoor.model import DeduplicationScope, DiscoveryMode, Idempotency
from corkdoor.settings import (
    Costs,
    LifecycleRules,
    Limits,
    Objective,
    RequestClass,
    Settings,
    SettingsError,
    Tenant,
)
from corkdoor.settings_parsers import (
    Parser,
    parse_choice,
    parse_flag,
    parse_integer,
    parse_length,
    parse_list,
    parse_names,
    parse_number,
    parse_object,
    parse_text,
)

Built = TypeVar("Built")

REQUIRED = object()  # in place of a default
REQUEST_WEIGHTS = ("Whole", "WorstWindow", "WorstTenant", "Availability")
CLASS_WEIGHTS = ("WorstClass", "Tail")
DEDUPLICATION_KEYS = frozenset(("Group", "DedupWindowUs"))  # required where repeats are deduplicated


class SettingKey(NamedTuple):
    """One key of the document.

    Attributes:
        key: the key.
        field: the field of the settings type that it fills.
        parse: checks and converts its value.
        default: the field's value where the key is absent or null; REQUIRED: that is an error.
    """

    key: str
    field: str
    parse: Parser
    default: Any = REQUIRED


def _section(make: Callable[..., Any], keys: Sequence[SettingKey]) -> Parser:
    """Return the parser of an object that fills a settings type of its own."""

    def parse(value: object, key: str) -> Any:
        return _build(make, keys, parse_object(value, key), f"{key}.")

    return parse


def _each(read: Callable[[Any, str], Built]) -> Parser:
    """Return the parser of a list of objects."""

    def parse(value: object, key: str) -> tuple[Built, ...]:
        rows = parse_list(value, key)
        return tuple(read(row, f"{key}[{index}]") for index, row in enumerate(rows))

    return parse


def _values(
    keys: Sequence[SettingKey], table: dict[str, Any], prefix: str, required: Collection[str] = ()
) -> dict[str, Any]:
    """Return the fields' values; the keys in `required` have no default here."""
    values = {}
    for key, field, parse, default in keys:
        value = table.get(key)
        if value is not None:
            values[field] = parse(value, f"{prefix}{key}")
        elif default is REQUIRED or key in required:
            raise SettingsError(f"{prefix}{key}", "missing")
        else:
            values[field] = default
    return values


def _build(
    make: Callable[..., Built],
    keys: Sequence[SettingKey],
    table: dict[str, Any],
    prefix: str,
    required: Collection[str] = (),
) -> Built:
    return _make(make, keys, _values(keys, table, prefix, required), prefix)


def _make(
    make: Callable[..., Built], keys: Sequence[SettingKey], values: dict[str, Any], prefix: str
) -> Built:
    """Make a settings object; its complaint about a field names the field's key."""
    try:
        return make(**values)
    except SettingsError as error:
        names = {field: key for key, field, _, _ in keys}
        raise SettingsError(f"{prefix}{names[error.key]}", error.reason) from None


def _read_request_class(row: Any, key: str) -> RequestClass:
    if not isinstance(row, dict):
        raise SettingsError(key, "must be an object")
    deduplicated = row.get("Effect") == Idempotency.WITH_KEY.value
    required = DEDUPLICATION_KEYS if deduplicated else ()
    return _build(RequestClass, REQUEST_CLASS, row, f"{key}.", required)


def _read_tenant(row: Any, key: str) -> Tenant:
    if not isinstance(row, dict):
        raise SettingsError(key, "must be an object")
    return _build(Tenant, TENANT, row, f"{key}.")


def _objective(value: object, key: str) -> Objective:
    """Add up the weights of the parts; without any part, single requests have them all."""
    parts = parse_object(value, key)
    if not parts:
        return Objective()
    table = [SettingKey(name, name, parse_number, 0.0) for name in REQUEST_WEIGHTS + CLASS_WEIGHTS]
    weights = _values(table, parts, f"{key}.")
    for name, weight in weights.items():
        if weight < 0:
            raise SettingsError(f"{key}.{name}", "must not be negative")
    return Objective(
        request_weight=sum(weights[name] for name in REQUEST_WEIGHTS),
        class_weight=sum(weights[name] for name in CLASS_WEIGHTS),
    )


# --- tables ---

REQUEST_CLASS = (
    SettingKey("Effect", "idempotency", parse_choice(Idempotency)),
    SettingKey("Name", "name", parse_text),
    SettingKey("AimUs", "latency_objective_us", parse_integer),
    SettingKey("DeadlineUs", "deadline_us", parse_integer),
    SettingKey("Group", "deduplication_scope", parse_choice(DeduplicationScope), DeduplicationScope.ALL),
    SettingKey("DedupWindowUs", "deduplication_window_us", parse_integer, 0),
    SettingKey("Credit", "priority_weight", parse_number, 1.0),
    SettingKey("LateShare", "late_answer_value", parse_number, 0.0),
    SettingKey("Streaming", "streaming", parse_flag, False),
    SettingKey("StaysIn", "allowed_zones", parse_names, None),
    SettingKey("ServedOn", "allowed_machine_types", parse_names, None),
)

TENANT = (
    SettingKey("Name", "name", parse_text),
    SettingKey("Share", "weight", parse_number, 0.0),
    SettingKey("QuotaPerS", "quota_per_s", parse_number, 0.0),
)

LIMITS = (
    SettingKey("MaxAttempts", "max_attempts", parse_integer, 3),
    SettingKey("MaxRetryAfterUs", "max_retry_after_us", parse_integer, 1_000_000),
    SettingKey("SecondCopies", "hedging_allowed", parse_flag, False),
    SettingKey("MayCancel", "cancellation_allowed", parse_flag, False),
    SettingKey("ConnIdleUs", "idle_connection_us", parse_integer, 0),
    SettingKey("ConnectTimeoutUs", "connect_timeout_us", parse_integer, 250_000),
    SettingKey("RetryAfter", "retry_after_allowed", parse_flag, False),
)

COSTS = (SettingKey("CrossZone", "cross_zone", parse_number, 0.0),)

LIFECYCLE = (
    SettingKey("ColdUs", "slow_start_us", parse_integer, 10_000_000),
    SettingKey("ColdFrom", "slow_start_initial_share", parse_number, 0.1),
    SettingKey("OverloadFactor", "overload_factor", parse_number, 2.0),
    SettingKey("DrainGraceUs", "drain_grace_us", parse_integer, 1_500_000),
    SettingKey("AskEveryUs", "poll_interval_us", parse_integer, 10_000_000),
)

SETTINGS = (
    SettingKey("Categories", "classes", _each(_read_request_class)),
    SettingKey("Parties", "tenants", _each(_read_tenant), ()),
    SettingKey("Allowed", "limits", _section(Limits, LIMITS), Limits()),
    SettingKey("Charges", "costs", _section(Costs, COSTS), Costs()),
    SettingKey("Rules", "lifecycle", _section(LifecycleRules, LIFECYCLE), LifecycleRules()),
    SettingKey("Goal", "objective", _objective, Objective()),
    SettingKey("Layer", "layer", parse_integer, 0),
    SettingKey("Tiers", "layer_count", parse_length, None),
    SettingKey("Rank", "instance_index", parse_integer, 0),
    SettingKey("Balancers", "instance_count", parse_integer, 1),
    SettingKey("MyZone", "zone", parse_text, ""),
    SettingKey("OverShareWorth", "over_quota_weight", parse_number, 1.0),
    SettingKey("Discovery", "discovery_mode", parse_choice(DiscoveryMode), DiscoveryMode.PUSH),
)


def read_settings(document: Any) -> Settings:
    """Read the settings of one instance.

    Raises:
        SettingsError: a key is missing or has an impossible value.
        OverflowError: a number is too large to be converted.
    """
    if not isinstance(document, dict):
        raise SettingsError("Setup", "must be an object")
    values = _values(SETTINGS, document, "")
    if values["layer_count"] is None:
        values["layer_count"] = values["layer"] + 1
    return _make(Settings, SETTINGS, values, "")
