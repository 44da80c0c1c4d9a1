"""The watch on discovery: one call after another, until one fails or it is stopped."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from enum import Enum

from corkdoor.log_events import LogEvent
from corkdoor.model import WatchEventKind
from corkdoor.policy.discovery.connect_timeout import reconnect_timeout_s
from corkdoor.policy.discovery.watch_timeout import WatchTimeout
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.discovery.client import DiscoveryClient, PollRequest, WatchRequest
from corkdoor.sidecar.discovery.endpoint_list import EndpointList, ResolvedEndpoint
from corkdoor.sidecar.discovery.errors import AnswerUnreadableError, DiscoveryError
from corkdoor.state_machine import TransitionTable

UNREADABLE_PAUSE_S = 0.22  # a call that comes sooner after an answer continues its watch
UNREADABLE_PAUSE_JITTER = (1.0, 1.4)

log = logging.getLogger(__name__)


class WatcherState(Enum):
    """What the watcher does now."""

    STOPPED = "stopped"
    CALLING = "calling"  # a call is out
    PAUSING = "pausing"  # an answer was unreadable; the failure is reported after a pause


WATCHER_TRANSITIONS = TransitionTable(
    "discovery_watcher",
    {
        WatcherState.STOPPED: frozenset((WatcherState.CALLING,)),
        WatcherState.CALLING: frozenset((WatcherState.PAUSING, WatcherState.STOPPED)),
        WatcherState.PAUSING: frozenset((WatcherState.STOPPED,)),
    },
)


class DiscoveryWatcher:
    """Keeps one watch open while it runs and delivers each list.

    A failure stops it and is delivered as well: the balancer decides when to start again.

    Args:
        host: discovery's host.
        port: discovery's port.
        generation: the version of the list that is in use.
        connect_timeout_s: how long a connection may take to come up, in seconds.
        deliver: takes each watch event and its entries.
    """

    def __init__(
        self,
        host: str,
        port: int,
        generation: int,
        connect_timeout_s: float,
        deliver: Callable[[WatchEventKind, list[ResolvedEndpoint]], None],
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.deliver = deliver
        self.generation = generation
        self.known_generation: int | None = generation  # None: this address has not sent a list yet
        self.state = WatcherState.STOPPED
        self.timeout = WatchTimeout()
        self._client = DiscoveryClient(host, port)
        self._answer_lost = False  # that of the last call, or of one before since which all have failed
        self._call_began_us = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def host(self) -> str:
        """Discovery's host."""
        return self._client.host

    @property
    def port(self) -> int:
        """Discovery's port."""
        return self._client.port

    def start(self) -> None:
        """Call discovery, and watch it from its answer on; does nothing while it runs."""
        if self.state is WatcherState.STOPPED:
            self._enter(WatcherState.CALLING)
            self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Give up the call that is out; does nothing while stopped."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
            self._enter(WatcherState.STOPPED)
            self._client.close()  # its answer would be taken for that of the next call
            self.timeout.on_interruption(now_us())

    def change_address(self, host: str, port: int) -> None:
        """Stop, and watch at another address once started again.

        The list in use stays until the new address has sent its own, which must be complete: its versions
        need not be those of the old address.
        """
        log.info(LogEvent("discovery_address_changed", host=host, port=port))
        self.stop()
        self._client = DiscoveryClient(host, port)
        self.known_generation = None

    async def _run(self) -> None:
        while True:
            try:
                answer = await self._call()
            except Exception as error:  # whatever it is, the watch must not end unnoticed
                await self._fail(error)
                return
            self._answer_lost = False
            self.timeout.on_answer()
            complete = answer.complete or self.known_generation is None
            self.generation = self.known_generation = answer.generation
            self.deliver(WatchEventKind.FULL if complete else WatchEventKind.DELTA, answer.entries)

    async def _call(self) -> EndpointList:
        self._call_began_us = now_us()
        timeout_s = self.connect_timeout_s
        connection = await self._client.connect(
            reconnect_timeout_s(timeout_s) if self._answer_lost else timeout_s
        )
        return await self._client.fetch(connection, self._next_request())

    def _next_request(self) -> PollRequest | WatchRequest:
        if self.known_generation is None:
            return PollRequest()
        return WatchRequest(self.known_generation, self.timeout.draw_ms(random.random()))

    async def _fail(self, error: Exception) -> None:
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
        self._answer_lost |= kind is WatchEventKind.LOST
        self.timeout.on_failure(now_us(), kind)
        if isinstance(error, AnswerUnreadableError):
            self._enter(WatcherState.PAUSING)
            await asyncio.sleep(UNREADABLE_PAUSE_S * random.uniform(*UNREADABLE_PAUSE_JITTER))
        self._task = None
        self._enter(WatcherState.STOPPED)
        self.deliver(kind, [])

    def _enter(self, state: WatcherState) -> None:
        self.state = WATCHER_TRANSITIONS.check(self.state, state)
