"""Load reports: what an endpoint says of its own load with an answer."""

from __future__ import annotations

import math
from typing import NamedTuple


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
    """Parse `name=value` pairs, `separator` between the two; None where no valid service time is given."""
    pairs = (pair.strip().partition(separator) for pair in text.split(","))
    figures = {name: value for name, _, value in pairs}
    try:
        queued, completed, service_ms = (float(figures.get(n, 0)) for n in ("pending", "served_ps", "svc_ms"))
    except ValueError:
        return None
    if not (0 <= queued < math.inf and 0 <= completed < math.inf and 0 < service_ms < math.inf):
        return None
    return LoadReport(queued, completed, service_ms * 1000)
