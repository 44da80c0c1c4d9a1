"""How fresh the endpoint list is, and when a change that it may lack is considered notified.

Inputs: the result of each call to discovery, with times in microseconds on the host's clock. Returns times on
that clock.

An open watch delivers each change when it is made, so every change is known until the watch ends. From then
on changes may be missing until the next response. Only that response shows whether there were any.
"""

from __future__ import annotations

from corkdoor.model import DiscoveryMode, WatchEventKind
from corkdoor.settings import Settings

# A change is considered notified this long after discovery had it and could be reached.
NOTIFIED_AFTER_US = 6_000_000
# After a change of discovery's address, no change of the list is considered notified earlier than this.
NOTIFIED_AFTER_ADDRESS_CHANGE_US = 4_000_000
# Calls wait less than this in discovery's queue, so a call that is in flight for longer is a watch.
MAX_QUEUE_WAIT_US = 2_500_000


class ListFreshness:
    """Up to when every change of the endpoint list is known.

    Attributes:
        known_until_us: every change up to this time is known; later ones as well while a watch is open.
        watch_open: whether a response has arrived and the call after it has not failed.
        consecutive_failures: the number of consecutive calls that brought no list.
        longest_age_us: the longest time, since the start, for which changes may have been missing.
    """

    def __init__(self, settings: Settings, now_us: int) -> None:
        self.known_until_us = now_us
        self.watch_open = False
        self.consecutive_failures = 0
        self.longest_age_us = 0
        self._address_changed_us: int | None = None  # None once the new address has responded
        self._unreachable_until_us: int | None = None  # when a call last failed to reach discovery
        self._last_response_empty = False  # a watch may end with an empty list in place of changes
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply settings."""
        push = settings.discovery_mode is DiscoveryMode.PUSH
        self._notified_after_us = 0 if push else NOTIFIED_AFTER_US
        self._drain_grace_us = settings.lifecycle.drain_grace_us

    def on_response(self, now_us: int, empty: bool) -> None:
        """Record a response, which holds every change up to now.

        Args:
            now_us: the current time, in microseconds.
            empty: whether the response held no endpoint. It may have come in place of changes. These are
                considered notified with it, and the next call has to bring them.
        """
        self.longest_age_us = max(self.longest_age_us, self.age_us(now_us))
        self._last_response_empty = empty
        self._address_changed_us = None
        self.known_until_us = now_us
        self.watch_open = True
        self.consecutive_failures = 0

    def on_watch_closed(self) -> None:
        """Record that no watch follows the last response for now."""
        self.watch_open = False

    def on_failure(self, now_us: int, kind: WatchEventKind, spent_us: int) -> None:
        """Record a call that failed `spent_us` microseconds after its start."""
        self.consecutive_failures += 1
        # A lost response may have been lost as soon as the watch began, and a rejected call was never a
        # watch. Neither shows that every change until now is known.
        if kind is WatchEventKind.FAILED:
            if self.watch_open or spent_us > MAX_QUEUE_WAIT_US:
                self._record_watch_end(now_us)
            else:
                self._unreachable_until_us = now_us
        self.watch_open = False

    def on_address_changed(self, now_us: int) -> None:
        """Record that discovery has another address, which has not been called yet."""
        if self.watch_open:
            self._record_watch_end(now_us)
        self.watch_open = False
        self._address_changed_us = now_us

    def _record_watch_end(self, now_us: int) -> None:
        self.known_until_us = now_us
        self._last_response_empty = False

    def age_us(self, now_us: int) -> int:
        """Return how long changes may have been missing, in microseconds; 0 while a watch is open."""
        return 0 if self.watch_open else now_us - self.known_until_us

    def notified_at_us(self) -> int:
        """Return when the earliest change that may be missing is considered notified, in microseconds."""
        if self._last_response_empty:
            return self.known_until_us
        reached_us = self.known_until_us
        if self._unreachable_until_us is not None:
            reached_us = max(reached_us, self._unreachable_until_us)
        notified_us = reached_us + self._notified_after_us
        if self._address_changed_us is None:
            return notified_us
        return max(notified_us, self._address_changed_us + NOTIFIED_AFTER_ADDRESS_CHANGE_US)

    def response_due_us(self) -> int:
        """Return by when the next response is due, in microseconds.

        Earlier than `notified_at_us` if an outage or repeated changes of the address have postponed that: an
        overloaded discovery is to serve those instances first that have waited longest.
        """
        due_us = self.known_until_us + (
            self._drain_grace_us if self._last_response_empty else NOTIFIED_AFTER_US
        )
        if self._address_changed_us is None:
            return due_us
        return min(due_us, self._address_changed_us + NOTIFIED_AFTER_ADDRESS_CHANGE_US)

    def breach_possible_since_us(self) -> int | None:
        """Return from when an attempt may go to an endpoint whose drain is considered notified.

        Returns a time in microseconds, with the drain grace included, or None while a watch is open. Only the
        next list shows whether there was such a drain.
        """
        return None if self.watch_open else self.notified_at_us() + self._drain_grace_us
