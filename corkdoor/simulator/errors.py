"""The error that malformed input raises."""

from __future__ import annotations


class ProtocolError(Exception):
    """A line or a batch violates the protocol; the message says how."""
