"""When a sidecar counts as notified of a change, by each of the rules."""

from __future__ import annotations

import pytest

from faults.notifications import AFTER_LOST_WATCH_S, MOVED_AFTER_S, NOTIFIED_AFTER_S, Change, Notifications

START_S = 100.0
DRAIN = Change(2, "s-0", False, START_S + 10)
LATE_S = START_S + 1000


def notifications(pushed: bool = False) -> Notifications:
    made = Notifications(pushed)
    made.change(Change(1, "s-0", True, 0.0))
    made.started("n0", 1, START_S)
    made.change(DRAIN)
    return made


def test_a_change_counts_as_notified_6_s_after_it_was_made_where_nothing_was_written() -> None:
    assert notifications().notified_s("n0", DRAIN) == DRAIN.made_s + NOTIFIED_AFTER_S


def test_a_written_list_notifies_at_once_and_an_older_one_does_not() -> None:
    made = notifications()
    made.wrote("n0", 1, DRAIN.made_s + 1)
    assert made.notified_s("n0", DRAIN) == DRAIN.made_s + NOTIFIED_AFTER_S
    made.wrote("n0", 2, DRAIN.made_s + 2)
    made.wrote("n0", 3, DRAIN.made_s + 3)
    assert made.notified_s("n0", DRAIN) == DRAIN.made_s + 2


def test_pushed_lists_count_at_once() -> None:
    assert notifications(pushed=True).notified_s("n0", DRAIN) == DRAIN.made_s


@pytest.mark.parametrize("pushed", [False, True])
def test_a_reload_that_moves_discovery_gives_4_s(pushed: bool) -> None:
    made = notifications(pushed)
    made.moved("n0", DRAIN.made_s + 5)
    assert made.notified_s("n0", DRAIN) == DRAIN.made_s + 5 + MOVED_AFTER_S


@pytest.mark.parametrize("pushed", [False, True])
def test_an_outage_moves_it_to_the_return(pushed: bool) -> None:
    made = notifications(pushed)
    made.outage_started(DRAIN.made_s - 1)
    assert made.retired_since_s("n0", "s-0", LATE_S) is None
    made.outage_ended(DRAIN.made_s + 3)
    assert made.notified_s("n0", DRAIN) == DRAIN.made_s + 3 + (0 if pushed else NOTIFIED_AFTER_S)


def test_an_outage_that_was_over_before_counts_for_nothing() -> None:
    made = notifications()
    made.outage_started(DRAIN.made_s - 3)
    made.outage_ended(DRAIN.made_s - 1)
    assert made.notified_s("n0", DRAIN) == DRAIN.made_s + NOTIFIED_AFTER_S


def test_a_lost_response_to_a_watch_counts_once_that_watch_was_to_end() -> None:
    made = notifications()
    made.lost_response("n0", DRAIN.made_s - 1, DRAIN.made_s + 20)
    assert made.notified_s("n0", DRAIN) == DRAIN.made_s + 20 + AFTER_LOST_WATCH_S


def test_a_new_process_has_6_s_for_what_its_list_lacks() -> None:
    made = notifications()
    made.started("n0", 1, DRAIN.made_s + 50)
    assert made.notified_s("n0", DRAIN) == DRAIN.made_s + 50 + NOTIFIED_AFTER_S
    made.started("n0", 2, DRAIN.made_s + 60)
    assert made.notified_s("n0", DRAIN) == DRAIN.made_s + 60


def test_each_sidecar_is_notified_on_its_own() -> None:
    made = notifications()
    made.started("n1", 1, START_S)
    made.wrote("n1", 2, DRAIN.made_s + 1)
    assert made.retired_since_s("n1", "s-0", DRAIN.made_s + 2) == DRAIN.made_s + 1
    assert made.retired_since_s("n0", "s-0", DRAIN.made_s + 2) is None


def test_the_first_of_changes_in_a_row_counts_and_a_return_ends_it() -> None:
    made = notifications()
    made.change(Change(3, "s-0", False, DRAIN.made_s + 4))
    assert made.retired_since_s("n0", "s-0", LATE_S) == DRAIN.made_s + NOTIFIED_AFTER_S
    made.change(Change(4, "s-0", True, DRAIN.made_s + 8))
    assert made.retired_since_s("n0", "s-0", LATE_S) is None
    made.change(Change(5, "s-0", False, DRAIN.made_s + 9))
    assert made.retired_since_s("n0", "s-0", LATE_S) == DRAIN.made_s + 9 + NOTIFIED_AFTER_S
