"""Polls load reports of a deployment's replicas, a limited number per round."""

import asyncio
from collections.abc import Mapping

from ebonydeal._internal.controller.ports import ControlledEngine
from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.endpoints import EndpointView, LoadReport
from ebonydeal._internal.utils.clock import Clock

_MAX_CONCURRENT_POLLS = 32
MAX_POLLS_PER_ROUND = 128


class LoadPoller:
    """Polls replicas for their load, least recently polled first.

    Parameters
    ----------
    engine : ControlledEngine
        Adapter; plain services report their load in the same way.
    clock : Clock
        Source of time.
    period : float
        Seconds between two polls of a replica without priority.
    """

    def __init__(self, engine: ControlledEngine, clock: Clock, period: float) -> None:
        self._engine = engine
        self._clock = clock
        self._period = period
        self._polled_at: dict[str, float] = {}
        self._reports: dict[str, LoadReport] = {}

    async def poll(self, views: Mapping[str, EndpointView], priority: set[str]) -> None:
        """Poll up to ``MAX_POLLS_PER_ROUND`` replicas, those in ``priority`` first."""
        for endpoint_id in set(self._polled_at) - set(views):
            del self._polled_at[endpoint_id]
            self._reports.pop(endpoint_id, None)
        due = self._clock.now() - self._period
        order = sorted(
            (
                item
                for item in views
                if item in priority or self._last_poll(item) <= due
            ),
            key=lambda item: (item not in priority, self._last_poll(item), item),
        )
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_POLLS)

        async def poll_one(endpoint_id: str) -> None:
            async with semaphore:
                await self._poll_replica(views[endpoint_id])

        await asyncio.gather(*(poll_one(item) for item in order[:MAX_POLLS_PER_ROUND]))

    def _last_poll(self, endpoint_id: str) -> float:
        """Return when a replica was last polled; -inf if never."""
        return self._polled_at.get(endpoint_id, float("-inf"))

    async def _poll_replica(self, view: EndpointView) -> None:
        """Poll one replica; a failure deletes its last report."""
        self._polled_at[view.endpoint_id] = self._clock.now()
        try:
            report = await self._engine.load(view)
        except EbonydealError:
            self._reports.pop(view.endpoint_id, None)
            return
        self._reports[view.endpoint_id] = report

    def report(self, endpoint_id: str) -> LoadReport | None:
        """Return the last report; None if the last poll failed or there was none."""
        return self._reports.get(endpoint_id)

    def reports(self, endpoint_ids: set[str]) -> list[LoadReport]:
        """Return the reports of some replicas."""
        return [
            report for name, report in self._reports.items() if name in endpoint_ids
        ]
