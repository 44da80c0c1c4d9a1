"""What is simulated, and what it brought; times in microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

MS = 1_000  # microseconds
S = 1_000_000
LATENCY_US = 10 * MS  # from a sidecar to discovery, and the same back
NOTIFIED_AFTER_US = 6 * S  # a sidecar counts as notified so long after the change
MOVED_AFTER_US = 4 * S  # and not before so long after a reload that moves discovery
LOST_AFTER_US = 2 * S  # and not before so long after a watch whose response was lost was to end
DRAIN_GRACE_US = 1_500 * MS
POLL_INTERVAL_US = 10 * S
OLD_ADDRESS_US = 1_500 * MS  # after a move the old address closes its connections


@dataclass(frozen=True, slots=True)
class OverloadScenario:
    """How many sidecars poll, what a poll costs, and what befalls the polls.

    Raises:
        ValueError: no sidecars, no cost, or a lost share that leaves no responses.
    """

    sidecars: int
    cost_us: int
    capacity: int = 1  # polls that may wait behind the one that is served; more are rejected at once
    lost_share: float = 0.0  # of responses, on their way
    rejection_cost_share: float = (
        0.05  # of a poll's cost, that rejecting one costs: measured (docs/incidents)
    )
    moves: int = 3  # reloads of each sidecar that move discovery, in a row
    moves_within_us: int = 3 * S
    move_interval_us: int | None = None  # mean time between further moves of one sidecar; None: no more
    change_interval_us: int = 4 * S  # mean
    length_us: int = 60 * S
    seed: int = 1
    queue_limit_us: int | None = None  # a poll that has waited so long is rejected; None: it waits on
    skips_abandoned: bool = False  # whether polls whose sidecar has hung up are not served

    def __post_init__(self) -> None:
        legal = self.sidecars >= 1 and self.cost_us >= 1 and self.capacity >= 0
        if not legal or not 0 <= self.lost_share < 1:
            raise ValueError(
                "a scenario needs sidecars, a cost above 0, a capacity from 0 and a lost share below 1"
            )


class SimulatedPoll(NamedTuple):
    """A poll as discovery has it."""

    sidecar: int
    serial: int  # tells whether the sidecar still waits for it
    after: int | None  # the generation that the sidecar has; None: it polls for the full list
    wait_us: int
    sent_us: int
    follows_response: bool  # and not a failure


@dataclass(slots=True)
class OverloadResult:
    """What a simulation brought."""

    delays_us: list[int] = field(default_factory=list)  # until each sidecar knew each change
    late: int = 0  # of them: later than when the sidecar counts as notified, and the grace
    polls: int = 0
    rejected: int = 0
