"""The watch on discovery: makes one call after another, until one fails or the watch is stopped."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from enum import Enum

from corkdoor.log_events import LogEvent
from corkdoor.model import WatchEventKind
from corkdoor.policy.discovery.connect_timeout import reconnect_timeout_s
from corkdoor.policy.discovery.response_timeout import ResponseTimeout
from corkdoor.policy.discovery.watch_timeout import POLL_TIMEOUT_MS, WatchTimeout
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.discovery.client import DiscoveryClient, DiscoveryRequest, PollRequest, WatchRequest
from corkdoor.sidecar.discovery.endpoint_list import EndpointList, ResolvedEndpoint
from corkdoor.sidecar.discovery.errors import AnswerUnreadableError, DiscoveryError
from corkdoor.sidecar.discovery.hedged_call import HedgedCall
from corkdoor.sidecar.error_references import drop_references
from corkdoor.sidecar.memory_budget import MemoryBudget
from corkdoor.state_machine import TransitionTable

# Delay until the failure is reported after an unreadable response. A call that starts sooner after a response
# continues the watch of that response.
UNREADABLE_DELAY_S = 0.22
UNREADABLE_DELAY_JITTER = (1.0, 1.4)  # range of the random factor on UNREADABLE_DELAY_S

log = logging.getLogger(__name__)


class WatcherState(Enum):
    """The state of the watcher."""

    STOPPED = "stopped"
    CALLING = "calling"  # a call is in flight
    PAUSING = "pausing"  # a response was unreadable; the failure is reported after a delay


WATCHER_TRANSITIONS = TransitionTable(
    "discovery_watcher",
    {
        WatcherState.STOPPED: frozenset((WatcherState.CALLING,)),
        WatcherState.CALLING: frozenset((WatcherState.PAUSING, WatcherState.STOPPED)),
        WatcherState.PAUSING: frozenset((WatcherState.STOPPED,)),
    },
)


class DiscoveryWatcher:
    """Keeps one watch open while it runs, and delivers each list.

    A failure stops the watcher and is delivered as well. The balancer decides when to start it again.

    Args:
        host: discovery's host.
        port: discovery's port.
        generation: the version of the list that is in use.
        connect_timeout_s: how long opening a connection may take, in seconds.
        budget: limits the memory that reading endpoint lists takes.
        deliver: called with each watch event and its entries.
    """

    def __init__(
        self,
        host: str,
        port: int,
        generation: int,
        connect_timeout_s: float,
        budget: MemoryBudget,
        deliver: Callable[[WatchEventKind, list[ResolvedEndpoint]], None],
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.deliver = deliver
        self.generation = generation
        self.known_generation: int | None = generation  # None: the current address has not sent a list yet
        self.state = WatcherState.STOPPED
        self.timeout = WatchTimeout()
        self._budget = budget
        self._client = DiscoveryClient(host, port, budget)
        self._next_client: DiscoveryClient | None = None  # for a new address, until the first call there
        self._call: HedgedCall | None = None
        self._response_timeout = ResponseTimeout()
        self._response_lost = False  # whether any call since the last list arrived lost its response
        self._call_began_us = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def host(self) -> str:
        """Discovery's host."""
        return (self._next_client or self._client).host

    @property
    def port(self) -> int:
        """Discovery's port."""
        return (self._next_client or self._client).port

    def start(self, poll_first: bool = False) -> None:
        """Call discovery, and watch it from the first response on.

        Does nothing while the watcher runs at the current address. A call in flight at an older address is
        given up.

        Args:
            poll_first: whether the first call is a poll, to which discovery responds at once.
        """
        if self._next_client is not None:
            self.stop()
        if self.state is WatcherState.STOPPED:
            self.timeout.on_start(poll_first)
            self._enter(WatcherState.CALLING)
            self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Give up the call in flight. Does nothing while stopped."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
            self._enter(WatcherState.STOPPED)
            self._client.close()
            # A new client, as the call of the old one ends later.
            self._client = DiscoveryClient(self._client.host, self._client.port, self._budget)
            self.timeout.on_interruption(now_us())

    def change_address(self, host: str, port: int) -> None:
        """Make the next call at another address. Until then a call in flight may complete.

        The list in use stays until the new address has sent its own list. That one must be complete, because
        its versions need not be those of the old address.
        """
        log.info(LogEvent("discovery_address_changed", host=host, port=port))
        self._next_client = DiscoveryClient(host, port, self._budget)
        self.known_generation = None
        if self._call is not None:
            self._call.address_outdated = True

    async def _run(self) -> None:
        while True:
            try:
                received = await self._make_call()
            except Exception as error:  # no error may end the watch unnoticed
                await self._fail(error)
                return
            self._response_lost = False
            self.timeout.on_response()
            self.deliver(WatchEventKind.FULL if received.complete else WatchEventKind.DELTA, received.entries)

    async def _make_call(self) -> EndpointList:
        """Make one call, and return the list in its response."""
        if self._next_client is not None:
            self._client.close()
            self._client, self._next_client = self._next_client, None
        self._call_began_us = now_us()
        timeout_s = self.connect_timeout_s
        if self._response_lost:
            timeout_s = reconnect_timeout_s(timeout_s)
        self._call = HedgedCall(self._client, self._response_timeout, timeout_s)
        request = self._request(self.timeout.draw_ms(random.random()))
        try:
            received, self._client = await self._call.run(request, self._request(POLL_TIMEOUT_MS))
        finally:
            self._call = None
        if self._next_client is None:
            self.known_generation = received.generation
        self.generation = received.generation
        return received._replace(complete=received.complete or isinstance(request, PollRequest))

    def _request(self, wait_ms: int) -> DiscoveryRequest:
        if self.known_generation is None:
            return PollRequest()
        return WatchRequest(self.known_generation, wait_ms)

    async def _fail(self, error: Exception) -> None:
        drop_references(error)  # to the response, among others, while the watcher pauses
        kind = error.kind if isinstance(error, DiscoveryError) else WatchEventKind.FAILED
        log.warning(
            LogEvent(
                "discovery_call_failed",
                address=f"{self.host}:{self.port}",
                kind=kind.name.lower(),
                error=type(error).__name__,
                reason=error,
                elapsed_ms=(now_us() - self._call_began_us) // 1000,
            )
        )
        self._client.close()
        self._response_lost |= kind is WatchEventKind.LOST
        self.timeout.on_failure(now_us(), kind)
        if isinstance(error, AnswerUnreadableError):
            self._enter(WatcherState.PAUSING)
            await asyncio.sleep(UNREADABLE_DELAY_S * random.uniform(*UNREADABLE_DELAY_JITTER))
        self._task = None
        self._enter(WatcherState.STOPPED)
        self.deliver(kind, [])

    def _enter(self, state: WatcherState) -> None:
        self.state = WATCHER_TRANSITIONS.check(self.state, state)
