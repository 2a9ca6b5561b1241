"""Follows one table of the store by long polls."""

import asyncio
from collections.abc import Callable
from random import Random

from ebonydeal._internal.errors import EbonydealError, NoReplyError
from ebonydeal._internal.models.shared import (
    RowChanges,
    SharedRow,
    era_of,
    raw_version,
)
from ebonydeal._internal.observe.counters import Event, Metrics, Timing
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.ports import SharedStore, Wire
from ebonydeal._internal.relay.view.reply_timeout import ReplyTimeout
from ebonydeal._internal.relay.view.restore_settling import RestoreSettling
from ebonydeal._internal.relay.view.slow_store import SlowStoreProbe
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.follower")

# If a poll is lost at the store, the coordinator's replies show the missing changes, so
# most relays use long polls; without such replies a relay uses short ones.
_POLL_TIMEOUT_S = 28.0
SHORT_POLL_TIMEOUT_S = 2.0
# All other relays learn of endpoints from the coordinator, and have to notice soon if
# the store stops answering it. So it polls with the first of these timeouts, and its
# data is up to date for the second time after a reply of the store. Together with one
# exchange that stays below the 2 s after which an endpoint must get no new work.
COORDINATOR_POLL_TIMEOUT_S = 0.6
FRESH_TIMEOUT_S = 0.9
_MIN_BACKOFF_S = 0.15
_MIN_JITTER, _MAX_JITTER = 0.5, 1.5
# With its jitter and the timeout of a lost poll, it stays below the time after which a
# relay counts as in touch with a store that is back.
_MAX_BACKOFF_S = 0.9
_BATCH_INTERVAL_S = 0.15
# What wasn't confirmed for longer than this, and than the longest poll between two
# confirmations, is logged.
_MAX_AGE_S = 2.5
# How often to check whether the coordinator still pushes changes.
_PUSH_CHECK_INTERVAL_S = 0.05


class TableFollower(SupervisedService):
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

    Attributes
    ----------
    age_timing : Timing
        Under which name the age of what is known of the table is recorded.
    outdated_message : str
        Logged when that was not confirmed for long.
    """

    age_timing: Timing
    outdated_message: str

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
        # The version after which changes are polled.
        self._after = 0
        self._slow_probe = SlowStoreProbe(
            lambda timeout: store.changes(self.table, self._after, 0.0, timeout),
            lambda took: self._reply_timeout.record_reply(0.0, took),
            clock,
        )
        self._settling = RestoreSettling(clock)
        self._answered_at: float | None = None
        # When each change of the table was last known to be in the view.
        self._confirmed_at: float | None = None
        # Until when each change is certain to be in the view. A reply may be read long
        # after it was sent, so only the time of its request is certain.
        self.read_until: float | None = None
        self._waiting: list[tuple[float, asyncio.Future[None]]] = []
        # The store's version at the last reply.
        self._read_to = 0
        self._read_again = False
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
        return SHORT_POLL_TIMEOUT_S if self.on_coordinator else _POLL_TIMEOUT_S

    @property
    def fresh(self) -> bool:
        """Whether the store answered just now."""
        at = self._answered_at
        return at is not None and self._clock.now() - at <= FRESH_TIMEOUT_S

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

    async def on_stop(self) -> None:
        """Cancel the call that outlives a poll."""
        self._slow_probe.stop()

    @supervised_task
    async def _follow(self) -> None:
        after: int | None = None
        backoff = _MIN_BACKOFF_S
        while not self.should_stop:
            if self._read_again:
                self._read_again, after = False, None
            if after is not None and not self._waiting and self.receives_pushes():
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
            self.confirm(self._answered_at)
            after_outage = self._note_success()
            if self._note_restored(version):
                # Entries written since the copy was made may not be back yet.
                after_outage, self._failed_at = True, self._asked_at
            await self.apply_snapshot(rows, version, after_outage)
            self.note_read_until(self._asked_at)
            return version
        poll_timeout = self.poll_timeout
        if self.failing_since is not None or self._must_catch_up or self._waiting:
            # To learn at once whether the store answers, and by this connection.
            poll_timeout = 0.0
        self._current_timeout = poll_timeout
        self._after = after
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
        self._slow_probe.stop()
        self._reply_timeout.record_reply(
            poll_timeout, self._answered_at - self._asked_at
        )
        late = self.failing_since is not None or self._must_catch_up
        self._must_catch_up = False
        self.confirm(self._answered_at)
        if changes is None:
            logger.warning(
                "Change history expired; reading the whole table.", table=self.table
            )
            return None
        after_outage = self._note_success()
        if changes.rows:
            await self.apply_changes(changes.rows, changes.version, after_outage, late)
        self.note_read_until(self._asked_at)
        if changes.rows:
            # Changes come in bursts: one later call gets those that follow.
            await self._clock.sleep(_BATCH_INTERVAL_S)
        else:
            self.note_version(changes.version)
            if poll_timeout == 0.0:
                # That poll returned at once, so the next one must be delayed.
                await self._clock.sleep(_BATCH_INTERVAL_S)
        self._read_to = changes.version
        return max(after, changes.version)

    def _note_restored(self, version: int) -> bool:
        """Return whether the store came back from a copy since its last reply."""
        known, self._read_to = self._read_to, version
        if not known or era_of(known) == era_of(version):
            return False
        self._metrics.count(Event.STORE_RESTORED)
        logger.warning(
            "Store came back from a copy.",
            table=self.table,
            era=era_of(version),
            known_version=raw_version(known),
            version=raw_version(version),
        )
        return True

    def note_version(self, version: int) -> None:
        """Note that the table hasn't changed up to a version."""

    @property
    def confirmed_age(self) -> float | None:
        """Seconds since each change of the table was known; None if it never was."""
        at = self._confirmed_at
        return None if at is None else self._clock.now() - at

    async def read_since(self, since: float, timeout: float) -> bool:
        """Read all changes made until ``since``; return whether that took effect.

        ``timeout`` is in seconds.
        """
        if self.read_until is not None and self.read_until >= since:
            return True
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((since, fut))
        if self._asked_at < since:
            self._cancel_poll()
        try:
            async with asyncio.timeout(timeout):
                await fut
        except TimeoutError:
            return False
        finally:
            self._waiting = [w for w in self._waiting if w[1] is not fut]
        return True

    def note_read_until(self, at: float) -> None:
        """Note that each change made until a time is in the view."""
        self.read_until = at if self.read_until is None else max(self.read_until, at)
        for since, fut in self._waiting:
            if since <= self.read_until and not fut.done():
                fut.set_result(None)

    def confirm(self, at: float) -> None:
        """Note that each change made until a time is known; log a long gap."""
        before = self._confirmed_at
        if before is not None and at <= before:
            return
        self._confirmed_at = at
        if before is None:
            return
        self._metrics.record_duration(self.age_timing, at - before)
        if at - before > _MAX_AGE_S:
            logger.info(self.outdated_message, age_s=round(at - before, 3))

    def read_again(self) -> None:
        """Read the whole table after the current call."""
        self._read_again = True

    def restart_poll(self) -> None:
        """Restart the current poll if its timeout should be shorter by now."""
        if self._current_timeout > self.poll_timeout:
            self._cancel_poll()

    def _cancel_poll(self) -> None:
        if self._poll is not None:
            self._restart_requested = True
            self._poll.cancel()

    def note_pushed(self) -> None:
        """Note that a coordinator that is up to date with the store pushes changes.

        Earlier failures of this relay's polls don't matter any more: an entry that is
        removed from now on has left, and isn't retained as if it had only expired.
        """
        self.failing_since = None
        self._must_catch_up = True

    def _note_failure(self, exc: EbonydealError) -> None:
        now = self._clock.now()
        waited = now - self._asked_at
        timed_out = (
            isinstance(exc, NoReplyError) and waited >= self._reply_timeout.seconds
        )
        self._reply_timeout.record_lost()
        self._failed_at = self._asked_at
        # A first lost reply may be due to its connection alone, if that was open for a
        # while. An outage too short for a second failure, on a new one, is too short
        # for entries to expire.
        maybe_dead_connection = isinstance(exc, NoReplyError) and (
            exc.on_open_connection or self._current_timeout > 0.0
        )
        self._outage_seen = self.failing_since is not None or not maybe_dead_connection
        # Only a second loss: the first one may be due to its connection alone.
        if self._after and timed_out and self.failing_since is not None:
            self._slow_probe.start()
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
