"""Follows the configuration and the list of endpoints by long polls."""

import asyncio
from collections.abc import Callable
from random import Random

from mode import Service

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.rollouts import RolloutOrder
from ebonydeal._internal.models.shared import RowChanges, SharedRow
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.ports import SharedStore, Wire
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.follower")

# A poll that a store forgot is found out by the coordinator's word, so most
# relays poll seldom; the coordinator has nobody to tell it and polls often.
_WAIT_S = 28.0
_WAIT_ALONE_S = 2.0
# All others hear of endpoints through the coordinator, and have to know soon when
# it is cut off from the store without a word: it polls so often, and what it
# knows is taken as the store's for so long after an answer. Together with an
# exchange that stays below the 2 s after which an endpoint must get no new work.
_WAIT_FEEDING_S = 0.6
_FRESH_S = 0.9
_BACKOFF_FIRST_S = 0.15
_BACKOFF_MOST_S = 1.5
_EXPIRY_S = 0.25
_GROUP_S = 0.15
# Pause until it is looked again whether another relay still tells us.
_FED_STEP_S = 0.05


class TableFollower(Service):
    """Follows one table of the store.

    Parameters
    ----------
    store : SharedStore
        The platform's store.
    wire : Wire
        Names and formats of the tables.
    view : RelayView
        Takes what is read.
    clock, rng
        Time; jitter of back-off.
    metrics : Metrics
        Counts entries that can't be read.
    """

    def __init__(
        self,
        store: SharedStore,
        wire: Wire,
        view: RelayView,
        clock: Clock,
        rng: Random,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._metrics = metrics
        self._store = store
        self._wire = wire
        self._view = view
        self._clock = clock
        self._rng = rng
        self.failing_since: float | None = None
        self.alone = False
        # While another relay tells us, nothing is asked of the store.
        self.fed: Callable[[], bool] = lambda: False
        self._answered_at: float | None = None
        self._poll: asyncio.Task[RowChanges | None] | None = None
        self._poll_wait = 0.0
        self._hastened = False

    @property
    def table(self) -> str:
        """Which table."""
        raise NotImplementedError

    @property
    def wait(self) -> float:
        """Seconds for which a poll waits."""
        return _WAIT_ALONE_S if self.alone else _WAIT_S

    @property
    def fresh(self) -> bool:
        """Whether the store answered just now."""
        at = self._answered_at
        return at is not None and self._clock.now() - at <= _FRESH_S

    @property
    def known_version(self) -> int:
        """Version of what is known, from whatever source; 0 if not known."""
        return 0

    async def take_all(
        self, rows: list[SharedRow], version: int, was_away: bool
    ) -> None:
        """Take the whole table; ``was_away`` if the store failed just before."""
        raise NotImplementedError

    async def take(
        self, rows: tuple[SharedRow, ...], version: int, was_away: bool
    ) -> None:
        """Take changes, in order; ``was_away`` as in `take_all`."""
        raise NotImplementedError

    @Service.task
    async def _follow(self) -> None:
        after: int | None = None
        backoff = _BACKOFF_FIRST_S
        while not self.should_stop:
            if after is not None and self.fed():
                self.note_fed()
                await self._clock.sleep(_FED_STEP_S)
                after = max(after, self.known_version)
                continue
            try:
                after = await self._step(after)
            except EbonydealError as exc:
                self._note_failure(exc)
                # Jittered, so that relays don't come back all at once.
                await self._clock.sleep(backoff * self._rng.uniform(0.5, 1.5))
                backoff = min(_BACKOFF_MOST_S, backoff * 2.0)
                continue
            backoff = _BACKOFF_FIRST_S

    async def _step(self, after: int | None) -> int | None:
        """Make one call; return the version to go on from."""
        if after is None:
            rows, version = await self._store.rows(self.table)
            self._answered_at = self._clock.now()
            await self.take_all(rows, version, self._note_success())
            return version
        wait = self.wait
        if self.failing_since is not None:
            # Whether the store is back is to be known at once.
            wait = 0.0
        self._poll_wait = wait
        self._poll = asyncio.ensure_future(self._store.changes(self.table, after, wait))
        try:
            changes = await self._poll
        except asyncio.CancelledError:
            if not self._hastened:
                raise
            return after
        finally:
            self._poll.cancel()
            self._poll, self._hastened = None, False
        self._answered_at = self._clock.now()
        if changes is None:
            logger.warning("History is gone; reading all.", table=self.table)
            return None
        was_away = self._note_success()
        if changes.rows:
            await self.take(changes.rows, changes.version, was_away)
            # Changes come in groups: one call brings those that follow.
            await self._clock.sleep(_GROUP_S)
        else:
            self.note_read(changes.version)
            if wait == 0.0:
                # Asked without waiting: not again at once.
                await self._clock.sleep(_GROUP_S)
        return max(after, changes.version)

    def note_read(self, version: int) -> None:
        """Note that the table hasn't changed up to a version."""

    def hasten(self) -> None:
        """Begin the poll under way anew where a shorter one is wanted now."""
        if self._poll is not None and self._poll_wait > self.wait:
            self._hastened = True
            self._poll.cancel()

    def note_fed(self) -> None:
        """Note that another relay, which hears the store, tells what is there.

        Own failures of before say nothing any more: what goes from now on has
        left, and would be kept for a while if it were taken for a lapse.
        """
        self.failing_since = None

    def _note_failure(self, exc: EbonydealError) -> None:
        now = self._clock.now()
        if self.failing_since is None:
            self.failing_since = now
            logger.warning("Store lost.", table=self.table, reason=str(exc))

    def _note_success(self) -> bool:
        """Note an answer; return whether the store had failed before it."""
        if self.failing_since is None:
            return False
        away = round(self._clock.now() - self.failing_since, 3)
        logger.info("Store regained.", table=self.table, away_s=away)
        self.failing_since = None
        return True


class ConfigTableFollower(TableFollower):
    """Puts each newer configuration in force.

    Attributes
    ----------
    feeding : callable
        Returns whether other relays hear of the configuration from this one alone:
        then it polls as often as for endpoints.
    """

    feeding: Callable[[], bool] = staticmethod(lambda: False)

    @property
    def wait(self) -> float:
        """Seconds for which a poll waits."""
        if self._view.waits_for_orders:
            # Whether there is an order for a version not seen before is asked now.
            return 0.0
        return _WAIT_FEEDING_S if self.feeding() else super().wait

    @property
    def table(self) -> str:
        """Which table."""
        return self._wire.config_table

    async def take_all(
        self, rows: list[SharedRow], version: int, was_away: bool
    ) -> None:
        """Take the configuration's row, if there is one, and all orders."""
        self._take(tuple(rows), version, {})

    async def take(
        self, rows: tuple[SharedRow, ...], version: int, was_away: bool
    ) -> None:
        """Take the configuration's row and orders; unreadable ones are left out."""
        self._take(rows, version, self._view.versions.orders)

    def _take(
        self,
        rows: tuple[SharedRow, ...],
        version: int,
        orders: dict[str, RolloutOrder],
    ) -> None:
        """Take rows; ``orders`` are those that stand where no row says otherwise."""
        self._view.take_orders(self._changed(orders, rows), version, "store")
        for row in rows:
            if row.key != self._wire.config_key or row.value is None:
                continue
            try:
                table = self._wire.table(row)
            except EbonydealError as exc:
                self._metrics.count(Event.CONFIGURATIONS_UNREADABLE)
                logger.error("Configuration refused.", reason=str(exc))
                continue
            self._view.take_table(table, row.value, "store")

    def note_read(self, version: int) -> None:
        """Note that nothing has changed up to a version."""
        self._view.orders_unchanged(version)

    def _changed(
        self, orders: dict[str, RolloutOrder], rows: tuple[SharedRow, ...]
    ) -> dict[str, RolloutOrder]:
        """Return orders after rows; one that can't be read orders nothing."""
        orders = dict(orders)
        for row in rows:
            service = self._wire.rollout_service(row.key)
            if service is None:
                continue
            if row.value is None:
                orders.pop(service, None)
                continue
            try:
                orders[service] = self._wire.order(row)
            except EbonydealError as exc:
                self._metrics.count(Event.ROLLOUT_ORDERS_UNREADABLE)
                logger.error("Order of a roll-out refused.", reason=str(exc))
        return orders


class MembersFollower(TableFollower):
    """Keeps the list of endpoints."""

    @property
    def wait(self) -> float:
        """Seconds for which a poll waits; one that isn't fed may soon feed others."""
        return _WAIT_FEEDING_S if self.alone else _WAIT_ALONE_S

    @property
    def known_version(self) -> int:
        """Version of the list."""
        return self._view.members_version

    @property
    def table(self) -> str:
        """Which table."""
        return self._wire.members_table

    async def take_all(
        self, rows: list[SharedRow], version: int, was_away: bool
    ) -> None:
        """Take the whole list."""
        read = [self._read(row) for row in rows]
        members = [member for member in read if member is not None]
        # The entry is there, so nothing says that its endpoint is gone.
        unread = [row for row, member in zip(rows, read, strict=True) if member is None]
        for row in unread:
            self._view.withhold(row.key, row.version)
        members.extend(
            self._view.members[row.key]
            for row in unread
            if row.key in self._view.members
        )
        self._view.replace(members, version, self._clock.now(), was_away)

    async def take(
        self, rows: tuple[SharedRow, ...], version: int, was_away: bool
    ) -> None:
        """Take changes of the list.

        Entries that went while the store was away may have lapsed only; one
        that goes later has left.
        """
        for row in rows:
            if row.value is None and was_away:
                self._view.lapse(row.key, row.version, self._clock.now())
            elif row.value is None:
                self._view.remove(row.key, row.version)
            elif (member := self._read(row)) is not None:
                heard_at = None if was_away else self._clock.now()
                self._view.put(member, heard_at)
            else:
                self._view.withhold(row.key, row.version)
        self._view.members_version = max(self._view.members_version, version)

    def _read(self, row: SharedRow) -> Member | None:
        """Return a listed endpoint; one that can't be read is left out."""
        try:
            return self._wire.member(row)
        except EbonydealError as exc:
            self._metrics.count(Event.ENTRIES_UNREADABLE)
            logger.error("Endpoint refused.", reason=str(exc))
            return None

    @Service.task
    async def _expire(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_EXPIRY_S)
            self._view.expire(self._clock.now())
