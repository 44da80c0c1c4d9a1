"""Parsers for individual values of the settings document.

Each parser takes a value and its full key. It returns the value in the form that the settings types hold, and
raises SettingsError for an invalid value.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from corkdoor.settings import SettingsError

Parser = Callable[[Any, str], Any]


def _invalid_value(value: object, key: str) -> SettingsError:
    return SettingsError(key, f"invalid value {value!r}")


def parse_integer(value: object, key: str) -> int:
    """Parse an integer."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise _invalid_value(value, key)
    return value


def parse_optional_integer(value: object, key: str) -> int | None:
    """Parse an integer; 0 means that no value is set, and becomes None."""
    return parse_integer(value, key) or None


def parse_number(value: object, key: str) -> float:
    """Parse a number."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise _invalid_value(value, key)
    return float(value)


def parse_string(value: object, key: str) -> str:
    """Parse a string."""
    if not isinstance(value, str):
        raise _invalid_value(value, key)
    return value


def parse_boolean(value: object, key: str) -> bool:
    """Parse a boolean."""
    if not isinstance(value, bool):
        raise _invalid_value(value, key)
    return value


def parse_list(value: object, key: str) -> list[Any]:
    """Parse a list."""
    if not isinstance(value, list):
        raise _invalid_value(value, key)
    return value


def parse_object(value: object, key: str) -> dict[str, Any]:
    """Parse an object."""
    if not isinstance(value, dict):
        raise _invalid_value(value, key)
    return value


def parse_list_length(value: object, key: str) -> int:
    """Parse a list, and return its length."""
    return len(parse_list(value, key))


def parse_string_set(value: object, key: str) -> frozenset[str]:
    """Parse a list of strings; an empty list allows nothing."""
    names = parse_list(value, key)
    if not all(isinstance(name, str) for name in names):
        raise _invalid_value(value, key)
    return frozenset(names)


def parse_choice(enum: type[Enum]) -> Parser:
    """Return a parser for the values of an enum."""

    def parse(value: object, key: str) -> Enum:
        text = parse_string(value, key)
        try:
            return enum(text)
        except ValueError:
            raise _invalid_value(value, key) from None

    return parse
