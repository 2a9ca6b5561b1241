import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.parse import (
    GenerationCall,
    body_digest,
    parse_generation,
    parse_options,
)
from ebonydeal._internal.models.requests import Priority, RequestKind

CHAT = {"model": "m", "messages": [{"role": "user", "content": "two eggs"}]}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
FIELDS = st.sampled_from(
    ["model", "messages", "prompt", "stream", "max_tokens", "n", "stream_options"]
)


def parse(body, headers=None, kind=RequestKind.CHAT):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return parse_generation(kind, raw, headers or {})


def kind_of(result) -> ErrorKind:
    assert isinstance(result, Failure)
    return result.failure().kind


class TestGeneration:
    def test_chat(self):
        call = parse({**CHAT, "stream": True, "max_tokens": 5, "top_k": 3}).unwrap()
        assert (call.model, call.stream, call.max_tokens) == ("m", True, 5)
        assert call.body["top_k"] == 3
        assert call.prompt_tokens == 3

    def test_max_completion_tokens_takes_precedence(self):
        body = {**CHAT, "max_tokens": 5, "max_completion_tokens": 9}
        assert parse(body).unwrap().max_tokens == 9

    def test_completion(self):
        call = parse({"model": "m", "prompt": "a b"}, kind=RequestKind.COMPLETION)
        assert call.unwrap().prompt_tokens == 2

    def test_kind_is_derived_from_the_body(self):
        chat = parse({**CHAT, "prompt": 7}, kind=None).unwrap()
        text = parse({"model": "m", "prompt": "a"}, kind=None).unwrap()
        assert (chat.kind, text.kind) == (RequestKind.CHAT, RequestKind.COMPLETION)
        assert kind_of(parse({"model": "m"}, kind=None)) is ErrorKind.BAD_REQUEST

    @pytest.mark.parametrize(
        "change",
        [
            {"model": ""},
            {"model": 7},
            {"messages": []},
            {"messages": "hello"},
            {"messages": [{"content": "x"}]},
            {"stream": "yes"},
            {"max_tokens": 0},
            {"max_tokens": True},
            {"max_tokens": 1.5},
            {"n": 2},
            {"stream_options": []},
            {"stream_options": {"include_usage": 1}},
            {"resume": {"kv_handle": "of-another"}},
        ],
    )
    def test_invalid_field_is_refused(self, change):
        assert kind_of(parse({**CHAT, **change})) is ErrorKind.BAD_REQUEST

    @pytest.mark.parametrize("raw", [b"", b"{", b"[]", b"\xff", b"[" * 100_000])
    def test_body_that_is_not_an_object_is_refused(self, raw):
        assert kind_of(parse(raw)) is ErrorKind.BAD_REQUEST

    @given(st.binary(max_size=64))
    def test_random_bytes_are_refused(self, raw):
        assert kind_of(parse(raw)) is ErrorKind.BAD_REQUEST

    @given(st.dictionaries(FIELDS, JSON, max_size=6))
    def test_random_fields_are_parsed_or_refused(self, changes):
        match parse({**CHAT, **changes}):
            case Success(GenerationCall() as call):
                assert 0 < len(call.model)
                assert call.body["messages"]
                assert 0 <= call.max_tokens <= 1 << 20
            case Failure(EbonydealError() as error):
                assert error.kind is ErrorKind.BAD_REQUEST
            case other:
                raise AssertionError(other)


class TestOptions:
    def test_all_headers(self):
        headers = {
            "X-Priority": "Batch",
            "X-Deadline-Seconds": "1.5",
            "Idempotency-Key": "note-7",
        }
        options = parse_options(headers).unwrap()
        assert options == (Priority.BATCH, 1.5, "note-7")

    def test_no_headers(self):
        assert parse_options({}).unwrap() == (None, 0.0, "")

    @pytest.mark.parametrize(
        "name, value",
        [
            ("X-Priority", "urgent"),
            ("X-Deadline-Seconds", "0"),
            ("X-Deadline-Seconds", "nan"),
            ("X-Deadline-Seconds", "inf"),
            ("X-Deadline-Seconds", "soon"),
            ("Idempotency-Key", ""),
            ("Idempotency-Key", "a\nb"),
            ("Idempotency-Key", "k" * 256),
        ],
    )
    def test_invalid_header_is_refused(self, name, value):
        assert kind_of(parse_options({name: value})) is ErrorKind.BAD_REQUEST

    @given(st.text(max_size=20), st.text(max_size=20), st.text(max_size=300))
    def test_random_headers_are_parsed_or_refused(self, priority, deadline, key):
        headers = {
            "X-Priority": priority,
            "X-Deadline-Seconds": deadline,
            "Idempotency-Key": key,
        }
        match parse_options(headers):
            case Success(options):
                assert 0 < options.deadline_s < float("inf")
            case Failure(error):
                assert error.kind is ErrorKind.BAD_REQUEST


class TestDigest:
    @given(st.binary(max_size=20), st.binary(max_size=20))
    def test_digest_differs_for_different_bodies(self, one, other):
        same = body_digest("POST", "/a", one) == body_digest("POST", "/a", other)
        assert same == (one == other)
