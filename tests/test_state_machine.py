"""Tables of transitions: what is legal passes, and what is not is counted, logged and takes place."""

from __future__ import annotations

import io
import logging
from enum import Enum

import pytest

from corkdoor import state_machine
from corkdoor.policy.discovery.failure_backoff import BACKOFF_TRANSITIONS, BackoffPhase
from corkdoor.policy.discovery.poll_state import POLL_TRANSITIONS, PollState
from corkdoor.sidecar.discovery.watcher import WATCHER_TRANSITIONS, WatcherState
from corkdoor.state_machine import TransitionTable


class Door(Enum):
    """States for these tests."""

    OPEN = "open"
    CLOSED = "closed"
    REMOVED = "removed"


@pytest.fixture
def table() -> TransitionTable[Door]:
    return TransitionTable(
        "door",
        {
            Door.OPEN: frozenset((Door.CLOSED,)),
            Door.CLOSED: frozenset((Door.OPEN, Door.REMOVED)),
            Door.REMOVED: frozenset(),
        },
    )


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> io.StringIO:
    """Return what a test logs here, apart from the log that every test searches for illegal transitions."""
    written = io.StringIO()
    logger = logging.Logger("test")
    handler = logging.StreamHandler(written)
    handler.setFormatter(logging.Formatter("%(levelname)s %(message)s"))
    logger.addHandler(handler)
    monkeypatch.setattr(state_machine, "log", logger)
    return written


def test_legal_transition_takes_place_and_is_not_logged(
    table: TransitionTable[Door], logged: io.StringIO
) -> None:
    assert table.check(Door.OPEN, Door.CLOSED) is Door.CLOSED
    assert table.check(Door.CLOSED, Door.REMOVED) is Door.REMOVED
    assert not table.violations
    assert logged.getvalue() == ""


def test_illegal_transition_is_counted_and_logged_and_takes_place(
    table: TransitionTable[Door], logged: io.StringIO
) -> None:
    for _ in range(2):
        assert table.check(Door.OPEN, Door.REMOVED) is Door.REMOVED
    assert table.check(Door.REMOVED, Door.OPEN) is Door.OPEN
    assert table.violations == {(Door.OPEN, Door.REMOVED): 2, (Door.REMOVED, Door.OPEN): 1}
    assert logged.getvalue().splitlines() == [
        "ERROR event=illegal_transition subject=door state=open following=removed",
        "ERROR event=illegal_transition subject=door state=open following=removed",
        "ERROR event=illegal_transition subject=door state=removed following=open",
    ]


def test_staying_in_a_state_is_a_transition_like_others(
    table: TransitionTable[Door], logged: io.StringIO
) -> None:
    assert table.check(Door.OPEN, Door.OPEN) is Door.OPEN
    assert table.violations == {(Door.OPEN, Door.OPEN): 1}
    assert "state=open following=open" in logged.getvalue()


def test_tables_of_discovery_name_every_state() -> None:
    assert set(POLL_TRANSITIONS.transitions) == set(PollState)
    assert set(BACKOFF_TRANSITIONS.transitions) == set(BackoffPhase)
    assert set(WATCHER_TRANSITIONS.transitions) == set(WatcherState)
