"""Watching a descriptor for readiness in one direction, with retries when memory is short."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

from corkdoor.sidecar.transport.errors import RETRY_DELAY_S
from corkdoor.sidecar.transport.states import WATCH_TRANSITIONS, WatchState

OFF, WATCHING, RETRYING = WatchState  # module-level names: looking up enum members is slow


class ReadinessWatch(ABC):
    """Base class for objects that act whenever a descriptor is readable, or whenever it is writable.

    Args:
        loop: the event loop.
        descriptor: the descriptor; it must stay open until `_stop_watching`.
    """

    __slots__ = ("_descriptor", "_loop", "_retry_timer", "_watch_state")

    def __init__(self, loop: asyncio.AbstractEventLoop, descriptor: int) -> None:
        self._loop = loop
        self._descriptor = descriptor
        self._watch_state = OFF
        self._retry_timer: asyncio.TimerHandle | None = None

    @abstractmethod
    def _add_to_loop(self) -> None:
        """Have the loop call back whenever the descriptor is ready; raises OSError."""

    @abstractmethod
    def _remove_from_loop(self) -> None:
        """Undo `_add_to_loop`."""

    @abstractmethod
    def _on_retry(self) -> None:
        """Retry; called `RETRY_DELAY_S` after `_retry_later`, or after `_add_to_loop` has failed."""

    def _start_watching(self) -> None:
        """Start to watch, unless a retry is scheduled."""
        if self._watch_state is not OFF:
            return
        try:
            self._add_to_loop()
        except OSError:
            self._retry_later()
        else:
            self._set_watch_state(WATCHING)

    def _stop_watching(self) -> None:
        """Stop watching, and cancel a scheduled retry."""
        if self._watch_state is OFF:
            return
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        else:
            self._remove_from_loop()
        self._set_watch_state(OFF)

    def _retry_later(self) -> None:
        """Stop watching, and schedule a call of `_on_retry` after `RETRY_DELAY_S`."""
        self._stop_watching()
        self._retry_timer = self._loop.call_later(RETRY_DELAY_S, self._retry)
        self._set_watch_state(RETRYING)

    def _retry(self) -> None:
        self._retry_timer = None
        self._set_watch_state(OFF)
        self._on_retry()

    def _set_watch_state(self, state: WatchState) -> None:
        self._watch_state = WATCH_TRANSITIONS.check(self._watch_state, state)
