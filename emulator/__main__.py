"""The command line: `python -m emulator run SCENARIO`, and the commands `slopes`, `growth` and `overload`."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path
from typing import Annotated

import typer

# A module is loaded only if its command is given, because `run` needs nothing that these modules import.
COMMAND_MODULES = {
    "slopes": "emulator.slopes.command",
    "growth": "emulator.growth",
    "overload": "emulator.overloaded_discovery.command",
    "crowd": "emulator.overloaded_discovery.command",  # the former name of `overload`
}
app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)


@app.callback()
def commands() -> None:
    """Emulate the platform around the sidecars."""


@app.command()
def run(
    scenario: Annotated[Path, typer.Argument(help="a TOML file, as in emulator/scenarios")],
    size: Annotated[int, typer.Option(help="run only this number of simulated sidecars; 0: all sizes")] = 0,
    records: Annotated[Path, typer.Option(help="folder for the measurements")] = Path("records"),
    trial: Annotated[bool, typer.Option(help="mark the measurements as a trial")] = False,
) -> None:
    """Run a scenario at each of its sizes; each measurement is one line of JSON in `records`."""
    # Imported here, because the other commands need nothing that this module imports.
    from emulator.run.command import main

    raise typer.Exit(main(scenario, size, records, trial))


for name in COMMAND_MODULES.keys() & set(sys.argv[1:2]):
    app.add_typer(importlib.import_module(COMMAND_MODULES[name]).app, name=name)

if __name__ == "__main__":
    app()
