"""No sequence of faults runs a request twice or falsely reports it as not run."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ebonydeal._internal.errors import ERROR_RESPONSES, EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import AnswerHead
from ebonydeal._internal.relay.requests.outcomes import (
    Answered,
    MayHaveRun,
    NotSent,
    ProvedNotRun,
    RunProof,
)

# Statuses which tell the client that the request did not run.
NOT_RUN_STATUSES = {408, 421, 429, 503}
FAILED_HEAD = AnswerHead(500, False, True, "r", False, None, ())
KINDS = list(ErrorKind)
outcomes = st.one_of(
    st.builds(NotSent, st.sampled_from(KINDS), st.just("")),
    st.builds(ProvedNotRun, st.sampled_from([421, 429, 503])),
    st.builds(MayHaveRun, st.sampled_from(KINDS), st.just("")),
    st.just(Answered(FAILED_HEAD, b"")),
)


class TestRunProof:
    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(sequence=st.lists(outcomes, max_size=6), kind=st.sampled_from(KINDS))
    def test_at_most_one_run_and_no_false_not_run(self, sequence, kind):
        proof = RunProof(repeatable=False)
        runs = 0
        for outcome in sequence:
            if not proof.may_send:
                break
            proof.record(outcome)
            runs += isinstance(outcome, MayHaveRun | Answered)
        assert runs <= 1
        answer = proof.final_error(EbonydealError(kind, "x"))
        if runs:
            assert ERROR_RESPONSES[answer.kind].status not in NOT_RUN_STATUSES

    def test_error_is_unchanged_without_a_run(self):
        proof = RunProof(repeatable=False)
        proof.record(ProvedNotRun(503))
        error = EbonydealError(ErrorKind.ENDPOINT_REFUSED)
        assert proof.final_error(error) is error

    def test_repeatable_request_may_be_resent(self):
        proof = RunProof(repeatable=True)
        proof.record(MayHaveRun(ErrorKind.ENDPOINT_FAILED, ""))
        assert proof.may_send
