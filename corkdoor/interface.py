"""The interface between the balancer and its host.

A host (the sidecar, or the simulator's adapter) creates one `Balancer` for each instance. It calls the event
methods in the order in which the events arrive, and carries out the actions that the balancer calls in turn.
Times are integer microseconds on any monotonic clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from corkdoor.load_report import LoadReport
from corkdoor.model import Endpoint, Outcome, Timer, WatchEventKind
from corkdoor.settings import Settings


class Actions(Protocol):
    """The actions that the balancer requests from its host; each takes effect immediately."""

    def send_attempt(self, request_id: str, endpoint_id: str) -> None:
        """Send an attempt; it times out at the request's deadline."""

    def cancel_attempt(self, request_id: str, attempt: int) -> None:
        """Stop waiting for the response to one attempt."""

    def reject_request(self, request_id: str, retry_after_us: int | None) -> None:
        """Send the final response: rejected, with the guarantee that the request had no effect.

        If `retry_after_us` is None, the response carries no Retry-After.
        """

    def fail_request(self, request_id: str) -> None:
        """Send the final response: failed; the request may have run."""

    def start_timer(self, delay_us: int, timer: Timer) -> None:
        """Call `on_timer` with this timer after the delay."""

    def watch_discovery(self, enabled: bool, poll_first: bool = False) -> None:
        """Open or close the watch on the endpoint list.

        Args:
            enabled: whether to open the watch. Opening it abandons a call that is still in flight to an
                older address.
            poll_first: whether the first call is a poll, to which discovery responds at once. The first call
                to a new address is always a poll.
        """

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Close this instance's idle connections to the endpoint."""

    def log_event(self, event: str, /, **fields: object) -> None:
        """Log one event of docs/EVENTS.md, with its fields."""


class Events(Protocol):
    """The events of which a host notifies the balancer, in order of arrival."""

    def start(self, now_us: int) -> None:
        """Start the instance; called once, before all other events except `reconfigure`."""

    def reconfigure(self, now_us: int, settings: Settings) -> None:
        """Apply new settings.

        Raises:
            ValueError: a setting differs that can't change at run time. In this case no setting changes.
        """

    def on_watch_event(self, now_us: int, kind: WatchEventKind, endpoints: Sequence[Endpoint]) -> None:
        """Process the result of a call to discovery, or a list from another source, as `kind` says."""

    def on_discovery_address_changed(self, now_us: int) -> None:
        """Process a change of discovery's address; no call has been sent to the new address yet."""

    def on_request(
        self,
        now_us: int,
        request_id: str,
        class_name: str,
        tenant: str | None,
        timeout_us: int,
        cost_hint_us: int | None,
    ) -> None:
        """Process an arriving request; the client must get exactly one final response to it.

        The client waits for another `timeout_us`. `cost_hint_us` is the processing time that the client
        expects, or None if it states none.
        """

    def on_response_start(self, now_us: int, request_id: str, attempt: int) -> None:
        """Process the start of a streaming class's response: this attempt responds to the request."""

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
        """Process the end of an attempt, `elapsed_us` after it was sent.

        `request_closed` is true if the client has its final response or the request was cancelled. `load` is
        the endpoint's load report, or None if the response carried none.
        """

    def on_request_cancelled(self, now_us: int, request_id: str) -> None:
        """Process a request whose client has left, or to which the host has responded itself."""

    def on_timer(self, now_us: int, timer: Timer) -> None:
        """Process a timer that has expired."""
