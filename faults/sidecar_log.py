"""Reads the sidecars' logs and returns the lines that the soak checks, as typed findings.

This module holds all that the fault tests know about the log's format. A line is `event=NAME key=value ...`
after the log formatter's prefix; a traceback is the interpreter's own text.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

EVENT_PATTERN = re.compile(r"\bevent=(\w+)")
INVARIANT_BROKEN_EVENTS = frozenset({"invariant_broken", "illegal_transition"})
INVARIANT_POSSIBLY_BROKEN_EVENTS = frozenset({"invariant_possibly_broken"})
TRACEBACK_TEXT = "Traceback"
# Texts printed when the signal wakeup descriptor fails: the interpreter's for a failed write, and the event
# loop's.
WAKEUP_FAILURE_TEXTS = ("signal wakeup fd", "_read_from_self")


class LogFinding(Enum):
    """What a line of the log shows about the sidecar."""

    INVARIANT_BROKEN = "invariant broken"
    INVARIANT_POSSIBLY_BROKEN = "invariant possibly broken"
    TRACEBACK = "traceback"


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line with a finding."""

    finding: LogFinding
    text: str


def read_findings(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of one process's log that have a finding, in their order.

    A traceback that follows a failure of the signal wakeup descriptor is left out, because that failure is
    injected and the sidecar handles the signal nevertheless.
    """
    previous = ""
    for line in lines:
        follows_wakeup = any(text in previous for text in WAKEUP_FAILURE_TEXTS)
        previous = line
        finding = _finding(line)
        if finding is None or (finding is LogFinding.TRACEBACK and follows_wakeup):
            continue
        yield LogLine(finding, line)


def _finding(line: str) -> LogFinding | None:
    found = EVENT_PATTERN.search(line)
    event = found.group(1) if found else ""
    if event in INVARIANT_BROKEN_EVENTS:
        return LogFinding.INVARIANT_BROKEN
    if TRACEBACK_TEXT in line:
        return LogFinding.TRACEBACK
    if event in INVARIANT_POSSIBLY_BROKEN_EVENTS:
        return LogFinding.INVARIANT_POSSIBLY_BROKEN
    return None
