"""When each sidecar counts as notified of each change of the endpoint list.

A sidecar is notified once discovery has written the change to it, in a complete response. Where discovery has
not, it counts as notified all the same: 6 s after discovery had the change and could be reached, after a
reload that moves discovery not before 4 s have passed, and after a watch whose response was lost not before
2 s after that watch was to end. Where lists are pushed, what discovery has counts at once.

These rules share no code with the sidecar on purpose: the oracle judges by them what the sidecar does.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

NOTIFIED_AFTER_S = 6.0  # after discovery had the change and could be reached
MOVED_AFTER_S = 4.0  # after a reload that moves discovery
AFTER_LOST_WATCH_S = 2.0  # after a watch whose response was lost was to end


@dataclass(frozen=True, slots=True)
class Change:
    """One entry of the endpoint list that discovery changed."""

    generation: int
    endpoint: str
    ready: bool
    made_s: float  # loop time


@dataclass(frozen=True, slots=True)
class Interval:
    """A time interval in seconds of the loop; `until_s` is infinite while it lasts."""

    from_s: float
    until_s: float


class Written(NamedTuple):
    """A complete response of discovery: when it was written, and the list's generation."""

    at_s: float
    generation: int


@dataclass(slots=True)
class SidecarNotifications:
    """What one sidecar was notified of since its process started; times in seconds of the loop."""

    started_s: float
    generation: int  # of the newest list that was written to it completely
    written: list[Written] = field(default_factory=list)
    moved_s: float | None = None  # when a reload last named another discovery
    lost_watches: list[Interval] = field(default_factory=list)  # watches whose response was lost


class Notifications:
    """All changes, and what each sidecar was notified of.

    Args:
        pushed: whether lists are pushed, so that each change counts at once.
    """

    def __init__(self, pushed: bool = False) -> None:
        self.pushed = pushed
        self.changes: dict[str, list[Change]] = defaultdict(list)  # by endpoint
        self.sidecars: dict[str, SidecarNotifications] = {}
        self.outages: list[Interval] = []

    # --- what happens ---

    def change(self, change: Change) -> None:
        """Note a change that discovery has."""
        self.changes[change.endpoint].append(change)

    def started(self, sidecar: str, generation: int, now_s: float) -> None:
        """Note a process that starts on a list of that generation."""
        self.sidecars[sidecar] = SidecarNotifications(now_s, generation, [Written(now_s, generation)])

    def moved(self, sidecar: str, now_s: float) -> None:
        """Note a reload that names another discovery."""
        self.sidecars[sidecar].moved_s = now_s

    def wrote(self, sidecar: str, generation: int, now_s: float) -> None:
        """Note a complete response of discovery."""
        notified = self.sidecars[sidecar]
        if generation > notified.generation:
            notified.generation = generation
            notified.written.append(Written(now_s, generation))

    def lost_response(self, sidecar: str, polled_s: float, watch_end_s: float) -> None:
        """Note a watch whose response did not come, or not completely, and when it was to end."""
        self.sidecars[sidecar].lost_watches.append(Interval(polled_s, watch_end_s))

    def outage_started(self, now_s: float) -> None:
        """Note that discovery can't be reached from now on."""
        self.outages.append(Interval(now_s, float("inf")))

    def outage_ended(self, now_s: float) -> None:
        """Note that discovery is back."""
        self.outages[-1] = Interval(self.outages[-1].from_s, now_s)

    # --- what counts ---

    def retired_since_s(self, sidecar: str, endpoint: str, now_s: float) -> float | None:
        """Return since when the sidecar counts as notified that the endpoint retired.

        An endpoint is retired while it drains or has left the list.

        Returns:
            A loop time in seconds; None where the sidecar does not count as notified, or it is ready again.
        """
        made = [change for change in self.changes[endpoint] if change.made_s <= now_s]
        if not made or made[-1].ready:
            return None
        first = made[-1]  # of the consecutive changes that say so
        for change in reversed(made):
            if change.ready:
                break
            first = change
        notified_s = self.notified_s(sidecar, first)
        return notified_s if notified_s <= now_s else None

    def notified_s(self, sidecar: str, change: Change) -> float:
        """Return when the sidecar counts as notified of a change."""
        notified = self.sidecars[sidecar]
        latest_s = self._latest_s(notified, change)
        written = (write.at_s for write in notified.written if write.generation >= change.generation)
        return max(change.made_s, min(next(written, latest_s), latest_s))

    def _latest_s(self, notified: SidecarNotifications, change: Change) -> float:
        """Return when the sidecar counts as notified though nothing was written to it."""
        reached_s = max(change.made_s, notified.started_s)
        for outage in self.outages:
            if outage.from_s <= reached_s + NOTIFIED_AFTER_S and outage.until_s >= reached_s:
                reached_s = max(reached_s, outage.until_s)
        latest_s = reached_s + (0.0 if self.pushed else NOTIFIED_AFTER_S)
        if notified.moved_s is not None:
            latest_s = max(latest_s, notified.moved_s + MOVED_AFTER_S)
        for watch in notified.lost_watches:
            if watch.from_s <= latest_s and change.made_s <= watch.until_s:
                latest_s = max(latest_s, watch.until_s + AFTER_LOST_WATCH_S)
        return latest_s
