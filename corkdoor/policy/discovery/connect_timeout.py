"""How long opening a connection to discovery may take.

Inputs: the settings, and whether the last response was lost. Returns seconds.

In a push deployment, where an agent of the platform pushes changes, these are considered notified as soon as
discovery is back. A connection attempt that has hung since the outage is therefore given up early. The same
applies after a lost response, because the changes that it held are considered notified soon as well.
"""

from __future__ import annotations

from corkdoor.model import DiscoveryMode
from corkdoor.settings import Settings

MAX_TIMEOUT_S = 1.0
MIN_TIMEOUT_S = 0.4
DRAIN_GRACE_DIVISOR = 4  # in a push deployment the timeout is the drain grace divided by this


def connect_timeout_s(settings: Settings) -> float:
    """Return the longest time for opening a connection to discovery, in seconds, by the discovery mode."""
    if settings.discovery_mode is DiscoveryMode.POLL:
        return MAX_TIMEOUT_S
    grace_s = settings.lifecycle.drain_grace_us / (DRAIN_GRACE_DIVISOR * 1e6)
    return min(MAX_TIMEOUT_S, max(grace_s, MIN_TIMEOUT_S))


def reconnect_timeout_s(timeout_s: float) -> float:
    """Return the connect timeout after a lost response, in seconds; `timeout_s` is the regular one."""
    return min(timeout_s, MIN_TIMEOUT_S)
