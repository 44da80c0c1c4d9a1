"""The points of a measurement, and the extent of measurements."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

import msgspec


class Point(msgspec.Struct):
    """One measured point: `y` in `unit` at `x`; invalid points are left out of the fit."""

    name: str
    x_name: str
    x: float
    y: float
    unit: str
    valid: bool = msgspec.field(default=True, name="held")  # whether the rate was sustained
    detail: dict[str, Any] = {}


class Scale(msgspec.Struct, frozen=True):
    """The extent of a measurement; the defaults are those of a full one."""

    sizes: Sequence[int] = (36, 250, 500, 1000, 2000)  # endpoints in the list
    rates_per_s: Sequence[float] = (30.0, 60.0, 120.0, 240.0)  # rates of requests
    seconds: float = 10.0
    runs: int = 3  # number of latency runs
    connections: Sequence[int] = (0, 100, 200, 400, 800)  # numbers of connections or open requests
    # Rates of responses to watches that have no entries.
    renewals_per_s: Sequence[float] = (0.0, 25.0, 50.0, 100.0, 200.0)
    settle_s: float = 1.0  # delay between the start and the measurement of processor time


MeasurementFunction = Callable[[Scale], AsyncIterator[Point]]
