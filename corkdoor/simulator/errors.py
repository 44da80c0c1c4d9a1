"""The error of a malformed input."""

from __future__ import annotations


class ProtocolError(Exception):
    """A line, or a batch, that breaks the protocol; its text says what is wrong."""
