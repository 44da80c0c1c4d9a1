"""Measures the lag of the event loop, which adds to every latency that is measured in this process."""

from __future__ import annotations

import asyncio
import logging

from corkdoor.log_events import LogEvent
from corkdoor.sidecar.clock import now_us

CHECK_INTERVAL_S = 0.1
LOG_INTERVAL_S = 10.0
# The shortest lag that is logged. It is longer than `proxied_request.RESPONSE_MARGIN_US`, the margin between
# a response and the client's deadline, so a response that is delayed by it may arrive too late.
MIN_LOGGED_LAG_US = 50_000
log = logging.getLogger(__name__)


async def log_event_loop_lag(
    check_interval_s: float = CHECK_INTERVAL_S, log_interval_s: float = LOG_INTERVAL_S
) -> None:
    """Log the longest lag of each log interval if it is at least `MIN_LOGGED_LAG_US`, until cancelled."""
    check_us, log_us = int(check_interval_s * 1e6), int(log_interval_s * 1e6)
    longest_us, next_log_us = 0, now_us() + log_us
    while True:
        sleep_started_us = now_us()
        await asyncio.sleep(check_interval_s)
        now = now_us()
        longest_us = max(longest_us, now - sleep_started_us - check_us)
        if now >= next_log_us:
            if longest_us >= MIN_LOGGED_LAG_US:
                log.warning(LogEvent("event_loop_lag", max_ms=longest_us // 1000))
            longest_us, next_log_us = 0, now + log_us
