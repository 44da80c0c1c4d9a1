"""The measurements of a run as records: kept as lines of JSON, shown as a table."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from emulator.provenance import run_origin
from emulator.scenario.document import Scenario


class Measurement(msgspec.Struct):
    """One measurement."""

    scenario: str
    size: int  # simulated sidecars
    name: str = msgspec.field(name="measurement")
    value: float | None  # None: it did not come about, or was not measured
    unit: str
    valid: bool = msgspec.field(name="held")  # whether the emulator kept its own times
    note: str = ""
    detail: dict[str, Any] = {}


def append_records(
    measurements: Sequence[Measurement], scenario: Scenario, folder: Path, trial: bool = False
) -> Path:
    """Append measurements to the scenario's records and return the file.

    Args:
        measurements: of one run.
        scenario: that was played.
        folder: of the records; made where it is missing.
        trial: whether the figures are marked as a trial's: the machine did other things meanwhile, or the
            copy was a scratch one.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{scenario.name}.jsonl"
    head = {
        **run_origin(),
        "trial": trial,
        "seed": scenario.seed,
        "processes": scenario.processes,
        "discovery": msgspec.to_builtins(scenario.discovery),
    }
    with path.open("ab") as file:
        for measurement in measurements:
            file.write(msgspec.json.encode({**head, **msgspec.to_builtins(measurement)}) + b"\n")
    return path


def show(measurements: Sequence[Measurement], console: Console) -> None:
    """Print measurements as a table."""
    table = Table("size", "measurement", "value", "unit", "valid", "note")
    for measurement in measurements:
        value = "-" if measurement.value is None else f"{measurement.value:g}"
        valid = "yes" if measurement.valid else "NO"
        size = str(measurement.size)
        table.add_row(size, measurement.name, value, measurement.unit, valid, measurement.note)
    console.print(table)
