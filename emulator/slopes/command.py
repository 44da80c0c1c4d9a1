"""`python -m emulator slopes`: takes the measurements, saves their points and shows the fitted lines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console

from emulator.slopes.latency import added_latency
from emulator.slopes.lists import change_cpu, decision_cpu, list_bytes, list_cpu, renewal_cpu
from emulator.slopes.memory import memory_by_client, memory_by_endpoint, memory_by_request, memory_by_upstream
from emulator.slopes.points import MeasurementFunction, Point, Scale
from emulator.slopes.records import PointRecorder, read_points
from emulator.slopes.requests import cpu_at_high_rates, cpu_by_list_size, cpu_by_rate, cpu_by_step
from emulator.slopes.table import make_table

TABLE_WIDTH = 150  # fixed, so that output to a file has the same width
app = typer.Typer(add_completion=False)

# The names appear on the command line and in the names of the record files.
MEASUREMENTS: dict[str, MeasurementFunction] = {
    "memory-endpoint": memory_by_endpoint,
    "memory-caller": memory_by_client,
    "memory-upstream": memory_by_upstream,
    "memory-request": memory_by_request,
    "calls": cpu_by_rate,
    "busy": cpu_at_high_rates,
    "breakdown": cpu_by_step,
    "sizes": cpu_by_list_size,
    "latency": added_latency,
    "module": decision_cpu,
    "lists": list_cpu,
    "watch": renewal_cpu,
    "changes": change_cpu,
    "bytes": list_bytes,
}


async def collect(
    measurement: MeasurementFunction, scale: Scale, on_point: Callable[[Point], None]
) -> list[Point]:
    """Take one measurement at all its sizes; `on_point` is called with each point once it is measured."""
    points = []
    async for point in measurement(scale):
        on_point(point)
        points.append(point)
    return points


@app.callback(invoke_without_command=True)
def slopes(
    only: Annotated[
        list[str] | None, typer.Option(help=f"one of {', '.join(MEASUREMENTS)}; may repeat")
    ] = None,
    seconds: Annotated[float, typer.Option(help="length of each run", min=0.2, max=60)] = 10.0,
    runs: Annotated[int, typer.Option(help="number of latency runs", min=1, max=20)] = 3,
    records: Annotated[Path, typer.Option(help="folder for the measurements")] = Path("records"),
    show: Annotated[list[Path] | None, typer.Option(help="show these records, measure nothing")] = None,
) -> None:
    """Measure what a sidecar spends, save each measurement as a line of JSON, and show the fitted lines."""
    console = Console(width=TABLE_WIDTH)
    if show:
        console.print(make_table(read_points(show)))
        return
    unknown = set(only or ()) - set(MEASUREMENTS)
    if unknown:
        raise typer.BadParameter(f"unknown: {', '.join(sorted(unknown))}")
    points: list[Point] = []
    for name in only or MEASUREMENTS:
        recorder = PointRecorder(records, name)
        scale = Scale(seconds=seconds, runs=runs)
        points += asyncio.run(collect(MEASUREMENTS[name], scale, recorder.append))
    console.print(make_table(points))
