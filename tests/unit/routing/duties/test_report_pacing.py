"""How often relays report, at every size, and the bounds that follow from it."""

import pytest

from ebonydeal._internal.routing.duties.report_pacing import ReportPacing

LEAST_S = 0.5
SIZES = (1, 9, 30, 87, 195, 350, 1000)
# What the smallest instances have, an ordinary one, and the largest.
CORES = (0.516, 1.07, 2.15)


class TestPeriod:
    def test_few_relays_report_as_often_as_the_settings_say(self):
        periods = {ReportPacing.of(9, LEAST_S, cores).period for cores in CORES}
        assert periods == {LEAST_S}

    @pytest.mark.parametrize("cores", CORES)
    def test_a_coordinator_gets_no_more_than_it_can_take(self, cores):
        for relays in SIZES:
            assert relays / ReportPacing.of(relays, LEAST_S, cores).period <= 130.0

    def test_a_larger_instance_hears_hundreds_more_often(self):
        assert ReportPacing.of(195, LEAST_S, 2.15).period == 1.5
        assert ReportPacing.of(195, LEAST_S, 0.516).period > 3.0


class TestSilence:
    @pytest.mark.parametrize("cores", CORES)
    @pytest.mark.parametrize("relays", SIZES)
    def test_a_healthy_relay_never_counts_as_gone_or_alone(self, relays, cores):
        pace = ReportPacing.of(relays, LEAST_S, cores)
        assert pace.max_interval < pace.relay_isolation_timeout < pace.relay_timeout
        assert pace.max_interval < pace.coordinator_timeout < pace.isolation_timeout

    @pytest.mark.parametrize("cores", CORES)
    @pytest.mark.parametrize("relays", SIZES)
    def test_whoever_is_on_its_own_is_counted_so(self, relays, cores):
        pace = ReportPacing.of(relays, LEAST_S, cores)
        assert pace.relay_isolation_timeout >= pace.isolation_timeout

    def test_at_nine_relays_a_lost_coordinator_is_noticed_within_a_second(self):
        assert ReportPacing.of(9, LEAST_S, 1.07).coordinator_timeout < 1.0
