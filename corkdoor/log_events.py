"""The one form of log lines: `event=NAME key=value ...`; docs/EVENTS.md lists the events."""

from __future__ import annotations

import json

_UNQUOTED = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:,+-/[]()*%#@")


class LogEvent:
    """One event for the log: pass it to a logger as the message.

    The text is made only when a handler writes it: lines that a filter drops cost no formatting.

    Args:
        name: the event's name, in snake case.
        fields: its fields, in the order in which they are written. Floats get three decimals; a text with
            spaces or quotes is quoted as in JSON.
    """

    __slots__ = ("fields", "name")

    def __init__(self, name: str, /, **fields: object) -> None:
        self.name = name
        self.fields = fields

    def __str__(self) -> str:
        """The line."""
        pairs = [f"{key}={format_value(value)}" for key, value in self.fields.items()]
        return " ".join([f"event={self.name}", *pairs])


def format_value(value: object) -> str:
    """Return a field's value as it is written."""
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return text if text and _UNQUOTED.issuperset(text) else json.dumps(text)
