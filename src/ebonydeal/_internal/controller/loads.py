"""Load reports of a deployment's replicas, a bounded number asked each round."""

import asyncio
from collections.abc import Mapping

from ebonydeal._internal.controller.ports import ControlledEngine
from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.endpoints import EndpointView, LoadReport
from ebonydeal._internal.utils.clock import Clock

_AT_ONCE = 32
PER_ROUND = 128


class LoadWatcher:
    """Asks replicas for their load, those not heard of longest first.

    Parameters
    ----------
    engine : ControlledEngine
        Adapter; plain services answer the same question.
    clock : Clock
        Source of time.
    period : float
        Seconds before a replica that isn't asked first is asked again.
    """

    def __init__(self, engine: ControlledEngine, clock: Clock, period: float) -> None:
        self._engine = engine
        self._clock = clock
        self._period = period
        self._asked: dict[str, float] = {}
        self._reports: dict[str, LoadReport] = {}

    async def ask(self, views: Mapping[str, EndpointView], first: set[str]) -> None:
        """Ask up to ``PER_ROUND`` replicas; those in ``first`` before the rest."""
        for endpoint_id in set(self._asked) - set(views):
            del self._asked[endpoint_id]
            self._reports.pop(endpoint_id, None)
        due = self._clock.now() - self._period
        order = sorted(
            (item for item in views if item in first or self._last(item) <= due),
            key=lambda item: (item not in first, self._last(item), item),
        )
        limit = asyncio.Semaphore(_AT_ONCE)

        async def one(endpoint_id: str) -> None:
            async with limit:
                await self._ask_one(views[endpoint_id])

        await asyncio.gather(*(one(item) for item in order[:PER_ROUND]))

    def _last(self, endpoint_id: str) -> float:
        """Return when a replica was last asked."""
        return self._asked.get(endpoint_id, float("-inf"))

    async def _ask_one(self, view: EndpointView) -> None:
        """Ask one replica; silence leaves no report."""
        self._asked[view.endpoint_id] = self._clock.now()
        try:
            report = await self._engine.load(view)
        except EbonydealError:
            self._reports.pop(view.endpoint_id, None)
            return
        self._reports[view.endpoint_id] = report

    def report(self, endpoint_id: str) -> LoadReport | None:
        """Return the last report, or None after a failed or no question."""
        return self._reports.get(endpoint_id)

    def reports(self, endpoint_ids: set[str]) -> list[LoadReport]:
        """Return the reports of some replicas."""
        return [
            report for name, report in self._reports.items() if name in endpoint_ids
        ]
