"""Computes when each sidecar is considered notified of each change to the endpoint list.

The inputs are the events that the soak records: changes, starts of sidecars, lists written by discovery, lost
responses, outages, and reloads that move discovery to another address. The output is a time in seconds of the
event loop. A sidecar is considered notified at the earlier of two times:

- when discovery has written a list with the change to it, in a complete response;
- 6 s after the process was running and discovery had the change and was reachable, even if nothing was
  written. If lists are pushed, this delay is 0. This second time is at least 4 s after the last reload that
  moved discovery, and at least 2 s after the scheduled end of a watch whose response was lost.

These rules intentionally share no code with the sidecar, because the oracle checks the sidecar against them.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

NOTIFIED_AFTER_S = 6.0  # from when discovery had the change and was reachable
NOTIFIED_AFTER_MOVE_S = 4.0  # from a reload that moves discovery to another address
NOTIFIED_AFTER_LOST_WATCH_S = 2.0  # from the scheduled end of a watch whose response was lost


@dataclass(frozen=True, slots=True)
class ListChange:
    """A change to one entry of discovery's endpoint list."""

    generation: int
    endpoint: str
    ready: bool
    changed_s: float  # loop time of the change


@dataclass(frozen=True, slots=True)
class Interval:
    """A time interval in loop seconds; `until_s` is infinite until the interval has ended."""

    from_s: float
    until_s: float


class WrittenList(NamedTuple):
    """A list that discovery wrote in a complete response: the loop time, and the list's generation."""

    at_s: float
    generation: int


@dataclass(slots=True)
class SidecarNotifications:
    """What one sidecar was notified of since its process started; times are in loop seconds."""

    started_s: float
    generation: int  # the newest generation that was written to it completely
    written_lists: list[WrittenList] = field(default_factory=list)
    discovery_moved_s: float | None = None  # when a reload last named another address of discovery
    lost_watches: list[Interval] = field(default_factory=list)  # watches whose response was lost


class Notifications:
    """All changes, and what each sidecar was notified of.

    Args:
        pushed: whether lists are pushed, so that sidecars are considered notified of each change at once.
    """

    def __init__(self, pushed: bool = False) -> None:
        self.pushed = pushed
        self.changes: dict[str, list[ListChange]] = defaultdict(list)  # by endpoint
        self.sidecars: dict[str, SidecarNotifications] = {}
        self.outages: list[Interval] = []

    # --- events ---

    def record_change(self, change: ListChange) -> None:
        """Record a change to discovery's list."""
        self.changes[change.endpoint].append(change)

    def record_start(self, sidecar: str, generation: int, now_s: float) -> None:
        """Record the start of a process whose configuration holds a list of this generation."""
        self.sidecars[sidecar] = SidecarNotifications(now_s, generation, [WrittenList(now_s, generation)])

    def record_move(self, sidecar: str, now_s: float) -> None:
        """Record a reload that names another address of discovery."""
        self.sidecars[sidecar].discovery_moved_s = now_s

    def record_written_list(self, sidecar: str, generation: int, now_s: float) -> None:
        """Record a complete response of discovery with a list of this generation."""
        state = self.sidecars[sidecar]
        if generation > state.generation:
            state.generation = generation
            state.written_lists.append(WrittenList(now_s, generation))

    def record_lost_watch(self, sidecar: str, called_s: float, watch_end_s: float) -> None:
        """Record a watch whose response was missing or incomplete, with its start and its scheduled end."""
        self.sidecars[sidecar].lost_watches.append(Interval(called_s, watch_end_s))

    def record_outage_start(self, now_s: float) -> None:
        """Record that discovery is unreachable from now on."""
        self.outages.append(Interval(now_s, float("inf")))

    def record_outage_end(self, now_s: float) -> None:
        """Record that discovery is reachable again."""
        self.outages[-1] = Interval(self.outages[-1].from_s, now_s)

    # --- queries ---

    def retirement_notified_s(self, sidecar: str, endpoint: str, now_s: float) -> float | None:
        """Return since when the sidecar is considered notified that the endpoint is retired.

        An endpoint is retired while it is draining or no longer listed.

        Returns:
            A loop time in seconds; None if the sidecar is not considered notified or the endpoint is ready.
        """
        changes = [change for change in self.changes[endpoint] if change.changed_s <= now_s]
        if not changes or changes[-1].ready:
            return None
        first = changes[-1]  # becomes the first of the consecutive changes up to now that are not ready
        for change in reversed(changes):
            if change.ready:
                break
            first = change
        notified_s = self.notified_s(sidecar, first)
        return notified_s if notified_s <= now_s else None

    def notified_s(self, sidecar: str, change: ListChange) -> float:
        """Return when the sidecar is considered notified of a change, as a loop time in seconds."""
        state = self.sidecars[sidecar]
        latest_s = self._latest_notified_s(state, change)
        written_s = (write.at_s for write in state.written_lists if write.generation >= change.generation)
        return max(change.changed_s, min(next(written_s, latest_s), latest_s))

    def _latest_notified_s(self, state: SidecarNotifications, change: ListChange) -> float:
        """Return when the sidecar is considered notified of a change even if nothing was written to it."""
        reachable_s = max(change.changed_s, state.started_s)
        for outage in self.outages:
            if outage.from_s <= reachable_s + NOTIFIED_AFTER_S and outage.until_s >= reachable_s:
                reachable_s = max(reachable_s, outage.until_s)
        latest_s = reachable_s + (0.0 if self.pushed else NOTIFIED_AFTER_S)
        if state.discovery_moved_s is not None:
            latest_s = max(latest_s, state.discovery_moved_s + NOTIFIED_AFTER_MOVE_S)
        for watch in state.lost_watches:
            if watch.from_s <= latest_s and change.changed_s <= watch.until_s:
                latest_s = max(latest_s, watch.until_s + NOTIFIED_AFTER_LOST_WATCH_S)
        return latest_s
