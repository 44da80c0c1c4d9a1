"""The calls of one sidecar to discovery: when the next one begins, and how fresh the list is meanwhile."""

from __future__ import annotations

import random

from corkdoor.interface import Actions
from corkdoor.model import Timer, WatchEventKind
from corkdoor.policy.discovery_backoff import Renewal
from corkdoor.policy.list_freshness import ListFreshness
from corkdoor.settings import Settings


class DiscoveryPolling:
    """Turns the watch on and off, by what became of the last call."""

    def __init__(self, settings: Settings, now: int, actions: Actions, rng: random.Random) -> None:
        self.actions = actions
        self.random = rng
        self.renewal = Renewal(settings, now)
        self.freshness = ListFreshness(settings, now)
        self.ask_at = -1  # when discovery is to be asked again; -1: it is being asked

    def configure(self, settings: Settings) -> None:
        """Go by other settings from here on."""
        self.renewal.configure(settings)
        self.freshness.configure(settings)

    def ask(self, now: int) -> None:
        """Begin a call."""
        self.ask_at = -1
        self.renewal.began = now
        self.actions.watch_discovery(True)

    def woken(self, now: int) -> None:
        """The timer went off; that of an earlier question sets off nothing."""
        if now >= self.ask_at >= 0:
            self.ask(now)

    def failed(self, now: int, form: WatchEventKind) -> None:
        """The call has failed; it may be told more than once."""
        if self.ask_at >= 0:
            return
        self.freshness.failed(now, form, now - self.renewal.began)
        # Drawn: guards against all copies asking again in step after discovery has turned them away.
        chance = self.random.random()
        self._ask_later(now, self.renewal.wait(now, form, chance, self.freshness.turn_due_us()))

    def told(self, now: int, bare: bool) -> None:
        """Discovery has answered; where others need its next turn more, the watch rests.

        Not where the answer is bare: it may stand in place of changes, which have to be asked for at once.
        """
        if not bare and not self.freshness.watching:
            self.renewal.answered(now)
        self.renewal.told(now)
        self.freshness.told(now, bare)
        rest = 0 if bare else self.renewal.rest(self.random)
        if rest:
            self.freshness.paused()
            self.actions.watch_discovery(False)
            self._ask_later(now, rest)

    def moved(self, now: int) -> None:
        """Discovery is at another address, and has not been asked there."""
        self.freshness.moved(now)
        wait = self.renewal.move(now)
        if wait:
            self._ask_later(now, wait)
        else:
            self.ask(now)

    def _ask_later(self, now: int, wait: int) -> None:
        self.ask_at = now + wait
        self.actions.start_timer(wait, Timer.DISCOVERY_POLL)
