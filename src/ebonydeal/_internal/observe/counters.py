"""Counters and latency histograms of one program.

Refusals are counted by `ErrorKind`, retries by `RetryReason`, all else by
`Event`: closed lists, so that a monitoring page knows every series beforehand.
"""

from collections.abc import Iterator
from enum import StrEnum

from hdrh.histogram import HdrHistogram
from prometheus_client import (
    CollectorRegistry,
    Counter,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.registry import Collector

from ebonydeal._internal.errors import ErrorKind

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_DIGITS = 2
_QUANTILES = (50.0, 95.0, 99.0)
_US = 1_000_000


class RetryReason(StrEnum):
    """Why a further attempt was made."""

    CONNECT_FAILED = "connect_failed"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_STALLED = "endpoint_stalled"
    STREAM_RESUMED = "stream_resumed"
    LEAVING = "leaving"
    HEDGE = "hedge"
    STORE = "store"
    WRONG_OWNER = "wrong_owner"
    TAKEOVER = "takeover"


class Event(StrEnum):
    """What else is counted."""

    # gateway
    REQUESTS = "requests"
    ANSWERED = "answered"
    TOKENS_OUT = "tokens_out"
    TOKENS_RECOMPUTED_RESUME = "tokens_recomputed_resume"
    TOKENS_RECOMPUTED_RECLAIM = "tokens_recomputed_reclaim"
    TOKENS_RECOMPUTED_STALL = "tokens_recomputed_stall"
    TOKENS_RECOMPUTED_RECONNECT = "tokens_recomputed_reconnect"
    TOKENS_RECOMPUTED_PREFIX = "tokens_recomputed_prefix"
    KV_IMPORTED = "kv_imported"
    KV_EXPORT_FAILED = "kv_export_failed"
    CANCELS_SENT = "cancels_sent"
    STREAMS_MOVED = "streams_moved"
    STREAMS_RECONNECTED = "streams_reconnected"
    LATE_ANSWER_DROPPED = "late_answer_dropped"
    # journal
    TABLE_READS = "table_reads"
    TABLE_WRITES = "table_writes"
    RECORDS_APPENDED = "records_appended"
    APPENDS_IN_DOUBT = "appends_in_doubt"
    APPENDS_FENCED = "appends_fenced"
    TAKEOVERS = "takeovers"
    SNAPSHOTS = "snapshots"
    # configuration
    CONFIG_ADOPTED = "config_adopted"
    CONFIG_OLDER_IGNORED = "config_older_ignored"
    # peers
    PEER_ROUNDS = "peer_rounds"
    PEER_BYTES_OUT = "peer_bytes_out"
    PEER_UNREACHABLE = "peer_unreachable"
    LEAVING_MARKED = "leaving_marked"
    # controller
    INSTANCES_STARTED = "instances_started"
    INSTANCES_STOPPED = "instances_stopped"
    STARTS_REFUSED = "starts_refused"
    CEILING_HELD = "ceiling_held"
    ORDERS_SENT = "orders_sent"
    ORDERS_STALE = "orders_stale"


class Timing(StrEnum):
    """What is timed."""

    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    REQUEST = "request"
    QUEUE = "queue"
    APPEND = "append"
    TAKEOVER = "takeover"
    CONFIG_SPREAD = "config_spread"


class _TimingCollector(Collector):
    """Shows the histograms as summaries, in seconds."""

    def __init__(self, histograms: dict[Timing, HdrHistogram]) -> None:
        self._histograms = histograms

    def collect(self) -> Iterator[SummaryMetricFamily]:
        """Yield one family for each timing that has samples."""
        for timing, histogram in self._histograms.items():
            name = f"ebonydeal_{timing}_seconds"
            family = SummaryMetricFamily(name, f"Time: {timing}.", labels=["quantile"])
            for quantile in _QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / _US
                family.add_sample(name, {"quantile": str(quantile / 100)}, value)
            count = histogram.get_total_count()
            family.add_sample(f"{name}_count", {}, count)
            yield family


class Metrics:
    """All counters and histograms of one program."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self._refusals = Counter(
            "ebonydeal_refusals",
            "Requests refused, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self._retries = Counter(
            "ebonydeal_retries",
            "Further attempts, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self._events = Counter(
            "ebonydeal_events", "Events.", ["event"], registry=self.registry
        )
        self._histograms = {
            timing: HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS) for timing in Timing
        }
        self.registry.register(_TimingCollector(self._histograms))

    def refused(self, kind: ErrorKind) -> None:
        """Count one refusal."""
        self._refusals.labels(str(kind)).inc()

    def retried(self, reason: RetryReason) -> None:
        """Count one further attempt."""
        self._retries.labels(str(reason)).inc()

    def count(self, event: Event, amount: float = 1) -> None:
        """Count an event ``amount`` times."""
        self._events.labels(str(event)).inc(amount)

    def timed(self, timing: Timing, seconds: float) -> None:
        """Record one duration."""
        self._histograms[timing].record_value(max(_LOWEST_US, int(seconds * _US)))

    def quantile(self, timing: Timing, percent: float) -> float:
        """Return a percentile of a timing, in seconds."""
        return self._histograms[timing].get_value_at_percentile(percent) / _US

    def value(self, name: str, label: str) -> float:
        """Return a counter's value: ``refusals``, ``retries`` or ``events``."""
        counter = {
            "refusals": self._refusals,
            "retries": self._retries,
            "events": self._events,
        }[name]
        return counter.labels(label)._value.get()

    def text(self) -> bytes:
        """Return the page that monitoring systems read."""
        return generate_latest(self.registry)

    def refusals(self) -> dict[str, int]:
        """Return refusals by reason, without zeros."""
        return self._by_label("ebonydeal_refusals")

    def retries(self) -> dict[str, int]:
        """Return retries by reason, without zeros."""
        return self._by_label("ebonydeal_retries")

    def events(self) -> dict[str, int]:
        """Return events by name, without zeros."""
        return self._by_label("ebonydeal_events")

    def _by_label(self, family: str) -> dict[str, int]:
        """Return one counter family by its only label."""
        counts = {}
        for metric in self.registry.collect():
            if metric.name != family:
                continue
            for sample in metric.samples:
                if sample.name.endswith("_total") and sample.value:
                    label = next(iter(sample.labels.values()))
                    counts[label] = int(sample.value)
        return counts
