"""The command line: `python -m emulator run SCENARIO`, and `slopes`, `growth` and `overload`."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path
from typing import Annotated

import typer

# Loaded only once the command is asked for: `run` needs nothing of what they load.
COMMAND_MODULES = {
    "slopes": "emulator.slopes.command",
    "growth": "emulator.growth",
    "overload": "emulator.overloaded_discovery.command",
    "crowd": "emulator.overloaded_discovery.command",  # the former name of `overload`
}
app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)


@app.callback()
def commands() -> None:
    """The emulator of the platform around the sidecars."""


@app.command()
def run(
    scenario: Annotated[Path, typer.Argument(help="a scenario in TOML, as in emulator/scenarios")],
    size: Annotated[int, typer.Option(help="play only this number of simulated sidecars; 0: all stated")] = 0,
    records: Annotated[Path, typer.Option(help="where the measurements are kept")] = Path("records"),
    trial: Annotated[bool, typer.Option(help="mark the measurements as a trial's")] = False,
) -> None:
    """Play a scenario at each of its sizes; each measurement is one line of JSON in `records`."""
    # Not at the top: the other commands need nothing of what this one loads.
    from emulator.run.command import main

    raise typer.Exit(main(scenario, size, records, trial))


for name in COMMAND_MODULES.keys() & set(sys.argv[1:2]):
    app.add_typer(importlib.import_module(COMMAND_MODULES[name]).app, name=name)

if __name__ == "__main__":
    app()
