"""Lateness of an event loop. If it is late, the emulator can't act at the planned times."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import NoReturn

CHECK_INTERVAL_S = 0.02


async def monitor_lateness(record: Callable[[float], object]) -> NoReturn:
    """Call `record` periodically with the event loop's lateness in seconds."""
    while True:
        before_s = time.monotonic()
        await asyncio.sleep(CHECK_INTERVAL_S)
        record(time.monotonic() - before_s - CHECK_INTERVAL_S)
