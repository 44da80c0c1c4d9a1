"""Records of the measurements of a run: saved as lines of JSON, printed as a table."""

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
    """One measurement, with the keys of the records."""

    scenario: str
    size: int  # number of simulated sidecars
    name: str = msgspec.field(name="measurement")
    value: float | None  # None: the measured event did not happen, or was not measured
    unit: str
    valid: bool = msgspec.field(name="held")  # whether the emulator kept to its schedule
    note: str = ""
    detail: dict[str, Any] = {}


def append_records(
    measurements: Sequence[Measurement], scenario: Scenario, folder: Path, trial: bool = False
) -> Path:
    """Append measurements to the records of the scenario, and return the path of the file.

    Args:
        measurements: the measurements of one run.
        scenario: the scenario that was run.
        folder: the folder of the records; it is created if it is missing.
        trial: whether the measurements are marked as those of a trial: the machine was under load, or
            the code was a scratch copy.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{scenario.name}.jsonl"
    common_fields = {
        **run_origin(),
        "trial": trial,
        "seed": scenario.seed,
        "processes": scenario.processes,
        "discovery": msgspec.to_builtins(scenario.discovery),
    }
    with path.open("ab") as file:
        for measurement in measurements:
            file.write(msgspec.json.encode({**common_fields, **msgspec.to_builtins(measurement)}) + b"\n")
    return path


def print_table(measurements: Sequence[Measurement], console: Console) -> None:
    """Print measurements as a table."""
    table = Table("size", "measurement", "value", "unit", "valid", "note")
    for measurement in measurements:
        value = "-" if measurement.value is None else f"{measurement.value:g}"
        valid = "yes" if measurement.valid else "NO"
        size = str(measurement.size)
        table.add_row(size, measurement.name, value, measurement.unit, valid, measurement.note)
    console.print(table)
