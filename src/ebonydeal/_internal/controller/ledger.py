"""Spend of a deployment, and the on-demand price of the same instances."""

from collections.abc import Mapping, Sequence

from ebonydeal._internal.controller.events import SPEND_PREFIX, SpendRow
from ebonydeal._internal.controller.values import (
    InstanceRow,
    InstanceState,
    OfferKey,
)
from ebonydeal._internal.outside.interfaces import Offer, Tables
from ebonydeal._internal.utils.clock import Clock

_HOUR_S = 3600.0


class SpendLedger:
    """Adds up spend over time at the prices of each round.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    clock : Clock
        Source of time.
    period : float
        Seconds between two records.
    """

    def __init__(self, deployment: str, clock: Clock, period: float) -> None:
        self._deployment = deployment
        self._clock = clock
        self._period = period
        self._epoch: int | None = None
        self._previous_total = 0.0
        self._spent_since = 0.0
        self._measured_at: float | None = None
        self._recorded_at: float | None = None

    def measure(
        self,
        rows: Sequence[InstanceRow],
        offers: Mapping[OfferKey, Offer],
        ceiling: float,
        target: int,
    ) -> SpendRow:
        """Add the cost of the time since the last call at current prices."""
        now = self._clock.now()
        per_hour = sum(_price(row, offers) for row in rows)
        if self._measured_at is not None:
            self._spent_since += per_hour * (now - self._measured_at) / _HOUR_S
        self._measured_at = now
        return SpendRow(
            deployment=self._deployment,
            per_hour=per_hour,
            ceiling=ceiling,
            on_demand_per_hour=sum(_on_demand(row, offers) for row in rows),
            total=self._previous_total + self._spent_since,
            replicas=len(rows),
            ready=sum(row.state is InstanceState.READY for row in rows),
            target=target,
            at=self._clock.wall(),
        )

    def due(self) -> bool:
        """Return whether to write a record now; if so, the caller must write it."""
        now = self._clock.now()
        if self._recorded_at is not None and now - self._recorded_at < self._period:
            return False
        self._recorded_at = now
        return True

    async def load(self, tables: Tables, epoch: int) -> None:
        """Read the total that earlier leaders recorded, once per epoch."""
        if self._epoch == epoch:
            return
        row = await tables.get(SPEND_PREFIX + self._deployment)
        self._previous_total = 0.0 if row is None else float(row.value["total"])
        self._spent_since = 0.0
        self._epoch = epoch

    def total(self, spend: SpendRow) -> SpendRow:
        """Return the row with the current total."""
        return spend._replace(total=self._previous_total + self._spent_since)


def _price(row: InstanceRow, offers: Mapping[OfferKey, Offer]) -> float:
    """Return the current price of a row's instance, per hour."""
    offer = offers.get(OfferKey.of(row))
    return row.price_per_hour if offer is None else offer.price_per_hour


def _on_demand(row: InstanceRow, offers: Mapping[OfferKey, Offer]) -> float:
    """Return the on-demand price of the same class and zone; 0.0 if not offered."""
    offer = offers.get(OfferKey(row.zone, row.machine_class, False))
    return 0.0 if offer is None else offer.price_per_hour
