"""Executes the actions of `reconcile.plan` for one deployment."""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence

from ebonydeal._internal.controller.actions import (
    Action,
    Adopt,
    Condemn,
    Drain,
    Enlist,
    Forget,
    Hold,
    MarkReady,
    Release,
    Restart,
    Start,
    Warm,
)
from ebonydeal._internal.controller.events import TrailEvent, TrailKind
from ebonydeal._internal.controller.records import InstanceRecords
from ebonydeal._internal.controller.start_backoff import StartBackoff
from ebonydeal._internal.controller.values import (
    MANAGER,
    TAG_DEPLOYMENT,
    TAG_FENCE,
    TAG_MANAGER,
    TAG_WHY,
    InstanceRow,
    InstanceState,
    OfferKey,
)
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import Cloud, CloudInstance, Offer
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.ids import new_token

logger = get_logger("controller")

_MAX_CONCURRENT_ACTIONS = 16
DrainCallback = Callable[[InstanceRow], None]


class Executor:
    """Records each intent, calls the cloud, and records the outcome.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    records : InstanceRecords
        Rows, written under the lease's epoch.
    cloud : Cloud
        Adapter.
    metrics, clock, rng
        Counters, time, and the source of tokens.
    start_backoff : StartBackoff
        Records refused and successful starts.
    on_drain : callable
        Called with the row of each instance that begins to drain.
    """

    def __init__(
        self,
        deployment: str,
        records: InstanceRecords,
        cloud: Cloud,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        start_backoff: StartBackoff,
        on_drain: DrainCallback,
    ) -> None:
        self.unstarted_replacements: list[str] = []
        self._deployment = deployment
        self._records = records
        self._cloud = cloud
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._start_backoff = start_backoff
        self._on_drain = on_drain
        self._epoch = 0
        self._offers: Mapping[OfferKey, Offer] = {}

    async def run(
        self,
        actions: Sequence[Action],
        epoch: int,
        offers: Mapping[OfferKey, Offer],
        instances: Mapping[str, CloudInstance],
    ) -> bool:
        """Execute all actions; return whether all succeeded.

        The next round plans failed actions again. ``unstarted_replacements``
        then holds the tokens of instances whose replacement was not started.
        """
        self._epoch = epoch
        self._offers = offers
        self.unstarted_replacements = []
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_ACTIONS)

        async def execute(action: Action) -> bool:
            async with semaphore:
                return await self._try(action, instances)

        return all(await asyncio.gather(*(execute(action) for action in actions)))

    async def _try(
        self, action: Action, instances: Mapping[str, CloudInstance]
    ) -> bool:
        """Execute one action; log a failure."""
        try:
            await self._execute(action, instances)
        except EbonydealError as exc:
            name = type(action).__name__.lower()
            logger.warning("Action failed.", action=name, kind=str(exc.kind))
            return False
        return True

    async def _execute(
        self, action: Action, instances: Mapping[str, CloudInstance]
    ) -> None:
        """Execute one action; raises errors of the table and the cloud."""
        match action:
            case Start():
                await self._start(action)
            case Restart(row):
                await self._request_start(row)
            case Adopt(row, instance):
                await self._record_started(row, instance)
            case Enlist(instance):
                row = self._new_row(instance, InstanceState.WARMING, "taken over")
                event = self._event(TrailKind.TAKEN_OVER, row, row.why)
                await self._records.create(row, event)
            case Condemn(instance):
                logger.warning(
                    "Managed instance without a row; releasing it.",
                    token=instance.token,
                )
                why = "no record of its start"
                row = self._new_row(instance, InstanceState.RELEASING, why)
                event = self._event(TrailKind.ORPHAN, row, why)
                await self._records.create(row, event)
            case MarkReady(row):
                await self._set_state(row, InstanceState.READY, TrailKind.READY, "warm")
            case Drain(row, why, until):
                await self._drain(row, why, until)
            case Release(row):
                await self._release(row, instances.get(row.token))
            case Forget(row, lost):
                await self._forget(row, lost)
            case Hold(key, number):
                self._hold(key, number)
            case Warm():
                pass

    async def _start(self, action: Start) -> None:
        """Record a start, then request it from the cloud."""
        key = action.key
        row = InstanceRow(
            token=new_token(f"{self._deployment}:{self._epoch}", self._rng),
            deployment=self._deployment,
            zone=key.zone,
            machine_class=key.machine_class,
            reclaimable=key.reclaimable,
            state=InstanceState.STARTING,
            price_per_hour=action.price_per_hour,
            instance_id="",
            epoch=self._epoch,
            at=self._clock.wall(),
            why=action.why,
            replaces=action.replaces,
        )
        event = self._event(TrailKind.STARTED, row, action.why)
        try:
            await self._records.create(row, event)
        except EbonydealError:
            self._keep_unstarted(row)
            raise
        await self._request_start(row)

    async def _request_start(self, row: InstanceRow) -> None:
        """Request the instance of a recorded start from the cloud."""
        key = OfferKey.of(row)
        offer = self._offers.get(key) or Offer(*key, row.price_per_hour, 0.0, 1)
        tags = {
            TAG_MANAGER: MANAGER,
            TAG_DEPLOYMENT: self._deployment,
            TAG_FENCE: str(self._epoch),
            TAG_WHY: row.why,
        }
        try:
            instance = await self._cloud.start(row.token, offer, tags)
        except EbonydealError as exc:
            if exc.kind is not ErrorKind.START_REFUSED:
                raise
            await self._handle_refusal(row, exc)
            return
        self._start_backoff.record_start(key)
        await self._record_started(row, instance)

    async def _handle_refusal(self, row: InstanceRow, exc: EbonydealError) -> None:
        """Delete the row of a refused start, and back off from the offer."""
        wait = self._start_backoff.record_refusal(OfferKey.of(row), self._clock.now())
        self._metrics.count(Event.STARTS_REFUSED)
        self._metrics.count_refusal(ErrorKind.START_REFUSED)
        logger.info(
            "Cloud refused to start an instance.",
            zone=row.zone,
            reason=exc.detail,
            wait=round(wait),
        )
        self._keep_unstarted(row)
        event = self._event(TrailKind.REFUSED, row, exc.detail)
        await self._records.delete(row, event)

    def _keep_unstarted(self, row: InstanceRow) -> None:
        """Keep the token of the instance that a failed start was to replace."""
        if row.replaces:
            self.unstarted_replacements.append(row.replaces)

    async def _record_started(self, row: InstanceRow, instance: CloudInstance) -> None:
        """Record that the cloud has started the instance."""
        updated = row._replace(
            state=InstanceState.WARMING,
            instance_id=instance.instance_id,
            at=self._clock.wall(),
            epoch=self._epoch,
        )
        await self._records.save(updated)
        self._metrics.count(Event.INSTANCES_STARTED)

    def _new_row(
        self, instance: CloudInstance, state: InstanceState, why: str
    ) -> InstanceRow:
        """Return a new row for an instance that has none."""
        return InstanceRow(
            token=instance.token,
            deployment=self._deployment,
            zone=instance.zone,
            machine_class=instance.machine_class,
            reclaimable=instance.reclaimable,
            state=state,
            price_per_hour=self._price(OfferKey.of(instance)),
            instance_id=instance.instance_id,
            epoch=self._epoch,
            at=self._clock.wall(),
            why=why,
        )

    async def _set_state(
        self, row: InstanceRow, state: InstanceState, kind: TrailKind, why: str
    ) -> None:
        """Record a new state together with its event."""
        updated = row._replace(
            state=state, why=why, at=self._clock.wall(), epoch=self._epoch
        )
        await self._records.save(updated, self._event(kind, updated, why))

    async def _drain(self, row: InstanceRow, why: str, until: float) -> None:
        """Record that an instance is draining, then call ``on_drain``."""
        row = row._replace(drain_until=until)
        await self._set_state(row, InstanceState.DRAINING, TrailKind.DRAINING, why)
        self._on_drain(self._records.rows[row.token])

    async def _release(self, row: InstanceRow, instance: CloudInstance | None) -> None:
        """Record the release, then stop the instance."""
        if row.state is not InstanceState.RELEASING:
            updated = row._replace(
                state=InstanceState.RELEASING,
                at=self._clock.wall(),
                epoch=self._epoch,
            )
            await self._records.save(updated)
            self._metrics.count(Event.INSTANCES_STOPPED)
        instance_id = instance.instance_id if instance else row.instance_id
        if instance_id:
            await self._cloud.stop(instance_id)

    async def _forget(self, row: InstanceRow, lost: bool) -> None:
        """Delete the row of an instance that no longer exists."""
        kind = TrailKind.LOST if lost else TrailKind.GONE
        why = "vanished without a notice" if lost else row.why
        await self._records.delete(row, self._event(kind, row, why))

    def _hold(self, key: OfferKey, number: int) -> None:
        """Count and log the starts that the price ceiling prevents."""
        self._metrics.count(Event.CEILING_HELD, number)
        logger.warning(
            "Price ceiling prevents starts.",
            deployment=self._deployment,
            zone=key.zone,
            number=number,
        )

    def _price(self, key: OfferKey) -> float:
        """Return the current price of an offer; 0.0 if there is none."""
        offer = self._offers.get(key)
        return 0.0 if offer is None else offer.price_per_hour

    def _event(self, kind: TrailKind, row: InstanceRow, why: str) -> TrailEvent:
        """Return the next event of the trail."""
        number = self._records.events
        self._records.events += 1
        return TrailEvent(
            number=number,
            at=self._clock.wall(),
            kind=kind,
            deployment=row.deployment,
            zone=row.zone,
            machine_class=row.machine_class,
            reclaimable=row.reclaimable,
            token=row.token,
            instance_id=row.instance_id,
            replaces=row.replaces,
            price_per_hour=self._price(OfferKey.of(row)) or row.price_per_hour,
            why=why,
            epoch=self._epoch,
        )
