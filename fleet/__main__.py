"""The command line: `python -m fleet COMMAND`."""

from __future__ import annotations

import importlib
import importlib.util
import sys

import typer

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)


@app.callback()
def commands() -> None:
    """The emulator of the platform round the sidecars."""


def _add(name: str, module: str) -> None:
    """Add the command `name` where `module` is there; it is loaded only once that command is asked for."""
    if name in sys.argv[1:2] and importlib.util.find_spec(module) is not None:
        app.add_typer(importlib.import_module(module).app, name=name)


_add("slopes", "fleet.slopes")

if __name__ == "__main__":
    app()
