"""Writes the balancer's actions as lines of the simulator's protocol."""

from __future__ import annotations

from corkdoor.log_events import LogEvent
from corkdoor.model import Timer

NO_ATTEMPT_TIMEOUT = 0  # the attempt has no timeout of its own: it may last until the request's deadline
NO_RETRY_AFTER = 0  # the rejection carries no Retry-After


class ActionWriter:
    """Appends the actions of one instance to the output for the current batch.

    Args:
        instance: the instance's name.
        lines: the output lines.
    """

    __slots__ = ("instance", "lines")

    def __init__(self, instance: str, lines: list[str]) -> None:
        self.instance = instance
        self.lines = lines

    def send_attempt(self, request_id: str, endpoint_id: str) -> None:
        """Send an attempt."""
        self.lines.append(f"hand_off {self.instance} {request_id} {endpoint_id} {NO_ATTEMPT_TIMEOUT}")

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
        del poll_first  # the protocol has the same message for a poll and a watch
        self.lines.append(f"tail {self.instance} {int(enabled)}")

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Close the idle connections to an endpoint."""
        self.lines.append(f"disconnect {self.instance} {endpoint_id}")

    def log_event(self, event: str, /, **fields: object) -> None:
        """Write an event to the log."""
        self.lines.append(f"write_log {self.instance} {LogEvent(event, **fields)}")
