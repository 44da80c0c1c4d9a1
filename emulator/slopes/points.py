"""The points of a measurement, and how much is measured."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

import msgspec


class Point(msgspec.Struct):
    """One measured point: `y` in `unit` at `x`; an invalid one counts for nothing."""

    name: str
    x_name: str
    x: float
    y: float
    unit: str
    valid: bool = msgspec.field(default=True, name="held")  # whether its rate was sustained
    detail: dict[str, Any] = {}


class Scale(msgspec.Struct, frozen=True):
    """How much is measured; the defaults are those of a full measurement."""

    sizes: Sequence[int] = (36, 250, 500, 1000, 2000)  # endpoints of a list
    rates_per_s: Sequence[float] = (30.0, 60.0, 120.0, 240.0)  # of requests
    seconds: float = 10.0
    runs: int = 3  # of the latency
    connections: Sequence[int] = (0, 100, 200, 400, 800)
    renewals_per_s: Sequence[float] = (0.0, 25.0, 50.0, 100.0, 200.0)  # watches answered without entries
    settle_s: float = 1.0  # after the start, before processor time is counted


Measure = Callable[[Scale], AsyncIterator[Point]]
