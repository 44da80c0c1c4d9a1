"""Watches the lag of the event loop, which adds to every latency that is measured in this process."""

from __future__ import annotations

import asyncio
import logging

from corkdoor.log_events import LogEvent
from corkdoor.sidecar.clock import now_us

CHECK_INTERVAL_S = 0.1
LOG_INTERVAL_S = 10.0
NOTABLE_LAG_US = 50_000  # it takes up a good part of the margin that answers leave with
log = logging.getLogger(__name__)


async def log_event_loop_lag(
    check_interval_s: float = CHECK_INTERVAL_S, log_interval_s: float = LOG_INTERVAL_S
) -> None:
    """Log the longest lag of each interval, where it is notable."""
    check_us, log_us = int(check_interval_s * 1e6), int(log_interval_s * 1e6)
    worst_us, next_log_us = 0, now_us() + log_us
    while True:
        before = now_us()
        await asyncio.sleep(check_interval_s)
        now = now_us()
        worst_us = max(worst_us, now - before - check_us)
        if now >= next_log_us:
            if worst_us >= NOTABLE_LAG_US:
                log.warning(LogEvent("event_loop_lag", max_ms=worst_us // 1000))
            worst_us, next_log_us = 0, now + log_us
