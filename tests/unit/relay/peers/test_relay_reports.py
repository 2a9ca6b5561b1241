"""Replies must contain the reports of all other relays, and nothing needless."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonydeal._internal.relay.peers.relay_reports import RelayReports, addresses_hash
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import relay_report

LOADS = st.dictionaries(
    st.sampled_from(["i1", "i2", "i3"]),
    st.tuples(st.integers(1, 64), st.integers(0, 60_000)).map(list),
)


@pytest.fixture
def clock():
    return ManualClock(100.0)


class TestSums:
    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(tables=st.lists(LOADS, min_size=1, max_size=6))
    def test_loads_are_summed_over_all_other_relays(self, tables):
        reports = RelayReports(ManualClock(100.0))
        for number, loads in enumerate(tables):
            reports.record(relay_report(f"n{number}", loads=loads))
        expected = {}
        for loads in tables[1:]:
            for name, (running, unread) in loads.items():
                sums = expected.setdefault(name, [0, 0])
                sums[0] += running
                sums[1] += unread
        assert reports.loads_without("n0") == expected

    async def test_with_few_relays_sums_include_the_latest_reports(self, clock):
        reports = RelayReports(clock)
        for number in range(9):
            reports.record(relay_report(f"n{number}", loads={"i1": [1, 0]}))
        assert reports.loads_without("n0") == {"i1": [8, 0]}
        reports.record(relay_report("n1", loads={"i1": [5, 0]}))
        await clock.advance(0.01)
        assert reports.loads_without("n0") == {"i1": [12, 0]}

    async def test_a_newer_own_report_is_not_subtracted_from_a_cached_sum(self, clock):
        reports = RelayReports(clock)
        for number in range(87):
            reports.record(relay_report(f"n{number}", loads={"i1": [1, 100]}))
        reports.loads_without("n0")
        reports.record(relay_report("n0", loads={"i1": [9, 900]}))
        assert reports.loads_without("n0") == {"i1": [86, 8600]}

    async def test_relays_without_recent_reports_are_left_out(self, clock):
        reports = RelayReports(clock)
        reports.record(relay_report("n1", loads={"i1": [4, 0]}))
        await clock.advance(4.0)
        reports.record(relay_report("n2", loads={"i1": [1, 0]}))
        assert reports.loads_without("n0") == {"i1": [1, 0]}


class TestFailures:
    def test_endpoints_without_failures_are_left_out(self, clock):
        reports = RelayReports(clock)
        reports.record(relay_report("n1", answers={"i1": [7.0, 0.0], "i2": [5.0, 2.0]}))
        assert reports.failures_without("n0") == {"i2": [5.0, 2.0]}

    def test_successes_of_others_are_sent_to_the_relay_that_saw_failures(self, clock):
        reports = RelayReports(clock)
        reports.record(relay_report("n0", answers={"i1": [3.0, 3.0]}))
        reports.record(relay_report("n1", answers={"i1": [20.0, 0.0]}))
        assert reports.failures_without("n0") == {"i1": [20.0, 0.0]}


class TestAddresses:
    def test_they_are_sent_only_if_the_relay_lacks_them(self, clock):
        reports = RelayReports(clock)
        for node in ("n1", "n2"):
            reports.record(relay_report(node))
        addresses = reports.addresses_unless("")
        assert sorted(addresses) == ["n1:1", "n2:1"]
        assert reports.addresses_unless(addresses_hash(addresses[::-1])) is None

    async def test_they_are_sent_again_when_a_relay_comes_or_goes(self, clock):
        reports = RelayReports(clock)
        reports.record(relay_report("n1"))
        known = addresses_hash(reports.addresses_unless(""))
        reports.record(relay_report("n2"))
        assert reports.addresses_unless(known) == ["n1:1", "n2:1"]
        await clock.advance(4.0)
        reports.record(relay_report("n2"))
        assert reports.addresses_unless(known) == ["n2:1"]
