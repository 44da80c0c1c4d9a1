"""What a process of clients takes and returns, as JSON lines."""

from __future__ import annotations

import msgspec


class LoadTarget(msgspec.Struct):
    """Where one stream of requests goes: to its addresses in turn, `rate_per_s` in all."""

    name: str
    addresses: list[str]
    rate_per_s: float


class LoadRequest(msgspec.Struct):
    """Streams that run side by side for `seconds`, so that they meet the same machine at the same time."""

    targets: list[LoadTarget]
    seconds: float
    seed: int
    path: str = "/look/a"
    headers: dict[str, str] = {}
    deadline_ms: int = 2500
    warm_up_s: float = 0.0  # the first of the seconds, whose latencies are not recorded


class StreamResult(msgspec.Struct):
    """What became of one stream; latencies in microseconds as an encoded HdrHistogram."""

    name: str
    planned: int
    sent: int
    late: int
    served: int  # responses 200, of the whole run
    statuses: dict[str, int]
    failed: int  # the connection broke, or no response came by the end
    histogram: str
    sustained: bool = msgspec.field(name="held")  # whether the rate was


class LoadResult(msgspec.Struct):
    """What became of all streams."""

    streams: list[StreamResult]
    sustained: bool  # whether all of them sustained their rate
