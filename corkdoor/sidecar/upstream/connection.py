"""One HTTP/1.1 connection to an endpoint, or to discovery."""

from __future__ import annotations

import logging
from typing import Protocol

from corkdoor.log_events import LogEvent
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.memory_budget import MemoryBudget, MemoryReservation
from corkdoor.sidecar.transport.stream import StreamTransport
from corkdoor.sidecar.upstream.connection_state import (
    AWAITING_RESPONSE,
    CLOSED,
    CONNECTION_STATES,
    IDLE,
    REQUEST_SENT,
    SENDING,
    STATE_AFTER_DATA,
    STATE_AFTER_SEND,
    ConnectionState,
)
from corkdoor.sidecar.upstream.errors import ResponseError
from corkdoor.sidecar.upstream.response import Response
from corkdoor.sidecar.upstream.response_reader import MAX_BODY_BYTES, ResponseReader

log = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """The opener of a connection; it is notified of responses and of the end of the connection."""

    def on_response(self, connection: Connection, response: Response, reusable: bool) -> None:
        """A response is complete. A connection that is not `reusable` has already been closed."""

    def on_lost(self, connection: Connection, last_state: ConnectionState) -> None:
        """The connection ended in `last_state`, either by the peer or because of invalid or missing input."""


class Connection:
    """One HTTP/1.1 connection that carries one exchange at a time.

    A response that can't be parsed ends both the exchange and the connection, because it is unknown which
    exchange the bytes that follow belong to.

    Args:
        owner: notified of the response, or of the end of the connection.
        budget: limits the memory of incomplete responses and unsent requests on all connections.
        max_body_bytes: the maximum size of one response body.

    Attributes:
        state: the state of the exchange.
        idle_since_us: when the last exchange ended, or when the connection was created.
        last_data_us: when the latest bytes of an incomplete response arrived; None: no response has begun.
    """

    __slots__ = ("_output", "_reader", "idle_since_us", "last_data_us", "owner", "state", "transport")

    def __init__(
        self, owner: ConnectionOwner, budget: MemoryBudget, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self.owner = owner
        self.state: ConnectionState = IDLE
        self.idle_since_us = now_us()
        self.last_data_us: int | None = None
        self._output = MemoryReservation(budget)  # the part of the request that the kernel has not accepted
        self._reader = ResponseReader(budget, max_body_bytes)

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self.state is CLOSED

    def is_stale(self) -> bool:
        """Whether an idle connection is closed or has input: its end, or bytes outside of an exchange.

        Guards against writing a request that is not idempotent to a connection whose end the event
        loop has not reported yet.
        """
        return self.state is CLOSED or self.transport.has_input()

    def stalled_since(self, time_us: int) -> bool:
        """Whether a response has begun but none of its bytes have arrived since `time_us`."""
        return self.last_data_us is not None and self.last_data_us < time_us

    def send(self, data: bytes) -> None:
        """Begin an exchange by sending a complete request."""
        self.state = CONNECTION_STATES.check(self.state, AWAITING_RESPONSE)
        self.transport.write(data)

    def close(self) -> None:
        """Close the connection; whatever still arrives on it is dropped, and the owner is not notified."""
        if self.state is CLOSED:
            return
        self.state = CONNECTION_STATES.check(self.state, CLOSED)
        self.transport.abort()
        self._output.release()

    def abandon(self, reason: str) -> None:
        """Close the connection because its input is invalid or missing, and notify the owner."""
        log.info(LogEvent("response_abandoned", reason=reason))
        last_state = self.state
        self.close()
        self.owner.on_lost(self, last_state)

    def _complete(self, response: Response) -> None:
        reusable = self._reader.keep_alive and self.state in REQUEST_SENT
        self._reader.reset()
        self.last_data_us = None
        if reusable:
            self.state = CONNECTION_STATES.check(self.state, IDLE)
        else:
            self.close()
        self.owner.on_response(self, response, reusable)

    # --- callbacks of the transport ---

    def connection_made(self, transport: StreamTransport) -> None:
        """The connection is established."""
        self.transport = transport
        # With a limit of 0, `pause_writing` is called whenever the kernel has not accepted all of a request.
        transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """The kernel has not accepted all of the request."""
        self.state = CONNECTION_STATES.check(self.state, SENDING)
        self._output.resize(self.transport.buffered_bytes())

    def resume_writing(self) -> None:
        """The kernel has accepted the rest of the request."""
        self._output.release()
        self.state = CONNECTION_STATES.check(self.state, STATE_AFTER_SEND.get(self.state, AWAITING_RESPONSE))

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        state = self.state
        if state is CLOSED:
            return
        if state is IDLE:
            self.abandon("bytes outside of an exchange")
            return
        self.last_data_us = now_us()
        if state in STATE_AFTER_DATA:
            self.state = CONNECTION_STATES.check(state, STATE_AFTER_DATA[state])
        try:
            response = self._reader.feed(data)
        except ResponseError as error:
            self.abandon(str(error))
            return
        if response is not None:
            self._complete(response)

    def eof_received(self) -> bool:
        """The peer has closed its side, without a reset: this completes a response that states no length."""
        if self.state is not CLOSED:
            response = self._reader.feed_eof()
            if response is not None:
                self._complete(response)
        return False

    def connection_lost(self, _exc: Exception | None) -> None:
        """The connection has ended."""
        last_state = self.state
        self._output.release()
        self._reader.close()
        self.last_data_us = None
        if last_state is not CLOSED:
            self.state = CONNECTION_STATES.check(self.state, CLOSED)
            self.owner.on_lost(self, last_state)
