"""Fits a straight line through measured points by least squares, and estimates the errors of the fit."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

from emulator.errors import FitError

MIN_POINTS = 3  # a line always fits two points exactly
COEFFICIENT_COUNT = 2  # coefficients of a line, and therefore the degrees of freedom that a fit uses


class Line(NamedTuple):
    """The line y = intercept + slope * x, with standard errors in the units of y and of y per x."""

    slope: float
    intercept: float
    slope_error: float
    intercept_error: float
    residual: float  # standard deviation of the points from the line, in the units of y
    r2: float  # share of the variance that the line explains; 1 if there is no variance
    points: int
    max_x: float  # largest measured x

    def value_at(self, x: float) -> float:
        """Return the y of the line at this x."""
        return self.intercept + self.slope * x

    def error_at(self, x: float) -> float:
        """Return an upper bound on the standard error of `value_at`: the sum of both coefficients' errors."""
        return self.intercept_error + self.slope_error * abs(x)


def fit(x: Sequence[float], y: Sequence[float]) -> Line:
    """Fit a line.

    Raises:
        FitError: there are fewer than three points, or all have the same x.
    """
    if len(x) != len(y) or len(x) < MIN_POINTS:
        raise FitError(f"expects {MIN_POINTS} points or more, got {len(x)} values of x and {len(y)} of y")
    x_values, y_values = np.asarray(x, dtype=float), np.asarray(y, dtype=float)
    x_mean = float(x_values.mean())
    x_squares = float(((x_values - x_mean) ** 2).sum())
    if x_squares == 0:
        raise FitError("expects different values of x, got one x for all points")
    slope = float(((x_values - x_mean) * (y_values - y_values.mean())).sum()) / x_squares
    intercept = float(y_values.mean()) - slope * x_mean
    residual_squares = float(((y_values - intercept - slope * x_values) ** 2).sum())
    total_squares = float(((y_values - y_values.mean()) ** 2).sum())
    variance = residual_squares / (len(x) - COEFFICIENT_COUNT)
    return Line(
        slope=slope,
        intercept=intercept,
        slope_error=math.sqrt(variance / x_squares),
        intercept_error=math.sqrt(variance * (1 / len(x) + x_mean**2 / x_squares)),
        residual=math.sqrt(variance),
        r2=1 - residual_squares / total_squares if total_squares else 1.0,
        points=len(x),
        max_x=float(x_values.max()),
    )
