"""Errors that are kept for a while must not keep what was in use when they were raised."""

from __future__ import annotations


def drop_references(error: BaseException) -> None:
    """Remove the call stack in which an error was raised, and the error that was being handled then.

    Both refer to all variables of the functions that were running, and so to the input, and often to the
    error itself: only a garbage collection would free them.
    """
    error.__traceback__ = None
    error.__context__ = None
