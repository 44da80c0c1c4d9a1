"""The graceful shutdown: every accepted request gets its response before SIGKILL.

The shutdown passes through the states DRAINING, CLOSING and REJECTING of `lifecycle.ProcessState`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from corkdoor.log_events import LogEvent
from corkdoor.sidecar.clients.server import Server
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.lifecycle import ProcessState
from corkdoor.sidecar.proxy import Proxy

CHECK_INTERVAL_S = 0.01
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ShutdownTimeouts:
    """How the time from SIGTERM to SIGKILL is used, in seconds.

    SIGKILL comes 0.7 s after `max_deadline_s`, or after the longest deadline of any class if that is shorter.

    Attributes:
        max_deadline_s: the upper bound of the deadline that the shutdown waits for.
        response_grace_s: the time from that deadline until all requests that are still open get a response.
        draining_share: the share of the time from SIGTERM until these responses for which clients'
            connections are kept open and served; the rest is for the requests that are open then.
        min_draining_s: the shortest time for which connections are kept open and served; new clients still
            connect for up to 0.4 s.
        flush_s: the time for sending the last bytes, and for rejecting requests that still arrive.
    """

    max_deadline_s: float = 3.0
    response_grace_s: float = 0.4
    draining_share: float = 0.75
    min_draining_s: float = 0.6
    flush_s: float = 0.2

    def reject_after_s(self, longest_deadline_s: float) -> float:
        """Return the time from SIGTERM until all requests that are still open get a response."""
        return min(self.max_deadline_s, longest_deadline_s) + self.response_grace_s

    def draining_s(self, longest_deadline_s: float) -> float:
        """Return the time from SIGTERM for which clients' connections are kept open."""
        return max(self.min_draining_s, self.draining_share * self.reject_after_s(longest_deadline_s))


async def shut_down(
    server: Server,
    proxy: Proxy,
    timeouts: ShutdownTimeouts | None = None,
    on_rejecting: Callable[[], None] | None = None,
) -> None:
    """Respond to all accepted requests, while new clients are sent to other sidecars.

    `on_rejecting` is called when no further request is going to be forwarded.

    Clients use their connections as long as these stay open. The connections are therefore kept open for the
    time of the state DRAINING: closing all of them at once would move this sidecar's whole load to other
    sidecars in one moment.
    """
    timeouts = timeouts or ShutdownTimeouts()
    longest_deadline_s = server.admission.longest_deadline_s
    started_us = now_us()
    proxy.lifecycle.enter(ProcessState.DRAINING)
    await asyncio.sleep(timeouts.draining_s(longest_deadline_s))
    proxy.lifecycle.enter(ProcessState.CLOSING)
    log.info(LogEvent("shutdown_closing", clients=len(server.clients), requests=len(proxy.requests)))
    await _close_connections(server, started_us + int(timeouts.reject_after_s(longest_deadline_s) * 1e6))
    if on_rejecting is not None:
        on_rejecting()
    log.info(
        LogEvent(
            "shutdown_rejecting",
            after_s=(now_us() - started_us) / 1e6,
            clients=len(server.clients),
            requests=len(proxy.requests),
        )
    )
    proxy.reject_all()
    server.reject_incomplete_requests()
    await _close_connections(server, now_us() + int(timeouts.flush_s * 1e6))
    proxy.lifecycle.enter(ProcessState.STOPPED)


async def _close_connections(server: Server, until_us: int) -> None:
    """Stop accepting and close idle connections until no client is connected, at most until `until_us`."""
    while not (server.stop_accepting() and not server.clients) and now_us() < until_us:
        server.close_idle_connections()
        await asyncio.sleep(CHECK_INTERVAL_S)
