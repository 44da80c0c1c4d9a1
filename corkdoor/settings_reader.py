"""Reads the settings of one instance from a JSON document; only this module names the document's keys.

Each settings type has one table that lists the key, field and parser of each setting. A key that is absent
gets the default of the settings type. Unknown keys are ignored.
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
    parse_boolean,
    parse_choice,
    parse_integer,
    parse_list,
    parse_list_length,
    parse_number,
    parse_object,
    parse_optional_integer,
    parse_string,
    parse_string_set,
)

SettingsType = TypeVar("SettingsType")

REQUEST_WEIGHTS = ("Whole", "WorstWindow", "WorstTenant", "Availability")
CLASS_WEIGHTS = ("WorstClass", "Tail")
DEDUPLICATION_KEYS = frozenset(("Group", "DedupWindowUs"))  # required for classes with deduplicated requests


class SettingKey(NamedTuple):
    """One key of the document.

    Attributes:
        key: the name of the key.
        field: the field of the settings type that holds the value.
        parse: validates and converts the value.
        required: whether the key must be present; the field of an optional key has a default.
    """

    key: str
    field: str
    parse: Parser
    required: bool = False


def _require_object(value: object, key: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise SettingsError(key, "must be an object")
    return value


def _read_values(
    keys: Sequence[SettingKey], table: dict[str, Any], prefix: str, also_required: Collection[str] = ()
) -> dict[str, Any]:
    """Return the values of the fields whose keys are present."""
    values = {}
    for key, field, parse, required in keys:
        value = table.get(key)
        if value is not None:
            values[field] = parse(value, f"{prefix}{key}")
        elif required or key in also_required:
            raise SettingsError(f"{prefix}{key}", "missing")
    return values


def _create_settings(
    settings_type: Callable[..., SettingsType],
    keys: Sequence[SettingKey],
    values: dict[str, Any],
    prefix: str,
) -> SettingsType:
    """Create a settings object; an error about a field names the field's key in the document."""
    try:
        return settings_type(**values)
    except SettingsError as error:
        names = {setting.field: setting.key for setting in keys}
        raise SettingsError(f"{prefix}{names[error.key]}", error.reason) from None


def _section_parser(settings_type: Callable[..., Any], keys: Sequence[SettingKey]) -> Parser:
    """Return a parser for an object that has its own settings type."""

    def parse(value: object, key: str) -> Any:
        prefix = f"{key}."
        return _create_settings(
            settings_type, keys, _read_values(keys, parse_object(value, key), prefix), prefix
        )

    return parse


def _parse_request_classes(value: object, key: str) -> tuple[RequestClass, ...]:
    rows = enumerate(parse_list(value, key))
    return tuple(_read_request_class(row, f"{key}[{index}]") for index, row in rows)


def _read_request_class(row: object, key: str) -> RequestClass:
    table, prefix = _require_object(row, key), f"{key}."
    deduplicated = table.get("Effect") == Idempotency.WITH_KEY.value
    also_required = DEDUPLICATION_KEYS if deduplicated else ()
    values = _read_values(REQUEST_CLASS, table, prefix, also_required)
    return _create_settings(RequestClass, REQUEST_CLASS, values, prefix)


def _parse_tenants(value: object, key: str) -> tuple[Tenant, ...]:
    rows = enumerate(parse_list(value, key))
    return tuple(_read_tenant(row, f"{key}[{index}]") for index, row in rows)


def _read_tenant(row: object, key: str) -> Tenant:
    table, prefix = _require_object(row, key), f"{key}."
    return _create_settings(Tenant, TENANT, _read_values(TENANT, table, prefix), prefix)


def _parse_objective(value: object, key: str) -> Objective:
    """Sum the weights of each kind of criterion; if none is given, only individual requests have weight."""
    parts = parse_object(value, key)
    if not parts:
        return Objective()
    weights = _read_values(WEIGHTS, parts, f"{key}.")
    for name, weight in weights.items():
        if weight < 0:
            raise SettingsError(f"{key}.{name}", "must not be negative")
    return Objective(
        request_weight=sum(weights.get(name, 0.0) for name in REQUEST_WEIGHTS),
        class_weight=sum(weights.get(name, 0.0) for name in CLASS_WEIGHTS),
    )


# --- tables ---

REQUEST_CLASS = (
    SettingKey("Effect", "idempotency", parse_choice(Idempotency), required=True),
    SettingKey("Name", "name", parse_string, required=True),
    SettingKey("AimUs", "latency_objective_us", parse_integer, required=True),
    SettingKey("DeadlineUs", "deadline_us", parse_integer, required=True),
    SettingKey("Group", "deduplication_scope", parse_choice(DeduplicationScope)),
    SettingKey("DedupWindowUs", "deduplication_window_us", parse_integer),
    SettingKey("Credit", "priority_weight", parse_number),
    SettingKey("LateShare", "late_answer_value", parse_number),
    SettingKey("Streaming", "streaming", parse_boolean),
    SettingKey("StaysIn", "allowed_zones", parse_string_set),
    SettingKey("ServedOn", "allowed_machine_types", parse_string_set),
)

TENANT = (
    SettingKey("Name", "name", parse_string, required=True),
    SettingKey("Share", "weight", parse_number),
    SettingKey("QuotaPerS", "quota_per_s", parse_number),
)

LIMITS = (
    SettingKey("MaxAttempts", "max_attempts", parse_integer),
    SettingKey("MaxRetryAfterUs", "max_retry_after_us", parse_integer),
    SettingKey("SecondCopies", "hedging_allowed", parse_boolean),
    SettingKey("MayCancel", "cancellation_allowed", parse_boolean),
    SettingKey("ConnIdleUs", "idle_connection_us", parse_optional_integer),
    SettingKey("ConnectTimeoutUs", "connect_timeout_us", parse_integer),
    SettingKey("RetryAfter", "retry_after_allowed", parse_boolean),
)

WEIGHTS = tuple(SettingKey(name, name, parse_number) for name in REQUEST_WEIGHTS + CLASS_WEIGHTS)

COSTS = (SettingKey("CrossZone", "cross_zone", parse_number),)

LIFECYCLE = (
    SettingKey("ColdUs", "slow_start_us", parse_integer),
    SettingKey("ColdFrom", "slow_start_initial_share", parse_number),
    SettingKey("OverloadFactor", "overload_factor", parse_number),
    SettingKey("DrainGraceUs", "drain_grace_us", parse_integer),
    SettingKey("AskEveryUs", "poll_interval_us", parse_integer),
)

SETTINGS = (
    SettingKey("Categories", "classes", _parse_request_classes, required=True),
    SettingKey("Parties", "tenants", _parse_tenants),
    SettingKey("Allowed", "limits", _section_parser(Limits, LIMITS)),
    SettingKey("Charges", "costs", _section_parser(Costs, COSTS)),
    SettingKey("Rules", "lifecycle", _section_parser(LifecycleRules, LIFECYCLE)),
    SettingKey("Goal", "objective", _parse_objective),
    SettingKey("Layer", "layer", parse_integer),
    SettingKey("Tiers", "layer_count", parse_list_length),
    SettingKey("Rank", "instance_index", parse_integer),
    SettingKey("Balancers", "instance_count", parse_integer),
    SettingKey("MyZone", "zone", parse_string),
    SettingKey("OverShareWorth", "over_quota_weight", parse_number),
    SettingKey("Discovery", "discovery_mode", parse_choice(DiscoveryMode)),
)


def read_settings(document: Any) -> Settings:
    """Read the settings of one instance.

    Raises:
        SettingsError: a key is missing or has an invalid value.
        OverflowError: a number is too large to be converted to a float.
    """
    values = _read_values(SETTINGS, _require_object(document, "Setup"), "")
    if "layer" in values:
        values.setdefault("layer_count", values["layer"] + 1)
    return _create_settings(Settings, SETTINGS, values, "")
