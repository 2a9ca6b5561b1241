"""Persists roll-outs in the platform's store.

They are written together with a renewal of the lease. So a lease holder that was
replaced can't write a verdict, and if two relays believe that they hold the lease, only
one of them decides.
"""

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.rollouts import Phase, RolloutOrder
from ebonydeal._internal.models.shared import RowWrite, SharedRow
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.duties.rollout_registry import RolloutRegistry
from ebonydeal._internal.relay.duties.rollout_run import RolloutRun
from ebonydeal._internal.relay.packed_row import (
    MAX_PACKED_BYTES,
    UNPACK_ERRORS,
    pack,
    unpack,
)
from ebonydeal._internal.relay.ports import SharedStore, Wire
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.rollout")

ROLLOUTS_TABLE = "ebonydeal-rollouts"
_KEY = "memory"


class RolloutStore:
    """Reads and writes the roll-outs, so that they survive the coordinator.

    Parameters
    ----------
    store, wire : SharedStore, Wire
        The platform's store, and its formats.
    registry : RolloutRegistry
        The roll-outs.
    view : RelayView
        The orders.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        store: SharedStore,
        wire: Wire,
        registry: RolloutRegistry,
        view: RelayView,
        clock: Clock,
    ) -> None:
        self._store = store
        self._wire = wire
        self._registry = registry
        self._view = view
        self._clock = clock
        # Whether the previous lease holder's roll-outs were read.
        self.loaded = False
        # The store's version at that read; None before.
        self._read_at: int | None = None
        # Numbers of changes: so far, written, and in the write under way.
        self._change_count = 0
        self._written_count = 0
        self._writing_count = 0
        self._writing_status: list[tuple[RolloutRun, Phase]] = []

    def changed(self) -> None:
        """Request a write with the next renewal of the lease."""
        self._change_count += 1

    def lost(self) -> None:
        """Forget all: another relay holds the lease, and reads what was written."""
        self.loaded = False
        self._read_at = None
        self._registry.clear()

    def store_restored(self) -> None:
        """Write all roll-outs and verdicts again: the store may have lost them."""
        self._written_count = -1
        for run in self._registry.runs.values():
            run.status_due = True

    async def read(self) -> None:
        """Load the previous lease holder's roll-outs, once the orders are as new.

        A relay that received the configuration from the previous holder hasn't read the
        orders itself, and would treat a roll-out under way as withdrawn.
        """
        if self._read_at is None:
            rows, self._read_at = await self._store.rows(ROLLOUTS_TABLE)
            self._load(rows)
        if self._view.has_orders(self._read_at):
            await self._read_status()
            self.loaded = True

    def _load(self, rows: list[SharedRow]) -> None:
        for row in rows:
            if row.key != _KEY or row.value is None:
                continue
            try:
                stored = unpack(row.value)
                self._registry.load_stored(
                    stored, self._store.clock_ahead_s, self._clock.now()
                )
            except UNPACK_ERRORS as exc:
                logger.error("Stored roll-outs are unreadable.", reason=repr(exc))

    async def _read_status(self) -> None:
        """Load verdicts from the status table for orders without a stored roll-out."""
        orders = self._view.versions.listed_orders().values()
        unknown = {o.service: o for o in orders if self._registry.is_new(o)}
        if not unknown:
            return
        rows, _version = await self._store.rows(self._wire.status_table)
        for row in rows:
            order = unknown.get(self._wire.rollout_service(row.key) or "")
            if order is not None and row.version >= order.revision:
                self._load_status(row, order)

    def _load_status(self, row: SharedRow, order: RolloutOrder) -> None:
        if row.value is None:
            return
        try:
            phase, to = self._wire.status(row)
        except EbonydealError as exc:
            logger.error("Roll-out status is unreadable.", reason=str(exc))
            return
        if to == order.target_version and phase is not Phase.RUNNING:
            run = self._registry.start(order, set(), self._clock.now())
            run.state.phase = phase
            run.status_due = False

    def changes(self) -> list[RowWrite]:
        """Return the writes that are due with the next renewal of the lease."""
        self._writing_status = []
        if not self.loaded:
            return []
        changes = []
        for service, run in self._registry.runs.items():
            if run.status_due:
                phase = run.state.phase
                self._writing_status.append((run, phase))
                changes.append(
                    self._wire.status_change(
                        service, phase, run.state.order.target_version
                    )
                )
        self._writing_count = self._change_count
        if changes or self._change_count != self._written_count:
            stored = self._registry.to_stored(self._store.clock_ahead_s)
            value = pack(stored)
            if len(value) <= MAX_PACKED_BYTES:
                changes.append(RowWrite(ROLLOUTS_TABLE, _KEY, value))
            else:
                logger.warning("Roll-outs are too large to persist.", size=len(value))
        return changes

    def wrote(self) -> None:
        """Note that the last changes took effect."""
        self._written_count = self._writing_count
        for run, phase in self._writing_status:
            service = run.state.order.service
            if self._registry.runs.get(service) is not run:
                continue
            if run.state.phase is phase:
                run.status_due = False
            logger.info("Roll-out status written.", service=service, phase=str(phase))
        self._writing_status = []
