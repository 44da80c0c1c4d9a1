"""The action of a signal runs once, even if the interpreter can't wake the event loop for it."""

from __future__ import annotations

import asyncio
import os
import signal
import time

import pytest

from corkdoor.sidecar.signals import CHECK_INTERVAL_S, SignalActions
from tests.sidecar_support import run


@pytest.mark.parametrize("loop_is_woken", [True, False])
def test_action_runs_once_per_signal_even_when_the_loop_is_not_woken(loop_is_woken: bool) -> None:
    """Guards against losing a signal when the write that wakes the event loop fails (ENOBUFS)."""

    async def test() -> None:
        actions = SignalActions()
        action_times: asyncio.Queue[float] = asyncio.Queue()
        actions.handle(signal.SIGUSR1, lambda: action_times.put_nowait(time.monotonic()))
        missed_task = asyncio.create_task(actions.run_missed())
        await asyncio.sleep(0)
        wakeup = -1 if loop_is_woken else signal.set_wakeup_fd(-1)
        try:
            for _ in range(2):
                sent_s = time.monotonic()
                os.kill(os.getpid(), signal.SIGUSR1)
                async with asyncio.timeout(10 * CHECK_INTERVAL_S):
                    assert await action_times.get() >= sent_s
        finally:
            if not loop_is_woken:
                signal.set_wakeup_fd(wakeup)
            await asyncio.sleep(2 * CHECK_INTERVAL_S)
            missed_task.cancel()
        assert action_times.empty()  # each action ran once

    run(test())


async def test_ignored_signal_is_left_to_the_kernel_and_its_action_does_not_run() -> None:
    """Guards against signals that arrive so densely that handling them leaves no time to end (issue 52)."""
    actions = SignalActions()
    action_count = 0

    def count_action() -> None:
        nonlocal action_count
        action_count += 1

    actions.handle(signal.SIGUSR1, count_action)
    os.kill(os.getpid(), signal.SIGUSR1)  # its action would run later
    actions.ignore(signal.SIGUSR1)
    assert signal.getsignal(signal.SIGUSR1) is signal.SIG_IGN
    os.kill(os.getpid(), signal.SIGUSR1)
    missed_task = asyncio.create_task(actions.run_missed())
    await asyncio.sleep(2 * CHECK_INTERVAL_S)
    missed_task.cancel()
    signal.signal(signal.SIGUSR1, signal.SIG_DFL)
    assert action_count == 0
