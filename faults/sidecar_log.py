"""The reader of the sidecars' logs: the lines that a soak judges, as typed findings.

All that the fault tests know of the log's form stands here. Lines are `event=NAME key=value ...`, behind what
the log's formatter puts in front; a traceback is the interpreter's own text.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

EVENT = re.compile(r"\bevent=(\w+)")
BROKEN_EVENTS = frozenset({"invariant_broken", "illegal_transition"})
POSSIBLE_EVENTS = frozenset({"invariant_possibly_broken"})
TRACEBACK_TEXT = "Traceback"
WAKEUP_FAILED_TEXTS = ("signal wakeup fd", "_read_from_self")  # by the interpreter, and by the event loop


class LogFinding(Enum):
    """What a line of the log says about the program."""

    INVARIANT_BROKEN = "invariant broken"
    INVARIANT_POSSIBLY_BROKEN = "invariant possibly broken"
    TRACEBACK = "traceback"


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line that says something about the program."""

    finding: LogFinding
    text: str


def read_findings(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of one process's log that say something about the program, in their order.

    The traceback that follows a failed write to the wakeup descriptor is left out: that failure is injected,
    and the program acts on the signal all the same.
    """
    previous = ""
    for line in lines:
        follows_wakeup = any(text in previous for text in WAKEUP_FAILED_TEXTS)
        previous = line
        finding = _finding(line)
        if finding is None or (finding is LogFinding.TRACEBACK and follows_wakeup):
            continue
        yield LogLine(finding, line)


def _finding(line: str) -> LogFinding | None:
    found = EVENT.search(line)
    event = found.group(1) if found else ""
    if event in BROKEN_EVENTS:
        return LogFinding.INVARIANT_BROKEN
    if TRACEBACK_TEXT in line:
        return LogFinding.TRACEBACK
    if event in POSSIBLE_EVENTS:
        return LogFinding.INVARIANT_POSSIBLY_BROKEN
    return None
