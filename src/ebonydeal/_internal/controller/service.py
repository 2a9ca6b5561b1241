"""Runs the rounds of all deployments in the document."""

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

_LEASE_KEY_PREFIX = LEASE_PREFIX + "controller-"
_DROPPED_CHECK_ROUNDS = 100


class Controller(Service):
    """Runs the rounds of all deployments in the document.

    Parameters
    ----------
    cfg : ControllerSettings
        ``[controller]``.
    holder : Holder
        Identity of this run of the process.
    tables, cloud, instance_list, engine, weights
        Adapters.
    document : callable
        Returns the current document.
    mark : callable
        Publishes a `LeavingMark` to the other processes.
    metrics, clock, rng
        Counters, time and random numbers.
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
            weights, clock, WeightLoadConfig(engine_rate_gb_per_s=cfg.load_rate)
        )
        self._cfg = cfg
        self._round_number = 0
        self._may_lead = True
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
        """Take one snapshot, then run the round of each deployment."""
        document = self._document()
        if document.version == 0 or not self._may_lead:
            return
        if not await self._update_leases(document):
            return
        try:
            snapshot = await take_snapshot(
                self._cloud, self._instance_list, self.notices.reclaim_notices
            )
        except EbonydealError as exc:
            logger.warning("Platform is unreachable.", kind=str(exc.kind))
            return
        self.notices.set_incarnations(list(snapshot.endpoints.values()))
        await self.load_scheduler.admit_waiting()
        for name in await self._names(document, snapshot):
            await self._round_of(self._worker(name), document, snapshot)

    async def _update_leases(self, document: Document) -> bool:
        """Take and renew leases; return whether this round needs a snapshot.

        A process without a lease reads the cloud and the instance list only every
        ``_DROPPED_CHECK_ROUNDS`` rounds, to find instances of dropped deployments.
        """
        number = self._round_number
        self._round_number += 1
        needs_snapshot = number % _DROPPED_CHECK_ROUNDS == 0
        for name in sorted(set(document.deployments) | set(self.workers)):
            if not self._may_lead:
                return False
            try:
                needs_snapshot = await self._worker(name).lease.step() or needs_snapshot
            except EbonydealError as exc:
                logger.warning(
                    "Taking or renewing a lease failed.",
                    deployment=name,
                    kind=str(exc.kind),
                )
        return needs_snapshot

    def _worker(self, name: str) -> DeploymentWorker:
        """Return the worker of a deployment, creating it on first use."""
        if name not in self.workers:
            self.workers[name] = DeploymentWorker(name, self._ctx)
        return self.workers[name]

    async def _names(self, document: Document, snapshot: PlatformSnapshot) -> list[str]:
        """Return the deployments that need a round, including dropped ones.

        A dropped deployment still has instances or rows to remove. Every
        ``_DROPPED_CHECK_ROUNDS`` rounds, all deployments that ever had a lease
        are included.
        """
        names = set(document.deployments) | set(snapshot.instances)
        names |= {name for name, worker in self.workers.items() if worker.records.rows}
        if self._round_number % _DROPPED_CHECK_ROUNDS == 1:
            names |= await self._names_with_lease()
        return sorted(names)

    async def _names_with_lease(self) -> set[str]:
        """Return the deployments that ever had a lease; none if unreadable."""
        try:
            rows = await self._ctx.tables.scan(_LEASE_KEY_PREFIX, "", 1000)
        except EbonydealError:
            return set()
        return {row.key.removeprefix(_LEASE_KEY_PREFIX) for row in rows}

    async def _round_of(
        self, worker: DeploymentWorker, document: Document, snapshot: PlatformSnapshot
    ) -> None:
        """Run one deployment's round; a failure doesn't affect the others."""
        if not self._may_lead:
            return
        try:
            await worker.round(document.deployments.get(worker.name), snapshot)
        except EbonydealError as exc:
            logger.warning(
                "Round of a deployment failed.",
                deployment=worker.name,
                kind=str(exc.kind),
            )

    @Service.task
    async def _rounds(self) -> None:
        """Run rounds until stopped."""
        while not self.should_stop:
            await self.round()
            await self._clock.sleep(self._cfg.period)

    async def step_down(self) -> None:
        """Stop leading and release the leases, so that others can take them at once."""
        self._may_lead = False
        for worker in self.workers.values():
            try:
                await worker.lease.release()
            except EbonydealError as exc:
                logger.warning("Releasing a lease failed.", kind=str(exc.kind))

    async def on_stop(self) -> None:
        """Release the leases."""
        await self.step_down()
