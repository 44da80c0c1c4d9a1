"""The command line: `python -m emulator run SCENARIO`, and `slopes`, `growth` and `crowd`."""

from __future__ import annotations

import importlib
import importlib.util
import sys
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)


@app.callback()
def commands() -> None:
    """The emulator of the platform round the sidecars."""


@app.command()
def run(
    scenario: Annotated[Path, typer.Argument(help="a scenario in TOML, as in emulator/scenarios")],
    size: Annotated[int, typer.Option(help="play only this number of hollow sidecars; 0: all stated")] = 0,
    records: Annotated[Path, typer.Option(help="where the measurements are kept")] = Path("records"),
    trial: Annotated[bool, typer.Option(help="mark the measurements as a trial's")] = False,
) -> None:
    """Play a scenario at each of its sizes; each measurement is one line of JSON in `records`."""
    # Not at the top: the other commands need nothing of what this one loads.
    from emulator.run import main

    raise typer.Exit(main(scenario, size, records, trial))


def _add(name: str, module: str) -> None:
    """Add the command `name` where `module` is there; it is loaded only once that command is asked for."""
    if name in sys.argv[1:2] and importlib.util.find_spec(module) is not None:
        app.add_typer(importlib.import_module(module).app, name=name)


_add("slopes", "emulator.slopes")
_add("growth", "emulator.growth")
_add("crowd", "emulator.crowded_discovery")

if __name__ == "__main__":
    app()
