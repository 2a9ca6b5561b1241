import pytest

from ebonydeal._internal.errors import Outcome
from ebonydeal._internal.standin.calls import (
    CallKind,
    CallRecord,
    chat_call,
    service_call,
)
from ebonydeal._internal.standin.check import Violation, check, check_content

STREAM = chat_call(CallKind.STREAM, "s-1", "covers", "a prompt", 5)
OTHER = chat_call(CallKind.STREAM, "s-2", "covers", "another prompt", 5)
DEFERRED = chat_call(CallKind.DEFERRED, "d-1", "covers", "a third prompt", 5)
COMMIT = service_call(CallKind.COMMIT, "c-1", "paperwork", "POST", "/commit", b"c-1")
LOOKUP = service_call(CallKind.LOOKUP, "l-1", "paperwork", "GET", "/labels/1", b"")


def record(call, outcome=Outcome.ANSWERED, received=None, **fields):
    if received is None:
        received = call.expected if outcome is Outcome.ANSWERED else ()
    return CallRecord(call, received=list(received), outcome=outcome, **fields)


def attempt(call, start=0, position=5, prefilled=10, state="finished", at=1.0, **more):
    entry = {
        "digest": call.digest,
        "start": start,
        "position": position,
        "prefilled": prefilled,
        "state": state,
        "at": at,
        "after_leaving": None,
    }
    return {"endpoint_id": "i-1", "kind": "engine", "entries": [{**entry, **more}]}


def run(call, ran=True, after_leaving=None):
    entry = {"digest": call.digest, "ran": ran, "after_leaving": after_leaving}
    return {"endpoint_id": "i-2", "kind": "service", "entries": [entry]}


def violations(records, logs):
    return [(item.violation, item.subject) for item in check(records, logs).findings]


class TestCleanRun:
    def test_clean_run_has_no_findings_and_all_counts(self):
        records = [
            record(STREAM, refusals={"queue_full": 2}),
            record(OTHER, Outcome.NOT_RUN, refusals={"queue_full": 1}),
            record(DEFERRED),
            record(COMMIT),
            record(LOOKUP),
        ]
        logs = [
            attempt(STREAM),
            attempt(DEFERRED),
            run(COMMIT),
            run(LOOKUP),
            run(LOOKUP),
        ]
        verdict = check(records, logs)
        assert verdict.findings == ()
        assert (verdict.sent, verdict.completed, verdict.not_run) == (5, 4, 1)
        assert verdict.by_kind == {
            "stream": {"sent": 2, "completed": 1},
            "lookup": {"sent": 1, "completed": 1},
            "deferred": {"sent": 1, "completed": 1},
            "commit": {"sent": 1, "completed": 1},
        }
        assert verdict.refused == {"queue_full": 3}
        assert verdict.recomputed_tokens == 0


class TestPlantedViolations:
    @pytest.mark.parametrize(
        ("bad", "logs", "violation"),
        [
            (record(DEFERRED, None, accepted=True), [], Violation.LOST),
            (record(DEFERRED, Outcome.NOT_RUN, accepted=True), [], Violation.LOST),
            (record(STREAM, None, STREAM.expected[:2], accepted=True), [], "lost"),
            (record(LOOKUP, None), [], Violation.LOST),
            (record(COMMIT, Outcome.UNKNOWN), [run(COMMIT)], Violation.UNKNOWN),
            (record(COMMIT), [run(COMMIT), run(COMMIT)], Violation.DUPLICATED),
            (record(COMMIT), [run(COMMIT, ran=False)], Violation.NEVER_RAN),
            (record(COMMIT, Outcome.NOT_RUN), [run(COMMIT)], Violation.RAN),
            (record(STREAM, Outcome.NOT_RUN), [attempt(STREAM)], Violation.RAN),
            (
                record(STREAM, received=STREAM.expected[:4]),
                [],
                Violation.TOKENS_MISSING,
            ),
            (
                record(STREAM, received=STREAM.expected[1:]),
                [],
                Violation.TOKENS_MISSING,
            ),
            (
                record(STREAM, received=STREAM.expected[:3] + STREAM.expected[2:]),
                [],
                Violation.TOKENS_DOUBLED,
            ),
            (record(STREAM, received=STREAM.expected[::-1]), [], Violation.WRONG),
            (record(LOOKUP, received=["{}"]), [], Violation.WRONG),
        ],
    )
    def test_each_violation_is_the_only_finding(self, bad, logs, violation):
        found = violations([bad, record(OTHER)], logs)
        assert found == [(violation, bad.call.call_id)]

    def test_answer_of_another_request_is_found(self):
        records = [record(STREAM, received=OTHER.expected), record(OTHER)]
        assert violations(records, []) == [(Violation.FOREIGN, "s-1")]
        assert check(records, []).completed == 1

    def test_duplicate_with_a_lost_answer_gives_both_violations(self):
        bad = record(COMMIT, Outcome.UNKNOWN)
        assert violations([bad], [run(COMMIT), run(COMMIT)]) == [
            (Violation.UNKNOWN, "c-1"),
            (Violation.DUPLICATED, "c-1"),
        ]

    def test_late_work_on_a_leaving_endpoint_is_found(self):
        logs = [run(LOOKUP, after_leaving=2.9), run(LOOKUP, after_leaving=3.1)]
        assert violations([], logs) == [(Violation.LATE_WORK, "i-2")]


class TestRecomputedTokens:
    def test_counts_prefill_and_repeated_tokens_of_later_attempts(self):
        logs = [
            attempt(STREAM, 3, 5, prefilled=4, at=2.0),
            attempt(STREAM, 0, 3, prefilled=10, at=1.0, state="dropped"),
            attempt(STREAM, 2, 4, prefilled=1, at=3.0),
        ]
        assert check([], logs).recomputed_tokens == 4 + 1 + 2

    def test_attempts_that_never_started_cost_nothing(self):
        logs = [attempt(STREAM), attempt(STREAM, state="not_started", at=2.0)]
        assert check([], logs).recomputed_tokens == 0


class TestCheckContent:
    def test_repeated_words_of_a_correct_answer_are_accepted(self):
        assert check_content(["a ", "a "], ["a ", "a "], set()) is None

    def test_extra_foreign_tokens_are_wrong(self):
        received = ["a ", "b ", "x "]
        assert check_content(received, ["a ", "b "], set()) is Violation.WRONG
