"""Until when a stopping relay passes requests on."""

import pytest

from ebonydeal._internal.models.forwarding import Repeat, Route
from ebonydeal._internal.routing.admission.answer_durations import AnswerDurations
from ebonydeal._internal.routing.admission.stop_window import StopWindow

# Told to stop at 100.0 s, with 8 s until it is killed.
WINDOW = StopWindow(accepts_all_until=103.0, end=107.6)
FAR = 200.0


def route(repeat, objective=0.5):
    return Route(
        "r", "h", "/r/", repeat, 10.0, objective, 0, (), 2, False, False, False, 0.0
    )


class TestLatestSend:
    @pytest.mark.parametrize("repeat", [Repeat.IDEMPOTENT, Repeat.ONCE])
    def test_a_plain_request_needs_four_objectives(self, repeat):
        assert WINDOW.latest_send(route(repeat), FAR, 0.0) == pytest.approx(105.6)

    def test_all_are_passed_on_while_the_balancer_sends_new_ones(self):
        slow = route(Repeat.IDEMPOTENT, objective=3.0)
        assert WINDOW.latest_send(slow, FAR, 0.0) == 103.0

    def test_one_that_ends_by_its_deadline_is_passed_on_until_the_end(self):
        for repeat in Repeat:
            assert WINDOW.latest_send(route(repeat, 3.0), 107.0, 9.0) == 107.6

    def test_a_stream_may_take_until_its_deadline(self):
        assert WINDOW.latest_send(route(Repeat.STREAM, 0.1), FAR, 0.0) == 103.0

    def test_one_without_an_objective_may_take_until_its_deadline(self):
        unbounded = route(Repeat.IDEMPOTENT, objective=0.0)
        assert WINDOW.latest_send(unbounded, FAR, 0.0) == 103.0

    def test_none_is_passed_on_after_the_end(self):
        short = StopWindow(accepts_all_until=103.0, end=100.5)
        assert short.latest_send(route(Repeat.IDEMPOTENT), FAR, 0.0) == 100.5

    def test_a_request_may_take_as_long_as_others_of_its_route_took(self):
        plain = route(Repeat.IDEMPOTENT)
        assert WINDOW.latest_send(plain, FAR, 3.5) == pytest.approx(104.1)
        assert WINDOW.latest_send(plain, FAR, 60.0) == 103.0


class TestAnswerDurations:
    def test_the_longest_of_each_route_is_known(self):
        durations = AnswerDurations()
        for seconds in (0.2, 1.5, 0.4):
            durations.record("a", seconds, 100.0)
        assert durations.longest("a", 101.0) == 1.5
        assert durations.longest("b", 101.0) == 0.0

    @pytest.mark.parametrize(("age", "known"), [(29.0, 1.5), (61.0, 0.0)])
    def test_it_is_forgotten_after_a_while(self, age, known):
        durations = AnswerDurations()
        durations.record("a", 1.5, 100.0)
        assert durations.longest("a", 100.0 + age) == known

    def test_routes_that_get_no_requests_take_no_memory(self):
        durations = AnswerDurations()
        for number in range(1000):
            durations.record(f"r{number}", 0.1, 100.0)
        for now in (131.0, 162.0):
            durations.record("a", 0.1, now)
        assert len(durations._current) + len(durations._previous) <= 2
