"""The load of a service that its fleet is planned for.

Load pattern: zones are taken back in waves. What waits then, and prompts that are read
again, look like load, so no more than some growth over the calm before is believed.
The calm itself must have been measured: traffic that had begun one second before the
first zone went was taken for all there is, and 1.7 endpoints were planned for where
some 30 were busy.
"""

from ebonydeal._internal.routing.fleet.fleet_plan import FleetPolicy

# Below this the service counts as idle, endpoints kept busy.
_LEAST_LOAD = 0.05
# Weight of what is seen at a step: a few steps of 0.2 s smooth single requests.
_UP = 0.25
# Seconds of load after which the size that was found says nothing any more.
_MEASURE_S = 5.0
# Seconds of load after which a calm bounds what is believed in a wave: the meters of
# work look back 4 s.
_CALM_S = 4.0


class LoadForecast:
    """What one service was seen to need, in endpoints kept busy.

    Parameters
    ----------
    terms : FleetPolicy
        Growth believed in a wave, and for how long a peak counts.
    """

    def __init__(self, terms: FleetPolicy) -> None:
        self._terms = terms
        self._smooth: float | None = None
        self._loaded_since: float | None = None
        self._calm = 0.0
        self._calm_measured = False
        self._peak = 0.0
        self._peak_at = 0.0

    def measured(self, now: float) -> bool:
        """Return whether load was seen for long enough to plan by it."""
        return self._loaded_for(now) >= _MEASURE_S

    @property
    def began(self) -> bool:
        """Whether any load was seen."""
        return self._loaded_since is not None

    def _loaded_for(self, now: float) -> float:
        return 0.0 if self._loaded_since is None else now - self._loaded_since

    def saw(self, load: float, in_wave: bool, now: float) -> float:
        """Take what is seen now; return the load to plan for."""
        before = load if self._smooth is None else self._smooth
        smooth = before + _UP * (load - before)
        growth = self._terms.wave_growth
        if not in_wave or not growth:
            self._calm = max(smooth, _LEAST_LOAD)
            self._calm_measured = self._loaded_for(now) >= _CALM_S
        elif self._calm_measured:
            smooth = min(smooth, self._calm * growth)
        if smooth >= _LEAST_LOAD and self._loaded_since is None:
            self._loaded_since = now
        self._smooth = smooth
        if smooth >= self._peak or now - self._peak_at > self._terms.peak:
            self._peak, self._peak_at = smooth, now
        return self._peak
