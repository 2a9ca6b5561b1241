"""A run's figures, for people and programs."""

from collections.abc import Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from ebonydeal._internal.standin.calls import CallKind, CallRecord
from ebonydeal._internal.standin.check import CheckResult, Violation

_US = 1_000_000
_HIGHEST_US = 3_600 * _US
_DIGITS = 3
_SHOWN_FINDINGS = 10
_CONTENT = (
    Violation.FOREIGN,
    Violation.TOKENS_MISSING,
    Violation.TOKENS_DOUBLED,
    Violation.WRONG,
)


def percentiles(seconds: Sequence[float]) -> dict[str, float]:
    """Return the 50th, 95th and 99th percentile, in milliseconds."""
    histogram = HdrHistogram(1, _HIGHEST_US, _DIGITS)
    for value in seconds:
        histogram.record_value(max(1, int(value * _US)))
    if not seconds:
        return {}
    return {
        f"p{quantile}_ms": round(histogram.get_value_at_percentile(quantile) / 1000, 1)
        for quantile in (50, 95, 99)
    }


def _times(records: Sequence[CallRecord], kind: CallKind) -> list[float]:
    """Return the seconds from the first try to the first piece of the answer."""
    return [
        record.first - record.started
        for record in records
        if record.call.kind is kind and record.first
    ]


def summary(
    records: Sequence[CallRecord], result: CheckResult, *, checked_runs: bool = True
) -> dict[str, Any]:
    """Return the figures of a run as one JSON object.

    Parameters
    ----------
    records : sequence of CallRecord
        Callers' logs.
    verdict : Verdict
        Of the same run.
    checked_runs : bool
        Whether the endpoints' logs were there; without them, nothing can be
        said of runs, so that the fields about them are None.
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
        "wrong_content": sum(counts[item] for item in _CONTENT),
        "ran_though_not_run": counts[Violation.RAN] if checked_runs else None,
        "late_work": counts[Violation.LATE_WORK] if checked_runs else None,
        "recomputed_tokens": result.recomputed_tokens if checked_runs else None,
        "reconnects": sum(record.broken_streams for record in records),
        "refused": result.refused,
        "by_kind": result.by_kind,
        "first_answer": {
            str(kind): percentiles(_times(records, kind)) for kind in CallKind
        },
        "findings": [
            f"{item.violation}: {item.subject}: {item.detail}"
            for item in findings[:_SHOWN_FINDINGS]
        ],
    }
