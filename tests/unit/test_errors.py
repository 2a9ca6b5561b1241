"""The closed error list has an answer for each kind."""

import pytest

from ebonydeal._internal.errors import ERROR_RESPONSES, EbonydealError, ErrorKind


class TestErrorTable:
    def test_every_kind_has_an_answer(self):
        assert set(ERROR_RESPONSES) == set(ErrorKind)

    @pytest.mark.parametrize("kind", list(ErrorKind))
    def test_an_error_survives_the_wire(self, kind):
        error = EbonydealError(kind, "why", retry_after=3.5, owner="h:1")
        again = EbonydealError.from_body(error.to_body())
        assert (again.kind, again.retry_after, again.owner) == (kind, 3.5, "h:1")

    @pytest.mark.parametrize("outcome", [[], {}, 7, None, "maybe"])
    def test_an_outcome_that_is_garbage_is_left_out(self, outcome):
        body = {"error": {"code": "not_run", "message": "", "outcome": outcome}}
        assert EbonydealError.from_body(body).kind is ErrorKind.NOT_RUN

    def test_garbage_from_a_peer_is_internal(self):
        assert EbonydealError.from_body([]).kind is ErrorKind.INTERNAL
