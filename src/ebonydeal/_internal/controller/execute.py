"""Carries out the actions of `reconcile.plan` for one deployment."""

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

_AT_ONCE = 16
DrainCallback = Callable[[InstanceRow], None]


class Executor:
    """Writes the intent, calls the cloud, writes the outcome.

    Parameters
    ----------
    deployment : str
        Whose instances.
    records : InstanceRecords
        Rows, written under the lease's epoch.
    cloud : Cloud
        Adapter.
    metrics, clock, rng
        Counters, time, and the source of tokens.
    start_backoff : StartBackoff
        Told of refused and successful starts.
    on_drain : callable
        Called with the row of each instance that begins to leave.
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
        self.refused: list[str] = []
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
        """Do all actions; return whether all went well.

        What failed is seen again in the next round. ``refused`` then holds the
        tokens whose replacement was refused.
        """
        self._epoch = epoch
        self._offers = offers
        self.refused = []
        limit = asyncio.Semaphore(_AT_ONCE)

        async def one(action: Action) -> bool:
            async with limit:
                return await self._try(action, instances)

        return all(await asyncio.gather(*(one(action) for action in actions)))

    async def _try(
        self, action: Action, instances: Mapping[str, CloudInstance]
    ) -> bool:
        """Do one action; log a failure."""
        try:
            await self._do(action, instances)
        except EbonydealError as exc:
            name = type(action).__name__.lower()
            logger.warning("An action failed.", action=name, kind=str(exc.kind))
            return False
        return True

    async def _do(self, action: Action, instances: Mapping[str, CloudInstance]) -> None:
        """Do one action; raises what the table or the cloud raises."""
        match action:
            case Start():
                await self._start(action)
            case Restart(row):
                await self._ask(row)
            case Adopt(row, instance):
                await self._started(row, instance)
            case Enlist(instance):
                row = self._row_of(instance, InstanceState.WARMING, "taken over")
                event = self._event(TrailKind.TAKEN_OVER, row, row.why)
                await self._records.create(row, event)
            case Condemn(instance):
                logger.warning("An unrecorded instance runs.", token=instance.token)
                why = "no record of its start"
                row = self._row_of(instance, InstanceState.RELEASING, why)
                event = self._event(TrailKind.ORPHAN, row, why)
                await self._records.create(row, event)
            case MarkReady(row):
                await self._turn(row, InstanceState.READY, TrailKind.READY, "warm")
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
        """Record a start, then ask for it."""
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
            self._still_missing(row)
            raise
        await self._ask(row)

    async def _ask(self, row: InstanceRow) -> None:
        """Ask the cloud for the instance of a recorded start."""
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
            await self._was_refused(row, exc)
            return
        self._start_backoff.record_start(key)
        await self._started(row, instance)

    async def _was_refused(self, row: InstanceRow, exc: EbonydealError) -> None:
        """Take a refused start back and leave the offer alone for a while."""
        wait = self._start_backoff.record_refusal(OfferKey.of(row), self._clock.now())
        self._metrics.count(Event.STARTS_REFUSED)
        self._metrics.refused(ErrorKind.START_REFUSED)
        logger.info(
            "A start was refused.", zone=row.zone, reason=exc.detail, wait=round(wait)
        )
        self._still_missing(row)
        event = self._event(TrailKind.REFUSED, row, exc.detail)
        await self._records.delete(row, event)

    def _still_missing(self, row: InstanceRow) -> None:
        """Remember what a start that didn't happen was to replace."""
        if row.replaces:
            self.refused.append(row.replaces)

    async def _started(self, row: InstanceRow, instance: CloudInstance) -> None:
        """Record that a start took effect."""
        newer = row._replace(
            state=InstanceState.WARMING,
            instance_id=instance.instance_id,
            at=self._clock.wall(),
            epoch=self._epoch,
        )
        await self._records.save(newer)
        self._metrics.count(Event.INSTANCES_STARTED)

    def _row_of(
        self, instance: CloudInstance, state: InstanceState, why: str
    ) -> InstanceRow:
        """Return a row for an instance that has none."""
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

    async def _turn(
        self, row: InstanceRow, state: InstanceState, kind: TrailKind, why: str
    ) -> None:
        """Record a new state with its event."""
        newer = row._replace(
            state=state, why=why, at=self._clock.wall(), epoch=self._epoch
        )
        await self._records.save(newer, self._event(kind, newer, why))

    async def _drain(self, row: InstanceRow, why: str, until: float) -> None:
        """Record that an instance leaves, then spread the word."""
        row = row._replace(drain_until=until)
        await self._turn(row, InstanceState.DRAINING, TrailKind.DRAINING, why)
        self._on_drain(self._records.rows[row.token])

    async def _release(self, row: InstanceRow, instance: CloudInstance | None) -> None:
        """Record the release, then stop the instance."""
        if row.state is not InstanceState.RELEASING:
            newer = row._replace(
                state=InstanceState.RELEASING,
                at=self._clock.wall(),
                epoch=self._epoch,
            )
            await self._records.save(newer)
            self._metrics.count(Event.INSTANCES_STOPPED)
        instance_id = instance.instance_id if instance else row.instance_id
        if instance_id:
            await self._cloud.stop(instance_id)

    async def _forget(self, row: InstanceRow, lost: bool) -> None:
        """Delete the row of an instance that is gone."""
        kind = TrailKind.LOST if lost else TrailKind.GONE
        why = "vanished without a notice" if lost else row.why
        await self._records.delete(row, self._event(kind, row, why))

    def _hold(self, key: OfferKey, number: int) -> None:
        """Count and log what the price ceiling holds back."""
        self._metrics.count(Event.CEILING_HELD, number)
        logger.warning(
            "The price ceiling holds starts back.",
            deployment=self._deployment,
            zone=key.zone,
            number=number,
        )

    def _price(self, key: OfferKey) -> float:
        """Return the present price of an offer, 0.0 if there is none."""
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
