import pytest

from ebonydeal._internal.relay.duties import coordinator
from ebonydeal._internal.relay.peers import exchange
from ebonydeal._internal.relay.view import (
    config_follower,
    deltas,
    follower,
    reply_timeout,
    view_sync,
)
from ebonydeal._internal.relay.view.reply_timeout import ReplyTimeout
from ebonydeal._internal.routing.duties.report_pacing import ReportPacing

SHORTEST_S = reply_timeout.MIN_REPLY_TIMEOUT_S
# The users' bound: the time after which a relay counts as in touch again when its
# open connections have fallen silent.
CONTACT_S = 3.0
LONGEST_PAUSE_S = follower._MIN_BACKOFF_S * follower._MAX_JITTER


class TestReplyTimeout:
    def test_grows_while_polls_are_lost_and_shrinks_with_a_fast_reply(self):
        timeout = ReplyTimeout()
        grown = []
        for _ in range(5):
            timeout.record_lost()
            grown.append(timeout.seconds)
        assert grown == [1.0] * 5
        timeout.record_reply(0.6, 0.61)
        assert timeout.seconds == SHORTEST_S

    def test_a_slow_store_that_falls_silent_is_given_no_more_time_than_others(self):
        timeout = ReplyTimeout()
        timeout.record_reply(0.0, 2.0)
        assert timeout.seconds == 4.0
        timeout.record_lost()
        assert timeout.seconds == 1.0

    def test_a_slow_store_is_given_more_time_than_its_last_reply_took(self):
        timeout = ReplyTimeout()
        timeout.record_lost()
        timeout.record_reply(0.6, 1.4)
        assert round(timeout.seconds, 3) == 1.6

    def test_a_poll_that_ends_with_a_change_shows_no_speed(self):
        timeout = ReplyTimeout()
        timeout.record_lost()
        timeout.record_reply(2.0, 1.9)
        assert timeout.seconds == 2 * SHORTEST_S


class TestSilentStore:
    def test_is_read_before_the_relay_counts_as_in_touch(self):
        longest_pause = follower._MAX_BACKOFF_S * follower._MAX_JITTER
        assert reply_timeout.MAX_LOST_TIMEOUT_S + longest_pause <= CONTACT_S


class TestDeadConnection:
    def test_is_replaced_before_the_relay_counts_as_in_touch(self):
        longest_poll = follower.SHORT_POLL_TIMEOUT_S + SHORTEST_S
        assert longest_poll + LONGEST_PAUSE_S <= CONTACT_S

    def test_of_a_coordinators_poll_of_the_configuration_delays_no_other_relay(self):
        """Another one, whose connection fell silent too, learns of a change by it."""
        relays = coordinator._MIN_RELAYS_TO_PUSH_CONFIG
        longest_poll = config_follower._COORDINATOR_POLL_TIMEOUT_S + SHORTEST_S
        noticed = longest_poll + LONGEST_PAUSE_S
        told = deltas.batch_interval(relays) + deltas.CALL_TIMEOUT_S
        fetched = view_sync.OWN_POLL_DELAY_S + view_sync.CALL_TIMEOUT_S
        assert noticed + told + fetched <= CONTACT_S

    @pytest.mark.parametrize(("relays", "drain_s"), [(9, 2.0), (68, 3.0), (195, 4.0)])
    def test_of_a_lost_coordinator_is_replaced_within_the_drain_time(
        self, relays, drain_s
    ):
        reports = ReportPacing.of(relays, 0.5, 1.0).max_interval
        noticed = reports + exchange._CALL_TIMEOUT_S
        assert noticed + SHORTEST_S + LONGEST_PAUSE_S <= drain_s
