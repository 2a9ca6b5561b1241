"""Follows the table of endpoints."""

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.shared import SharedRow, era_of
from ebonydeal._internal.observe.counters import Event, Timing
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.view.follower import (
    COORDINATOR_POLL_TIMEOUT_S,
    SHORT_POLL_TIMEOUT_S,
    TableFollower,
)
from ebonydeal._internal.relay.view.view import MISSING_GRACE_S
from ebonydeal._internal.utils.supervised import supervised_task

logger = get_logger("relay.follower")

_EXPIRY_INTERVAL_S = 0.25


class MembersFollower(TableFollower):
    """Follows the list of endpoints."""

    age_timing = Timing.LIST_AGE
    outdated_message = "List of endpoints was outdated."

    @property
    def poll_timeout(self) -> float:
        """Seconds for which a long poll waits; any relay may soon push to others."""
        return (
            COORDINATOR_POLL_TIMEOUT_S if self.on_coordinator else SHORT_POLL_TIMEOUT_S
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

    def note_pushed(self) -> None:
        """Note that the coordinator, whose list is up to date, pushes its changes."""
        super().note_pushed()
        self.confirm(self._clock.now())

    def _read(self, row: SharedRow) -> Member | None:
        """Return a listed endpoint, or None if its entry can't be decoded."""
        try:
            return self._wire.member(row)
        except EbonydealError as exc:
            self._metrics.count(Event.ENTRIES_UNREADABLE)
            logger.error("Endpoint refused.", reason=str(exc))
            return None

    @supervised_task
    async def _expire(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_EXPIRY_INTERVAL_S)
            self._view.expire(self._clock.now())
            self._settle_restored()

    def _settle_restored(self) -> None:
        """Trust a restored list once endpoints had time to write entries again."""
        version = self._view.members_version
        self._settling.observe(version)
        if self._settling.take_end() and self._view.settle(era_of(version)):
            self.read_again()
