"""Carries out actions on signals, even if the event loop is not woken for a signal."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from types import FrameType

CHECK_INTERVAL_S = 0.2


class SignalActions:
    """Carries out an action for each signal, on the event loop.

    The interpreter wakes the event loop for a signal by writing a byte to a socket. If that write fails, for
    example for lack of memory, the loop misses the signal. The handlers here therefore also record each
    signal as pending, and `run_missed` carries out the actions of signals that are still pending.
    """

    def __init__(self) -> None:
        self._actions: dict[int, Callable[[], object]] = {}
        self._pending: set[int] = set()

    def handle(self, signal_number: signal.Signals, action: Callable[[], object]) -> None:
        """Carry out `action` on the running event loop whenever the signal arrives."""
        self._actions[signal_number] = action
        asyncio.get_running_loop().add_signal_handler(signal_number, self._run, signal_number)
        signal.signal(signal_number, self._set_pending)
        # `signal.signal` makes the signal interrupt system calls; this restores what the event loop has set.
        signal.siginterrupt(signal_number, False)

    def ignore(self, signal_number: signal.Signals) -> None:
        """Have the kernel ignore the signal from now on.

        Handling signals that arrive one after another would leave the process no time for anything else.
        """
        signal.signal(signal_number, signal.SIG_IGN)
        self._actions.pop(signal_number, None)
        self._pending.discard(signal_number)

    def _set_pending(self, signal_number: int, _frame: FrameType | None) -> None:
        self._pending.add(signal_number)

    def _run(self, signal_number: int) -> None:
        self._pending.discard(signal_number)
        action = self._actions.get(signal_number)
        if action is not None:
            action()

    async def run_missed(self) -> None:
        """Carry out the actions of signals that the event loop was not woken for, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for signal_number in tuple(self._pending):
                self._run(signal_number)
