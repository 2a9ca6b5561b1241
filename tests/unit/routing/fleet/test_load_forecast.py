"""The load that a fleet is planned for, with and without reclaimed zones."""

import pytest

from ebonydeal._internal.routing.fleet.fleet_plan import FleetConfig
from ebonydeal._internal.routing.fleet.load_forecast import LoadForecast

CONFIG = FleetConfig(max_growth_in_burst=1.6, peak_hold_s=6.0)
STEP_S = 0.2


def observe_all(forecast, loads, start=0.0, burst_at=None):
    """Observe ``loads`` step by step; return the last load planned for."""
    planned = 0.0
    for number, load in enumerate(loads):
        now = start + number * STEP_S
        in_burst = burst_at is not None and now >= burst_at
        planned = forecast.observe(load, in_burst, now)
    return planned


class TestReclaimBurst:
    def test_burst_in_the_first_second_of_load_bounds_nothing(self):
        # Traffic begins at once, and the meters of work rise over five seconds.
        loads = [min(30.0, 30.0 * step * STEP_S / 5.0) for step in range(35)]
        planned = observe_all(LoadForecast(CONFIG), loads, burst_at=0.9)
        assert planned > 25.0

    def test_burst_after_some_seconds_of_load_bounds_the_growth(self):
        forecast = LoadForecast(CONFIG)
        observe_all(forecast, [2.0] * 50)
        planned = observe_all(forecast, [30.0] * 15, start=10.0, burst_at=10.0)
        assert planned == pytest.approx(3.2)

    def test_without_a_maximum_growth_nothing_is_bounded(self):
        forecast = LoadForecast(CONFIG._replace(max_growth_in_burst=0.0))
        observe_all(forecast, [2.0] * 50)
        assert observe_all(forecast, [30.0] * 15, start=10.0, burst_at=10.0) > 25.0


class TestMeasured:
    def test_not_before_some_seconds_of_load(self):
        forecast = LoadForecast(CONFIG)
        observe_all(forecast, [0.0] * 50)
        assert not forecast.has_load
        observe_all(forecast, [2.0] * 10, start=10.0)
        assert forecast.has_load and not forecast.is_measured(12.0)
        assert forecast.is_measured(16.0)


class TestPeak:
    def test_is_held_for_the_configured_time(self):
        forecast = LoadForecast(CONFIG)
        observe_all(forecast, [4.0] * 10)
        assert observe_all(forecast, [1.0] * 20, start=2.0) == 4.0
        assert observe_all(forecast, [1.0] * 30, start=6.0) < 2.0
