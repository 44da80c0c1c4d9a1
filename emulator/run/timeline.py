"""Computes from the events of a run when a change or a call reached the last sidecar. Does no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

import msgspec

from emulator.discovery.statistics import PollArrival
from emulator.simulated_sidecars.messages import Notification

NS_PER_S = 1e9


class ListChange(msgspec.Struct, frozen=True):
    """A change of a list at a monotonic time; its effect is measured under the name `measurement`."""

    measurement: str
    service: str
    generation: int
    at_ns: int


class Transition(NamedTuple):
    """A start or a kill of sidecars at a monotonic time."""

    at_ns: int
    sidecars: Sequence[int]
    starts: bool


Notifications = Mapping[int, Sequence[Notification]]  # by sidecar, in order of time


def last_applied_s(change: ListChange, sidecars: Iterable[int], notifications: Notifications) -> float | None:
    """Return the seconds until the last of these sidecars applied the change; None if one never did."""
    return _last_s(
        change.at_ns, sidecars, notifications, lambda notified: notified.generation >= change.generation
    )


def last_notified_s(since_ns: int, sidecars: Iterable[int], notifications: Notifications) -> float | None:
    """Return the seconds until the last of these sidecars was notified; None if one never was."""
    return _last_s(since_ns, sidecars, notifications, lambda notified: notified.at_ns >= since_ns)


def first_notified_s(since_ns: int, notifications: Sequence[Notification]) -> float | None:
    """Return the seconds until the first notification at or after that time; None if there is none."""
    return _first_s(since_ns, notifications, lambda notified: notified.at_ns >= since_ns)


def _last_s(
    since_ns: int,
    sidecars: Iterable[int],
    notifications: Notifications,
    matches: Callable[[Notification], bool],
) -> float | None:
    last_s = 0.0
    for sidecar in sidecars:
        first_s = _first_s(since_ns, notifications.get(sidecar, ()), matches)
        if first_s is None:
            return None
        last_s = max(last_s, first_s)
    return last_s


def _first_s(
    since_ns: int, notifications: Sequence[Notification], matches: Callable[[Notification], bool]
) -> float | None:
    first = next((notified for notified in notifications if matches(notified)), None)
    return None if first is None else (first.at_ns - since_ns) / NS_PER_S


def running_at(at_ns: int, sidecars: Iterable[int], transitions: Iterable[Transition]) -> list[int]:
    """Return those of `sidecars` that run at that monotonic time, or start at it.

    Kills are applied before starts that have the same time.
    """
    running: set[int] = set()
    for transition in sorted(transitions, key=lambda transition: (transition.at_ns, transition.starts)):
        if transition.at_ns <= at_ns:
            update = running.update if transition.starts else running.difference_update
            update(transition.sidecars)
    return [number for number in sidecars if number in running]


def last_call_s(since_s: float, count: int, arrivals: Sequence[PollArrival]) -> float | None:
    """Return the seconds until calls arrived on `count` connections; None if they never did.

    This is the time until the last of `count` sidecars called, as long as no sidecar needed a second
    connection. If some did, it is a lower bound of that time.
    """
    connections: set[int] = set()
    for arrival in arrivals:
        connections.add(arrival.connection)
        if len(connections) >= count:
            return max(0.0, arrival.at_s - since_s)
    return None


def arrivals_on_new_connections(since_s: float, arrivals: Sequence[PollArrival]) -> list[PollArrival]:
    """Return the calls on connections on which no call arrived before that monotonic time."""
    old_connections = {arrival.connection for arrival in arrivals if arrival.at_s < since_s}
    return [arrival for arrival in arrivals if arrival.connection not in old_connections]
