"""Counters and latency histograms of one program.

Refusals are counted by `ErrorKind`, retries by `RetryReason`, everything else by
`Event`. These are enums, so that dashboards know every series in advance.
"""

from enum import StrEnum

from hdrh.histogram import HdrHistogram

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.observe.timing_summary import TimingSummary

_MIN_US = 1
_MAX_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 95.0, 99.0)
_US_PER_S = 1_000_000


class RetryReason(StrEnum):
    """Why a request was retried or hedged."""

    CONNECT_FAILED = "connect_failed"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_STALLED = "endpoint_stalled"
    SOONER_ELSEWHERE = "sooner_elsewhere"
    STREAM_RESUMED = "stream_resumed"
    LEAVING = "leaving"
    HEDGE = "hedge"
    STORE = "store"
    WRONG_OWNER = "wrong_owner"
    TAKEOVER = "takeover"


class Event(StrEnum):
    """Everything else that is counted."""

    # gateway
    REQUESTS = "requests"
    ANSWERED = "answered"
    TOKENS_OUT = "tokens_out"
    CLIENTS_CLOSED_FOR_ROOM = "clients_closed_for_room"
    CLIENTS_TIMED_OUT = "clients_timed_out"
    STREAMS_BROKEN_OFF = "streams_broken_off"
    STOPPED_STREAMS_BROKEN_OFF = "stopped_streams_broken_off"
    STREAMS_AWAITING_RETRY = "streams_awaiting_retry"
    RUNS_SILENT = "runs_silent"
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
    # relay
    ENTRIES_UNREADABLE = "entries_unreadable"
    ENTRIES_MISSING = "entries_missing"
    CONFIGURATIONS_UNREADABLE = "configurations_unreadable"
    ENDPOINTS_CRASHED = "endpoints_crashed"
    REQUESTS_QUARANTINED = "requests_quarantined"
    PROMPT_PARTS_QUARANTINED = "prompt_parts_quarantined"
    ROLLOUT_ORDERS_UNREADABLE = "rollout_orders_unreadable"
    ROLLOUTS_COMPLETED = "rollouts_completed"
    ROLLOUTS_ROLLED_BACK = "rollouts_rolled_back"
    SENT_TO_NEW_VERSION = "sent_to_new_version"
    NEW_VERSION_FAILED = "new_version_failed"
    ADMITTED_IN_ADVANCE = "admitted_in_advance"
    ADMITTED_BY_GRANT = "admitted_by_grant"
    ADMITTED_BY_STAND_IN = "admitted_by_stand_in"
    ADMITTED_ALONE = "admitted_alone"
    ENDPOINT_LIMITS_CHANGED = "endpoint_limits_changed"
    ENDPOINT_PERMITS_GRANTED = "endpoint_permits_granted"
    ENDPOINT_PERMITS_REFUSED = "endpoint_permits_refused"
    ENDPOINTS_RESTED = "endpoints_rested"
    ENDPOINTS_SAID_LEAVING = "endpoints_said_leaving"
    NOTICES_UNREADABLE = "notices_unreadable"
    BRITTLE_ENDPOINTS_AVOIDED = "brittle_endpoints_avoided"
    CLOSE_DELIMITED_ANSWERS = "close_delimited_answers"
    TRUNCATED_ANSWERS = "truncated_answers"
    LATE_COPIES = "late_copies"
    JOINED_ANSWERS = "joined_answers"
    STREAMS_RESUMED_BY_CLIENTS = "streams_resumed_by_clients"
    STORE_RESTORED = "store_restored"
    TASKS_FAILED = "tasks_failed"
    LINKS_LOST = "links_lost"
    LINKS_RESTORED = "links_restored"
    FORWARDED_THROUGH_RELAY = "forwarded_through_relay"
    FORWARDED_FOR_RELAY = "forwarded_for_relay"
    FORWARDING_FAILED = "forwarding_failed"
    SHORTAGES = "shortages"
    SHARES_EXCEEDED = "shares_exceeded"
    SHARES_INVALID = "shares_invalid"
    TICKETS_ISSUED = "tickets_issued"
    TICKETS_USED = "tickets_used"
    TICKETS_EARLY = "tickets_early"
    TICKETS_EXPIRED = "tickets_expired"
    TICKETS_REJECTED = "tickets_rejected"
    CAPACITY_CHANGED = "capacity_changed"
    CAPACITIES_REFUSED = "capacities_refused"
    SENDS_KEPT_WAITING = "sends_kept_waiting"
    PLAIN_SHED_BY_EXPECTATION = "plain_shed_by_expectation"
    PLAIN_SHED_AFTER_REJECTION = "plain_shed_after_rejection"


class Timing(StrEnum):
    """Durations that are recorded."""

    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    REQUEST = "request"
    QUEUE = "queue"
    APPEND = "append"
    TAKEOVER = "takeover"
    CONFIG_SPREAD = "config_spread"
    LIST_AGE = "list_age"
    CONFIG_AGE = "config_age"


class Metrics:
    """All counters and histograms of one program."""

    def __init__(self) -> None:
        self._counts: dict[str, dict[str, float]] = {
            "refusals": {},
            "retries": {},
            "events": {},
        }
        self._histograms = {
            timing: HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)
            for timing in Timing
        }

    def count_refusal(self, kind: ErrorKind) -> None:
        """Count a refused request."""
        self._add("refusals", str(kind), 1)

    def count_retry(self, reason: RetryReason) -> None:
        """Count a retry."""
        self._add("retries", str(reason), 1)

    def count(self, event: Event, amount: float = 1) -> None:
        """Count an event ``amount`` times."""
        self._add("events", str(event), amount)

    def _add(self, family: str, label: str, amount: float) -> None:
        counts = self._counts[family]
        counts[label] = counts.get(label, 0) + amount

    def record_duration(self, timing: Timing, seconds: float) -> None:
        """Record one duration."""
        self._histograms[timing].record_value(max(_MIN_US, int(seconds * _US_PER_S)))

    def quantile(self, timing: Timing, percent: float) -> float:
        """Return a percentile of a timing, in seconds."""
        return self._histograms[timing].get_value_at_percentile(percent) / _US_PER_S

    def value(self, name: str, label: str) -> float:
        """Return a count; ``name`` is ``refusals``, ``retries`` or ``events``."""
        return self._counts[name].get(label, 0)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        # Imported here because loading the library takes 40 ms, and the metrics are
        # requested long after the start.
        from ebonydeal._internal.observe.exposition import render_metrics

        timings = {
            str(timing): TimingSummary(
                {percent: self.quantile(timing, percent) for percent in _PERCENTILES},
                histogram.get_total_count(),
            )
            for timing, histogram in self._histograms.items()
        }
        return render_metrics(self._counts, timings)

    def refusals(self) -> dict[str, int]:
        """Return the non-zero counts of refusals by reason."""
        return self._by_label("refusals")

    def retries(self) -> dict[str, int]:
        """Return the non-zero counts of retries by reason."""
        return self._by_label("retries")

    def events(self) -> dict[str, int]:
        """Return the non-zero counts of events by name."""
        return self._by_label("events")

    def _by_label(self, family: str) -> dict[str, int]:
        counts = self._counts[family].items()
        return {label: int(value) for label, value in counts if value}
