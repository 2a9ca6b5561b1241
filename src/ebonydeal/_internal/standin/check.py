"""The independent check: callers' logs against endpoints' logs.

It knows nothing of the system in between. Every expected answer is a function
of the request alone, and every endpoint wrote down what it ran.
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
    """A promise that was broken."""

    LOST = "lost"
    """Accepted, and no whole answer came."""
    UNKNOWN = "unknown"
    """The caller was told that the outcome can't be known."""
    DUPLICATED = "duplicated"
    """A request that may run once ran more often."""
    FOREIGN = "foreign"
    """The caller got another request's answer."""
    TOKENS_MISSING = "tokens_missing"
    """The answer lacks tokens."""
    TOKENS_DOUBLED = "tokens_doubled"
    """The answer holds tokens more than once."""
    WRONG = "wrong"
    """The answer is wrong in another way."""
    RAN = "ran_though_not_run"
    """The caller was told "not run", and it ran."""
    NEVER_RAN = "never_ran"
    """The caller has an answer to a call under a key that no endpoint ran."""
    LATE_WORK = "late_work"
    """A leaving endpoint got new work after the grace time."""


class Finding(NamedTuple):
    """One broken promise; ``subject`` is a call id or endpoint id."""

    violation: Violation
    subject: str
    detail: str


class CheckResult(NamedTuple):
    """What the check found.

    Attributes
    ----------
    sent, completed : int
        Requests sent, and those whose caller has the right whole answer.
    by_kind : dict of str to dict
        ``sent`` and ``completed`` of each kind.
    refused : dict of str to int
        Error codes that callers received, whatever came of their repeats.
    not_run : int
        Requests that ended with "not run", and did not run.
    recomputed_tokens : int
        Tokens that engines computed again: prefill of later attempts at a
        request, and tokens written again.
    findings : tuple of Finding
        Every broken promise.
    """

    sent: int
    completed: int
    by_kind: dict[str, dict[str, int]]
    refused: dict[str, int]
    not_run: int
    recomputed_tokens: int
    findings: tuple[Finding, ...]

    def count(self, violation: Violation) -> int:
        """Return how often a promise was broken."""
        return sum(1 for item in self.findings if item.violation is violation)


def _is_subsequence(short: Sequence[str], long: Sequence[str]) -> bool:
    """Return whether ``short`` is ``long`` with some items left out."""
    rest = iter(long)
    return all(item in rest for item in short)


def judge_content(
    received: Sequence[str], expected: Sequence[str], others: set[tuple[str, ...]]
) -> Violation | None:
    """Return what is wrong with an answer, or None.

    Parameters
    ----------
    got, expected : sequence of str
        Tokens, or the one body.
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


def _runs(logs: Iterable[EndpointLog]) -> Counter[str]:
    """Return how often each call digest ran at plain services."""
    runs: Counter[str] = Counter()
    for log in logs:
        if log["kind"] != "service":
            continue
        for entry in log["entries"]:
            runs[entry["digest"]] += bool(entry["ran"])
    return runs


def _attempts(logs: Iterable[EndpointLog]) -> dict[str, list[Mapping[str, Any]]]:
    """Return the attempts at each prompt that engines took, by arrival."""
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
    for entries in _attempts(logs).values():
        reached = entries[0]["position"]
        for entry in entries[1:]:
            total += entry["prefilled"]
            total += max(0, min(reached, entry["position"]) - entry["start"])
            reached = max(reached, entry["position"])
    return total


def _judge_call(
    record: CallRecord, runs: int | None, others: set[tuple[str, ...]]
) -> list[Finding]:
    """Return the promises to one caller that were broken.

    ``runs`` is None where nobody knows how often the request ran.
    """
    call = record.call
    found = []

    def add(violation: Violation, detail: str) -> None:
        found.append(Finding(violation, call.call_id, detail))

    if record.is_complete:
        wrong = judge_content(record.received, call.expected, others)
        if wrong is not None:
            add(wrong, f"{len(record.received)} pieces for {len(call.expected)}")
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


def _late_work(logs: Iterable[EndpointLog]) -> list[Finding]:
    """Return new work that leaving endpoints got too late."""
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


def _runs_of(
    record: CallRecord,
    runs: Counter[str],
    attempts: Mapping[str, Sequence[Mapping[str, Any]]],
) -> int:
    """Return how often a request ran anywhere."""
    digest = record.call.digest
    return runs[digest] + len(attempts.get(digest, ()))


def check(
    records: Sequence[CallRecord], logs: Sequence[EndpointLog] | None
) -> CheckResult:
    """Judge a run.

    Parameters
    ----------
    records : sequence of CallRecord
        Callers' logs.
    logs : sequence of EndpointLog
        Logs of every endpoint that ever lived, as ``GET /log`` gives them. None
        where there are none to look at: then nothing is said of runs.
    """
    known = logs or ()
    runs = _runs(known)
    attempts = _attempts(known)
    others = {record.call.expected for record in records}
    findings: list[Finding] = []
    by_kind: dict[str, dict[str, int]] = {
        str(kind): {"sent": 0, "completed": 0} for kind in CallKind
    }
    refused: Counter[str] = Counter()
    not_run = 0
    for record in records:
        times = None if logs is None else _runs_of(record, runs, attempts)
        found = _judge_call(record, times, others)
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
        recomputed_tokens=recomputed_tokens(known),
        findings=(*findings, *_late_work(known)),
    )
