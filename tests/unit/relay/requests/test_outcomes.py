"""No sequence of faults runs a request twice or makes a refusal false."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ebonydeal._internal.errors import ANSWERS, EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import AnswerHead
from ebonydeal._internal.relay.requests.outcomes import (
    Answered,
    MayHaveRun,
    NotSent,
    ProvedNotRun,
    RunProof,
)

PROMISES = {408, 421, 429, 503}
FAILED = AnswerHead(500, False, True, "r", False, None, ())
KINDS = list(ErrorKind)
outcomes = st.one_of(
    st.builds(NotSent, st.sampled_from(KINDS), st.just("")),
    st.builds(ProvedNotRun, st.sampled_from([421, 429, 503])),
    st.builds(MayHaveRun, st.sampled_from(KINDS), st.just("")),
    st.just(Answered(FAILED, b"")),
)


class TestRunProof:
    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(sequence=st.lists(outcomes, max_size=6), kind=st.sampled_from(KINDS))
    def test_once_only_and_refusals_true(self, sequence, kind):
        proof = RunProof(repeatable=False)
        ran = 0
        for outcome in sequence:
            if not proof.may_send:
                break
            proof.note(outcome)
            ran += isinstance(outcome, MayHaveRun | Answered)
        assert ran <= 1
        answer = proof.refusal(EbonydealError(kind, "x"))
        if ran:
            assert ANSWERS[answer.kind].status not in PROMISES

    def test_without_a_run_the_refusal_is_kept(self):
        proof = RunProof(repeatable=False)
        proof.note(ProvedNotRun(503))
        error = EbonydealError(ErrorKind.ENDPOINT_REFUSED)
        assert proof.refusal(error) is error

    def test_a_repeatable_request_may_be_sent_again(self):
        proof = RunProof(repeatable=True)
        proof.note(MayHaveRun(ErrorKind.ENDPOINT_FAILED, ""))
        assert proof.may_send
