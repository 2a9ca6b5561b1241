import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.events import ResumePoint, text_digest
from ebonydeal._internal.gateway.live_stream import Job, LiveStream, Piece
from ebonydeal._internal.gateway.reconnect import DeliveredTokenFilter, RetainedAnswers
from tests.lib.gateway_fakes import ACCOUNT, MODEL, POOL, deployment, token_texts
from tests.unit.gateway.test_stream_runner import request

TEXT = token_texts(6)


def live(name: str = "r-1", tokens: int = 3) -> LiveStream:
    job = Job(
        request()._replace(request_id=name), deployment(POOL, "engine"), MODEL, {}, ()
    )
    return LiveStream(job, delivered=token_texts(tokens))


class TestRetainedAnswers:
    def test_retained_for_its_account_and_time(self):
        retained = RetainedAnswers(10.0, 1000)
        retained.retain(live(), 0.0)
        assert retained.get("r-1", ACCOUNT, 9.0).delivered == tuple(token_texts(3))
        assert retained.get("r-1", "other", 9.0) is None
        assert retained.get("r-2", ACCOUNT, 9.0) is None
        assert retained.get("r-1", ACCOUNT, 10.0) is None

    def test_later_state_replaces_the_earlier_one(self):
        retained = RetainedAnswers(10.0, 1000)
        retained.retain(live(tokens=3), 0.0)
        retained.retain(live(tokens=5), 1.0)
        assert len(retained.get("r-1", ACCOUNT, 2.0).delivered) == 5

    @given(st.lists(st.integers(0, 60), max_size=30))
    def test_memory_is_bounded(self, sizes):
        retained = RetainedAnswers(10.0, 100)
        for number, size in enumerate(sizes):
            retained.retain(live(f"r-{number}", size), float(number))
            held = sum(len(item.delivered) for item in retained._answers.values())
            assert held <= 100
            assert retained._total_tokens == held + 16 * len(retained._answers)


class TestDeliveredTokenFilter:
    def missing_pieces(
        self, position: int, digest: str, pieces: list[Piece]
    ) -> list[Piece]:
        resume_point = ResumePoint("r-1", "gw", "e", 1, "a", position, digest)
        token_filter = DeliveredTokenFilter(resume_point)
        return [piece for piece in pieces if token_filter.is_missing(piece)]

    def pieces(self, text: list[str], split_end: bool) -> list[Piece]:
        pieces = [Piece(n, token) for n, token in enumerate(text)]
        if split_end:
            return [*pieces, Piece(len(text), "", "stop")]
        return [*pieces[:-1], pieces[-1]._replace(finish="stop")]

    @pytest.mark.parametrize("split_end", [False, True])
    @pytest.mark.parametrize("position", range(6))
    def test_missing_tokens_are_passed(self, position, split_end):
        digest = text_digest(TEXT[: position + 1])
        missing = self.missing_pieces(position, digest, self.pieces(TEXT, split_end))
        texts = [piece.text for piece in missing if piece.is_token]
        assert texts == TEXT[position + 1 :]

    def test_end_marker_is_sent_again(self):
        missing = self.missing_pieces(6, text_digest(TEXT), self.pieces(TEXT, True))
        assert missing == [Piece(6, "", "stop")]

    @pytest.mark.parametrize(
        "text",
        [
            ["other ", *TEXT[1:]],
            [*TEXT[:3], "other ", *TEXT[4:]],
            TEXT[:2],
            TEXT[:3],
        ],
    )
    @pytest.mark.parametrize("split_end", [False, True])
    def test_different_text_is_refused(self, text, split_end):
        with pytest.raises(EbonydealError) as caught:
            self.missing_pieces(3, text_digest(TEXT[:4]), self.pieces(text, split_end))
        assert caught.value.kind is ErrorKind.EXPIRED
