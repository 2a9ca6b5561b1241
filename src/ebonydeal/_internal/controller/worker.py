"""Runs the rounds of one deployment: observe, decide and act as its leader."""

from collections import Counter

from ebonydeal._internal.controller.actions import Drain, Enlist, Forget, Start
from ebonydeal._internal.controller.backlog import read_backlog
from ebonydeal._internal.controller.capacity import (
    CapacityConfig,
    decide_placement,
)
from ebonydeal._internal.controller.context import ControllerContext
from ebonydeal._internal.controller.deadline import Backlog, DeadlineConfig
from ebonydeal._internal.controller.demand_tracker import DemandTracker
from ebonydeal._internal.controller.execute import Executor
from ebonydeal._internal.controller.lease import LeaseKeeper
from ebonydeal._internal.controller.ledger import SpendLedger
from ebonydeal._internal.controller.loads import LoadPoller
from ebonydeal._internal.controller.missing_instances import MissingInstances
from ebonydeal._internal.controller.offers import OfferTracker
from ebonydeal._internal.controller.placement import Placement
from ebonydeal._internal.controller.platform_snapshot import PlatformSnapshot
from ebonydeal._internal.controller.reconcile import plan
from ebonydeal._internal.controller.reconcile_state import DesiredState, ObservedState
from ebonydeal._internal.controller.records import InstanceRecords
from ebonydeal._internal.controller.replicas import ReplicaManager, views_by_token
from ebonydeal._internal.controller.start_backoff import StartBackoff
from ebonydeal._internal.controller.surplus import zone_loss_capacity
from ebonydeal._internal.controller.values import (
    LIVE_STATES,
    InstanceRow,
    InstanceState,
    OfferKey,
)
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.document import Deployment
from ebonydeal._internal.models.endpoints import EndpointView, LeavingMark
from ebonydeal._internal.observe.counters import Event
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import Offer

logger = get_logger("controller")

_MAX_UNREPLACED = 1000


class DeploymentWorker:
    """Leads one deployment, or waits for the lease to lead it.

    Parameters
    ----------
    name : str
        Name of the deployment.
    ctx : ControllerContext
        Shared dependencies.
    """

    def __init__(self, name: str, ctx: ControllerContext) -> None:
        self.name = name
        self.lease = LeaseKeeper(
            f"controller-{name}", ctx.holder, ctx.tables, ctx.clock, ctx.cfg.lease_ttl
        )
        self.records = InstanceRecords(name, self.lease, ctx.tables)
        self.placement = Placement({}, 0.0, 0, 0)
        self.target = 0
        self._ctx = ctx
        self._start_backoff = StartBackoff(
            ctx.cfg.refused_first, ctx.cfg.refused_longest, ctx.rng
        )
        self._offers = OfferTracker(self._start_backoff, ctx.clock, ctx.cfg.period)
        self._executor = Executor(
            name,
            self.records,
            ctx.cloud,
            ctx.metrics,
            ctx.clock,
            ctx.rng,
            self._start_backoff,
            self._mark_leaving,
        )
        self._replicas = ReplicaManager(name, self.lease, ctx)
        self._loads = LoadPoller(ctx.engine, ctx.clock, ctx.cfg.load_period)
        self._ledger = SpendLedger(name, ctx.clock, ctx.cfg.spend_period)
        self._missing = MissingInstances(ctx.cfg.list_grace)
        self._demand = DemandTracker(ctx.demand_config())
        self._unreplaced: list[str] = []
        self._endpoint_views: dict[str, EndpointView] = {}
        self._epoch = 0

    async def round(
        self, deployment: Deployment | None, snapshot: PlatformSnapshot
    ) -> None:
        """Run one round; ``deployment`` is None if the document dropped it.

        Raises errors of the table; the next round continues from the rows.
        """
        if not await self.lease.step():
            return
        try:
            await self._lead(deployment, snapshot)
        except EbonydealError as exc:
            if exc.kind is not ErrorKind.FENCED:
                raise
            logger.warning(
                "Another controller has taken the lease.", deployment=self.name
            )

    async def _lead(
        self, deployment: Deployment | None, snapshot: PlatformSnapshot
    ) -> None:
        """Run one round as the leader."""
        await self.records.refresh()
        if self.lease.epoch != self._epoch:
            self._begin_epoch()
        instances = snapshot.instances.get(self.name, {})
        self._endpoint_views = views_by_token(
            deployment, self.records.rows, instances, snapshot.endpoints
        )
        await self._poll_loads()
        zones = frozenset() if deployment is None else _zones(deployment)
        offers = self._offers.usable(snapshot.offers, zones, self.records.rows.values())
        await self._decide(deployment, snapshot, offers)
        warm = await self._replicas.round(
            deployment,
            self.records.rows,
            self._endpoint_views,
            self._loads,
            self._shortfall(),
            snapshot.own_nodes,
        )
        await self._reconcile(deployment, snapshot, offers, warm)
        if self.lease.epoch is not None:
            await self._write_spend(deployment, offers)

    def _begin_epoch(self) -> None:
        """Reset the state after the lease was taken."""
        self._epoch = self.lease.epoch or 0
        self._unreplaced.clear()
        self._hold_replicas(InstanceState.READY)
        self._ctx.metrics.count(Event.TAKEOVERS)
        logger.info("Lease taken.", deployment=self.name, epoch=self._epoch)
        for row in self.records.rows.values():
            if row.state is InstanceState.DRAINING:
                self._mark_leaving(row)

    def _hold_replicas(self, *states: InstanceState) -> None:
        """Keep replicas in ``states`` for a while, as their load isn't known yet."""
        rows = self.records.rows.values()
        zones = Counter(row.zone for row in rows if row.state in states)
        self._demand.begin(zone_loss_capacity(zones), self._ctx.clock.now())

    async def _poll_loads(self) -> None:
        """Poll the load of replicas, draining and warming ones first."""
        states = {token: row.state for token, row in self.records.rows.items()}
        endpoint_views = {
            view.endpoint_id: view
            for token, view in self._endpoint_views.items()
            if token in states and states[token] is not InstanceState.STARTING
        }
        priority = {
            view.endpoint_id
            for token, view in self._endpoint_views.items()
            if states.get(token) in (InstanceState.DRAINING, InstanceState.WARMING)
        }
        await self._loads.poll(endpoint_views, priority)

    async def _decide(
        self,
        deployment: Deployment | None,
        snapshot: PlatformSnapshot,
        offers: dict[OfferKey, Offer],
    ) -> None:
        """Choose the target, and where its replicas run."""
        if deployment is None:
            self.target, self.placement = 0, Placement({}, 0.0, 0, 0)
            return
        ctx, now = self._ctx, self._ctx.clock.now()
        serving = self._serving()
        self.target = self._demand.target(
            deployment, self._loads.reports(serving), len(serving), now
        )
        wall = ctx.clock.wall()
        reclaimed = snapshot.reclaim_notices.recently_reclaimed_zones(
            wall, ctx.cfg.zone_avoid
        )
        self._offers.block_zones(offers, reclaimed)
        self.placement = decide_placement(
            self.target,
            CapacityConfig.from_deployment(deployment),
            offers,
            self._current(snapshot),
            self._start_backoff.blocked_offers(now),
            await self._backlog(deployment, wall),
            self._offers.recent_prices(),
            ctx.placement_config(),
            DeadlineConfig(),
            wall,
        )

    def _serving(self) -> set[str]:
        """Return the ids of the replicas that may have requests in flight."""
        return {
            row.instance_id
            for row in self.records.rows.values()
            if row.state in (InstanceState.READY, InstanceState.DRAINING)
        }

    def _current(self, snapshot: PlatformSnapshot) -> Counter[OfferKey]:
        """Count the live instances without a reclaim notice."""
        leaving = self._leaving(snapshot)
        return Counter(
            OfferKey.of(row)
            for row in self.records.rows.values()
            if row.state in LIVE_STATES and row.token not in leaving
        )

    async def _backlog(self, deployment: Deployment, wall: float) -> list[Backlog]:
        """Return the waiting deadline work."""
        if not deployment.deadline_work:
            return []
        return await read_backlog(self._ctx.tables, self.name, wall)

    async def _reconcile(
        self,
        deployment: Deployment | None,
        snapshot: PlatformSnapshot,
        offers: dict[OfferKey, Offer],
        warm: set[str],
    ) -> None:
        """Plan the actions and execute them."""
        instances = snapshot.instances.get(self.name, {})
        observed = ObservedState(
            instances=instances,
            rows=dict(self.records.rows),
            warm=warm,
            idle=self._idle(),
            leaving=self._leaving(snapshot),
            prices={key: offer.price_per_hour for key, offer in offers.items()},
            gone=self._gone(snapshot),
        )
        ceiling = 0.0 if deployment is None else deployment.price_ceiling
        desired = DesiredState(self.placement.counts, self.target, ceiling)
        actions = plan(
            desired,
            observed,
            self._ctx.reconcile_config(),
            self._ctx.clock.wall(),
            tuple(self._unreplaced),
        )
        if self.placement.ceiling_held:
            self._ctx.metrics.count(Event.CEILING_HELD, self.placement.ceiling_held)
            logger.warning(
                "Price ceiling prevents replicas.",
                deployment=self.name,
                number=self.placement.ceiling_held,
            )
        for action in actions:
            match action:
                case Drain(row=row, why="reclaim notice") | Forget(row=row, lost=True):
                    self._unreplaced.append(row.token)
        started_for = {
            action.replaces for action in actions if isinstance(action, Start)
        }
        if self.lease.epoch is None:
            return
        await self._executor.run(actions, self._epoch, offers, instances)
        if any(isinstance(action, Enlist) for action in actions):
            self._hold_replicas(*LIVE_STATES)
        unreplaced = [token for token in self._unreplaced if token not in started_for]
        self._unreplaced = (unreplaced + self._executor.unstarted_replacements)[
            -_MAX_UNREPLACED:
        ]

    def _leaving(self, snapshot: PlatformSnapshot) -> dict[str, float]:
        """Return the reclaim deadlines of instances under a notice, by token."""
        leaving = {}
        for token, instance in snapshot.instances.get(self.name, {}).items():
            deadline = snapshot.reclaim_notices.deadline(instance)
            if deadline is not None:
                leaving[token] = deadline
        return leaving

    def _gone(self, snapshot: PlatformSnapshot) -> set[str]:
        """Return the tokens of instances that are gone."""
        rows = self.records.rows
        instances = snapshot.instances.get(self.name, {})
        answering = {
            row.token
            for row in rows.values()
            if self._loads.report(row.instance_id) is not None
        }
        now = self._ctx.clock.now()
        return self._missing.update(set(rows), instances, answering, now)

    def _idle(self) -> set[str]:
        """Return tokens of draining instances whose replica reports no requests."""
        idle = set()
        for row in self.records.rows.values():
            view = self._endpoint_views.get(row.token)
            if row.state is not InstanceState.DRAINING or view is None:
                continue
            report = self._loads.report(view.endpoint_id)
            if report is not None and report.running + report.waiting == 0:
                idle.add(row.token)
        return idle

    def _shortfall(self) -> float:
        """Return the share of the target that is not ready, 0 to 1."""
        if self.target <= 0:
            return 0.0
        ready = sum(
            row.state is InstanceState.READY for row in self.records.rows.values()
        )
        return max(0.0, 1.0 - ready / self.target)

    def _mark_leaving(self, row: InstanceRow) -> None:
        """Publish the leaving mark of a draining instance."""
        view = self._endpoint_views.get(row.token)
        self._ctx.mark(
            LeavingMark(
                endpoint_id=row.instance_id,
                incarnation=0 if view is None else view.incarnation,
                zone="",
                deadline=row.drain_until,
                source="peer",
                at=self._ctx.clock.wall(),
            )
        )

    async def _write_spend(
        self, deployment: Deployment | None, offers: dict[OfferKey, Offer]
    ) -> None:
        """Measure the spend, and record it once per period."""
        ceiling = 0.0 if deployment is None else deployment.price_ceiling
        spend = self._ledger.measure(
            list(self.records.rows.values()), offers, ceiling, self.target
        )
        if self._ledger.due():
            await self._ledger.load(self._ctx.tables, self._epoch)
            await self.records.write_other(self._ledger.total(spend).to_put())


def _zones(deployment: Deployment) -> frozenset[str]:
    """Return the names of a deployment's zones."""
    return frozenset(place.zone for place in deployment.zones)
