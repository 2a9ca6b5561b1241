"""Bounds on the answers that are held, and events that arrive in pieces."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonydeal._internal.relay.requests.answer_memory import AnswerMemory
from ebonydeal._internal.relay.requests.event_splitter import EventSplitter
from ebonydeal._internal.utils.bounded_responses import EndlessAnswerError

_MB = 1_000_000


class TestAnswerMemory:
    def test_an_answer_beyond_its_bound_is_refused(self):
        memory = AnswerMemory(8 * _MB, 64 * _MB)
        with memory.hold() as held:
            held.resize(8 * _MB)
            with pytest.raises(EndlessAnswerError, match="at most 8000000"):
                held.resize(8 * _MB + 1)

    def test_all_answers_together_are_bounded_and_small_ones_still_read(self):
        memory = AnswerMemory(8 * _MB, 10 * _MB)
        with memory.hold() as one, memory.hold() as other, memory.hold() as small:
            one.resize(8 * _MB)
            with pytest.raises(EndlessAnswerError, match="of at most 10000000"):
                other.resize(3 * _MB)
            small.resize(100_000)

    def test_memory_is_given_back_also_after_a_failure(self):
        memory = AnswerMemory(_MB, 10 * _MB)
        with pytest.raises(EndlessAnswerError), memory.hold() as held:
            held.resize(2 * _MB)
        assert memory.total == 0


class TestEventSplitter:
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        stream=st.lists(st.sampled_from([b"a", b"\r", b"\n", b"id: 1", b"\r\n\r\n"])),
        cuts=st.lists(st.integers(0, 60)),
    )
    def test_pieces_give_the_same_events_as_the_whole(self, stream, cuts):
        data = b"".join(stream)
        whole, pieces = EventSplitter(), EventSplitter()
        expected = whole.feed(data)
        bounds = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        got = b"".join(
            pieces.feed(data[a:b]) for a, b in zip(bounds, bounds[1:], strict=False)
        )
        assert got == expected
        assert pieces.remainder() == whole.remainder()
        assert (pieces.count, pieces.last_id) == (whole.count, whole.last_id)

    def test_an_incomplete_event_is_bounded(self):
        memory = AnswerMemory(1000, 10_000)
        with memory.hold() as held:
            splitter = EventSplitter(held)
            splitter.feed(b"id: 1\n\n" + b"x" * 900)
            with pytest.raises(EndlessAnswerError):
                splitter.feed(b"x" * 200)
            splitter.drop_remainder()
            assert memory.total == 0
