"""What is worked out from the events of a run: when the last sidecar was reached. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

import msgspec

from emulator.discovery.statistics import PollArrival
from emulator.simulated_sidecars.messages import Notification

NS_PER_S = 1e9


class ListChange(msgspec.Struct, frozen=True):
    """A change of a list as it was made, at a monotonic time; `measurement` names what is measured of it."""

    measurement: str
    service: str
    generation: int
    at_ns: int


class Transition(NamedTuple):
    """Sidecars that start, or are killed, at a monotonic time."""

    at_ns: int
    sidecars: Sequence[int]
    starts: bool


Notifications = Mapping[int, Sequence[Notification]]  # of each sidecar, in their order


def last_applied_s(change: ListChange, sidecars: Iterable[int], notifications: Notifications) -> float | None:
    """Return the seconds until the last of these sidecars had the change; None where one never had it."""
    return _last_s(
        change.at_ns, sidecars, notifications, lambda notified: notified.generation >= change.generation
    )


def last_notified_s(since_ns: int, sidecars: Iterable[int], notifications: Notifications) -> float | None:
    """Return the seconds until the last of these sidecars was notified; None where one never was."""
    return _last_s(since_ns, sidecars, notifications, lambda notified: notified.at_ns >= since_ns)


def first_notified_s(since_ns: int, notifications: Sequence[Notification]) -> float | None:
    """Return the seconds until the first notification since then; None where there is none."""
    return _first_s(since_ns, notifications, lambda notified: notified.at_ns >= since_ns)


def _last_s(
    since_ns: int,
    sidecars: Iterable[int],
    notifications: Notifications,
    counts: Callable[[Notification], bool],
) -> float | None:
    last_s = 0.0
    for sidecar in sidecars:
        first_s = _first_s(since_ns, notifications.get(sidecar, ()), counts)
        if first_s is None:
            return None
        last_s = max(last_s, first_s)
    return last_s


def _first_s(
    since_ns: int, notifications: Sequence[Notification], counts: Callable[[Notification], bool]
) -> float | None:
    first = next((notified for notified in notifications if counts(notified)), None)
    return None if first is None else (first.at_ns - since_ns) / NS_PER_S


def running_at(at_ns: int, members: Iterable[int], transitions: Iterable[Transition]) -> list[int]:
    """Return those of `members` that run at that monotonic time, or begin to in it.

    Of transitions at one time, kills come first.
    """
    running: set[int] = set()
    for transition in sorted(transitions, key=lambda transition: (transition.at_ns, transition.starts)):
        if transition.at_ns <= at_ns:
            update = running.update if transition.starts else running.difference_update
            update(transition.sidecars)
    return [number for number in members if number in running]


def last_polled_s(since_s: float, count: int, arrivals: Sequence[PollArrival]) -> float | None:
    """Return the seconds until these polls had come on `count` connections; None where they never did.

    Equals the time until the last of `count` sidecars polled as long as none needed a second connection;
    where some did, it is a lower bound of that.
    """
    seen: set[int] = set()
    for arrival in arrivals:
        seen.add(arrival.connection)
        if len(seen) >= count:
            return max(0.0, arrival.at_s - since_s)
    return None


def arrivals_on_new_connections(since_s: float, arrivals: Sequence[PollArrival]) -> list[PollArrival]:
    """Return the polls on connections that brought none before that monotonic time."""
    old = {arrival.connection for arrival in arrivals if arrival.at_s < since_s}
    return [arrival for arrival in arrivals if arrival.connection not in old]
