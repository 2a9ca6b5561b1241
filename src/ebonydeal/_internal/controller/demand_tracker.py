"""Tracks the number of replicas that one deployment needs."""

from ebonydeal._internal.controller.demand import (
    DemandConfig,
    DemandState,
    Load,
    desired_replicas,
)
from ebonydeal._internal.models.document import Deployment
from ebonydeal._internal.models.endpoints import LoadReport


class DemandTracker:
    """Keeps the state of `demand.desired_replicas` between rounds.

    A missing report doesn't mean low load: a replica without a report counts
    with the mean load of the others, and without any report the target stays.

    Parameters
    ----------
    config : DemandConfig
        Parameters.
    """

    def __init__(self, config: DemandConfig) -> None:
        self._config = config
        self._state = DemandState()
        self._target = 0

    def begin(self, initial_target: int, now: float) -> None:
        """Start as a new leader with the replicas that the previous leader ran.

        ``initial_target``, which remains after the loss of any one zone, is
        kept for ``hold_down`` seconds.
        """
        peaks = (
            ((now + self._config.hold_down, initial_target),) if initial_target else ()
        )
        self._state = DemandState(peaks=peaks)
        self._target = initial_target

    def target(
        self,
        deployment: Deployment,
        reports: list[LoadReport],
        replicas: int,
        now: float,
    ) -> int:
        """Return the replicas that must remain after the loss of any one zone.

        Parameters
        ----------
        deployment : Deployment
            Latency target and bounds.
        reports : list of LoadReport
            Reports of the replicas that answered.
        replicas : int
            Number of serving replicas, with or without a report.
        now : float
            Monotonic seconds.
        """
        min_replicas, max_replicas = deployment.min_replicas, deployment.max_replicas
        if replicas and not reports:
            return min(max_replicas, max(min_replicas, self._target))
        load = Load.from_reports(reports)
        if reports:
            scale = max(1.0, replicas / len(reports))
            load = load._replace(in_flight=load.in_flight * scale)
        self._target, self._state = desired_replicas(
            self._state,
            load,
            deployment.first_token_s,
            min_replicas,
            max_replicas,
            self._config,
            now,
        )
        return min(max_replicas, max(min_replicas, self._target))
