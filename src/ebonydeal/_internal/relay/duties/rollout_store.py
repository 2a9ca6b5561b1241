"""Roll-outs in the platform's store.

They are written together with a renewal of the lease: so a holder that was replaced
writes no verdict, and of two that believe to hold the lease one decides.
"""

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.rollouts import Phase, RolloutOrder
from ebonydeal._internal.models.shared import RowWrite, SharedRow
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.duties.rollout_book import RolloutBook
from ebonydeal._internal.relay.packed_row import MOST_BYTES, UNREADABLE, pack, unpack
from ebonydeal._internal.relay.ports import SharedStore, Wire
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.rollout")

ROLLOUTS_TABLE = "ebonydeal-rollouts"
_KEY = "memory"


class RolloutStore:
    """Reads and writes what outlasts the coordinator of roll-outs.

    Parameters
    ----------
    store, wire : SharedStore, Wire
        The platform's store, and its formats.
    book : RolloutBook
        What is kept.
    view : RelayView
        The orders.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        store: SharedStore,
        wire: Wire,
        book: RolloutBook,
        view: RelayView,
        clock: Clock,
    ) -> None:
        self._store = store
        self._wire = wire
        self._book = book
        self._view = view
        self._clock = clock
        # Whether what the holder before kept was read.
        self.known = False
        # The store's version as that was read; None before.
        self._read_at: int | None = None
        # Changes so far, and those that lie in the store or are on the way there.
        self._changes = 0
        self._written = 0
        self._sent = 0
        self._writing: list[tuple[str, int, Phase]] = []

    def changed(self) -> None:
        """Note that something is to be written with the next renewal."""
        self._changes += 1

    def lost(self) -> None:
        """Forget all: another holds the lease, and has what was written."""
        self.known = False
        self._read_at = None
        self._book.clear()

    async def read(self) -> None:
        """Take what the holder before kept, once the orders are as new as that.

        A relay that was told of the configuration by the holder before hasn't read
        orders itself: it would take a roll-out under way for one that was withdrawn.
        """
        if self._read_at is None:
            rows, self._read_at = await self._store.rows(ROLLOUTS_TABLE)
            self._take(rows)
        if self._view.has_orders(self._read_at):
            await self._read_status()
            self.known = True

    def _take(self, rows: list[SharedRow]) -> None:
        for row in rows:
            if row.key != _KEY or row.value is None:
                continue
            try:
                memory = unpack(row.value)
                self._book.take_memory(memory, self._store.ahead, self._clock.now())
            except UNREADABLE as exc:
                logger.error("Stored roll-outs can't be read.", reason=repr(exc))

    async def _read_status(self) -> None:
        """Take verdicts that operators were told of orders that nothing was kept of."""
        orders = self._view.versions.orders.values()
        unknown = {o.service: o for o in orders if self._book.is_news(o)}
        if not unknown:
            return
        rows, _version = await self._store.rows(self._wire.status_table)
        for row in rows:
            order = unknown.get(self._wire.rollout_service(row.key) or "")
            if order is not None and row.version >= order.revision:
                self._take_status(row, order)

    def _take_status(self, row: SharedRow, order: RolloutOrder) -> None:
        if row.value is None:
            return
        try:
            phase, to = self._wire.status(row)
        except EbonydealError as exc:
            logger.error("Status can't be read.", reason=str(exc))
            return
        if to == order.target_version and phase is not Phase.RUNNING:
            run = self._book.begin(order, set(), self._clock.now())
            run.course.phase = phase
            run.status_due = False

    def changes(self) -> list[RowWrite]:
        """Return the writes that are due with the next renewal of the lease."""
        self._writing = []
        if not self.known:
            return []
        changes = []
        for service, run in self._book.runs.items():
            if run.status_due:
                order, phase = run.course.order, run.course.phase
                self._writing.append((service, order.revision, phase))
                changes.append(
                    self._wire.status_change(service, phase, order.target_version)
                )
        self._sent = self._changes
        if changes or self._changes != self._written:
            memory = self._book.to_memory(self._store.ahead)
            value = pack(memory)
            if len(value) <= MOST_BYTES:
                changes.append(RowWrite(ROLLOUTS_TABLE, _KEY, value))
            else:
                logger.warning("Roll-outs are too large to keep.", size=len(value))
        return changes

    def wrote(self) -> None:
        """Note that the last changes lie in the store."""
        self._written = self._sent
        for service, revision, phase in self._writing:
            run = self._book.runs.get(service)
            if run is None or run.course.order.revision != revision:
                continue
            if run.course.phase is phase:
                run.status_due = False
            logger.info(
                "Status of a roll-out written.", service=service, phase=str(phase)
            )
        self._writing = []
