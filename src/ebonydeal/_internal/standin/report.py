"""Summary of a run."""

from collections.abc import Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from ebonydeal._internal.standin.calls import CallKind, CallRecord
from ebonydeal._internal.standin.check import CheckResult, Violation

_US = 1_000_000
_MAX_US = 3_600 * _US
_SIGNIFICANT_DIGITS = 3
_MAX_SHOWN_FINDINGS = 10
_CONTENT_VIOLATIONS = (
    Violation.FOREIGN,
    Violation.TOKENS_MISSING,
    Violation.TOKENS_DOUBLED,
    Violation.WRONG,
)


def percentiles(seconds: Sequence[float]) -> dict[str, float]:
    """Return the 50th, 95th and 99th percentile, in milliseconds."""
    histogram = HdrHistogram(1, _MAX_US, _SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(1, int(value * _US)))
    if not seconds:
        return {}
    return {
        f"p{quantile}_ms": round(histogram.get_value_at_percentile(quantile) / 1000, 1)
        for quantile in (50, 95, 99)
    }


def _first_answer_times(records: Sequence[CallRecord], kind: CallKind) -> list[float]:
    """Return the seconds from the first attempt to the first piece of the answer."""
    return [
        record.first_at - record.started_at
        for record in records
        if record.call.kind is kind and record.first_at
    ]


def summary(
    records: Sequence[CallRecord], result: CheckResult, *, checked_runs: bool = True
) -> dict[str, Any]:
    """Return the summary of a run as one JSON object.

    Parameters
    ----------
    records : sequence of CallRecord
        Records of the callers.
    result : CheckResult
        Result of the check of the same run.
    checked_runs : bool
        Whether the endpoints' logs were available; without them, the fields
        about runs are None.
    """
    findings = result.findings
    counts = {violation: result.count(violation) for violation in Violation}
    return {
        "ok": not findings,
        "sent": result.sent,
        "completed": result.completed,
        "not_run": result.not_run,
        "lost": counts[Violation.LOST],
        "duplicated": counts[Violation.DUPLICATED] if checked_runs else None,
        "unknown": counts[Violation.UNKNOWN],
        "wrong_content": sum(counts[item] for item in _CONTENT_VIOLATIONS),
        "ran_though_not_run": counts[Violation.RAN] if checked_runs else None,
        "late_work": counts[Violation.LATE_WORK] if checked_runs else None,
        "recomputed_tokens": result.recomputed_tokens if checked_runs else None,
        "reconnects": sum(record.broken_streams for record in records),
        "refused": result.refused,
        "by_kind": result.by_kind,
        "first_answer": {
            str(kind): percentiles(_first_answer_times(records, kind))
            for kind in CallKind
        },
        "findings": [
            f"{item.violation}: {item.subject}: {item.detail}"
            for item in findings[:_MAX_SHOWN_FINDINGS]
        ],
    }
