"""The load that a fleet is planned for, in calm times and while zones go."""

import pytest

from ebonydeal._internal.routing.fleet.fleet_plan import FleetPolicy
from ebonydeal._internal.routing.fleet.load_forecast import LoadForecast

TERMS = FleetPolicy(wave_growth=1.6, peak=6.0)
STEP_S = 0.2


def play(forecast, loads, begun=0.0, wave_at=None):
    """Show ``loads`` step by step; return the last load planned for."""
    planned = 0.0
    for number, load in enumerate(loads):
        now = begun + number * STEP_S
        in_wave = wave_at is not None and now >= wave_at
        planned = forecast.saw(load, in_wave, now)
    return planned


class TestWave:
    def test_one_in_the_first_second_bounds_nothing(self):
        # Traffic begins at once, and the meters show it over five seconds.
        loads = [min(30.0, 30.0 * step * STEP_S / 5.0) for step in range(35)]
        planned = play(LoadForecast(TERMS), loads, wave_at=0.9)
        assert planned > 25.0

    def test_after_some_seconds_of_load_it_bounds_what_waits(self):
        forecast = LoadForecast(TERMS)
        play(forecast, [2.0] * 50)
        planned = play(forecast, [30.0] * 15, begun=10.0, wave_at=10.0)
        assert planned == pytest.approx(3.2)

    def test_without_the_term_nothing_is_bounded(self):
        forecast = LoadForecast(TERMS._replace(wave_growth=0.0))
        play(forecast, [2.0] * 50)
        assert play(forecast, [30.0] * 15, begun=10.0, wave_at=10.0) > 25.0


class TestMeasured:
    def test_not_before_some_seconds_of_load(self):
        forecast = LoadForecast(TERMS)
        play(forecast, [0.0] * 50)
        assert not forecast.began
        play(forecast, [2.0] * 10, begun=10.0)
        assert forecast.began and not forecast.measured(12.0)
        assert forecast.measured(16.0)


class TestPeak:
    def test_is_held_for_its_time(self):
        forecast = LoadForecast(TERMS)
        play(forecast, [4.0] * 10)
        assert play(forecast, [1.0] * 20, begun=2.0) == 4.0
        assert play(forecast, [1.0] * 30, begun=6.0) < 2.0
