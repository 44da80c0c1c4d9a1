"""Limits on how long clients may take, and how long their connections may stay unused."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from corkdoor.sidecar.clients.close_reason import CloseReason
from corkdoor.sidecar.clients.errors import HTTPError

if TYPE_CHECKING:
    from corkdoor.sidecar.clients.connection import ClientConnection


@dataclass(frozen=True, slots=True)
class ClientTimeouts:
    """The time limits on a client connection.

    Attributes:
        first_request_s: maximum time from connecting to the first complete request, in seconds. An error or a
            close is required within 3 s.
        stalled_request_s: maximum time without input in the middle of a later request, in seconds.
        idle_s: maximum time between requests, in seconds. Without this limit, connections of clients that
            never send another request would accumulate.
        evictable_idle_s: time between requests after which a connection may be closed to make room for a new
            one, in seconds.
        linger_s: time for which input is still read after a response that the client may not expect yet, in
            seconds.
        check_interval_s: time between two checks of the connections, in seconds.
    """

    first_request_s: float = 2.6
    stalled_request_s: float = 2.6
    idle_s: float = 5.0
    evictable_idle_s: float = 2.0
    linger_s: float = 1.0
    check_interval_s: float = 0.1

    def check(self, connection: ClientConnection, longest_deadline_s: float, now_us: int) -> None:
        """Close a connection whose client has disconnected or exceeds a time limit.

        Args:
            connection: the connection.
            longest_deadline_s: the longest deadline of any request class, in seconds.
            now_us: the current time, in microseconds.
        """
        if (
            connection.is_reading_paused
            and not connection.has_input_ended
            and connection.check_disconnected()
        ):
            # While reading is paused, the event loop does not see the end of input, and the backlog would be
            # served although the client has disconnected.
            connection.drop_requests()
            connection.close(CloseReason.CLIENT_LEFT)
        phase_s = (now_us - connection.phase_started_us) / 1e6
        if connection.is_output_blocked and connection.current_request is None and phase_s > self.idle_s:
            connection.close(CloseReason.RESPONSES_UNREAD, abort=True)
        elif connection.current_request is not None or connection.has_backlog:
            return
        elif connection.has_input_ended:
            if phase_s > self.linger_s:
                connection.close(CloseReason.AFTER_LAST_INPUT, abort=True)
        elif connection.is_receiving:
            if self._is_request_too_slow(connection, phase_s, longest_deadline_s, now_us):
                error = HTTPError(HTTPStatus.REQUEST_TIMEOUT, "the request did not come whole")
                connection.reject_input(error)
        else:
            self._close_unused(connection, phase_s)

    def _is_request_too_slow(
        self, connection: ClientConnection, phase_s: float, longest_deadline_s: float, now_us: int
    ) -> bool:
        """Whether the client takes too long to send its current request.

        A request's deadline counts from its last byte, so an established client may write slowly, but for no
        longer than any client would wait for a response.
        """
        if connection.is_new:
            return phase_s > self.first_request_s
        is_silent = (now_us - connection.input_read_us) / 1e6 > self.stalled_request_s
        is_stalled = is_silent and not connection.is_reading_paused and not connection.has_unread_input()
        return is_stalled or phase_s > max(self.first_request_s, longest_deadline_s)

    def _close_unused(self, connection: ClientConnection, phase_s: float) -> None:
        limit_s = self.first_request_s if connection.is_new else self.idle_s
        if phase_s > limit_s and not connection.has_unread_input():
            connection.close(CloseReason.NO_REQUEST if connection.is_new else CloseReason.IDLE, abort=True)
