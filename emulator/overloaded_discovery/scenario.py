"""The parameters of a simulation and its results; times in microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

MS = 1_000  # microseconds
S = 1_000_000  # microseconds
ONE_WAY_LATENCY_US = 10 * MS  # of the network between a sidecar and discovery
# Time from a change of the list until it is considered notified.
NOTIFIED_AFTER_US = 6 * S
# Least time from a change of discovery's address until a change of the list is considered notified.
NOTIFIED_AFTER_ADDRESS_CHANGE_US = 4 * S
# Least time from the end of a watch whose response was lost until a change is considered notified.
NOTIFIED_AFTER_LOST_WATCH_US = 2 * S
DRAIN_GRACE_US = 1_500 * MS
POLL_INTERVAL_US = 10 * S
# Time from a change of the address until the old address closes its connections.
OLD_ADDRESS_CLOSE_DELAY_US = 1_500 * MS


@dataclass(frozen=True, slots=True)
class OverloadScenario:
    """How many sidecars poll, how discovery serves their polls, and how often its address and list change.

    Raises:
        ValueError: there are no sidecars, a poll takes no time, or all responses are lost.
    """

    sidecars: int
    service_time_us: int  # how long discovery needs for one poll
    # Polls that may wait behind the one that is being served; further polls are rejected at once.
    capacity: int = 1
    lost_share: float = 0.0  # share of responses that are lost on the network
    # Time that discovery needs to reject a poll, relative to the service time (docs/incidents).
    rejection_time_share: float = 0.05
    # Reloads that give a sidecar another address of discovery come in groups of this size.
    address_changes: int = 3
    address_changes_within_us: int = 3 * S  # the first group of each sidecar is spread over this time
    # Mean time between later groups of such reloads at one sidecar; None: there are none.
    address_change_interval_us: int | None = None
    list_change_interval_us: int = 4 * S  # mean time between two changes of the list
    duration_us: int = 60 * S
    seed: int = 1
    # Time in the queue after which a poll is rejected; None: polls wait without a limit.
    queue_limit_us: int | None = None
    skips_abandoned: bool = False  # whether discovery skips queued polls whose sidecar has disconnected

    def __post_init__(self) -> None:
        legal = self.sidecars >= 1 and self.service_time_us >= 1 and self.capacity >= 0
        if not legal or not 0 <= self.lost_share < 1:
            raise ValueError(
                "a scenario needs at least 1 sidecar, a service time above 0, a capacity of at least 0"
                " and a lost share from 0 to below 1"
            )


class SimulatedPoll(NamedTuple):
    """A poll as discovery receives it."""

    sidecar: int
    serial: int  # identifies the poll: its sidecar ignores responses to polls that it has given up
    after: int | None  # the generation of the sidecar's list; None: the sidecar polls for the full list
    wait_us: int  # how long the poll lets discovery wait for a change
    sent_us: int
    follows_response: bool  # whether the sidecar's last poll got a response; False after a failure


@dataclass(slots=True)
class OverloadResult:
    """The results of a simulation."""

    # For each change and each sidecar: the time until the sidecar applied the change.
    delays_us: list[int] = field(default_factory=list)
    late: int = 0  # delays that end after the change is considered notified and the drain grace is over
    polls: int = 0
    rejected: int = 0
