"""Load reports: what an endpoint says of its own load with an answer."""

from __future__ import annotations

import math
from typing import NamedTuple

KEYS = ("pending", "served_ps", "svc_ms")


class LoadReport(NamedTuple):
    """The load of one endpoint, from all of its clients together.

    Attributes:
        queued_requests: requests that wait in its queue.
        requests_per_s: requests that it completes a second.
        service_time_us: its recent service time without queueing, in microseconds, above 0.
    """

    queued_requests: float
    requests_per_s: float
    service_time_us: float


def parse_load_report(text: str, separator: str) -> LoadReport | None:
    """Parse a report; None where it states no valid service time.

    Args:
        text: pairs of a key and a value, separated by commas; unknown keys are skipped.
        separator: stands between a key and its value.
    """
    pairs = (pair.strip().partition(separator) for pair in text.split(","))
    figures = {key: value for key, _, value in pairs}
    try:
        queued, completed, service_ms = (float(figures.get(key, 0)) for key in KEYS)
    except ValueError:
        return None
    if not (0 <= queued < math.inf and 0 <= completed < math.inf and 0 < service_ms < math.inf):
        return None
    return LoadReport(queued, completed, service_ms * 1000)
