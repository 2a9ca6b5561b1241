"""Limits the rate of weight loads of all deployments that this process leads."""

import math
from collections import defaultdict
from collections.abc import Mapping

from ebonydeal._internal.controller.weights import (
    LoadRequest,
    RunningLoad,
    WeightLoadConfig,
    admit_loads,
)
from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import WeightCopy, WeightStore
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("controller")

_COPIES_TTL_S = 60.0
_SERVED_DECAY_S = 300.0


class WeightLoadScheduler:
    """Admits the load requests of all workers within the weight store's rate.

    Parameters
    ----------
    store : WeightStore
        Adapter.
    clock : Clock
        Source of time.
    config : WeightLoadConfig
        Parameters.
    """

    def __init__(
        self, store: WeightStore, clock: Clock, config: WeightLoadConfig
    ) -> None:
        self._store = store
        self._clock = clock
        self._config = config
        self._requests: dict[str, list[LoadRequest]] = {}
        self._ready: dict[str, list[WeightCopy]] = {}
        self._running: dict[str, RunningLoad] = {}
        self._served: dict[str, float] = defaultdict(float)
        self._served_at = clock.now()
        self._copies: dict[str, tuple[float, list[WeightCopy]]] = {}

    def update_requests(
        self, deployment: str, requests: list[LoadRequest], ready: list[WeightCopy]
    ) -> None:
        """Replace a deployment's waiting requests and the copies on its engines.

        A load whose engine no longer waits (it is warm or gone) has ended.
        """
        self._requests[deployment] = requests
        self._ready[deployment] = ready
        waiting = {req.endpoint_id for req in requests}
        self._running = {
            name: load
            for name, load in self._running.items()
            if load.deployment != deployment or name in waiting
        }

    def admitted(self, deployment: str) -> set[str]:
        """Return the engines of a deployment that may load now."""
        return {
            name
            for name, load in self._running.items()
            if load.deployment == deployment
        }

    async def admit_waiting(self) -> None:
        """Admit the waiting loads that the store's rate allows."""
        waiting = [
            req
            for requests in self._requests.values()
            for req in requests
            if req.endpoint_id not in self._running
        ]
        if not waiting:
            return
        try:
            rate = await self._store.available_rate()
            copies = await self._all_copies({req.model for req in waiting})
        except EbonydealError as exc:
            logger.warning("Weight store is unreachable.", kind=str(exc.kind))
            return
        self._decay_served()
        used = sum(not load.source for load in self._running.values())
        starts = admit_loads(
            waiting,
            list(self._running.values()),
            copies,
            self._served,
            rate + used * self._config.engine_rate_gb_per_s,
            self._config,
        )
        for start in starts:
            self._running[start.endpoint_id] = RunningLoad(*start)
            if not start.source:
                self._served[start.deployment] += _size(start.model, copies)

    async def _all_copies(self, models: set[str]) -> Mapping[str, list[WeightCopy]]:
        """Return the copies in the store (cached) and those on ready engines."""
        now = self._clock.now()
        copies: dict[str, list[WeightCopy]] = {}
        for model in sorted(models):
            cached = self._copies.get(model)
            if cached is None or now - cached[0] > _COPIES_TTL_S:
                cached = (now, await self._store.copies(model))
                self._copies[model] = cached
            ready = [
                copy
                for items in self._ready.values()
                for copy in items
                if copy.model == model
            ]
            copies[model] = cached[1] + ready
        return copies

    def _decay_served(self) -> None:
        """Reduce the weight of past loads exponentially."""
        now = self._clock.now()
        factor = math.exp(-(now - self._served_at) / _SERVED_DECAY_S)
        self._served_at = now
        for name in self._served:
            self._served[name] *= factor


def _size(model: str, copies: Mapping[str, list[WeightCopy]]) -> float:
    """Return a model's size in gigabytes; 1.0 if unknown."""
    return max((copy.size_gb for copy in copies.get(model, ())), default=1.0)
