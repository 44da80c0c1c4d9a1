"""Reads and checks scenario files; errors name the key at fault, its value and what is legal."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from emulator.errors import ScenarioError
from emulator.scenario.document import EVENTS, Event, OutageEvent, ReplacementEvent, Scenario, ZoneLossEvent

Section = TypeVar("Section")
PATH_STEP = re.compile(r"\[\d+\]|[^.\[\]]+")  # an index or a key of msgspec's paths


def read_scenario(path: Path) -> Scenario:
    """Read and check a scenario file.

    Raises:
        ScenarioError: it can't be read, or is not legal.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ScenarioError(str(path), str(error.strerror)) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(str(path), f"no TOML: {error}") from None
    try:
        return parse_scenario(document)
    except ScenarioError as error:
        raise ScenarioError(str(path), str(error)) from None


def parse_scenario(document: dict[str, Any]) -> Scenario:
    """Check a scenario that was read.

    Raises:
        ScenarioError: with the path of the key at fault.
    """
    rows = document.get("events", [])
    if not isinstance(rows, list):
        raise ScenarioError("events", f"{rows!r}: must be a list of tables, [[events]]")
    events = tuple(_parse_event(row, f"events[{index}]") for index, row in enumerate(rows))
    # Apart from the events: their kind decides how each is read, and errors name them by their index.
    without_events = {key: value for key, value in document.items() if key != "events"}
    scenario = msgspec.structs.replace(_convert(without_events, Scenario, ""), events=events)
    _check(scenario)
    return scenario


def _parse_event(row: Any, where: str) -> Event:
    kind = row.get("kind") if isinstance(row, dict) else None
    if not isinstance(kind, str) or kind not in EVENTS:
        raise ScenarioError(f"{where}.kind", f"{kind!r}: must be one of {', '.join(EVENTS)}")
    return _convert(row, EVENTS[kind], where)


# --- msgspec's errors, worded for those who write scenarios ---


def _convert(value: Any, section: type[Section], where: str) -> Section:
    try:
        return msgspec.convert(value, section)
    except msgspec.ValidationError as error:
        raise _reworded(str(error), value, section, where) from None


def _reworded(message: str, value: Any, section: type[Any], where: str) -> ScenarioError:
    """Return msgspec's error with path, value, and what is legal."""
    problem, _, path = message.partition(" - at `$")
    found, key_path, owner = value, "", section
    for step in PATH_STEP.findall(path.rstrip("`")):
        if step.startswith("["):
            found, key_path = found[int(step[1:-1])], f"{key_path}{step}"
        elif isinstance(found, dict) and step in found:
            found, owner, key_path = found[step], _section_of(owner, step), f"{key_path}.{step}"
    key_path = (where + key_path).lstrip(".")
    if "unknown field" in problem or "missing required field" in problem:
        key = problem.split("`")[1]
        legal = ", ".join(field.encode_name for field in msgspec.structs.fields(owner))
        said = f"{found[key]!r}: no such key" if key in found else "missing"
        return ScenarioError(f"{key_path}.{key}".lstrip("."), f"{said}; legal are {legal}")
    legal = problem.replace("Expected", "must be").replace("`", "")
    return ScenarioError(key_path or "scenario", f"{found!r}: {legal[0].lower() + legal[1:]}")


def _section_of(owner: type[Any], key: str) -> type[Any]:
    """Return the section that the key's value is read as, or the owner itself for a plain value."""
    for field in msgspec.structs.fields(owner):
        is_section = isinstance(field.type, type) and issubclass(field.type, msgspec.Struct)
        if field.encode_name == key and is_section:
            section: type[Any] = field.type
            return section
    return owner


# --- checks that span several keys ---


def _check(scenario: Scenario) -> None:
    if not scenario.sizes:
        raise ScenarioError("sizes", "[]: must hold at least one number of sidecars")
    topology = scenario.topology
    if topology.regions > topology.zones:
        problem = f"{topology.regions}: must be at most zones, {topology.zones}"
        raise ScenarioError("topology.regions", problem)
    outages: list[OutageEvent] = []
    for index, event in enumerate(scenario.events):
        where = f"events[{index}]"
        if event.end_s() > scenario.seconds and not isinstance(event, ReplacementEvent):
            problem = f"ends at {event.end_s():g} s: must end by seconds, {scenario.seconds:g}"
            raise ScenarioError(where, problem)
        if isinstance(event, ZoneLossEvent):
            _check_zone_loss(event, where, topology.zones)
        if isinstance(event, OutageEvent):
            _check_outage(event, where, outages)
            outages.append(event)


def _check_zone_loss(event: ZoneLossEvent, where: str, zones: int) -> None:
    if event.zone >= zones:
        raise ScenarioError(f"{where}.zone", f"{event.zone}: must be below {zones}")
    if event.noticed_after_s > event.back_after_s:
        problem = f"{event.noticed_after_s:g}: must be at most back_after_s, {event.back_after_s:g}"
        raise ScenarioError(f"{where}.noticed_after_s", problem)


def _check_outage(event: OutageEvent, where: str, earlier: list[OutageEvent]) -> None:
    if any(event.at_s <= outage.end_s() and outage.at_s <= event.end_s() for outage in earlier):
        raise ScenarioError(f"{where}.at_s", f"{event.at_s:g}: must not overlap another outage")
