import pytest

from ebonydeal._internal.models.forwarding import EndpointProcess
from ebonydeal._internal.routing.notices.endpoint_notices import (
    EndpointNotices,
    LimitReport,
)

ONE, AGAIN = EndpointProcess("i1", 5), EndpointProcess("i1", 9)


@pytest.fixture
def notices():
    """A process announced a limit of 2 requests a second at 100.0 s."""
    notices = EndpointNotices()
    notices.note_limit(ONE, 2.0, 99.9, 100.0)
    return notices


class TestLimit:
    def test_holds_for_the_process_that_announced_it(self, notices):
        assert notices.limit(ONE, 100.0) == 2.0
        assert notices.limit(AGAIN, 100.0) is None

    def test_does_not_expire_without_requests(self, notices):
        assert notices.limit(ONE, 10_000.0) == 2.0

    def test_ends_with_an_answer_to_a_request_sent_after_it(self, notices):
        assert notices.note_limit(ONE, None, 100.1, 100.2)
        assert notices.limit(ONE, 100.2) is None

    def test_persists_after_an_answer_to_a_request_sent_before_it(self, notices):
        assert not notices.note_limit(ONE, None, 99.95, 100.2)
        assert notices.limit(ONE, 100.2) == 2.0

    def test_lowered_limit_applies_at_once(self, notices):
        assert notices.note_limit(ONE, 1.0, 101.0, 101.1)
        assert notices.limit(ONE, 101.1) == 1.0

    def test_raised_limit_applies_after_the_window_of_the_lower_one(self, notices):
        notices.note_limit(ONE, 8.0, 101.0, 101.1)
        assert notices.limit(ONE, 105.0) == 2.0
        assert notices.limit(ONE, 105.2) == 8.0

    def test_limit_raised_twice_keeps_the_lowest_of_the_window(self, notices):
        notices.note_limit(ONE, 8.0, 101.0, 101.1)
        notices.note_limit(ONE, 9.0, 102.0, 102.1)
        assert notices.limit(ONE, 105.5) == 2.0
        assert notices.limit(ONE, 106.2) == 9.0

    def test_oldest_limits_of_thousands_of_processes_are_evicted(self):
        notices = EndpointNotices()
        for number in range(4500):
            notices.note_limit(EndpointProcess(f"i{number}", 0), 1.0, number, number)
        assert notices.limit(EndpointProcess("i0", 0), 5000.0) is None
        assert notices.limit(EndpointProcess("i4499", 0), 5000.0) == 1.0


class TestReportsOfOtherRelays:
    def test_newer_report_is_merged(self, notices):
        assert notices.merge_limit(LimitReport(ONE, 1.0, 0.5), 101.0)
        assert not notices.merge_limit(LimitReport(ONE, 7.0, 5.0), 102.0)
        assert notices.limit(ONE, 102.0) == 1.0

    def test_reported_end_counts_as_older_than_it_says(self, notices):
        # The report may have been delayed by that much.
        assert not notices.merge_limit(LimitReport(ONE, None, 0.6), 101.0)
        assert notices.merge_limit(LimitReport(ONE, None, 0.4), 101.0)
        assert notices.limit(ONE, 101.0) is None

    def test_only_the_coordinator_forwards_reports(self, notices):
        notices.merge_limit(LimitReport(AGAIN, 1.0, 0.0), 101.0)
        assert [r.process for r in notices.limit_reports(101.0, own=True)] == [ONE]
        assert len(notices.limit_reports(101.0)) == 2

    def test_encoded_reports_are_decoded(self, notices):
        messages = [message.encode() for message in notices.limit_reports(100.5)]
        other = EndpointNotices()
        assert other.merge_limits(messages, 50.0) == [LimitReport(ONE, 2.0, 0.5)]

    @pytest.mark.parametrize("message", [["i1"], ["i1", "x", 1.0, 0.0], [1, 2, "", 3]])
    def test_malformed_report_raises(self, notices, message):
        with pytest.raises((ValueError, TypeError)):
            notices.merge_limits([message], 100.0)


class TestLeaving:
    def test_is_new_only_once(self, notices):
        assert notices.note_leaving(ONE, 100.0)
        assert not notices.note_leaving(ONE, 101.0)
        assert notices.note_leaving(AGAIN, 102.0)

    def test_report_of_another_relay_is_new_with_its_age(self, notices):
        other = EndpointNotices()
        announced = []
        other.on_leaving = announced.append
        notices.note_leaving(ONE, 100.0)
        assert other.merge_leaving(notices.leaving_reports(101.0), 51.0) == [ONE]
        assert other.merge_leaving(notices.leaving_reports(101.5), 51.5) == []
        assert announced == [ONE]
        assert other.leaving_since(ONE) == pytest.approx(50.0)
        assert other.leaving_since(AGAIN) is None

    def test_is_reported_until_its_ttl_is_over(self, notices):
        notices.note_leaving(ONE, 100.0)
        assert notices.leaving_reports(131.0) == []
        assert notices.leaving_since(ONE) == 100.0


class TestBackoff:
    def test_shorter_backoff_changes_nothing(self, notices):
        assert notices.note_backoff(ONE, 3.0, 100.0)
        assert not notices.note_backoff(ONE, 1.0, 101.0)
        assert notices.note_backoff(ONE, 3.0, 101.0)

    def test_backoff_of_zero_is_ignored(self, notices):
        assert not notices.note_backoff(ONE, 0.0, 100.0)

    def test_ends_in_time_and_does_not_affect_another_process(self, notices):
        notices.note_backoff(AGAIN, 3.0, 100.0)
        assert notices.backoff_remaining(AGAIN, 101.0) == 2.0
        assert notices.backoff_remaining(AGAIN, 103.0) == 0.0
        assert notices.backoff_remaining(ONE, 101.0) == 0.0

    def test_latest_end_of_several_backoffs_applies(self, notices):
        notices.note_backoff(AGAIN, 3.0, 100.0)
        notices.note_backoff(AGAIN, 0.5, 100.5)
        assert notices.backoff_remaining(AGAIN, 101.0) == 2.0

    def test_no_streams_are_moved_to_a_process_with_backoff_or_limit(self, notices):
        assert not notices.accepts_migrated_streams(ONE, 101.0)
        assert notices.accepts_migrated_streams(AGAIN, 101.0)
        notices.note_backoff(AGAIN, 3.0, 100.0)
        assert not notices.accepts_migrated_streams(AGAIN, 101.0)
