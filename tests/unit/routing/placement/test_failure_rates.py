from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.relay.peers.roster import Roster
from ebonydeal._internal.routing.placement.endpoint_selector import (
    EndpointSelector,
    SelectionRequest,
)
from ebonydeal._internal.routing.placement.failure_rates import FailureRates
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import word

MEMBERS = [
    Member(f"i{n}", "s", f"i{n}:1", "z", 6, False, None, True, 0.0, n) for n in range(3)
]


def seen(count, failed, at=100.0, least=0.15):
    """Return what a relay knows after answers of one endpoint."""
    shares = FailureRates(least)
    for _ in range(count - failed):
        shares.record_success("i0", at)
    for _ in range(failed):
        shares.record_failure("i0", ErrorKind.ENDPOINT_FAILED, at)
    return shares


class TestShare:
    def test_few_answers_say_nothing(self):
        assert seen(2, 2).failure_rate("i0", 100.0) == 0.0

    def test_a_part_that_fails_is_told(self):
        assert 0.25 < seen(10, 3).failure_rate("i0", 100.0) < 0.3

    def test_little_is_no_fault_of_the_endpoint(self):
        assert seen(30, 2).failure_rate("i0", 100.0) == 0.0

    def test_is_forgotten_within_seconds(self):
        assert seen(10, 5).failure_rate("i0", 110.0) == 0.0

    def test_refusals_for_load_do_not_count(self):
        shares = FailureRates(0.15)
        for _ in range(10):
            shares.record_failure("i0", ErrorKind.ENDPOINT_REFUSED, 100.0)
        assert shares.failure_rate("i0", 100.0) == 0.0

    def test_switched_off(self):
        assert seen(10, 5, least=0.0).failure_rate("i0", 100.0) == 0.0


class TestTogether:
    def test_relays_that_each_saw_one_failure_know_it_together(self):
        relays = [seen(1, 1) for _ in range(4)]
        me = FailureRates(0.15)
        roster = Roster(ManualClock(100.0))
        for number, relay in enumerate(relays):
            roster.hear(word(f"n{number}", answers=relay.own_counts(100.0)))
        me.update_reported_counts(roster.failures_without("me"), 100.0)
        assert me.failure_rate("i0", 100.0) > 0.8
        assert all(relay.failure_rate("i0", 100.0) == 0.0 for relay in relays)


class TestChoice:
    def test_a_plain_endpoint_that_fails_is_left_to_the_others(self):
        choice = EndpointSelector(8.0)
        first = choice.select_plain("z", MEMBERS).endpoint_id
        other = choice.select_plain("z", MEMBERS, {first: 0.4}).endpoint_id
        assert other != first

    def test_but_serves_where_all_fail_alike(self):
        choice = EndpointSelector(8.0)
        first = choice.select_plain("z", MEMBERS).endpoint_id
        alike = {member.endpoint_id: 0.41 for member in MEMBERS}
        assert choice.select_plain("z", MEMBERS, alike).endpoint_id == first

    def test_an_engine_that_fails_is_worth_waiting_for_another(self):
        choice = EndpointSelector(8.0)
        ask = SelectionRequest((), 1000, "z")
        first = choice.select_engine(ask, MEMBERS, 1.0).endpoint_id
        other = choice.select_engine(ask, MEMBERS, 1.0, {first: 0.4}).endpoint_id
        assert other != first
