"""When each sidecar counts as told of each change of the list, by the rules and by what discovery wrote.

A change is told once discovery has written it to the sidecar: on its watch, or in an answer that comes whole.
Where it was not, it counts as told all the same: 6 s after discovery had it and could be reached, after a
reload that moves discovery not before 4 s have passed, and after a watch whose answer was lost not before 2 s
after that wait is over. Where lists are pushed, what discovery has counts at once.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

TOLD_AFTER_S = 6.0
MOVED_AFTER_S = 4.0
WAIT_OVER_S = 2.0
NEVER_S = float("-inf")


@dataclass(frozen=True, slots=True)
class Change:
    """One entry that discovery changed."""

    generation: int
    endpoint: str
    ready: bool
    made_s: float


@dataclass(frozen=True, slots=True)
class Span:
    """A stretch of time; `until_s` is infinite while it lasts."""

    from_s: float
    until_s: float


@dataclass(slots=True)
class Knowledge:
    """What one sidecar was told, since its process started."""

    started_s: float
    generation: int  # of the newest list that was written to it whole
    written: list[tuple[float, int]] = field(default_factory=list)
    moved_s: float = NEVER_S
    lost: list[Span] = field(default_factory=list)  # waits of watches whose answer was lost


class Notifications:
    """All changes, and what each sidecar was told of them."""

    def __init__(self, pushed: bool = False) -> None:
        self.pushed = pushed
        self.changes: dict[str, list[Change]] = defaultdict(list)  # by endpoint
        self.sidecars: dict[str, Knowledge] = {}
        self.outages: list[Span] = []

    # --- what happens ---

    def change(self, change: Change) -> None:
        """Discovery has a change."""
        self.changes[change.endpoint].append(change)

    def started(self, sidecar: str, generation: int, now_s: float) -> None:
        """A process starts on a list of that generation."""
        self.sidecars[sidecar] = Knowledge(now_s, generation, [(now_s, generation)])

    def moved(self, sidecar: str, now_s: float) -> None:
        """A reload names another discovery."""
        self.sidecars[sidecar].moved_s = now_s

    def wrote(self, sidecar: str, generation: int, now_s: float) -> None:
        """Discovery wrote an answer that comes whole."""
        known = self.sidecars[sidecar]
        if generation > known.generation:
            known.generation = generation
            known.written.append((now_s, generation))

    def lost_answer(self, sidecar: str, asked_s: float, wait_over_s: float) -> None:
        """An answer to a call that may wait did not come, or not whole; the wait was to be over then."""
        self.sidecars[sidecar].lost.append(Span(asked_s, wait_over_s))

    def outage_began(self, now_s: float) -> None:
        """Discovery can't be reached from now on."""
        self.outages.append(Span(now_s, float("inf")))

    def outage_ended(self, now_s: float) -> None:
        """Discovery is back."""
        self.outages[-1] = Span(self.outages[-1].from_s, now_s)

    # --- what counts ---

    def retired_since_s(self, sidecar: str, endpoint: str, now_s: float) -> float | None:
        """Since when it counts as told that the endpoint drains or is gone; None: it does not."""
        made = [change for change in self.changes[endpoint] if change.made_s <= now_s]
        if not made or made[-1].ready:
            return None
        first = made[-1]  # of those in a row that say so
        for change in reversed(made):
            if change.ready:
                break
            first = change
        told_s = self.told_s(sidecar, first)
        return told_s if told_s <= now_s else None

    def told_s(self, sidecar: str, change: Change) -> float:
        """When the sidecar counts as told of a change."""
        known = self.sidecars[sidecar]
        counts_s = self._counts_s(known, change)
        written = (at_s for at_s, generation in known.written if generation >= change.generation)
        return max(change.made_s, min(next(written, counts_s), counts_s))

    def _counts_s(self, known: Knowledge, change: Change) -> float:
        reached_s = max(change.made_s, known.started_s)
        for outage in self.outages:
            if outage.from_s <= reached_s + TOLD_AFTER_S and outage.until_s >= reached_s:
                reached_s = max(reached_s, outage.until_s)
        counts_s = reached_s + (0.0 if self.pushed else TOLD_AFTER_S)
        counts_s = max(counts_s, known.moved_s + MOVED_AFTER_S)
        for span in known.lost:
            if span.from_s <= counts_s and change.made_s <= span.until_s:
                counts_s = max(counts_s, span.until_s + WAIT_OVER_S)
        return counts_s
