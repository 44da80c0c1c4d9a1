"""Why the sidecar closed a client's connection."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """The values name the counters."""

    AFTER_RESPONSE = "after_response"  # the response said so
    AFTER_LAST_INPUT = "after_last_input"  # input had ended, and the client had time to read
    CLIENT_LEFT = "client_left"  # it left while reading was paused
    EVICTED = "evicted"  # to make room for another client
    IDLE = "idle"
    NO_REQUEST = "no_request"  # no valid request came in time
    RESPONSES_UNREAD = "responses_unread"
    SHUTDOWN = "shutdown"

    @property
    def counter(self) -> str:
        """The name of the counter of connections that were closed for this reason."""
        return f"closed_{self.value}"
