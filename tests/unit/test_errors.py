"""Every error kind has a response and is preserved in the body between peers."""

import pytest

from ebonydeal._internal.errors import ERROR_RESPONSES, EbonydealError, ErrorKind


class TestErrorTable:
    def test_every_kind_has_a_response(self):
        assert set(ERROR_RESPONSES) == set(ErrorKind)

    @pytest.mark.parametrize("kind", list(ErrorKind))
    def test_error_is_preserved_by_encoding_and_decoding(self, kind):
        error = EbonydealError(kind, "why", retry_after=3.5, owner="h:1")
        decoded = EbonydealError.from_body(error.to_body())
        assert (decoded.kind, decoded.retry_after, decoded.owner) == (kind, 3.5, "h:1")

    @pytest.mark.parametrize("outcome", [[], {}, 7, None, "maybe"])
    def test_invalid_outcome_is_ignored(self, outcome):
        body = {"error": {"code": "not_run", "message": "", "outcome": outcome}}
        assert EbonydealError.from_body(body).kind is ErrorKind.NOT_RUN

    def test_malformed_body_from_a_peer_becomes_internal(self):
        assert EbonydealError.from_body([]).kind is ErrorKind.INTERNAL
