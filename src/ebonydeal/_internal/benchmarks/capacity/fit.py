"""Straight lines through measured points."""

from collections.abc import Sequence
from statistics import correlation, linear_regression
from typing import NamedTuple


class Point(NamedTuple):
    """One measurement: ``value`` at ``size``."""

    size: float
    value: float


class Slope(NamedTuple):
    """A measured line ``value = intercept + slope * size``.

    Attributes
    ----------
    key : str
        Name by which the capacity model refers to it.
    what, per : str
        What is measured, with its unit, and what a step of size is.
    slope, intercept : float
        In the unit of ``what``.
    r2 : float
        Share of the variance that the line explains, 0 to 1.
    low, high : float
        Range of sizes that was measured.
    """

    key: str
    what: str
    per: str
    slope: float
    intercept: float
    r2: float
    low: float
    high: float

    def at(self, size: float) -> float:
        """Return the line's value at ``size``; never below 0."""
        return max(0.0, self.intercept + self.slope * size)


def fit(key: str, what: str, per: str, points: Sequence[Point]) -> Slope:
    """Return the least-squares line through at least three points."""
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    slope, intercept = linear_regression(sizes, values)
    flat = max(values) == min(values)
    r2 = 1.0 if flat else correlation(sizes, values) ** 2
    return Slope(key, what, per, slope, intercept, r2, min(sizes), max(sizes))
