"""Prepares the table of the lines fitted through all measurements."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from rich.table import Table

from emulator.slopes.fitting import MIN_POINTS, fit
from emulator.slopes.points import Point

COLUMNS = ("measurement", "by", "unit", "points", "invalid", "intercept", "slope", "R²", "furthest")


def make_table(points: Iterable[Point]) -> Table:
    """Return a table with the line fitted through each measurement; invalid points are only counted."""
    groups: dict[str, list[Point]] = defaultdict(list)
    for point in points:
        groups[point.name].append(point)
    table = Table(*COLUMNS)
    for name, group in groups.items():
        table.add_row(*_row(name, group))
    return table


def _row(name: str, group: Sequence[Point]) -> list[str]:
    valid = [point for point in group if point.valid]
    row = [name, group[0].x_name, group[0].unit, str(len(valid)), str(len(group) - len(valid))]
    if len(valid) < MIN_POINTS or len({point.x for point in valid}) == 1:
        return row
    line = fit([point.x for point in valid], [point.y for point in valid])
    last_point = max(valid, key=lambda point: point.x)
    return [
        *row,
        f"{line.intercept:.4g} ± {line.intercept_error:.2g}",
        f"{line.slope:.4g} ± {line.slope_error:.2g}",
        f"{line.r2:.4f}",
        f"{last_point.y:.5g} at {line.max_x:g}",
    ]
