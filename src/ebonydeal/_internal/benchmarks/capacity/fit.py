"""Least-squares lines through measured points."""

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
        Name in the capacity model.
    what, per : str
        What is measured, with its unit, and the unit of size.
    slope, intercept : float
        In the unit of ``what``.
    r2 : float
        Coefficient of determination, 0 to 1.
    low, high : float
        Smallest and largest size measured.
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
        """Return the line's value at ``size``, at least 0."""
        return max(0.0, self.intercept + self.slope * size)


def fit(key: str, what: str, per: str, points: Sequence[Point]) -> Slope:
    """Return the least-squares line through at least three points."""
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    slope, intercept = linear_regression(sizes, values)
    flat = max(values) == min(values)
    r2 = 1.0 if flat else correlation(sizes, values) ** 2
    return Slope(key, what, per, slope, intercept, r2, min(sizes), max(sizes))
