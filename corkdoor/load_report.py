"""Load reports: the load that an endpoint states with a response."""

from __future__ import annotations

import math
from typing import NamedTuple

REPORT_KEYS = ("pending", "served_ps", "svc_ms")  # in the order of the fields of LoadReport


class LoadReport(NamedTuple):
    """The load of one endpoint, caused by all of its clients together.

    Attributes:
        queued_requests: the number of requests that wait in the endpoint's queue.
        requests_per_s: the number of requests that the endpoint completes per second.
        service_time_us: the endpoint's recent service time, excluding the time in its queue, in microseconds;
            above 0.
    """

    queued_requests: float
    requests_per_s: float
    service_time_us: float


def parse_load_report(text: str, separator: str) -> LoadReport | None:
    """Parse a load report.

    Args:
        text: pairs of a key and a value, separated by commas; unknown keys are ignored.
        separator: the separator between a key and its value.

    Returns:
        The report, or None if it states no service time or if one of the three values is invalid.
    """
    pairs = (pair.strip().partition(separator) for pair in text.split(","))
    values = {key: value for key, _, value in pairs}
    try:
        queued, completed_per_s, service_ms = (float(values.get(key, 0)) for key in REPORT_KEYS)
    except ValueError:
        return None
    if not (0 <= queued < math.inf and 0 <= completed_per_s < math.inf and 0 < service_ms < math.inf):
        return None
    return LoadReport(queued, completed_per_s, service_ms * 1000)
