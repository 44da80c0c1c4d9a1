"""Parsers of single values of the settings document.

Each takes a value and its full key, and returns the value as the settings types hold it; one of another type
raises SettingsError.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from corkdoor.settings import SettingsError

Parser = Callable[[Any, str], Any]


def _impossible(value: object, key: str) -> SettingsError:
    return SettingsError(key, f"impossible value {value!r}")


def parse_integer(value: object, key: str) -> int:
    """Parse an integer."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise _impossible(value, key)
    return value


def parse_number(value: object, key: str) -> float:
    """Parse a number."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise _impossible(value, key)
    return float(value)


def parse_text(value: object, key: str) -> str:
    """Parse a text."""
    if not isinstance(value, str):
        raise _impossible(value, key)
    return value


def parse_flag(value: object, key: str) -> bool:
    """Parse a boolean."""
    if not isinstance(value, bool):
        raise _impossible(value, key)
    return value


def parse_list(value: object, key: str) -> list[Any]:
    """Parse a list."""
    if not isinstance(value, list):
        raise _impossible(value, key)
    return value


def parse_object(value: object, key: str) -> dict[str, Any]:
    """Parse an object."""
    if not isinstance(value, dict):
        raise _impossible(value, key)
    return value


def parse_length(value: object, key: str) -> int:
    """Parse a list of which only the length matters."""
    return len(parse_list(value, key))


def parse_names(value: object, key: str) -> frozenset[str]:
    """Parse a list of names; an empty one allows nothing."""
    names = parse_list(value, key)
    if not all(isinstance(name, str) for name in names):
        raise _impossible(value, key)
    return frozenset(names)


def parse_choice(enum: type[Enum]) -> Parser:
    """Return the parser of an enum's values."""

    def parse(value: object, key: str) -> Enum:
        text = parse_text(value, key)
        try:
            return enum(text)
        except ValueError:
            raise _impossible(value, key) from None

    return parse
