"""Independent check of the callers' records against the endpoints' logs.

It does not depend on the system between them. Every expected answer is a
function of the request alone, and every endpoint logs what it runs.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from ebonydeal._internal.errors import Outcome
from ebonydeal._internal.standin.calls import CallKind, CallRecord

LEAVING_GRACE_S = 3.0
EndpointLog = Mapping[str, Any]


class Violation(StrEnum):
    """A guarantee that was violated."""

    LOST = "lost"
    """An accepted request has no complete answer."""
    UNKNOWN = "unknown"
    """The caller was told that the outcome is unknown."""
    DUPLICATED = "duplicated"
    """A request that may run at most once ran more often."""
    FOREIGN = "foreign"
    """The caller received another request's answer."""
    TOKENS_MISSING = "tokens_missing"
    """The answer lacks tokens."""
    TOKENS_DOUBLED = "tokens_doubled"
    """The answer contains tokens more than once."""
    WRONG = "wrong"
    """The answer is wrong in another way."""
    RAN = "ran_though_not_run"
    """The caller was told "not run", but the request ran."""
    NEVER_RAN = "never_ran"
    """The caller has an answer to a call with a key that no endpoint ran."""
    LATE_WORK = "late_work"
    """A leaving endpoint received new work after the grace period."""


class Finding(NamedTuple):
    """One violation; ``subject`` is a call id or an endpoint id."""

    violation: Violation
    subject: str
    detail: str


class CheckResult(NamedTuple):
    """Result of the check.

    Attributes
    ----------
    sent, completed : int
        Requests sent, and those whose caller has the complete correct answer.
    by_kind : dict of str to dict
        ``sent`` and ``completed`` by kind of request.
    refused : dict of str to int
        Error codes that callers received, including those of retried attempts.
    not_run : int
        Requests that ended as "not run" and did not run.
    recomputed_tokens : int
        Tokens that engines computed again: prefill of later attempts at a
        request, and tokens generated again.
    findings : tuple of Finding
        All violations.
    """

    sent: int
    completed: int
    by_kind: dict[str, dict[str, int]]
    refused: dict[str, int]
    not_run: int
    recomputed_tokens: int
    findings: tuple[Finding, ...]

    def count(self, violation: Violation) -> int:
        """Return how often a guarantee was violated."""
        return sum(1 for item in self.findings if item.violation is violation)


def _is_subsequence(short: Sequence[str], long: Sequence[str]) -> bool:
    """Return whether ``short`` is ``long`` without some of its items."""
    remaining = iter(long)
    return all(item in remaining for item in short)


def check_content(
    received: Sequence[str], expected: Sequence[str], others: set[tuple[str, ...]]
) -> Violation | None:
    """Return the violation in an answer's content, or None.

    Parameters
    ----------
    got, expected : sequence of str
        Tokens, or the whole body as one item.
    others : set of tuple of str
        Expected answers of all requests.
    """
    if tuple(received) == tuple(expected):
        return None
    if tuple(received) in others:
        return Violation.FOREIGN
    if len(received) < len(expected) and _is_subsequence(received, expected):
        return Violation.TOKENS_MISSING
    if len(received) > len(expected) and _is_subsequence(expected, received):
        if set(received) == set(expected):
            return Violation.TOKENS_DOUBLED
    return Violation.WRONG


def _count_runs(logs: Iterable[EndpointLog]) -> Counter[str]:
    """Return how often each call ran at plain services, by digest."""
    runs: Counter[str] = Counter()
    for log in logs:
        if log["kind"] != "service":
            continue
        for entry in log["entries"]:
            runs[entry["digest"]] += bool(entry["ran"])
    return runs


def _attempts_by_digest(
    logs: Iterable[EndpointLog],
) -> dict[str, list[Mapping[str, Any]]]:
    """Return the attempts that engines started, by digest, in order of arrival."""
    attempts: dict[str, list[Mapping[str, Any]]] = defaultdict(list)
    for log in logs:
        if log["kind"] != "engine":
            continue
        for entry in log["entries"]:
            if entry["state"] not in ("not_started", "queued"):
                attempts[entry["digest"]].append(entry)
    for entries in attempts.values():
        entries.sort(key=lambda entry: entry["at"])
    return attempts


def recomputed_tokens(logs: Iterable[EndpointLog]) -> int:
    """Return the tokens that engines computed more than once for a request."""
    total = 0
    for entries in _attempts_by_digest(logs).values():
        reached = entries[0]["position"]
        for entry in entries[1:]:
            total += entry["prefilled"]
            total += max(0, min(reached, entry["position"]) - entry["start"])
            reached = max(reached, entry["position"])
    return total


def _check_call(
    record: CallRecord, runs: int | None, others: set[tuple[str, ...]]
) -> list[Finding]:
    """Return the violations of one request.

    ``runs`` is None if it is unknown how often the request ran.
    """
    call = record.call
    found = []

    def add(violation: Violation, detail: str) -> None:
        found.append(Finding(violation, call.call_id, detail))

    if record.is_complete:
        violation = check_content(record.received, call.expected, others)
        if violation is not None:
            add(violation, f"{len(record.received)} pieces for {len(call.expected)}")
        if call.kind is CallKind.COMMIT and runs == 0:
            add(Violation.NEVER_RAN, "answered without a run")
    elif record.outcome is Outcome.UNKNOWN:
        add(Violation.UNKNOWN, f"after {record.attempts} tries")
    elif record.accepted or record.outcome is None:
        add(Violation.LOST, f"{len(record.received)} pieces of {len(call.expected)}")
    elif runs:
        add(Violation.RAN, f"ran {runs} times")
    if call.kind is CallKind.COMMIT and runs is not None and runs > 1:
        add(Violation.DUPLICATED, f"ran {runs} times")
    return found


def _find_late_work(logs: Iterable[EndpointLog]) -> list[Finding]:
    """Return work that leaving endpoints received after the grace period."""
    found = []
    for log in logs:
        for entry in log["entries"]:
            after = entry["after_leaving"]
            if after is not None and after > LEAVING_GRACE_S:
                found.append(
                    Finding(
                        Violation.LATE_WORK,
                        log["endpoint_id"],
                        f"{after:.2f} s after it began to leave",
                    )
                )
    return found


def _total_runs(
    record: CallRecord,
    runs: Counter[str],
    attempts: Mapping[str, Sequence[Mapping[str, Any]]],
) -> int:
    """Return how often a request ran at all endpoints together."""
    digest = record.call.digest
    return runs[digest] + len(attempts.get(digest, ()))


def check(
    records: Sequence[CallRecord], logs: Sequence[EndpointLog] | None
) -> CheckResult:
    """Check a run.

    Parameters
    ----------
    records : sequence of CallRecord
        Records of the callers.
    logs : sequence of EndpointLog
        Logs of all endpoints that ever existed, as ``GET /log`` returns them. None
        if they are not available: then runs are not checked.
    """
    known_logs = logs or ()
    runs = _count_runs(known_logs)
    attempts = _attempts_by_digest(known_logs)
    others = {record.call.expected for record in records}
    findings: list[Finding] = []
    by_kind: dict[str, dict[str, int]] = {
        str(kind): {"sent": 0, "completed": 0} for kind in CallKind
    }
    refused: Counter[str] = Counter()
    not_run = 0
    for record in records:
        run_count = None if logs is None else _total_runs(record, runs, attempts)
        found = _check_call(record, run_count, others)
        findings += found
        refused += record.refusals
        counts = by_kind[str(record.call.kind)]
        counts["sent"] += 1
        counts["completed"] += record.is_complete and not found
        not_run += record.outcome is Outcome.NOT_RUN and not found
    return CheckResult(
        sent=len(records),
        completed=sum(counts["completed"] for counts in by_kind.values()),
        by_kind=by_kind,
        refused=dict(sorted(refused.items())),
        not_run=not_run,
        recomputed_tokens=recomputed_tokens(known_logs),
        findings=(*findings, *_find_late_work(known_logs)),
    )
