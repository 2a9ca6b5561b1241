"""Follows the configuration and the list of endpoints by long polls."""

import asyncio
from collections.abc import Callable
from random import Random

from mode import Service

from ebonydeal._internal.errors import EbonydealError, NoReplyError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.rollouts import RolloutOrder
from ebonydeal._internal.models.shared import RowChanges, SharedRow
from ebonydeal._internal.observe.counters import Event, Metrics, Timing
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.ports import SharedStore, Wire
from ebonydeal._internal.relay.view.reply_timeout import ReplyTimeout
from ebonydeal._internal.relay.view.view import MISSING_GRACE_S, RelayView
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.follower")

# If a poll is lost at the store, the coordinator's replies show the missing changes, so
# most relays use long polls; without such replies a relay uses short ones.
_POLL_TIMEOUT_S = 28.0
_SHORT_POLL_TIMEOUT_S = 2.0
# All other relays learn of endpoints from the coordinator, and have to notice soon if
# the store stops answering it. So it polls with the first of these timeouts, and its
# data is up to date for the second time after a reply of the store. Together with one
# exchange that stays below the 2 s after which an endpoint must get no new work.
_COORDINATOR_POLL_TIMEOUT_S = 0.6
_FRESH_TIMEOUT_S = 0.9
_MIN_BACKOFF_S = 0.15
_MIN_JITTER, _MAX_JITTER = 0.5, 1.5
_MAX_BACKOFF_S = 1.5
_EXPIRY_INTERVAL_S = 0.25
_BATCH_INTERVAL_S = 0.15
# How often to check whether the coordinator still pushes changes.
_PUSH_CHECK_INTERVAL_S = 0.05
# How often to check whether it still shows the version of the configuration.
_REPLY_CHECK_INTERVAL_S = 0.2
# A list of endpoints that wasn't confirmed for longer than this, and than the longest
# poll of it, is logged.
_MAX_LIST_AGE_S = 2.5


class TableFollower(Service):
    """Follows one table of the store.

    Parameters
    ----------
    store : SharedStore
        The platform's store.
    wire : Wire
        Names and formats of the tables.
    view : RelayView
        The view to update.
    clock, rng
        Time; jitter of backoff.
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
        self._outage_seen = False
        # When the current, or last, call began, and the last one that failed.
        self._asked_at = 0.0
        self._failed_at = 0.0
        self.on_coordinator = False
        # While the coordinator pushes changes, the store isn't polled.
        self.receives_pushes: Callable[[], bool] = lambda: False
        # Whether changes may have been made since the last poll, and the connection may
        # have fallen silent.
        self._must_catch_up = False
        self._reply_timeout = ReplyTimeout()
        self._answered_at: float | None = None
        self._poll: asyncio.Task[RowChanges | None] | None = None
        self._current_timeout = 0.0
        self._restart_requested = False

    @property
    def table(self) -> str:
        """Name of the table."""
        raise NotImplementedError

    @property
    def poll_timeout(self) -> float:
        """Seconds for which a long poll waits for changes."""
        return _SHORT_POLL_TIMEOUT_S if self.on_coordinator else _POLL_TIMEOUT_S

    @property
    def fresh(self) -> bool:
        """Whether the store answered just now."""
        at = self._answered_at
        return at is not None and self._clock.now() - at <= _FRESH_TIMEOUT_S

    @property
    def known_version(self) -> int:
        """Version of the table that the view has from any source; 0 if unknown."""
        return 0

    async def apply_snapshot(
        self, rows: list[SharedRow], version: int, after_outage: bool
    ) -> None:
        """Apply the entire table; ``after_outage`` if the store was just away."""
        raise NotImplementedError

    async def apply_changes(
        self,
        rows: tuple[SharedRow, ...],
        version: int,
        after_outage: bool,
        late: bool = False,
    ) -> None:
        """Apply changes, in order; ``after_outage`` as in `apply_snapshot`.

        ``late`` if they may have been made long before they were read.
        """
        raise NotImplementedError

    @Service.task
    async def _follow(self) -> None:
        after: int | None = None
        backoff = _MIN_BACKOFF_S
        while not self.should_stop:
            if after is not None and self.receives_pushes():
                self.note_pushed()
                await self._clock.sleep(_PUSH_CHECK_INTERVAL_S)
                after = max(after, self.known_version)
                continue
            try:
                after = await self._step(after)
            except EbonydealError as exc:
                self._note_failure(exc)
                # Jittered, so that relays don't retry all at the same time.
                await self._clock.sleep(
                    backoff * self._rng.uniform(_MIN_JITTER, _MAX_JITTER)
                )
                backoff = min(_MAX_BACKOFF_S, backoff * 2.0)
                continue
            backoff = _MIN_BACKOFF_S

    async def _step(self, after: int | None) -> int | None:
        """Make one call; return the version from which to continue."""
        if after is None:
            self._asked_at = self._clock.now()
            rows, version = await self._store.rows(self.table)
            self._answered_at = self._clock.now()
            self.note_current()
            await self.apply_snapshot(rows, version, self._note_success())
            return version
        poll_timeout = self.poll_timeout
        if self.failing_since is not None or self._must_catch_up:
            # To learn at once whether the store answers, and by this connection.
            poll_timeout = 0.0
        self._current_timeout = poll_timeout
        self._asked_at = self._clock.now()
        self._poll = asyncio.ensure_future(
            self._store.changes(
                self.table, after, poll_timeout, self._reply_timeout.seconds
            )
        )
        try:
            changes = await self._poll
        except asyncio.CancelledError:
            if not self._restart_requested:
                raise
            self._must_catch_up = True
            return after
        finally:
            self._poll.cancel()
            self._poll, self._restart_requested = None, False
        self._answered_at = self._clock.now()
        self._reply_timeout.record_reply(
            poll_timeout, self._answered_at - self._asked_at
        )
        late = self.failing_since is not None or self._must_catch_up
        self._must_catch_up = False
        self.note_current()
        if changes is None:
            logger.warning(
                "Change history expired; reading the whole table.", table=self.table
            )
            return None
        after_outage = self._note_success()
        if changes.rows:
            await self.apply_changes(changes.rows, changes.version, after_outage, late)
            # Changes come in bursts: one later call gets those that follow.
            await self._clock.sleep(_BATCH_INTERVAL_S)
        else:
            self.note_version(changes.version)
            if poll_timeout == 0.0:
                # That poll returned at once, so the next one must be delayed.
                await self._clock.sleep(_BATCH_INTERVAL_S)
        return max(after, changes.version)

    def note_version(self, version: int) -> None:
        """Note that the table hasn't changed up to a version."""

    def note_current(self) -> None:
        """Note that each change made until now is known."""

    def restart_poll(self) -> None:
        """Restart the current poll if its timeout should be shorter by now."""
        if self._poll is not None and self._current_timeout > self.poll_timeout:
            self._restart_requested = True
            self._poll.cancel()

    def note_pushed(self) -> None:
        """Note that a coordinator that is up to date with the store pushes changes.

        Earlier failures of this relay's polls don't matter any more: an entry that is
        removed from now on has left, and isn't retained as if it had only expired.
        """
        self.failing_since = None
        self._must_catch_up = True
        self.note_current()

    def _note_failure(self, exc: EbonydealError) -> None:
        self._reply_timeout.record_lost()
        self._failed_at = self._asked_at
        now = self._clock.now()
        # A first lost reply may be due to its connection alone. An outage too short for
        # a second failure, on a new one, is too short for entries to expire.
        self._outage_seen = self.failing_since is not None or not isinstance(
            exc, NoReplyError
        )
        if self.failing_since is None:
            self.failing_since = now
            logger.warning("Store unavailable.", table=self.table, reason=str(exc))

    def _note_success(self) -> bool:
        """Note an answer; return whether the store had been away before it."""
        if self.failing_since is None:
            return False
        outage_s = round(self._clock.now() - self.failing_since, 3)
        logger.info(
            "Store available again.",
            table=self.table,
            away_s=outage_s,
            outage=self._outage_seen,
        )
        self.failing_since = None
        return self._outage_seen


class ConfigTableFollower(TableFollower):
    """Puts each newer configuration in force.

    Attributes
    ----------
    pushes_to_others : callable
        Returns whether other relays get the configuration from this one only; it then
        polls as often as for endpoints.
    hears_version : callable
        Returns whether a coordinator's replies show the version of the configuration.
    """

    pushes_to_others: Callable[[], bool] = staticmethod(lambda: False)
    hears_version: Callable[[], bool] = staticmethod(lambda: True)

    @property
    def poll_timeout(self) -> float:
        """Seconds for which a long poll waits for changes."""
        if self._view.waits_for_orders:
            # To learn at once whether there is an order for a new version.
            return 0.0
        if self.pushes_to_others():
            return _COORDINATOR_POLL_TIMEOUT_S
        if not self.hears_version():
            return _SHORT_POLL_TIMEOUT_S
        return super().poll_timeout

    @Service.task
    async def _shorten_polls(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_REPLY_CHECK_INTERVAL_S)
            self.restart_poll()

    @property
    def table(self) -> str:
        """Name of the table."""
        return self._wire.config_table

    async def apply_snapshot(
        self, rows: list[SharedRow], version: int, after_outage: bool
    ) -> None:
        """Apply the configuration's row, if there is one, and all orders."""
        self._apply_rows(tuple(rows), version, {})

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
                orders[service] = self._wire.order(row)
            except EbonydealError as exc:
                self._metrics.count(Event.ROLLOUT_ORDERS_UNREADABLE)
                logger.error("Roll-out order refused.", reason=str(exc))
        return orders


class MembersFollower(TableFollower):
    """Follows the list of endpoints."""

    _current_at: float | None = None

    @property
    def poll_timeout(self) -> float:
        """Seconds for which a long poll waits; any relay may soon push to others."""
        return (
            _COORDINATOR_POLL_TIMEOUT_S
            if self.on_coordinator
            else _SHORT_POLL_TIMEOUT_S
        )

    @property
    def known_version(self) -> int:
        """Version of the list."""
        return self._view.members_version

    @property
    def table(self) -> str:
        """Name of the table."""
        return self._wire.members_table

    async def apply_snapshot(
        self, rows: list[SharedRow], version: int, after_outage: bool
    ) -> None:
        """Apply the complete list."""
        read = [self._read(row) for row in rows]
        members = [member for member in read if member is not None]
        # An unreadable entry doesn't mean that its endpoint has left.
        unreadable = [
            row for row, member in zip(rows, read, strict=True) if member is None
        ]
        for row in unreadable:
            self._view.mark_unreadable(row.key, row.version)
        members.extend(
            self._view.members[row.key]
            for row in unreadable
            if row.key in self._view.members
        )
        missing_until = self._missing_until() if after_outage else None
        self._view.replace(members, version, missing_until)

    async def apply_changes(
        self,
        rows: tuple[SharedRow, ...],
        version: int,
        after_outage: bool,
        late: bool = False,
    ) -> None:
        """Apply changes of the list.

        Entries removed during an outage of the store may only have expired; an
        entry that is removed later belongs to an endpoint that left.
        """
        observed_at = None if after_outage or late else self._clock.now()
        for row in rows:
            if row.value is None and after_outage:
                self._metrics.count(Event.ENTRIES_MISSING)
                self._view.mark_missing(row.key, row.version, self._missing_until())
            elif row.value is None:
                self._view.remove(row.key, row.version)
            elif (member := self._read(row)) is not None:
                self._view.put(member, observed_at)
            else:
                self._view.mark_unreadable(row.key, row.version)
        self._view.members_version = max(self._view.members_version, version)

    def _missing_until(self) -> float:
        """Return until when endpoints stay in use whose entries may have expired.

        The store may have been back since the last call that failed. Its endpoints get
        no new requests later than the drain time after their entries should be back.
        """
        latest = self._failed_at + MISSING_GRACE_S + self._view.last_resort_s
        return min(self._clock.now() + MISSING_GRACE_S, latest)

    def note_current(self) -> None:
        """Note that each change made until now is known; log a long gap."""
        now = self._clock.now()
        if self._current_at is not None:
            age = now - self._current_at
            self._metrics.record_duration(Timing.LIST_AGE, age)
            if age > _MAX_LIST_AGE_S:
                logger.info("List of endpoints was outdated.", age_s=round(age, 3))
        self._current_at = now

    def _read(self, row: SharedRow) -> Member | None:
        """Return a listed endpoint, or None if its entry can't be decoded."""
        try:
            return self._wire.member(row)
        except EbonydealError as exc:
            self._metrics.count(Event.ENTRIES_UNREADABLE)
            logger.error("Endpoint refused.", reason=str(exc))
            return None

    @Service.task
    async def _expire(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_EXPIRY_INTERVAL_S)
            self._view.expire(self._clock.now())
