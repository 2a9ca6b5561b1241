"""A histogram as it is shown."""

from typing import NamedTuple


class TimingSummary(NamedTuple):
    """A histogram as it is shown: seconds by percentile, and its samples."""

    quantiles: dict[float, float]
    samples: int
