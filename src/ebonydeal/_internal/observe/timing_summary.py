"""Summary of a latency histogram."""

from typing import NamedTuple


class TimingSummary(NamedTuple):
    """Summary of a histogram: seconds by percentile, and the number of samples."""

    quantiles: dict[float, float]
    samples: int
