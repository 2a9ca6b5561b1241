from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.relay.peers.relay_reports import RelayReports
from ebonydeal._internal.routing.placement.endpoint_selector import (
    EndpointSelector,
    SelectionRequest,
)
from ebonydeal._internal.routing.placement.failure_rates import FailureRates
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import relay_report

MEMBERS = [
    Member(f"i{n}", "s", f"i{n}:1", "z", 6, False, None, True, 0.0, n) for n in range(3)
]


def rates_after(count, failed, at=100.0, threshold=0.15):
    """Return a relay's failure rates after ``count`` answers of endpoint i0."""
    rates = FailureRates(threshold)
    for _ in range(count - failed):
        rates.record_success("i0", at)
    for _ in range(failed):
        rates.record_failure("i0", ErrorKind.ENDPOINT_FAILED, at)
    return rates


class TestFailureRate:
    def test_few_answers_are_no_evidence(self):
        assert rates_after(2, 2).failure_rate("i0", 100.0) == 0.0

    def test_part_of_answers_that_fails_is_detected(self):
        assert 0.25 < rates_after(10, 3).failure_rate("i0", 100.0) < 0.3

    def test_low_rate_is_ignored(self):
        assert rates_after(30, 2).failure_rate("i0", 100.0) == 0.0

    def test_decays_within_seconds(self):
        assert rates_after(10, 5).failure_rate("i0", 110.0) == 0.0

    def test_refusals_for_load_do_not_count(self):
        rates = FailureRates(0.15)
        for _ in range(10):
            rates.record_failure("i0", ErrorKind.ENDPOINT_REFUSED, 100.0)
        assert rates.failure_rate("i0", 100.0) == 0.0

    def test_switched_off(self):
        assert rates_after(10, 5, threshold=0.0).failure_rate("i0", 100.0) == 0.0


class TestReports:
    def test_relays_that_each_saw_one_failure_detect_it_by_their_reports(self):
        relays = [rates_after(1, 1) for _ in range(4)]
        me = FailureRates(0.15)
        reports = RelayReports(ManualClock(100.0))
        for number, relay in enumerate(relays):
            reports.record(relay_report(f"n{number}", answers=relay.own_counts(100.0)))
        me.update_reported_counts(reports.failures_without("me"), 100.0)
        assert me.failure_rate("i0", 100.0) > 0.8
        assert all(relay.failure_rate("i0", 100.0) == 0.0 for relay in relays)


class TestSelection:
    def test_plain_endpoint_that_fails_is_avoided(self):
        selector = EndpointSelector(8.0)
        first = selector.select_plain("z", MEMBERS).endpoint_id
        other = selector.select_plain("z", MEMBERS, {first: 0.4}).endpoint_id
        assert other != first

    def test_plain_endpoint_serves_where_all_fail_equally(self):
        selector = EndpointSelector(8.0)
        first = selector.select_plain("z", MEMBERS).endpoint_id
        failing = {member.endpoint_id: 0.41 for member in MEMBERS}
        assert selector.select_plain("z", MEMBERS, failing).endpoint_id == first

    def test_engine_that_fails_is_avoided(self):
        selector = EndpointSelector(8.0)
        ask = SelectionRequest((), 1000, "z")
        first = selector.select_engine(ask, MEMBERS, 1.0).endpoint_id
        other = selector.select_engine(ask, MEMBERS, 1.0, {first: 0.4}).endpoint_id
        assert other != first
