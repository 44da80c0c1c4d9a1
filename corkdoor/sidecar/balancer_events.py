"""Passes events of the sidecar to the balancer."""

from __future__ import annotations

import logging
from collections.abc import Callable

from corkdoor.log_events import LogEvent
from corkdoor.sidecar.clock import now_us

log = logging.getLogger(__name__)


def notify(event: Callable[..., None], *values: object) -> bool:
    """Call an event method of the balancer with the current time and `values`.

    Returns whether it succeeded. An exception is logged and not raised, which protects the sidecar and its
    requests from a fault of the balancer.
    """
    try:
        event(now_us(), *values)
    except Exception:
        log.exception(LogEvent("balancer_error", method=getattr(event, "__name__", "-")))
        return False
    return True
