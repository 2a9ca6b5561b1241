"""Rounds of decisions over all deployments of the document."""

import random
from collections.abc import Callable

from mode import Service

from ebonydeal._internal.controller.context import ControllerContext
from ebonydeal._internal.controller.lease import LEASE_PREFIX, Holder
from ebonydeal._internal.controller.notices import NoticeReader
from ebonydeal._internal.controller.platform_snapshot import (
    PlatformSnapshot,
    take_snapshot,
)
from ebonydeal._internal.controller.ports import ControlledEngine
from ebonydeal._internal.controller.weight_load_scheduler import WeightLoadScheduler
from ebonydeal._internal.controller.weights import WeightLoadConfig
from ebonydeal._internal.controller.worker import DeploymentWorker
from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.document import Document
from ebonydeal._internal.models.endpoints import LeavingMark
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import (
    Cloud,
    InstanceList,
    Tables,
    WeightStore,
)
from ebonydeal._internal.settings.controller import ControllerSettings
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("controller")

_LEASES = LEASE_PREFIX + "controller-"
_LOOK_FOR_DROPPED = 100


class Controller(Service):
    """Rounds over all deployments of the document.

    Parameters
    ----------
    cfg : ControllerSettings
        ``[controller]``.
    holder : Holder
        This run of this process.
    tables, cloud, instance_list, engine, weights
        Adapters.
    document : callable
        Returns the present document.
    mark : callable
        Takes a `LeavingMark` and spreads it.
    metrics, clock, rng
        Counters, time, randomness.
    """

    def __init__(
        self,
        cfg: ControllerSettings,
        holder: Holder,
        tables: Tables,
        cloud: Cloud,
        instance_list: InstanceList,
        engine: ControlledEngine,
        weights: WeightStore,
        document: Callable[[], Document],
        mark: Callable[[LeavingMark], None],
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.workers: dict[str, DeploymentWorker] = {}
        self.load_scheduler = WeightLoadScheduler(
            weights, clock, WeightLoadConfig(rate_of_one=cfg.load_rate)
        )
        self._cfg = cfg
        self._round_number = 0
        self._leads = True
        self._cloud = cloud
        self._instance_list = instance_list
        self._document = document
        self._clock = clock
        self.notices = NoticeReader(cloud, clock, cfg.notice_period, mark)
        self.add_dependency(self.notices)
        self._ctx = ControllerContext(
            cfg,
            holder,
            tables,
            cloud,
            engine,
            self.load_scheduler,
            metrics,
            clock,
            rng,
            mark,
        )

    async def round(self) -> None:
        """Look once, then do every deployment's round."""
        document = self._document()
        if document.version == 0 or not self._leads:
            return
        if not await self._look_at_leases(document):
            return
        try:
            snapshot = await take_snapshot(
                self._cloud, self._instance_list, self.notices.reclaim_notices
            )
        except EbonydealError as exc:
            logger.warning("The platform can't be asked.", kind=str(exc.kind))
            return
        self.notices.set_incarnations(list(snapshot.endpoints.values()))
        await self.load_scheduler.admit_waiting()
        for name in await self._names(document, snapshot):
            await self._round_of(self._worker(name), document, snapshot)

    async def _look_at_leases(self, document: Document) -> bool:
        """Take and renew leases; return whether there is anything to lead.

        A process that only stands by asks the cloud and the list nothing, but
        for a look now and then for what a dropped deployment left.
        """
        number = self._round_number
        self._round_number += 1
        leads = number % _LOOK_FOR_DROPPED == 0
        for name in sorted(set(document.deployments) | set(self.workers)):
            if not self._leads:
                return False
            try:
                leads = await self._worker(name).lease.step() or leads
            except EbonydealError as exc:
                logger.warning("A lease failed.", deployment=name, kind=str(exc.kind))
        return leads

    def _worker(self, name: str) -> DeploymentWorker:
        """Return the worker of a deployment, made when first asked for."""
        if name not in self.workers:
            self.workers[name] = DeploymentWorker(name, self._ctx)
        return self.workers[name]

    async def _names(self, document: Document, snapshot: PlatformSnapshot) -> list[str]:
        """Return the deployments to look after, dropped ones included.

        A dropped deployment has instances, or at least rows that are still to
        be removed; every lease that was ever taken names a deployment.
        """
        names = set(document.deployments) | set(snapshot.instances)
        names |= {name for name, worker in self.workers.items() if worker.records.rows}
        if self._round_number % _LOOK_FOR_DROPPED == 1:
            names |= await self._leased()
        return sorted(names)

    async def _leased(self) -> set[str]:
        """Return the deployments that ever had a leader; none if unreadable."""
        try:
            rows = await self._ctx.tables.scan(_LEASES, "", 1000)
        except EbonydealError:
            return set()
        return {row.key.removeprefix(_LEASES) for row in rows}

    async def _round_of(
        self, worker: DeploymentWorker, document: Document, snapshot: PlatformSnapshot
    ) -> None:
        """Do one deployment's round; a failure doesn't hold up the others."""
        if not self._leads:
            return
        try:
            await worker.round(document.deployments.get(worker.name), snapshot)
        except EbonydealError as exc:
            logger.warning(
                "A round failed.", deployment=worker.name, kind=str(exc.kind)
            )

    @Service.task
    async def _rounds(self) -> None:
        """Do rounds until stopped."""
        while not self.should_stop:
            await self.round()
            await self._clock.sleep(self._cfg.period)

    async def step_down(self) -> None:
        """Lead nothing any more; others need not wait for the leases to lapse."""
        self._leads = False
        for worker in self.workers.values():
            try:
                await worker.lease.release()
            except EbonydealError as exc:
                logger.warning("A lease was not given back.", kind=str(exc.kind))

    async def on_stop(self) -> None:
        """Give the leases back."""
        await self.step_down()
