import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.fold import (
    Phase,
    RequestState,
    apply,
    apply_all,
    expiry_records,
)
from ebonydeal._internal.journal.snapshots import decode_states, encode_states
from ebonydeal._internal.models.records import (
    Accepted,
    Completed,
    Dispatched,
    Ended,
    Expired,
    NotRun,
    Unknown,
    record_from_message,
    record_to_message,
)
from ebonydeal._internal.models.requests import StoredAnswer
from tests.lib.journal_fakes import make_keyed_call

ID = "k-0000-1"
ANSWERS = [StoredAnswer(200, "text/plain", text) for text in ("one", "two")]
RECORDS = st.one_of(
    st.just(Accepted(make_keyed_call())),
    st.builds(Dispatched, st.just(ID), st.integers(1, 3), st.just("s-1"), st.just(1)),
    st.builds(NotRun, st.just(ID), st.integers(1, 3), st.just("connect_failed")),
    st.builds(
        Completed,
        st.just(ID),
        st.integers(1, 3),
        st.sampled_from(ANSWERS),
        st.just(9.0),
    ),
    st.builds(Unknown, st.just(ID), st.integers(1, 3), st.just("lost"), st.just(9.0)),
    st.builds(Ended, st.just(ID), st.just("cancelled"), st.just("early"), st.just(9.0)),
    st.just(Expired(ID)),
)


def fold(*records) -> RequestState | None:
    state = None
    for record in records:
        state = apply(state, record)
    return state


class TestApply:
    def test_first_completed_wins(self):
        state = fold(
            Accepted(make_keyed_call()),
            Completed(ID, 1, ANSWERS[0], 5.0),
            Completed(ID, 2, ANSWERS[1], 6.0),
        )
        assert state.phase is Phase.COMPLETED
        assert (state.answer, state.done_at) == (ANSWERS[0], 5.0)

    def test_unknown_is_final(self):
        state = fold(
            Accepted(make_keyed_call()),
            Dispatched(ID, 1, "s-1", 1),
            Unknown(ID, 1, "lost", 5.0),
            Completed(ID, 1, ANSWERS[0], 6.0),
        )
        assert state.phase is Phase.UNKNOWN

    def test_second_grant_requires_a_not_run_record(self):
        first = Dispatched(ID, 1, "s-1", 1)
        second = Dispatched(ID, 2, "s-2", 1)
        without_proof = fold(Accepted(make_keyed_call()), first, second)
        assert (without_proof.attempt, without_proof.endpoint_id) == (1, "s-1")
        with_proof = fold(
            Accepted(make_keyed_call()), first, NotRun(ID, 1, "proof"), second
        )
        assert (with_proof.attempt, with_proof.endpoint_id) == (2, "s-2")

    def test_not_run_of_another_attempt_keeps_the_grant(self):
        state = fold(
            Accepted(make_keyed_call()),
            Dispatched(ID, 2, "s-1", 1),
            NotRun(ID, 1, "proof"),
        )
        assert state.phase is Phase.DISPATCHED

    def test_ended_record_is_ignored_while_a_grant_is_open(self):
        ended = Ended(ID, "cancelled", "early", 5.0)
        state = fold(Accepted(make_keyed_call()), Dispatched(ID, 1, "s-1", 1), ended)
        assert state.phase is Phase.DISPATCHED

    def test_only_final_requests_expire(self):
        assert fold(Accepted(make_keyed_call()), Expired(ID)).phase is Phase.ACCEPTED
        done = Completed(ID, 1, ANSWERS[0], 5.0)
        assert fold(Accepted(make_keyed_call()), done, Expired(ID)) is None

    @given(st.lists(RECORDS, max_size=12), RECORDS)
    def test_final_state_changes_only_by_expiry(self, records, last):
        before = fold(*records)
        after = apply(before, last)
        if before is not None and before.is_final and not isinstance(last, Expired):
            assert after == before

    @given(st.lists(RECORDS, max_size=12))
    def test_snapshot_round_trip_keeps_the_states(self, records):
        states = {}
        apply_all(states, records)
        assert decode_states(encode_states(states.values())) == states

    @given(RECORDS)
    def test_record_message_round_trip(self, record):
        assert record_from_message(record_to_message(record)) == record


class TestSnapshotFile:
    @pytest.mark.parametrize("data", [b"", b"{}", b"[2, []]", b"[1, [1]]", b"[1"])
    def test_malformed_data_raises_internal(self, data):
        with pytest.raises(EbonydealError) as caught:
            decode_states(data)
        assert caught.value.kind is ErrorKind.INTERNAL


class TestExpiryRecords:
    def test_only_old_final_requests_up_to_the_limit(self):
        states = {}
        done = Completed(ID, 1, ANSWERS[0], 5.0)
        apply_all(states, [Accepted(make_keyed_call()), done])
        assert expiry_records(states, 5.0, 10) == []
        assert expiry_records(states, 5.1, 10) == [Expired(ID)]
        assert expiry_records(states, 5.1, 0) == []
