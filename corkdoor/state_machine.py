"""Tables of legal state transitions, which are checked at run time."""

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
    """The states of one kind of object, and the legal transitions between them.

    An illegal transition is a bug. It is counted and logged, but it still takes place, because a process in
    service must keep running.

    Args:
        subject: the kind of object that has these states, as it is named in the log.
        transitions: for each state, the states that may follow it; none for a final state.

    Attributes:
        violations: the number of illegal transitions since the process started, by the pair of states.
    """

    def __init__(self, subject: str, transitions: Mapping[State, frozenset[State]]) -> None:
        self.subject = subject
        self.transitions = transitions
        self.violations: Counter[tuple[State, State]] = Counter()

    def check(self, current: State, following: State) -> State:
        """Return `following`; count and log the transition if it may not follow `current`."""
        if following not in self.transitions[current]:
            self.violations[current, following] += 1
            names = {"state": current.name.lower(), "following": following.name.lower()}
            log.error(LogEvent("illegal_transition", subject=self.subject, **names))
        return following
