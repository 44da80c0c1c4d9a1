"""The reasons for which the sidecar closes client connections."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why a connection was closed; counters are named after the values."""

    AFTER_RESPONSE = "after_response"  # the response announced the close
    AFTER_LAST_INPUT = "after_last_input"  # input had ended, and the client had time to read its responses
    CLIENT_LEFT = "client_left"  # the client disconnected while reading was paused
    EVICTED = "evicted"  # closed to make room for another client
    IDLE = "idle"
    NO_REQUEST = "no_request"  # no valid request arrived in time
    RESPONSES_UNREAD = "responses_unread"
    SHUTDOWN = "shutdown"

    @property
    def counter(self) -> str:
        """The name of the counter of connections closed for this reason."""
        return f"closed_{self.value}"
