"""Writes the balancer's actions as lines of the simulator's wire."""

from __future__ import annotations

from corkdoor.log_events import LogEvent
from corkdoor.model import Timer

UNTIL_DEADLINE = 0  # in place of an attempt's own timeout
NO_RETRY_AFTER = 0


class ActionWriter:
    """The actions of one instance, appended to the reply of the batch.

    Args:
        instance: the instance's name.
        lines: the reply.
    """

    __slots__ = ("instance", "lines")

    def __init__(self, instance: str, lines: list[str]) -> None:
        self.instance = instance
        self.lines = lines

    def send_attempt(self, request_id: str, endpoint_id: str) -> None:
        """Send an attempt."""
        self.lines.append(f"hand_off {self.instance} {request_id} {endpoint_id} {UNTIL_DEADLINE}")

    def cancel_attempt(self, request_id: str, attempt: int) -> None:
        """Cancel an attempt."""
        self.lines.append(f"cancel {self.instance} {request_id} {attempt}")

    def reject_request(self, request_id: str, retry_after_us: int | None) -> None:
        """Reject a request."""
        self.lines.append(f"shed {self.instance} {request_id} {retry_after_us or NO_RETRY_AFTER}")

    def fail_request(self, request_id: str) -> None:
        """Fail a request."""
        self.lines.append(f"surrender {self.instance} {request_id}")

    def start_timer(self, delay_us: int, timer: Timer) -> None:
        """Start a timer."""
        self.lines.append(f"timer {self.instance} {delay_us} {timer.value}")

    def watch_discovery(self, enabled: bool, poll_first: bool = False) -> None:
        """Open or close the watch on the endpoint list."""
        del poll_first  # the wire has one form for both
        self.lines.append(f"tail {self.instance} {int(enabled)}")

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Close the idle connections to an endpoint."""
        self.lines.append(f"disconnect {self.instance} {endpoint_id}")

    def log_event(self, event: str, /, **fields: object) -> None:
        """Write an event to the log."""
        self.lines.append(f"write_log {self.instance} {LogEvent(event, **fields)}")
