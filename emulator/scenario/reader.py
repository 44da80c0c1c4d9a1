"""Reads and checks scenario files; an error names the invalid key, its value and the valid values."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from emulator.errors import ScenarioError
from emulator.scenario.document import EVENTS, Event, OutageEvent, ReplacementEvent, Scenario, ZoneLossEvent

Table = TypeVar("Table")
PATH_ELEMENT = re.compile(r"\[\d+\]|[^.\[\]]+")  # an index or a key in the path of a msgspec error


def read_scenario(path: Path) -> Scenario:
    """Read and check a scenario file.

    Raises:
        ScenarioError: the file can't be read, or is not valid.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ScenarioError(str(path), str(error.strerror)) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(str(path), f"invalid TOML: {error}") from None
    try:
        return parse_scenario(document)
    except ScenarioError as error:
        raise ScenarioError(str(path), str(error)) from None


def parse_scenario(document: dict[str, Any]) -> Scenario:
    """Convert the document of a scenario file, and check it.

    Raises:
        ScenarioError: the scenario is not valid; the error has the path of the invalid key.
    """
    rows = document.get("events", [])
    if not isinstance(rows, list):
        raise ScenarioError("events", f"{rows!r}: must be a list of tables, [[events]]")
    events = tuple(_parse_event(row, f"events[{index}]") for index, row in enumerate(rows))
    # Events are converted separately: their kind selects the class, and errors name them by their index.
    without_events = {key: value for key, value in document.items() if key != "events"}
    scenario = msgspec.structs.replace(_convert(without_events, Scenario, ""), events=events)
    _check(scenario)
    return scenario


def _parse_event(row: Any, event_path: str) -> Event:
    kind = row.get("kind") if isinstance(row, dict) else None
    if not isinstance(kind, str) or kind not in EVENTS:
        raise ScenarioError(f"{event_path}.kind", f"{kind!r}: must be one of {', '.join(EVENTS)}")
    return _convert(row, EVENTS[kind], event_path)


# --- msgspec's errors, reworded for authors of scenarios ---


def _convert(value: Any, table: type[Table], path_prefix: str) -> Table:
    try:
        return msgspec.convert(value, table)
    except msgspec.ValidationError as error:
        raise _scenario_error(str(error), value, table, path_prefix) from None


def _scenario_error(message: str, value: Any, table: type[Any], path_prefix: str) -> ScenarioError:
    """Return msgspec's error with the key's path, its value, and the valid values."""
    problem, _, path = message.partition(" - at `$")
    current, key_path, parent_type = value, "", table
    for element in PATH_ELEMENT.findall(path.rstrip("`")):
        if element.startswith("["):
            current, key_path = current[int(element[1:-1])], f"{key_path}{element}"
        elif isinstance(current, dict) and element in current:
            current, parent_type, key_path = (
                current[element],
                _table_type(parent_type, element),
                f"{key_path}.{element}",
            )
    key_path = (path_prefix + key_path).lstrip(".")
    if "unknown field" in problem or "missing required field" in problem:
        key = problem.split("`")[1]
        valid_keys = ", ".join(field.encode_name for field in msgspec.structs.fields(parent_type))
        key_problem = f"{current[key]!r}: unknown key" if key in current else "missing"
        return ScenarioError(f"{key_path}.{key}".lstrip("."), f"{key_problem}; valid keys: {valid_keys}")
    requirement = problem.replace("Expected", "must be").replace("`", "")
    return ScenarioError(key_path or "scenario", f"{current!r}: {requirement[0].lower() + requirement[1:]}")


def _table_type(parent_type: type[Any], key: str) -> type[Any]:
    """Return the class of the key's table, or `parent_type` itself where the value is no table."""
    for field in msgspec.structs.fields(parent_type):
        is_table = isinstance(field.type, type) and issubclass(field.type, msgspec.Struct)
        if field.encode_name == key and is_table:
            table: type[Any] = field.type
            return table
    return parent_type


# --- checks of several keys together ---


def _check(scenario: Scenario) -> None:
    if not scenario.sizes:
        raise ScenarioError("sizes", "[]: must contain at least one number of sidecars")
    topology = scenario.topology
    if topology.regions > topology.zones:
        problem = f"{topology.regions}: must be at most `zones` ({topology.zones})"
        raise ScenarioError("topology.regions", problem)
    outages: list[OutageEvent] = []
    for index, event in enumerate(scenario.events):
        event_path = f"events[{index}]"
        if event.end_s() > scenario.seconds and not isinstance(event, ReplacementEvent):
            problem = f"ends at {event.end_s():g} s: must end within `seconds` ({scenario.seconds:g})"
            raise ScenarioError(event_path, problem)
        if isinstance(event, ZoneLossEvent):
            _check_zone_loss(event, event_path, topology.zones)
        if isinstance(event, OutageEvent):
            _check_outage(event, event_path, outages)
            outages.append(event)


def _check_zone_loss(event: ZoneLossEvent, event_path: str, zones: int) -> None:
    if event.zone >= zones:
        raise ScenarioError(f"{event_path}.zone", f"{event.zone}: must be below {zones}")
    if event.noticed_after_s > event.back_after_s:
        problem = f"{event.noticed_after_s:g}: must be at most `back_after_s` ({event.back_after_s:g})"
        raise ScenarioError(f"{event_path}.noticed_after_s", problem)


def _check_outage(event: OutageEvent, event_path: str, earlier: list[OutageEvent]) -> None:
    if any(event.at_s <= outage.end_s() and outage.at_s <= event.end_s() for outage in earlier):
        raise ScenarioError(f"{event_path}.at_s", f"{event.at_s:g}: must not overlap another outage")
