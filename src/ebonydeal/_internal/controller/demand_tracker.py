"""The desired replicas of one deployment from round to round."""

from ebonydeal._internal.controller.demand import (
    DemandConfig,
    DemandState,
    Load,
    desired_replicas,
)
from ebonydeal._internal.models.document import Deployment
from ebonydeal._internal.models.endpoints import LoadReport


class DemandTracker:
    """Remembers what `demand.desired_replicas` needs between rounds.

    Silence is not low load: what doesn't report counts like the mean of what
    does, and while nothing reports the target stays.

    Parameters
    ----------
    config : DemandConfig
        Constants.
    """

    def __init__(self, config: DemandConfig) -> None:
        self._config = config
        self._state = DemandState()
        self._target = 0

    def begin(self, standing: int, now: float) -> None:
        """Start as a new leader.

        What the predecessor found necessary is held for as long as any need:
        ``standing`` replicas that serve through a zone's loss.
        """
        peaks = ((now + self._config.hold_down, standing),) if standing else ()
        self._state = DemandState(peaks=peaks)
        self._target = standing

    def target(
        self,
        deployment: Deployment,
        reports: list[LoadReport],
        replicas: int,
        now: float,
    ) -> int:
        """Return the replicas that are needed after the loss of any one zone.

        Parameters
        ----------
        deployment : Deployment
            Latency target and bounds.
        reports : list of LoadReport
            Of the replicas that answer.
        replicas : int
            All that serve, whether they answer or not.
        now : float
            Monotonic seconds.
        """
        low, high = deployment.min_replicas, deployment.max_replicas
        if replicas and not reports:
            return min(high, max(low, self._target))
        load = Load.from_reports(reports)
        if reports:
            scale = max(1.0, replicas / len(reports))
            load = load._replace(in_flight=load.in_flight * scale)
        self._target, self._state = desired_replicas(
            self._state, load, deployment.first_token_s, low, high, self._config, now
        )
        return min(high, max(low, self._target))
