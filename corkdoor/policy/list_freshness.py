"""How fresh the list of endpoints is, and when a change that it may lack counts as told (rule 3)."""

from __future__ import annotations

from corkdoor.model import DiscoveryMode, WatchEventKind
from corkdoor.settings import Settings

TOLD_AFTER_US = 6_000_000  # after discovery had a change and could be reached (the standing test's page)
MOVED_AFTER_US = 4_000_000  # after a reload that names another discovery
ACCEPTED_US = 2_500_000  # a call that is out for longer than calls wait in turn was accepted as a watch
NEVER_US = 1 << 62


class ListFreshness:
    """Up to when every change is known.

    A watch that is open tells each change as it is made, so all is known until it ends. From then on changes
    may be missed, up to the next answer: only that shows whether any was made.
    """

    def __init__(self, settings: Settings, now: int) -> None:
        self.known_until = now  # every change up to here is known, or more while a watch is open
        self.watching = False  # an answer has come, and the call after it has not failed
        self.moved_at = -NEVER_US  # when discovery was moved, while the new address has told nothing
        self.unreachable_until = -NEVER_US  # when the last call failed for want of anybody who answers
        self.bare = False  # the last answer held no entry: a watch may end instead of telling
        self.failures = 0  # calls in a row that brought no list
        self.longest_us = 0  # the longest time that changes may have been missed for, since the start
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Take the form of discovery and the grace of a drain from settings."""
        self.pushed = settings.discovery_mode is DiscoveryMode.PUSH
        self.grace_us = settings.lifecycle.drain_grace_us

    def told(self, now: int, bare: bool) -> None:
        """An answer has come: it holds every change up to now.

        A bare one may stand in place of changes that count as told with it: the next call has to bring them.
        """
        self.bare = bare
        self.longest_us = max(self.longest_us, self.age_us(now))
        self.known_until = now
        self.watching = True
        self.moved_at = -NEVER_US
        self.failures = 0

    def paused(self) -> None:
        """No watch follows the answer for now."""
        self.watching = False

    def failed(self, now: int, form: WatchEventKind, spent_us: int) -> None:
        """A call has failed, so long after it began."""
        self.failures += 1
        # One that fell silent may have done so at its beginning, and one that was refused was never accepted.
        if form is WatchEventKind.FAILED:
            if self.watching or spent_us > ACCEPTED_US:
                self.known_until, self.bare = now, False
            else:
                self.unreachable_until = now
        self.watching = False

    def moved(self, now: int) -> None:
        """Discovery is at another address, which has told nothing yet."""
        if self.watching:
            self.known_until, self.bare = now, False
        self.watching = False
        self.moved_at = now

    def age_us(self, now: int) -> int:
        """For how long changes may have been missed; 0 while a watch is open."""
        return 0 if self.watching else now - self.known_until

    def counts_as_told_us(self) -> int:
        """When the earliest change that may have been missed counts as told."""
        after_us = 0 if self.pushed else TOLD_AFTER_US
        if self.bare:
            return self.known_until
        reached = max(self.known_until, self.unreachable_until)
        return max(reached + after_us, self.moved_at + MOVED_AFTER_US)

    def turn_due_us(self) -> int:
        """By when an answer is wanted: those who ask are served by that, the oldest first.

        Earlier than `counts_as_told_us` where that moves on: after an outage, or with moves in a row.
        """
        due = self.known_until + (self.grace_us if self.bare else TOLD_AFTER_US)
        return min(due, self.moved_at + MOVED_AFTER_US) if self.moved_at > -NEVER_US else due

    def breach_possible_since_us(self) -> int:
        """From when on a send to any endpoint may break rule 3, unless a list comes before."""
        return NEVER_US if self.watching else self.counts_as_told_us() + self.grace_us
