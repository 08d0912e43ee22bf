"""Least-squares lines through measured points."""

from collections.abc import Sequence
from math import sqrt
from typing import NamedTuple

__all__ = ["Fit", "fit_line"]


class Fit(NamedTuple):
    """A least-squares line; `error` is the standard error of the slope."""

    slope: float
    intercept: float
    r_squared: float
    error: float

    def value_at(self, x: float) -> float:
        """Return the line's value at `x`."""
        return self.intercept + self.slope * x


def fit_line(points: Sequence[tuple[float, float]]) -> Fit:
    """Return the least-squares line through at least three points, not all with the same x."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    rest = sum((y - intercept - slope * x) ** 2 for x, y in points)
    total = sum((y - mean_y) ** 2 for _, y in points)
    r_squared = 1.0 - rest / total if total else 1.0
    return Fit(slope, intercept, r_squared, sqrt(rest / (count - 2) / spread))
