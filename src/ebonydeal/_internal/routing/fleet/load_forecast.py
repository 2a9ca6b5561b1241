"""The load of a service that its fleet is planned for.

Zones are reclaimed in bursts. Requests that wait during a burst, and prompts that are
prefilled again, look like load, so the forecast may exceed the baseline before the
burst only by a factor. The baseline must have been measured: when a zone was reclaimed
one second after traffic had begun, that second's load was taken for the baseline, and
the plan was for 1.7 endpoints while some 30 were busy.
"""

from ebonydeal._internal.routing.fleet.fleet_plan import FleetConfig

# Below this load the service counts as idle, in endpoints kept busy.
_MIN_LOAD = 0.05
# Weight of the load observed at a step: a few steps of 0.2 s smooth out single
# requests.
_STEP_WEIGHT = 0.25
# Seconds of load after which the fleet's initial size no longer matters.
_MEASURING_TIME_S = 5.0
# Seconds of load after which the baseline bounds the forecast in a burst: the meters of
# work average over 4 s.
_BASELINE_TIME_S = 4.0


class LoadForecast:
    """The load of one service, in endpoints kept busy.

    Parameters
    ----------
    config : FleetConfig
        The growth allowed in a burst, and how long a peak counts.
    """

    def __init__(self, config: FleetConfig) -> None:
        self._config = config
        self._smoothed: float | None = None
        self._loaded_since: float | None = None
        self._baseline = 0.0
        self._baseline_measured = False
        self._peak = 0.0
        self._peak_at = 0.0

    def is_measured(self, now: float) -> bool:
        """Return whether load was observed for long enough to plan by it."""
        return self._loaded_for(now) >= _MEASURING_TIME_S

    @property
    def has_load(self) -> bool:
        """Whether any load was observed."""
        return self._loaded_since is not None

    def _loaded_for(self, now: float) -> float:
        return 0.0 if self._loaded_since is None else now - self._loaded_since

    def observe(self, load: float, in_burst: bool, now: float) -> float:
        """Add the load observed now; return the load to plan for."""
        before = load if self._smoothed is None else self._smoothed
        smoothed = before + _STEP_WEIGHT * (load - before)
        max_growth = self._config.max_growth_in_burst
        if not in_burst or not max_growth:
            self._baseline = max(smoothed, _MIN_LOAD)
            self._baseline_measured = self._loaded_for(now) >= _BASELINE_TIME_S
        elif self._baseline_measured:
            smoothed = min(smoothed, self._baseline * max_growth)
        if smoothed >= _MIN_LOAD and self._loaded_since is None:
            self._loaded_since = now
        self._smoothed = smoothed
        if smoothed >= self._peak or now - self._peak_at > self._config.peak_hold_s:
            self._peak, self._peak_at = smoothed, now
        return self._peak
