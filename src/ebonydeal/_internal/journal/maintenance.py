"""Maintenance of a shard: expiry, snapshots, trimming, deletion of unused objects."""

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.journal.appender import Appender
from ebonydeal._internal.journal.bodies import Bodies
from ebonydeal._internal.journal.claims import Claim
from ebonydeal._internal.journal.fold import RequestState, expiry_records
from ebonydeal._internal.journal.snapshots import encode_states, save_snapshot, trim
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.outside.interfaces import Objects, Tables
from ebonydeal._internal.settings.journal import JournalSettings
from ebonydeal._internal.utils.clock import Clock

MAX_EXPIRED_PER_RUN = 500
MAX_EXPIRY_INTERVAL_S = 30.0
_EXPIRY_INTERVAL_FRACTION = 0.01


class ShardMaintenance:
    """Maintenance of one shard during one epoch; called by its owner only.

    Parameters
    ----------
    claim : Claim
        The owner's claim.
    states : dict of str to RequestState
        The owner's live states.
    bodies : Bodies
        Of the same shard and epoch.
    """

    def __init__(
        self,
        claim: Claim,
        states: dict[str, RequestState],
        bodies: Bodies,
        *,
        tables: Tables,
        objects: Objects,
        cfg: JournalSettings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.snapshot_seq = 0
        self._claim = claim
        self._states = states
        self._bodies = bodies
        self._tables = tables
        self._objects = objects
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._unreferenced: list[str] = []
        self._next_expiry_at = 0.0

    def collect_objects(self, request_id: str) -> None:
        """Note the objects of an expiring request for deletion."""
        state = self._states.get(request_id)
        if state is not None:
            self._unreferenced += _objects_of(state)

    async def expire(self, appender: Appender) -> None:
        """Expire requests that have been final for longer than the retention.

        Their objects are deleted only after the record is durable.
        """
        now = self._clock.now()
        if now < self._next_expiry_at:
            return
        retention = self._cfg.retention_seconds
        self._next_expiry_at = now + min(
            MAX_EXPIRY_INTERVAL_S, retention * _EXPIRY_INTERVAL_FRACTION
        )
        before = self._clock.wall() - retention
        records = expiry_records(self._states, before, MAX_EXPIRED_PER_RUN)
        if records:
            await appender.append(records)
            names, self._unreferenced = self._unreferenced, []
            await self._bodies.delete(names)

    async def snapshot_if_due(self, seq: int) -> bool:
        """Snapshot and trim when enough rows were written since the last snapshot.

        ``seq`` is the next row's number; the states include all rows below it.
        Raises the stores' errors.
        """
        if seq - self.snapshot_seq < self._cfg.snapshot_rows:
            return False
        data = encode_states(self._states.values())
        replaced = await save_snapshot(
            self._tables, self._objects, self._claim, seq, data
        )
        if replaced is None:
            return False
        self.snapshot_seq = seq
        self._metrics.count(Event.SNAPSHOTS)
        await trim(self._tables, self._claim, seq)
        if replaced:
            await self._bodies.delete([replaced])
        return True

    async def earlier_objects(self) -> list[str]:
        """Return objects of earlier owners; none while the store is down."""
        try:
            return await self._bodies.earlier_objects()
        except EbonydealError:
            return []

    async def sweep(self, names: list[str], snapshot: str) -> None:
        """Delete those of the objects ``names`` that are not in use."""
        used = {name for state in self._states.values() for name in _objects_of(state)}
        used.add(snapshot)
        await self._bodies.delete([name for name in names if name not in used])


def _objects_of(state: RequestState) -> list[str]:
    """Return the names of a request's objects."""
    names = [state.request.body_object]
    if state.answer is not None:
        names.append(state.answer.body_object)
    return [name for name in names if name]
