"""Metrics of one program in the Prometheus text format."""

from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.core import CounterMetricFamily, SummaryMetricFamily
from prometheus_client.registry import Collector

from ebonydeal._internal.observe.timing_summary import TimingSummary

# Label name and help text of each counter family.
_FAMILIES = {
    "refusals": ("reason", "Requests refused, by reason."),
    "retries": ("reason", "Further attempts, by reason."),
    "events": ("event", "Events."),
}


class _MetricsCollector(Collector):
    """Exports counts as counters, and histograms as summaries in seconds."""

    def __init__(
        self,
        counts: Mapping[str, Mapping[str, float]],
        timings: Mapping[str, TimingSummary],
    ) -> None:
        self._counts = counts
        self._timings = timings

    def collect(self) -> Iterator[CounterMetricFamily | SummaryMetricFamily]:
        """Yield one metric family for each kind of count and each timing."""
        for name, (label, text) in _FAMILIES.items():
            counter = CounterMetricFamily(f"ebonydeal_{name}", text, labels=[label])
            for value, count in self._counts[name].items():
                counter.add_metric([value], count)
            yield counter
        for timing, timing_summary in self._timings.items():
            name = f"ebonydeal_{timing}_seconds"
            summary = SummaryMetricFamily(name, f"Time: {timing}.", labels=["quantile"])
            for percent, seconds in timing_summary.quantiles.items():
                summary.add_sample(name, {"quantile": str(percent / 100)}, seconds)
            summary.add_sample(f"{name}_count", {}, timing_summary.samples)
            yield summary


def render_metrics(
    counts: Mapping[str, Mapping[str, float]], timings: Mapping[str, TimingSummary]
) -> bytes:
    """Return the text of all metrics."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    registry.register(_MetricsCollector(counts, timings))
    return generate_latest(registry)
