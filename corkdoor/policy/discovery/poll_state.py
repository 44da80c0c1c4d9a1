"""The states of polling discovery, and the transitions between them."""

from __future__ import annotations

from enum import Enum

from corkdoor.state_machine import TransitionTable


class PollState(Enum):
    """What polling does now."""

    CALLING = "calling"  # a call is out: a poll, or the watch that follows an answer
    BACKING_OFF = "backing_off"  # the last call failed; a timer starts the next
    RESTING = "resting"  # discovery answered and is overloaded; a timer starts the next watch
    SETTLING = "settling"  # the address has changed several times; a timer starts the first call


POLL_TRANSITIONS = TransitionTable(
    "discovery_polling",
    {
        PollState.CALLING: frozenset(PollState),
        # A pushed list may arrive although no call is out.
        PollState.BACKING_OFF: frozenset((PollState.CALLING, PollState.RESTING, PollState.SETTLING)),
        PollState.RESTING: frozenset((PollState.CALLING, PollState.SETTLING)),
        PollState.SETTLING: frozenset((PollState.CALLING, PollState.SETTLING, PollState.RESTING)),
    },
)
