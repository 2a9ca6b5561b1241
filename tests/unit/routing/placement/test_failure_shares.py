from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.relay.peers.relay_reports import RelayReports
from ebonydeal._internal.routing.placement.failure_shares import FailureShares
from ebonydeal._internal.routing.placement.member_choice import Ask, MemberChoice
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import relay_report

MEMBERS = [
    Member(f"i{n}", "s", f"i{n}:1", "z", 6, False, None, True, 0.0, n) for n in range(3)
]


def seen(count, failed, at=100.0, least=0.15):
    """Return what a relay knows after answers of one endpoint."""
    shares = FailureShares(least)
    for _ in range(count - failed):
        shares.answered("i0", at)
    for _ in range(failed):
        shares.failed("i0", ErrorKind.ENDPOINT_FAILED, at)
    return shares


class TestShare:
    def test_few_answers_say_nothing(self):
        assert seen(2, 2).share("i0", 100.0) == 0.0

    def test_a_part_that_fails_is_told(self):
        assert 0.25 < seen(10, 3).share("i0", 100.0) < 0.3

    def test_little_is_no_fault_of_the_endpoint(self):
        assert seen(30, 2).share("i0", 100.0) == 0.0

    def test_is_forgotten_within_seconds(self):
        assert seen(10, 5).share("i0", 110.0) == 0.0

    def test_refusals_for_load_do_not_count(self):
        shares = FailureShares(0.15)
        for _ in range(10):
            shares.failed("i0", ErrorKind.ENDPOINT_REFUSED, 100.0)
        assert shares.share("i0", 100.0) == 0.0

    def test_switched_off(self):
        assert seen(10, 5, least=0.0).share("i0", 100.0) == 0.0


class TestTogether:
    def test_relays_that_each_saw_one_failure_know_it_together(self):
        relays = [seen(1, 1) for _ in range(4)]
        me = FailureShares(0.15)
        reports = RelayReports(ManualClock(100.0))
        for number, relay in enumerate(relays):
            reports.record(relay_report(f"n{number}", answers=relay.own(100.0)))
        me.told(reports.failures_without("me"), 100.0)
        assert me.share("i0", 100.0) > 0.8
        assert all(relay.share("i0", 100.0) == 0.0 for relay in relays)


class TestChoice:
    def test_a_plain_endpoint_that_fails_is_left_to_the_others(self):
        choice = MemberChoice(8.0)
        first = choice.plain("z", MEMBERS).endpoint_id
        other = choice.plain("z", MEMBERS, {first: 0.4}).endpoint_id
        assert other != first

    def test_but_serves_where_all_fail_alike(self):
        choice = MemberChoice(8.0)
        first = choice.plain("z", MEMBERS).endpoint_id
        alike = {member.endpoint_id: 0.41 for member in MEMBERS}
        assert choice.plain("z", MEMBERS, alike).endpoint_id == first

    def test_an_engine_that_fails_is_worth_waiting_for_another(self):
        choice = MemberChoice(8.0)
        ask = Ask((), 1000, "z")
        first = choice.engine(ask, MEMBERS, 1.0).endpoint_id
        other = choice.engine(ask, MEMBERS, 1.0, {first: 0.4}).endpoint_id
        assert other != first
