"""A straight line through measured points by least squares, with the spread of the fit."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

from emulator.errors import FitError

LEAST_POINTS = 3  # two points lie on a line whatever they are
COEFFICIENTS = 2  # that a line has: the degrees of freedom that it takes


class Line(NamedTuple):
    """y = intercept + slope * x; the errors are standard errors, in the units of y and of y by x."""

    slope: float
    intercept: float
    slope_error: float
    intercept_error: float
    residual: float  # standard deviation of the points about the line, in the units of y
    r2: float  # share of the variance that the line explains; 1 where there is none to explain
    points: int
    furthest: float  # largest x measured

    def at(self, x: float) -> float:
        """Return the line's figure at this x."""
        return self.intercept + self.slope * x

    def error_at(self, x: float) -> float:
        """Return an upper bound on the standard error of `at`: the errors of both coefficients added up."""
        return self.intercept_error + self.slope_error * abs(x)


def fit(x: Sequence[float], y: Sequence[float]) -> Line:
    """Fit a line.

    Raises:
        FitError: fewer than three points, or all at one x.
    """
    if len(x) != len(y) or len(x) < LEAST_POINTS:
        raise FitError(f"{LEAST_POINTS} points or more are needed, {len(x)} and {len(y)} came")
    across, up = np.asarray(x, dtype=float), np.asarray(y, dtype=float)
    centre = float(across.mean())
    spread = float(((across - centre) ** 2).sum())
    if spread == 0:
        raise FitError("all points lie at one x")
    slope = float(((across - centre) * (up - up.mean())).sum()) / spread
    intercept = float(up.mean()) - slope * centre
    unexplained = float(((up - intercept - slope * across) ** 2).sum())
    total = float(((up - up.mean()) ** 2).sum())
    variance = unexplained / (len(x) - COEFFICIENTS)
    return Line(
        slope=slope,
        intercept=intercept,
        slope_error=math.sqrt(variance / spread),
        intercept_error=math.sqrt(variance * (1 / len(x) + centre**2 / spread)),
        residual=math.sqrt(variance),
        r2=1 - unexplained / total if total else 1.0,
        points=len(x),
        furthest=float(across.max()),
    )
