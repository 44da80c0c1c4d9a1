"""A client connection; its requests are served one at a time, in order."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING

from corkdoor.log_events import LogEvent
from corkdoor.sidecar.clients.backlog import DiscardedRequest, IncomingRequest
from corkdoor.sidecar.clients.close_reason import CloseReason
from corkdoor.sidecar.clients.errors import HTTPError
from corkdoor.sidecar.clients.request_input import MAX_UNREAD_US, NO_MEMORY, RequestInput
from corkdoor.sidecar.clients.responses import encode_response
from corkdoor.sidecar.clients.states import CLIENT_TRANSITIONS, OUTPUT_TRANSITIONS, ClientState, OutputState
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.invariants import Invariant
from corkdoor.sidecar.proxied_request import ProxiedRequest
from corkdoor.sidecar.request_registry import NO_MEMORY_RETRY_AFTER_S
from corkdoor.sidecar.transport.stream import StreamTransport

if TYPE_CHECKING:
    from corkdoor.sidecar.clients.server import Server

NEW, ESTABLISHED = ClientState  # module-level names: looking up enum members is slow
FLOWING, BLOCKED = OutputState
log = logging.getLogger(__name__)


class ClientConnection:
    """Reads requests, has each of them served, and writes the responses.

    Args:
        server: the server that accepted the connection.
    """

    __slots__ = (
        "_client_state",
        "_input",
        "_keep_alive",
        "_output_state",
        "_responded_us",
        "_server",
        "current_request",
        "phase_started_us",
        "request_id",
        "transport",
    )

    def __init__(self, server: Server) -> None:
        self.current_request: ProxiedRequest | None = None  # the request that is being served
        # The time of the latest of these events: the client connected, began a request, became idle, stopped
        # reading its responses or disconnected, or the last response before a close was written.
        self.phase_started_us = now_us()
        self.request_id = b""  # the id that the client gave the current or last request
        self._server = server
        self._keep_alive = True  # whether the connection may stay open after the current request
        self._client_state = NEW
        self._output_state = FLOWING
        self._responded_us = 0  # when the last response was written that had input behind its request
        self._input = RequestInput(self, server.budget, server.discard_quota)

    # Methods of `StreamProtocol`, which the transport calls.

    def connection_made(self, transport: StreamTransport) -> None:
        """Register the connection; one is evicted if there are too many."""
        self.transport = transport
        self._input.attach(transport)
        self._server.clients.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse input, and serve the next request if none is being served."""
        if self._input.has_ended:
            return
        self._input.receive(data)
        self._serve_next()
        self.update_memory()

    def eof_received(self) -> bool:
        """Treat the client as disconnected at once.

        `connection_lost` is called only after all buffered output is sent, which takes as long as the client
        does not read its responses.
        """
        self.drop_requests()
        return False

    def pause_writing(self) -> None:
        """Serve no request until the buffered responses are sent, so that unread ones don't accumulate."""
        self._set_output_state(BLOCKED)
        self.phase_started_us = now_us()
        self._input.pause()

    def resume_writing(self) -> None:
        """Continue to serve requests, but not within this call."""
        self._set_output_state(FLOWING)
        asyncio.get_running_loop().call_soon(self._resume)

    def connection_lost(self, _error: Exception | None) -> None:
        """Drop all requests, and release the resources of the connection."""
        self.drop_requests()
        self._server.clients.remove(self)
        self._input.close()

    # State of the connection.

    @property
    def is_busy(self) -> bool:
        """Whether a request is being served, is waiting, or is incomplete."""
        return self.current_request is not None or self.is_receiving or self.has_backlog

    @property
    def is_receiving(self) -> bool:
        """Whether the last request has been received only in part."""
        return self._input.is_receiving

    @property
    def is_new(self) -> bool:
        """Whether the client has made no valid request."""
        return self._client_state is NEW

    @property
    def is_reading_paused(self) -> bool:
        """Whether reading is paused."""
        return self._input.is_paused

    @property
    def is_output_blocked(self) -> bool:
        """Whether too much output is buffered because the client does not read its responses."""
        return self._output_state is BLOCKED

    @property
    def holds_memory(self) -> bool:
        """Whether any of the memory budget is reserved for input or output."""
        return self._input.holds_memory

    @property
    def has_input_ended(self) -> bool:
        """Whether no further input is parsed."""
        return self._input.has_ended

    @property
    def input_read_us(self) -> int:
        """When input was last read."""
        return self._input.read_us

    @property
    def has_backlog(self) -> bool:
        """Whether any input that was read waits behind the request that is being served."""
        return self._input.has_backlog

    @property
    def waiting_requests(self) -> int:
        """The number of complete requests that wait behind the one that is being served."""
        return self._input.waiting_requests

    def has_unread_input(self) -> bool:
        """Whether input waits in the kernel.

        It may be a request, which would fail if the connection were closed now.
        """
        return self.transport.has_input()

    def has_disconnected(self) -> bool:
        """Whether the kernel has received the client's close, half-close or reset, even after unread input.

        The event loop reports it later: after other events, and not at all while reading is paused. Called
        before an attempt is sent; unread input that may hide the close is read then.
        """
        if self.transport.peer_closed():
            return True
        if not self._input.may_hide_disconnect():
            return False
        # A client that has closed its connection would have reset it on receiving a response.
        self._input.read_on(may_discard=now_us() - self._responded_us > MAX_UNREAD_US)
        return self.transport.peer_closed()

    def check_disconnected(self) -> bool:
        """Whether the client has disconnected; called repeatedly while reading is paused.

        Input that may hide the close is read on within the memory budget, and none is discarded: so much may
        be sent that parsing it would take the time of other clients.
        """
        is_served = self.current_request is not None or self.has_backlog
        if is_served and self._input.may_hide_disconnect():
            self._input.read_on(may_discard=False)
        return self.transport.peer_closed()

    def may_have_disconnected(self) -> bool:
        """Whether input that is not read may hide the client's close."""
        return self._input.may_hide_disconnect()

    def label(self) -> str:
        """Return the name of the current request in the log."""
        return self.request_id.decode("latin-1")

    # Requests.

    def on_request_begin(self) -> None:
        """Record that a request begins; the time limit of the first one counts from connecting."""
        if self._client_state is ESTABLISHED:
            self.phase_started_us = now_us()
        self._server.clients.set_busy(self)

    def update_memory(self) -> None:
        """Reserve the memory that the input takes now, and the output that the client has not read."""
        self._input.update_memory()

    def _serve_next(self) -> None:
        if self.current_request is None and self._output_state is FLOWING:
            incoming = self._input.take_request()
            if isinstance(incoming, IncomingRequest):
                self._serve(incoming)
            elif isinstance(incoming, DiscardedRequest):
                self._keep_alive = incoming.keep_alive
                self._respond_unavailable(NO_MEMORY)
            elif incoming is not None:
                self.reject(incoming)
        self._input.pause_if_behind()

    def _serve(self, incoming: IncomingRequest) -> None:
        self._keep_alive = incoming.keep_alive
        try:
            request = self._server.admit(self, incoming)
        except HTTPError as error:
            self.reject(error)
            return
        except Exception:
            # The request was not forwarded, but 503 would promise that it is safe to send again, which is
            # unknown for a request that could not be read.
            log.exception(LogEvent("request_admission_failed"))
            self.respond(HTTPStatus.INTERNAL_SERVER_ERROR, [], b"")
            return
        if self._client_state is NEW:
            self._client_state = CLIENT_TRANSITIONS.check(self._client_state, ESTABLISHED)
            self._server.clients.set_established(self)
        if request is not None:
            self.current_request = request
            self._server.proxy.accept(request)

    def reject_input(self, error: HTTPError) -> None:
        """Reject the client's input, forward none of it, and read no more.

        Input that can't be parsed also casts doubt on the request before it, since a Content-Length that
        is too short looks the same. Clients that send one request at a time are never affected.
        """
        if self.current_request is not None:
            self._server.proxy.cancel(self.current_request)
            if error.status == HTTPStatus.SERVICE_UNAVAILABLE:
                # 503 would promise that the request before the rejected input never ran.
                error = HTTPError(HTTPStatus.INTERNAL_SERVER_ERROR, error.reason)
        self.reject(error)

    def reject(self, error: HTTPError) -> None:
        """Respond with an error, and forward none of the input."""
        self._keep_alive = False
        self._input.end()
        if error.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._respond_unavailable(error.reason)
        else:
            self.respond(error.status, [], f"{error.reason}\n".encode())

    def _respond_unavailable(self, reason: str) -> None:
        headers = [(b"Retry-After", NO_MEMORY_RETRY_AFTER_S)]
        self.respond(HTTPStatus.SERVICE_UNAVAILABLE, headers, f"{reason}\n".encode())

    def drop_requests(self) -> None:
        """Drop all requests of a client that has disconnected.

        Nothing more is forwarded for the client, even if it could still read responses.
        """
        if not self._input.has_ended:
            self.phase_started_us = now_us()
        self._input.end()
        request, self.current_request = self.current_request, None
        if request is not None:
            self._server.admission.release(self.request_id)
            self._server.proxy.cancel(request)

    # Responses.

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Write a response, and close the connection after it where it can't be kept.

        It can't be kept if the client does not want that, if input was rejected, or if the server closes its
        connections.
        """
        if self.current_request is not None:
            self.current_request = None
            self._server.admission.release(self.request_id)
        has_backlog = self._input.has_backlog
        is_idle = not has_backlog and not self._input.is_receiving
        # Waiting requests were accepted too, so they are served even while the server closes connections.
        keep_alive = self._keep_alive and (has_backlog or not self._server.closes_connections())
        self.transport.write(encode_response(status, headers, body, keep_alive))
        if has_backlog:
            self._responded_us = now_us()
        if self.transport.buffered_bytes():
            self.update_memory()
        if not keep_alive:
            self._close_after_response()
        elif has_backlog:
            # Deferred, since the caller may still be working on the last request.
            asyncio.get_running_loop().call_soon(self._resume)
        elif is_idle:
            self.phase_started_us = now_us()
            self._server.clients.set_idle(self)

    def _resume(self) -> None:
        if self.is_output_blocked:
            return
        self._input.parse()
        self._serve_next()
        self.update_memory()
        self._input.resume_unless_behind()

    def _close_after_response(self) -> None:
        """Close the connection after its last response, once the client has had time to read it.

        Closing a socket with unread input resets the connection, and the response in transit would be lost.
        """
        is_input_unexpected = self.has_input_ended or self.is_receiving
        self._input.end()
        self.phase_started_us = now_us()  # timeouts count from here, since sending the response takes time
        if self.transport.is_closing():
            return
        if is_input_unexpected:
            self.transport.write_eof()
            self._input.resume()
        elif self.has_unread_input():
            # The next request has begun to arrive. Left unread, it makes the later close reset the
            # connection, so that the client sends the request elsewhere.
            self.transport.write_eof()
            self._input.pause()
        else:
            self.close(CloseReason.AFTER_RESPONSE)

    # Closing.

    def close(self, reason: CloseReason, *, abort: bool = False) -> None:
        """Close the connection, unless a response is pending on it.

        Args:
            reason: why; its counter is incremented.
            abort: whether to discard output that the kernel has not accepted yet.
        """
        if self.transport.is_closing():
            if abort:
                self.transport.abort()
            return
        proxy = self._server.proxy
        if self.current_request is not None:
            detail = f"request {self.label()}, {reason.value}"
            proxy.invariants.record_broken(Invariant.CLOSED_UNANSWERED, detail)
            return
        proxy.counters[reason.counter] += 1
        if abort:
            self.transport.abort()
        else:
            self.transport.close()

    def evict(self) -> None:
        """Close the connection at once, to make room for another client."""
        self._input.end_parsing()
        self.close(CloseReason.EVICTED, abort=True)

    def _set_output_state(self, state: OutputState) -> None:
        self._output_state = OUTPUT_TRANSITIONS.check(self._output_state, state)
