import pytest

from ebonydeal._internal.models.forwarding import EndpointProcess
from ebonydeal._internal.routing.notices.notices import EndpointNotices, LimitReport

ONE, AGAIN = EndpointProcess("i1", 5), EndpointProcess("i1", 9)


@pytest.fixture
def notices():
    """A process named a limit of 2 a second at 100.0 s."""
    notices = EndpointNotices()
    notices.heard_limit(ONE, 2.0, 99.9, 100.0)
    return notices


class TestLimit:
    def test_holds_for_the_process_that_named_it(self, notices):
        assert notices.limit(ONE, 100.0) == 2.0
        assert notices.limit(AGAIN, 100.0) is None

    def test_holds_while_nobody_asks(self, notices):
        assert notices.limit(ONE, 10_000.0) == 2.0

    def test_ends_with_an_answer_to_what_was_sent_after_it_was_named(self, notices):
        assert notices.heard_limit(ONE, None, 100.1, 100.2)
        assert notices.limit(ONE, 100.2) is None

    def test_goes_before_an_answer_to_what_was_sent_before(self, notices):
        assert not notices.heard_limit(ONE, None, 99.95, 100.2)
        assert notices.limit(ONE, 100.2) == 2.0

    def test_that_falls_holds_at_once(self, notices):
        assert notices.heard_limit(ONE, 1.0, 101.0, 101.1)
        assert notices.limit(ONE, 101.1) == 1.0

    def test_that_rises_holds_after_the_window_of_the_lower_one(self, notices):
        notices.heard_limit(ONE, 8.0, 101.0, 101.1)
        assert notices.limit(ONE, 105.0) == 2.0
        assert notices.limit(ONE, 105.2) == 8.0

    def test_that_rises_twice_keeps_the_lowest_of_the_window(self, notices):
        notices.heard_limit(ONE, 8.0, 101.0, 101.1)
        notices.heard_limit(ONE, 9.0, 102.0, 102.1)
        assert notices.limit(ONE, 105.5) == 2.0
        assert notices.limit(ONE, 106.2) == 9.0

    def test_of_thousands_of_processes_is_forgotten_oldest_first(self):
        notices = EndpointNotices()
        for number in range(4500):
            notices.heard_limit(EndpointProcess(f"i{number}", 0), 1.0, number, number)
        assert notices.limit(EndpointProcess("i0", 0), 5000.0) is None
        assert notices.limit(EndpointProcess("i4499", 0), 5000.0) == 1.0


class TestOthersWord:
    def test_is_taken_where_it_is_later(self, notices):
        assert notices.take_limit(LimitReport(ONE, 1.0, 0.5), 101.0)
        assert not notices.take_limit(LimitReport(ONE, 7.0, 5.0), 102.0)
        assert notices.limit(ONE, 102.0) == 1.0

    def test_of_an_end_counts_as_older_than_it_says(self, notices):
        # It may have been on its way for so long.
        assert not notices.take_limit(LimitReport(ONE, None, 0.6), 101.0)
        assert notices.take_limit(LimitReport(ONE, None, 0.4), 101.0)
        assert notices.limit(ONE, 101.0) is None

    def test_isnt_told_on_but_by_the_coordinator(self, notices):
        notices.take_limit(LimitReport(AGAIN, 1.0, 0.0), 101.0)
        assert [w.process for w in notices.limit_reports(101.0, own=True)] == [ONE]
        assert len(notices.limit_reports(101.0)) == 2

    def test_is_read_as_it_was_written(self, notices):
        words = [word.encode() for word in notices.limit_reports(100.5)]
        other = EndpointNotices()
        assert other.take_limits(words, 50.0) == [LimitReport(ONE, 2.0, 0.5)]

    @pytest.mark.parametrize("word", [["i1"], ["i1", "x", 1.0, 0.0], [1, 2, "", 3]])
    def test_that_cant_be_read_is_an_error_of_its_sender(self, notices, word):
        with pytest.raises((ValueError, TypeError)):
            notices.take_limits([word], 100.0)


class TestLeaving:
    def test_is_news_once(self, notices):
        assert notices.heard_leaving(ONE, 100.0)
        assert not notices.heard_leaving(ONE, 101.0)
        assert notices.heard_leaving(AGAIN, 102.0)

    def test_of_another_relay_is_news_with_its_age(self, notices):
        other = EndpointNotices()
        told = []
        other.on_leaving = told.append
        notices.heard_leaving(ONE, 100.0)
        assert other.take_leaving(notices.leaving_reports(101.0), 51.0) == [ONE]
        assert other.take_leaving(notices.leaving_reports(101.5), 51.5) == []
        assert told == [ONE]
        assert other.leaving_since(ONE) == pytest.approx(50.0)
        assert other.leaving_since(AGAIN) is None

    def test_is_told_until_the_list_has_it_for_sure(self, notices):
        notices.heard_leaving(ONE, 100.0)
        assert notices.leaving_reports(131.0) == []
        assert notices.leaving_since(ONE) == 100.0


class TestRest:
    def test_that_ends_sooner_than_the_one_before_is_no_news(self, notices):
        assert notices.heard_rest(ONE, 3.0, 100.0)
        assert not notices.heard_rest(ONE, 1.0, 101.0)
        assert notices.heard_rest(ONE, 3.0, 101.0)

    def test_of_nothing_is_none(self, notices):
        assert not notices.heard_rest(ONE, 0.0, 100.0)

    def test_is_over_after_its_time_and_for_another_process(self, notices):
        notices.heard_rest(AGAIN, 3.0, 100.0)
        assert notices.rest(AGAIN, 101.0) == 2.0
        assert notices.rest(AGAIN, 103.0) == 0.0
        assert notices.rest(ONE, 101.0) == 0.0

    def test_of_several_the_latest_end_holds(self, notices):
        notices.heard_rest(AGAIN, 3.0, 100.0)
        notices.heard_rest(AGAIN, 0.5, 100.5)
        assert notices.rest(AGAIN, 101.0) == 2.0

    def test_runs_move_to_none_that_rests_or_has_a_limit(self, notices):
        assert not notices.takes_runs(ONE, 101.0)
        assert notices.takes_runs(AGAIN, 101.0)
        notices.heard_rest(AGAIN, 3.0, 100.0)
        assert not notices.takes_runs(AGAIN, 101.0)
