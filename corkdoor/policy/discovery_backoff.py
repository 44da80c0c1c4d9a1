"""When discovery is asked again: after a call that failed, and after an answer of a crowded one."""

from __future__ import annotations

import random

from corkdoor.model import DiscoveryMode, WatchEventKind
from corkdoor.settings import Settings

ASK_FIRST_US = 750_000  # slowest first wait before discovery is asked again, doubled up to
ASK_LONGEST_US = 3_500_000  # this, from the beginning of one call to that of the next
ASK_CROWDED_US = 5_500_000  # the same after a refusal: it tells that more is asked than can be answered
ASK_MOVED_US = 1_000_000  # after others while a new address has told nothing: that counts after 4 s, not 6
ASK_LEAST_US = 100_000  # pause after a call that took as long as that or longer
ASK_AT_ONCE = 2  # times that what was lost is asked for at once: 1 s later it counts as told
ASK_REFUSED_US = 220_000  # but so long at least after a refusal
REFUSED_AT_ONCE_US = 250_000  # a call refused within this has not waited for its turn

# Turns at a discovery with a full queue. A call that is turned away costs discovery as well: where many ask
# very often, it does nothing else.
YIELD_SLACK_US = 2_000_000  # with more time than this left a sidecar leaves the turn to others
TURN_WAITS_US = (200_000, 400_000)  # the mean wait is what the last answer took, within these
TURN_FIRST_US = 300_000  # where none is known
TURN_MOST_US = 1_000_000  # whatever it took, and however often it was refused
REFUSALS_USUAL = 12  # after more in a row the wait grows with them: more is asked than can be answered
REST_US = 3_000_000  # mean wait before the next watch, after an answer by a discovery that refused at once
REST_PART = 4  # but at most this part of the time for which the settings let a list stand
MOVE_SETTLES_US = 300_000  # so soon after a move a further one waits for the last of them


class Renewal:
    """When discovery is asked again after a call that failed: the one place that decides this.

    Rule 3: a change counts as told 6 s after discovery had it and could be reached. At worst a call has begun
    just before it could. Waits count from there, however long the call took to fail: the next begins 3.5 s
    after the return at the latest, with 2.5 s left to connect, wait in turn and be answered; after a refusal
    5.5 s, for copies that ask sooner, or in step, keep a discovery down that works through its calls in turn.
    That goes for a call that waited for its turn in vain.

    One that was turned away at once tells of a short queue: whoever calls just as it has room is served.
    Where all ask at one rate that is left to chance, and one in many is not served for many times the 6 s. So
    they ask by how long they have left: those that were told lately yield, also with the watch that would
    follow, and leave the turns to those that have waited longest. These ask about once in the time that a
    turn takes; more often, and the refusals alone keep discovery busy.
    """

    def __init__(self, settings: Settings, now: int) -> None:
        self.moves_at = now - MOVE_SETTLES_US  # until when a move counts as in a row with the next
        self.full = False  # since the last answer a call was turned away at once
        self.turn_us = TURN_FIRST_US
        self.configure(settings)
        self.told(now)

    def configure(self, settings: Settings) -> None:
        """Take what bounds the waits from settings."""
        rules = settings.lifecycle
        self.pushed = settings.discovery_mode is DiscoveryMode.PUSH
        # After a failed call what changes counts as told in four times this: before that it is asked.
        bound = max(ASK_FIRST_US, 3 * rules.poll_interval_us)
        if self.pushed:  # what it has at its return counts as told at once
            bound = 3 * rules.drain_grace_us // 8
        self.longest = min(ASK_LONGEST_US, bound)
        self.crowded = ASK_CROWDED_US if self.pushed else min(ASK_CROWDED_US, bound)
        self.rest_us = 0 if self.pushed else min(REST_US, rules.poll_interval_us // REST_PART)

    def told(self, now: int) -> None:
        """An answer has come; the watch goes on at once, but for a rest."""
        self.began = now  # when the last call began
        self.slowest = ASK_FIRST_US
        self.retrying = self.moved = False
        self.at_once = 0
        self.refusals = 0  # at once, in a row

    def rest(self, rng: random.Random) -> int:
        """How long the next watch waits after an answer: the place in a full queue is another's first."""
        full, self.full = self.full, False
        return int(self.rest_us * rng.uniform(0.75, 1.25)) if full else 0

    def move(self, now: int) -> int:
        """Discovery has moved; how long the first call waits: of moves in a row only the last is asked."""
        in_a_row = now < self.moves_at
        self.moves_at = now + MOVE_SETTLES_US
        self.told(now)
        self.retrying = self.moved = True
        return MOVE_SETTLES_US if in_a_row else 0

    def wait(self, now: int, form: WatchEventKind, chance: float, turn_due_us: int) -> int:
        """How long to wait after a failure.

        `chance` is drawn from 0..1; by `turn_due_us` an answer is wanted.
        """
        turned_away = form is WatchEventKind.REJECTED and now - self.began < REFUSED_AT_ONCE_US
        self.full |= turned_away
        if (form is WatchEventKind.LOST or self.at_once) and self.at_once < ASK_AT_ONCE:
            self.at_once += 1
            return int(ASK_REFUSED_US * (1 + 0.4 * chance)) if form is WatchEventKind.REJECTED else 0
        if turned_away:
            self.retrying, self.at_once = True, 0
            self.refusals += 1
            return min(self.crowded - (now - self.began), self._turn_wait(turn_due_us - now, chance))
        part, slowest = 0.5, min(self.slowest, self.longest, ASK_MOVED_US if self.moved else self.longest)
        if form is WatchEventKind.REJECTED:
            # Danger: hundreds that come back soon to a discovery which lets calls wait before it refuses them
            # all wait too long, and it answers nobody, however long it has been back.
            part, slowest = 0.75, min(self.crowded, ASK_CROWDED_US if self.retrying else ASK_LONGEST_US)
            slowest = min(slowest, self.slowest, ASK_CROWDED_US // 2) if self.moved else slowest
        drawn = part + (1 - part) * chance
        self.slowest = min(2 * self.slowest, ASK_LONGEST_US)
        spent = now - self.began if self.retrying or self.at_once else 0
        self.retrying, self.at_once = True, 0
        return max(int(slowest * drawn) - spent, int(ASK_LEAST_US * drawn))

    def answered(self, now: int) -> None:
        """An answer has come that had not to wait for news: it tells what a turn takes."""
        least, most = TURN_WAITS_US
        self.turn_us = max(least, min(now - self.began, most))

    def _turn_wait(self, slack_us: int, chance: float) -> int:
        """The wait at a full queue with so much time left."""
        yields_us = 0 if self.pushed else slack_us - YIELD_SLACK_US  # pushed lists count at once
        mean_us = min(TURN_MOST_US, self.turn_us * max(1.0, self.refusals / REFUSALS_USUAL))
        return max(0, yields_us) + int(mean_us * (0.5 + chance))
