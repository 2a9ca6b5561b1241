"""The page that monitoring systems read, from a program's counts."""

from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.core import CounterMetricFamily, SummaryMetricFamily
from prometheus_client.registry import Collector

from ebonydeal._internal.observe.timing_summary import TimingSummary

# What each family's only label is called, and what it counts.
_FAMILIES = {
    "refusals": ("reason", "Requests refused, by reason."),
    "retries": ("reason", "Further attempts, by reason."),
    "events": ("event", "Events."),
}


class _Counts(Collector):
    """Shows counts as counters, and histograms as summaries in seconds."""

    def __init__(
        self,
        counts: Mapping[str, Mapping[str, float]],
        timings: Mapping[str, TimingSummary],
    ) -> None:
        self._counts = counts
        self._timings = timings

    def collect(self) -> Iterator[CounterMetricFamily | SummaryMetricFamily]:
        """Yield one family for each kind of count, and for each timing."""
        for name, (label, text) in _FAMILIES.items():
            counter = CounterMetricFamily(f"ebonydeal_{name}", text, labels=[label])
            for value, count in self._counts[name].items():
                counter.add_metric([value], count)
            yield counter
        for timing, row in self._timings.items():
            name = f"ebonydeal_{timing}_seconds"
            summary = SummaryMetricFamily(name, f"Time: {timing}.", labels=["quantile"])
            for percent, seconds in row.quantiles.items():
                summary.add_sample(name, {"quantile": str(percent / 100)}, seconds)
            summary.add_sample(f"{name}_count", {}, row.samples)
            yield summary


def render_metrics(
    counts: Mapping[str, Mapping[str, float]], timings: Mapping[str, TimingSummary]
) -> bytes:
    """Return the page."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    registry.register(_Counts(counts, timings))
    return generate_latest(registry)
