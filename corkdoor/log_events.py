"""The format of all log lines: `event=NAME key=value ...`; docs/EVENTS.md lists the events."""

from __future__ import annotations

import json

_UNQUOTED = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:,+-/[]()*%#@")


class LogEvent:
    """A log event, to be passed to a logger as the message.

    The event is formatted only when a handler writes it, so that messages that a filter drops cost no
    formatting.

    Args:
        name: the event's name, in snake case.
        fields: the event's fields, in the order in which they are written. Floats are written with three
            decimals. An empty text, or one with spaces, quotes or other special characters, is quoted as in
            JSON.
    """

    __slots__ = ("fields", "name")

    def __init__(self, name: str, /, **fields: object) -> None:
        self.name = name
        self.fields = fields

    def __str__(self) -> str:
        """Return the event as a log line."""
        pairs = [f"{key}={format_value(value)}" for key, value in self.fields.items()]
        return " ".join([f"event={self.name}", *pairs])


def format_value(value: object) -> str:
    """Return the text of a field's value in a log line."""
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return text if text and _UNQUOTED.issuperset(text) else json.dumps(text)
