"""Tables of legal transitions, checked while the program runs."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping
from enum import Enum
from typing import Generic, TypeVar

from corkdoor.log_events import LogEvent

State = TypeVar("State", bound=Enum)
log = logging.getLogger(__name__)


class TransitionTable(Generic[State]):
    """Every state of one kind of object, and the states that may follow each.

    An illegal transition is a fault of the program: it is counted and logged, and takes place all the same,
    since a process in service must go on.

    Args:
        subject: what has these states, for the log.
        transitions: the states that may follow each state; a final state has none.
    """

    def __init__(self, subject: str, transitions: Mapping[State, frozenset[State]]) -> None:
        self.subject = subject
        self.transitions = transitions
        self.violations: Counter[tuple[State, State]] = Counter()  # since the start

    def check(self, current: State, following: State) -> State:
        """Return `following`, after a check that it may come after `current`."""
        if following not in self.transitions[current]:
            self.violations[current, following] += 1
            names = {"state": current.name.lower(), "following": following.name.lower()}
            log.error(LogEvent("illegal_transition", subject=self.subject, **names))
        return following
