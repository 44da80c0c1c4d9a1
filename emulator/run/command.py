"""`python -m emulator run`: runs a scenario at its sizes, prints the measurements and saves them."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

import uvloop
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn

from emulator.errors import RunError, ScenarioError
from emulator.run.measurements import measure
from emulator.run.records import Measurement, append_records, print_table
from emulator.run.scenario_runner import ScenarioRunner, run_timeout_s
from emulator.scenario.document import MAX_SIMULATED_SIDECARS, Scenario
from emulator.scenario.reader import read_scenario

EXIT_SCENARIO_INVALID = 1
EXIT_RUN_INVALID = 2


async def run_scenario(scenario: Scenario, size: int, console: Console) -> list[Measurement]:
    """Run one scenario at one size.

    Raises:
        RunError: the emulator itself failed.
        OSError: a process could not be started, or a port could not be bound.
    """
    columns = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.completed:.0f} s"))
    with tempfile.TemporaryDirectory() as folder, Progress(*columns, console=console) as progress:
        task = progress.add_task(f"{scenario.name}, {size} simulated", total=scenario.seconds)
        runner = ScenarioRunner(scenario, size, Path(folder))
        try:
            async with asyncio.timeout(run_timeout_s(scenario)):
                await runner.start()
                await runner.run_steps(progress, task)
            return measure(runner)
        except TimeoutError:
            raise RunError("the run did not end within its bound") from None
        finally:
            await runner.stop()


def run_and_save(scenario: Scenario, size: int, folder: Path, console: Console, trial: bool = False) -> bool:
    """Run, print and save the measurements; return whether the run is valid."""
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            measurements = runner.run(run_scenario(scenario, size, console))
    except (RunError, OSError) as error:
        failed = Measurement(scenario.name, size, "run", None, "", False, f"failed: {error}")
        measurements = [failed]
    print_table(measurements, console)
    console.print(f"measurements saved in {append_records(measurements, scenario, folder, trial)}")
    return all(measurement.valid for measurement in measurements)


def main(path: Path, size: int, records: Path, trial: bool) -> int:
    """Run a scenario and return the exit status.

    Args:
        path: the scenario file.
        size: the only size to run; 0 runs all sizes of the scenario.
        records: the folder in which the records are saved.
        trial: whether the measurements are marked as those of a trial.

    Returns:
        0 if all runs are valid, 1 if the scenario can't be run, 2 if a run is invalid.
    """
    try:
        scenario = read_scenario(path)
        if not 0 <= size <= MAX_SIMULATED_SIDECARS:
            raise ScenarioError(
                "--size",
                f"{size}: must be at most {MAX_SIMULATED_SIDECARS}, or 0 for all",
            )
    except ScenarioError as error:
        print(f"emulator: {error}", file=sys.stderr)
        return EXIT_SCENARIO_INVALID
    console = Console(stderr=True)
    sizes = [size] if size else scenario.sizes
    valid = [run_and_save(scenario, each_size, records, console, trial) for each_size in sizes]
    return 0 if all(valid) else EXIT_RUN_INVALID
