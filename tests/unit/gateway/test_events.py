import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.events import (
    EventIds,
    TextDigest,
    read_event_id,
    text_digest,
)
from ebonydeal._internal.gateway.live_stream import Piece

SOURCE = ("e-1", 3, "a-1")
TOKENS = ["one ", "two ", "three "]


def new_event_ids() -> EventIds:
    return EventIds("secret", "kitchen", "r-0001-aa", "10.0.0.1:9200")


def id_after(count: int) -> str:
    event_ids = new_event_ids()
    pieces = [Piece(n, text) for n, text in enumerate(TOKENS[:count])]
    return [event_ids.make(SOURCE, piece) for piece in pieces][-1]


def refused(text: str, account: str = "kitchen", credential: str = "secret") -> bool:
    with pytest.raises(EbonydealError) as caught:
        read_event_id(text, credential, account)
    return caught.value.kind is ErrorKind.BAD_REQUEST


class TestEventIds:
    def test_id_round_trip(self):
        resume_point = read_event_id(id_after(2), "secret", "kitchen")
        assert resume_point[:6] == ("r-0001-aa", "10.0.0.1:9200", "e-1", 3, "a-1", 1)
        assert resume_point.digest == text_digest(TOKENS[:2])

    def test_delivered_tokens_count_in_the_digest(self):
        event_ids = new_event_ids()
        event_ids.add_delivered(TOKENS[:2])
        text = event_ids.make(SOURCE, Piece(2, TOKENS[2]))
        resume_point = read_event_id(text, "secret", "kitchen")
        assert resume_point.digest == text_digest(TOKENS)

    def test_end_marker_is_no_token(self):
        event_ids = new_event_ids()
        event_ids.add_delivered(TOKENS)
        text = event_ids.make(SOURCE, Piece(3, "", "stop"))
        resume_point = read_event_id(text, "secret", "kitchen")
        assert (resume_point.position, resume_point.digest) == (3, text_digest(TOKENS))

    def test_valid_only_for_its_account_and_credential(self):
        assert refused(id_after(1), account="other")
        assert refused(id_after(1), credential="guess")

    @given(st.integers(0, 200), st.characters(codec="ascii"))
    def test_any_change_is_refused(self, at, char):
        text = id_after(3)
        at %= len(text)
        changed = text[:at] + char + text[at + 1 :]
        if changed != text:
            assert refused(changed)

    @given(st.text(max_size=60))
    def test_random_text_is_refused(self, text):
        assert refused(text)


class TestTextDigest:
    def test_digest_includes_token_boundaries(self):
        assert text_digest(["ab", "c"]) != text_digest(["a", "bc"])

    def test_digest_of_no_tokens(self):
        assert text_digest([]) == TextDigest().hexdigest()
