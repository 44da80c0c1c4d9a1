"""The messages of the simulator, as typed values; times are integer microseconds."""

from __future__ import annotations

from typing import NamedTuple

from corkdoor.load_report import LoadReport
from corkdoor.model import Outcome, Timer, WatchEventKind
from corkdoor.settings import Settings


class InstanceStarted(NamedTuple):
    """An instance starts, with the seed of its random draws."""

    instance: str
    seed: int
    settings: Settings


class InstanceStopped(NamedTuple):
    """An instance stops; its state is discarded."""

    instance: str


class RequestReceived(NamedTuple):
    """A request arrived; `cost_hint_us` is None if its client states no cost."""

    instance: str
    request_id: str
    class_name: str
    tenant: str | None
    timeout_us: int
    cost_hint_us: int | None


class RequestCancelled(NamedTuple):
    """The client of a request has left."""

    instance: str
    request_id: str


class ResponseStarted(NamedTuple):
    """The response to a request of a streaming class has begun."""

    instance: str
    request_id: str
    attempt: int


class AttemptEnded(NamedTuple):
    """An attempt ended, `elapsed_us` after it was sent."""

    instance: str
    request_id: str
    attempt: int
    endpoint_id: str
    elapsed_us: int
    request_closed: bool
    outcome: Outcome
    load: LoadReport | None


class TimerExpired(NamedTuple):
    """A timer expired; `timer` is None if the message names an unknown timer, and nothing is done then."""

    instance: str
    timer: Timer | None


class EndpointPage(NamedTuple):
    """A page of endpoints; `row_count` rows follow."""

    number: int
    row_count: int


class WatchEvent(NamedTuple):
    """Discovery sent the endpoints of a page, or a call to it failed, in which case `page` is None."""

    instance: str
    kind: WatchEventKind
    page: int | None


class HealthChecked(NamedTuple):
    """A health check ended."""

    instance: str


class PeerMessage(NamedTuple):
    """Another instance sent a message."""

    instance: str


Message = (
    InstanceStarted
    | InstanceStopped
    | RequestReceived
    | RequestCancelled
    | ResponseStarted
    | AttemptEnded
    | TimerExpired
    | EndpointPage
    | WatchEvent
    | HealthChecked
    | PeerMessage
)
