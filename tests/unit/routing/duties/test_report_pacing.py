"""How often relays report, for any number of them, and the derived timeouts."""

import pytest

from ebonydeal._internal.routing.duties.report_pacing import ReportPacing

MIN_PERIOD_S = 0.5
SIZES = (1, 9, 30, 87, 195, 350, 1000)
# CPU cores of the smallest instances, of an ordinary one, and of the largest.
CORES = (0.516, 1.07, 2.15)


class TestPeriod:
    def test_few_relays_report_with_the_configured_period(self):
        assert {ReportPacing.of(9, MIN_PERIOD_S, cores).period for cores in CORES} == {
            MIN_PERIOD_S
        }

    @pytest.mark.parametrize("cores", CORES)
    def test_rate_of_reports_is_bounded(self, cores):
        for relays in SIZES:
            assert relays / ReportPacing.of(relays, MIN_PERIOD_S, cores).period <= 130.0

    def test_relays_report_to_a_larger_instance_more_often(self):
        assert ReportPacing.of(195, MIN_PERIOD_S, 2.15).period == 1.5
        assert ReportPacing.of(195, MIN_PERIOD_S, 0.516).period > 3.0


class TestTimeouts:
    @pytest.mark.parametrize("cores", CORES)
    @pytest.mark.parametrize("relays", SIZES)
    def test_healthy_relay_never_counts_as_gone_or_isolated(self, relays, cores):
        pacing = ReportPacing.of(relays, MIN_PERIOD_S, cores)
        assert (
            pacing.max_interval < pacing.relay_isolation_timeout < pacing.relay_timeout
        )
        assert (
            pacing.max_interval < pacing.coordinator_timeout < pacing.isolation_timeout
        )

    @pytest.mark.parametrize("cores", CORES)
    @pytest.mark.parametrize("relays", SIZES)
    def test_isolated_relay_is_counted_as_isolated(self, relays, cores):
        pacing = ReportPacing.of(relays, MIN_PERIOD_S, cores)
        assert pacing.relay_isolation_timeout >= pacing.isolation_timeout

    def test_nine_relays_detect_a_lost_coordinator_within_a_second(self):
        assert ReportPacing.of(9, MIN_PERIOD_S, 1.07).coordinator_timeout < 1.0
