"""The requests to a process of clients and its responses, as JSON lines."""

from __future__ import annotations

import msgspec


class LoadTarget(msgspec.Struct):
    """The target of one stream. Requests go to its addresses round robin, at `rate_per_s` in total."""

    name: str
    addresses: list[str]
    rate_per_s: float


class LoadRequest(msgspec.Struct):
    """Streams that run at the same time for `seconds`, so that the machine's load affects them alike."""

    targets: list[LoadTarget]
    seconds: float
    seed: int
    path: str = "/look/a"
    headers: dict[str, str] = {}
    deadline_ms: int = 2500
    warm_up_s: float = 0.0  # the first part of the run, whose latencies are not recorded


class StreamResult(msgspec.Struct):
    """The result of one stream. Its histogram is an encoded HdrHistogram of latencies in microseconds."""

    name: str
    planned: int
    sent: int
    late: int
    served: int  # responses with status 200 in the whole run
    statuses: dict[str, int]
    failed: int  # requests whose connection broke, or that got no response by the end
    histogram: str
    sustained: bool = msgspec.field(name="held")  # whether the stream sustained its rate


class LoadResult(msgspec.Struct):
    """The results of all streams."""

    streams: list[StreamResult]
    sustained: bool  # whether all of them sustained their rate
