"""The states of polling discovery, and the transitions between them."""

from __future__ import annotations

from enum import Enum

from corkdoor.state_machine import TransitionTable


class PollState(Enum):
    """The state of polling."""

    CALLING = "calling"  # a call is in flight: a poll, or the watch that follows a response
    BACKING_OFF = "backing_off"  # the last call failed; a timer starts the next one
    RESTING = "resting"  # discovery responded and is overloaded; a timer starts the next call
    SETTLING = "settling"  # the address has changed; a timer starts the first call at the new one


POLL_TRANSITIONS = TransitionTable(
    "discovery_polling",
    {
        PollState.CALLING: frozenset(PollState),
        # A pushed list may arrive although no call is in flight.
        PollState.BACKING_OFF: frozenset((PollState.CALLING, PollState.RESTING, PollState.SETTLING)),
        PollState.RESTING: frozenset((PollState.CALLING, PollState.SETTLING)),
        PollState.SETTLING: frozenset((PollState.CALLING, PollState.SETTLING, PollState.RESTING)),
    },
)
