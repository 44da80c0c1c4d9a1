"""Signals, also those that the event loop is not woken for."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from types import FrameType

CHECK_S = 0.2  # how often noted signals are looked for


class SignalActions:
    """Carries out an action for each signal, on the loop.

    The loop learns of a signal by a byte that the interpreter writes to a socket. Where that write fails, for
    want of memory say, the loop would never learn of it, and a process that was told to end would be killed
    at work. So the signal's handler notes it as well, and `watch` carries out what was noted and not done.
    """

    def __init__(self) -> None:
        self._actions: dict[int, Callable[[], object]] = {}
        self._noted: set[int] = set()

    def handle(self, number: signal.Signals, action: Callable[[], object]) -> None:
        """Carry out `action` on the running loop whenever the signal comes."""
        self._actions[number] = action
        asyncio.get_running_loop().add_signal_handler(number, self._run, number)
        signal.signal(number, self._note)
        signal.siginterrupt(number, False)  # as the loop has it: `signal.signal` lets system calls end early

    def _note(self, number: int, frame: FrameType | None) -> None:
        self._noted.add(number)

    def _run(self, number: int) -> None:
        self._noted.discard(number)
        self._actions[number]()

    async def watch(self) -> None:
        """Carry out what the loop was not woken for."""
        while True:
            await asyncio.sleep(CHECK_S)
            for number in tuple(self._noted):
                self._run(number)
