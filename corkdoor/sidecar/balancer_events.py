"""Calls the balancer's event methods from the sidecar."""

from __future__ import annotations

import logging
from collections.abc import Callable

from corkdoor.log_events import LogEvent
from corkdoor.sidecar.clock import now_us

log = logging.getLogger(__name__)


def notify(event: Callable[..., None], *values: object) -> bool:
    """Call an event method with the current time and these values; False: it raised, which is logged.

    Guards the process, and the requests that it holds, against a fault of the balancer.
    """
    try:
        event(now_us(), *values)
    except Exception:
        log.exception(LogEvent("balancer_error", method=getattr(event, "__name__", "-")))
        return False
    return True
