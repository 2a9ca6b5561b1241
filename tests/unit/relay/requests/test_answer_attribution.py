"""Which requests a connection may carry, and whose answers are late copies."""

import pytest

from ebonydeal._internal.relay.requests.answer_attribution import RequestHistory


class TestRequestHistory:
    def test_a_connection_carries_a_request_once(self):
        history = RequestHistory()
        assert history.can_carry("r1")
        history.begin("r1")
        assert not history.can_carry("r1")
        with pytest.raises(ValueError, match="r1"):
            history.begin("r1")

    def test_answers_to_earlier_requests_are_copies(self):
        history = RequestHistory()
        for request_id in ("r1", "r2"):
            history.begin(request_id)
        assert history.current == "r2"
        assert history.is_earlier("r1")
        assert not history.is_earlier("r2")
        assert not history.is_earlier("r3")

    def test_remembers_a_bounded_number_of_requests(self):
        history = RequestHistory()
        for number in range(1000):
            if not history.can_carry(f"r{number}"):
                break
            history.begin(f"r{number}")
        assert number < 1000 - 1
        assert history.is_earlier("r0")
