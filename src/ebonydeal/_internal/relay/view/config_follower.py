"""Follows the table of the configuration and of roll-out orders."""

from collections.abc import Callable

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.rollouts import RolloutOrder
from ebonydeal._internal.models.shared import SharedRow
from ebonydeal._internal.observe.counters import Event, Timing
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.view.follower import (
    COORDINATOR_POLL_TIMEOUT_S,
    SHORT_POLL_TIMEOUT_S,
    TableFollower,
)
from ebonydeal._internal.utils.supervised import supervised_task

logger = get_logger("relay.follower")

# Other relays rely on the coordinator for changes that their own polls miss. Together
# with the way to them, it stays below the time after which a relay whose connections
# fell silent counts as in touch again.
_COORDINATOR_POLL_TIMEOUT_S = 1.0
# How often to check whether a coordinator still shows the version.
_REPLY_CHECK_INTERVAL_S = 0.2


class ConfigTableFollower(TableFollower):
    """Puts each newer configuration in force.

    Attributes
    ----------
    pushes_to_others : callable
        Returns whether other relays get the configuration from this one only; it then
        polls as often as for endpoints.
    hears_version : callable
        Returns whether a coordinator's replies show the newest version of the
        configuration; this relay's own polls are long then.
    """

    age_timing = Timing.CONFIG_AGE
    outdated_message = "Configuration was outdated."
    pushes_to_others: Callable[[], bool] = staticmethod(lambda: False)
    hears_version: Callable[[], bool] = staticmethod(lambda: True)
    # Whether orders are kept that a restored store doesn't list.
    _keeps_orders = False

    @property
    def poll_timeout(self) -> float:
        """Seconds for which a long poll waits for changes."""
        if self._view.waits_for_orders:
            # To learn at once whether there is an order for a new version.
            return 0.0
        if self.pushes_to_others():
            return COORDINATOR_POLL_TIMEOUT_S
        if self.on_coordinator:
            return _COORDINATOR_POLL_TIMEOUT_S
        if not self.hears_version():
            return SHORT_POLL_TIMEOUT_S
        return super().poll_timeout

    @supervised_task
    async def _shorten_polls(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_REPLY_CHECK_INTERVAL_S)
            self.restart_poll()
            self._settle_restored()

    def _settle_restored(self) -> None:
        """Read orders again once the operator had time to write lost ones again."""
        if self._settling.take_end() and self._keeps_orders:
            self._keeps_orders = False
            self.read_again()
            self._cancel_poll()

    @property
    def table(self) -> str:
        """Name of the table."""
        return self._wire.config_table

    async def apply_snapshot(
        self, rows: list[SharedRow], version: int, after_outage: bool
    ) -> None:
        """Apply the configuration's row, if there is one, and all orders.

        An order that a restored store lacks isn't withdrawn: its row may only be lost.
        """
        self._settling.observe(version)
        known = self._view.versions.orders if self._settling.is_settling else {}
        listed = {self._wire.rollout_service(row.key) for row in rows}
        self._keeps_orders = not known.keys() <= listed
        if self._keeps_orders:
            logger.info(
                "Roll-out orders missing after a restore; kept for now.",
                services=sorted(known.keys() - listed),
            )
        self._apply_rows(tuple(rows), version, known)

    async def apply_changes(
        self,
        rows: tuple[SharedRow, ...],
        version: int,
        after_outage: bool,
        late: bool = False,
    ) -> None:
        """Apply the configuration's row and orders; unreadable ones are ignored."""
        self._apply_rows(rows, version, self._view.versions.orders)

    def _apply_rows(
        self,
        rows: tuple[SharedRow, ...],
        version: int,
        orders: dict[str, RolloutOrder],
    ) -> None:
        """Apply rows; ``orders`` are those known before, which rows may change."""
        self._view.apply_orders(self._updated_orders(orders, rows), version, "store")
        for row in rows:
            if row.key != self._wire.config_key or row.value is None:
                continue
            try:
                table = self._wire.table(row)
            except EbonydealError as exc:
                self._metrics.count(Event.CONFIGURATIONS_UNREADABLE)
                logger.error("Configuration refused.", reason=str(exc))
                continue
            self._view.apply_table(table, row.value, "store")

    def note_version(self, version: int) -> None:
        """Note that nothing has changed up to a version."""
        self._view.orders_unchanged(version)

    def _same_order(self, order: RolloutOrder) -> RolloutOrder:
        """Return the known order if this one is the same in a restored store."""
        return self._view.versions.relist(order) or order

    def _updated_orders(
        self, orders: dict[str, RolloutOrder], rows: tuple[SharedRow, ...]
    ) -> dict[str, RolloutOrder]:
        """Return the orders updated by rows; an unreadable row changes nothing."""
        orders = dict(orders)
        for row in rows:
            service = self._wire.rollout_service(row.key)
            if service is None:
                continue
            if row.value is None:
                orders.pop(service, None)
                continue
            try:
                orders[service] = self._same_order(self._wire.order(row))
            except EbonydealError as exc:
                self._metrics.count(Event.ROLLOUT_ORDERS_UNREADABLE)
                logger.error("Roll-out order refused.", reason=str(exc))
        return orders
