"""The server for clients: accepts connections, admits requests, and shuts down gracefully."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from corkdoor.settings import Settings
from corkdoor.sidecar.clients.admission import RequestAdmission
from corkdoor.sidecar.clients.backlog import PARSE_CHUNK_BYTES, IncomingRequest
from corkdoor.sidecar.clients.close_reason import CloseReason
from corkdoor.sidecar.clients.connection import ClientConnection
from corkdoor.sidecar.clients.discard_quota import DiscardQuota
from corkdoor.sidecar.clients.errors import HTTPError
from corkdoor.sidecar.clients.registry import ClientRegistry
from corkdoor.sidecar.clients.timeouts import ClientTimeouts
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.config import Config
from corkdoor.sidecar.proxied_request import ProxiedRequest
from corkdoor.sidecar.proxy import Proxy
from corkdoor.sidecar.transport.acceptor import Acceptor

LISTEN_BACKLOG = 1024
READINESS_PATH = b"/up"


class Server:
    """All client connections, and the state that they share.

    Args:
        proxy: serves the requests.
        max_clients: the maximum number of open connections.
        timeouts: the time limits on each connection.
    """

    def __init__(self, proxy: Proxy, max_clients: int, timeouts: ClientTimeouts | None = None) -> None:
        self.proxy = proxy
        self.budget = proxy.budget
        self.timeouts = timeouts or ClientTimeouts()
        self.clients = ClientRegistry(max_clients, self.timeouts.evictable_idle_s)
        self.discard_quota = DiscardQuota(now_us())
        self.admission = RequestAdmission(proxy.settings)

    def bind(self, host: str, port: int) -> None:
        """Start to listen; connections wait in the kernel until the listener is started."""
        self.listener = Acceptor(
            host, port, LISTEN_BACKLOG, lambda: ClientConnection(self), PARSE_CHUNK_BYTES
        )

    def configure(self, settings: Settings, max_clients: int) -> None:
        """Apply these settings to further requests; above a lower limit, unused connections are closed."""
        self.admission.configure(settings)
        self.clients.set_limit(max_clients)

    def reload(self, config: Config) -> None:
        """Apply another configuration, between two requests.

        Raises:
            ConfigError: the configuration can't be applied; nothing has changed.
        """
        self.proxy.reload(config)
        self.configure(config.settings, config.resource_limits.client_connections)

    async def check_timeouts(self) -> None:
        """Close connections that exceed a time limit; runs until it is cancelled."""
        while True:
            await asyncio.sleep(self.timeouts.check_interval_s)
            now = now_us()
            for client in self.clients:
                if client.is_reading_paused:
                    await asyncio.sleep(
                        0
                    )  # input may be read on, which takes up to some milliseconds a client
                    if client not in self.clients:
                        continue
                if client.holds_memory:
                    client.update_memory()  # the client may have read output meanwhile
                self.timeouts.check(client, self.admission.longest_deadline_s, now)

    # Admission.

    def admit(self, client: ClientConnection, incoming: IncomingRequest) -> ProxiedRequest | None:
        """Return the request to proxy, or None if the server has responded to it.

        Raises:
            HTTPError: the request is rejected.
        """
        path = incoming.target.partition(b"?")[0]
        if path == READINESS_PATH:
            self._respond_to_readiness_check(client, incoming)
            return None
        return self.admission.admit(client, incoming, path)

    def _respond_to_readiness_check(self, client: ClientConnection, incoming: IncomingRequest) -> None:
        if incoming.method != b"GET":
            raise HTTPError(HTTPStatus.METHOD_NOT_ALLOWED, "GET only")
        is_ready = self.proxy.has_endpoints and self.proxy.lifecycle.may_report_ready
        client.respond(HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE, [], b"")

    def closes_connections(self) -> bool:
        """Whether connections are closed after their next response."""
        return self.proxy.lifecycle.is_closing or self.clients.is_over_limit()

    # Graceful shutdown.

    def stop_accepting(self) -> bool:
        """Stop listening once no connection waits to be accepted, since such a connection would be reset.

        Returns:
            Whether the server has stopped listening.
        """
        if self.listener.is_open and not self.listener.has_pending_connection():
            self.listener.close()
        return not self.listener.is_open

    def reject_incomplete_requests(self) -> None:
        """Reject requests received only in part, since the process ends before the rest arrives."""
        for client in self.clients:
            if client.is_receiving and not client.has_input_ended:
                client.reject_input(HTTPError(HTTPStatus.SERVICE_UNAVAILABLE, "this sidecar ends"))

    def close_idle_connections(self) -> None:
        """Close connections that are between requests."""
        for client in self.clients:
            if not client.is_busy and not client.has_input_ended and not client.has_unread_input():
                client.close(CloseReason.SHUTDOWN)
