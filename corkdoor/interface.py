"""The interface between the balancer and its host.

A host (the sidecar, or the simulator's adapter) makes one `Balancer` for each instance, calls its event
methods in order of arrival, and carries out the actions that the balancer calls meanwhile. Times are integer
microseconds on any clock that only moves forward.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from corkdoor.load_report import LoadReport
from corkdoor.model import Endpoint, Outcome, Timer, WatchEventKind
from corkdoor.settings import Settings


class Actions(Protocol):
    """What the balancer has its host do; each action takes effect at once."""

    def send_attempt(self, request_id: str, endpoint_id: str) -> None:
        """Send an attempt; it times out when the request is due."""

    def cancel_attempt(self, request_id: str, attempt: int) -> None:
        """Stop waiting for one attempt."""

    def reject_request(self, request_id: str, retry_after_us: int | None) -> None:
        """Final answer: rejected with a promise of no effect; without Retry-After where that is None."""

    def fail_request(self, request_id: str) -> None:
        """Final answer: failed, and the request may have run."""

    def start_timer(self, delay_us: int, timer: Timer) -> None:
        """Call `on_timer` with this timer after the delay."""

    def watch_discovery(self, enabled: bool, poll_first: bool = False) -> None:
        """Open a watch on the endpoint list, or close it.

        Args:
            enabled: whether to open one. That gives up a call that is still out at an older address.
            poll_first: whether the first call is a poll, answered at once; at a new address it always is.
        """

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Close this instance's idle connections to the endpoint."""

    def log_event(self, event: str, /, **fields: object) -> None:
        """Write one line to the log: an event of docs/EVENTS.md and its fields."""


class Events(Protocol):
    """What a host notifies the balancer of, in order of arrival."""

    def start(self, now_us: int) -> None:
        """Comes first, once."""

    def reconfigure(self, now_us: int, settings: Settings) -> None:
        """Put other settings in force; ValueError, with nothing changed, for one that can't change."""

    def on_watch_event(self, now_us: int, kind: WatchEventKind, endpoints: Sequence[Endpoint]) -> None:
        """Discovery, or a call to it, brought something."""

    def on_discovery_address_changed(self, now_us: int) -> None:
        """Discovery has another address and has not been called there."""

    def on_request(
        self,
        now_us: int,
        request_id: str,
        class_name: str,
        tenant: str | None,
        timeout_us: int,
        cost_hint_us: int | None,
    ) -> None:
        """A request came in; exactly one final answer is owed for it.

        The client waits for `timeout_us` more, and expects a processing time of `cost_hint_us`, where it
        states one.
        """

    def on_response_start(self, now_us: int, request_id: str, attempt: int) -> None:
        """The answer of a streaming class has begun: the request is answered by this attempt."""

    def on_attempt_end(
        self,
        now_us: int,
        request_id: str,
        attempt: int,
        endpoint_id: str,
        elapsed_us: int,
        request_closed: bool,
        outcome: Outcome,
        load: LoadReport | None = None,
    ) -> None:
        """An attempt ended, `elapsed_us` after its sending.

        `request_closed` says that the request is answered or cancelled by now. `load` is the endpoint's load
        report, where the answer carried one.
        """

    def on_request_cancelled(self, now_us: int, request_id: str) -> None:
        """The client has left, or the host has answered in the balancer's place."""

    def on_timer(self, now_us: int, timer: Timer) -> None:
        """A timer came due."""
