"""Group commit of one shard: many records in one row, by one conditional write.

The appender never has two rows in flight. After a lost reply it reads the row
back: its own batch id means that the write took effect, another batch id that the
shard has a new owner, and a missing row that the *same* row must be written again.
A record is acknowledged only after its row is known to be durable.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from enum import Enum

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.entries import Entry, EntryQueue
from ebonydeal._internal.journal.pacing import Pacer
from ebonydeal._internal.journal.rows import journal_key, shard_key
from ebonydeal._internal.models.records import Record
from ebonydeal._internal.observe.counters import Event, Metrics, RetryReason, Timing
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import (
    FieldEquals,
    Put,
    RowAbsent,
    Tables,
)
from ebonydeal._internal.settings.journal import JournalSettings
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.ids import new_token

logger = get_logger("journal")

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
MAX_IN_DOUBT_S = 1.0

OnDurable = Callable[[int, Sequence[Record]], None]


class WriteOutcome(Enum):
    """Result of one attempt to write a row."""

    DURABLE = "durable"
    FENCED = "fenced"
    IN_DOUBT = "in doubt"
    UNAVAILABLE = "unavailable"


def fenced_error(shard: int) -> EbonydealError:
    """Return the error for work on a shard that has a new owner."""
    return EbonydealError(ErrorKind.FENCED, f"shard {shard:04x} has a new owner")


class Appender:
    """Writes the journal rows of one shard during one epoch.

    Parameters
    ----------
    tables : Tables
        Table service.
    shard, epoch, seq : int
        The shard, the owner's epoch, and the next row's number.
    on_durable : callable
        Called with the row's number and records once they are durable, in
        order, before any waiter is notified.
    """

    def __init__(
        self,
        tables: Tables,
        shard: int,
        epoch: int,
        seq: int,
        *,
        on_durable: OnDurable,
        pacer: Pacer,
        cfg: JournalSettings,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._tables = tables
        self._shard = shard
        self._epoch = epoch
        self.seq = seq
        self._on_durable = on_durable
        self._pacer = pacer
        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._queue = EntryQueue(cfg.max_batch, cfg.max_row_bytes)
        self._in_doubt_since: float | None = None
        self._unavailable_until = 0.0
        self._backoff = INITIAL_BACKOFF_S
        self.fenced = asyncio.Event()

    @property
    def pending(self) -> int:
        """Number of records that are queued or being written."""
        return self._queue.pending

    async def append(
        self,
        records: Sequence[Record],
        *,
        urgent: bool = False,
        retain: bool = True,
        max_wait: float | None = None,
    ) -> None:
        """Return once ``records`` are durable in one row.

        Parameters
        ----------
        records : sequence of Record
            Written together.
        urgent : bool
            A caller is waiting: the batch may use the urgent write budget.
        retain : bool
            Keep the records queued through an outage. Otherwise they are refused
            with ``JOURNAL_UNAVAILABLE`` or ``JOURNAL_BEHIND``, which prove that
            they were not written.
        max_wait : float, optional
            Longest wait in seconds. After it, records that were never sent are
            withdrawn (``JOURNAL_UNAVAILABLE``); others stay queued and the caller
            gets ``STORE_IN_DOUBT``.

        Raises ``FENCED`` when the shard has a new owner.
        """
        if self.fenced.is_set():
            raise fenced_error(self._shard)
        if not retain:
            self._refuse_if_behind(len(records))
        entry = Entry.of(records, urgent, retain, self._clock.now())
        self._queue.add(entry)
        if max_wait is not None:
            await self._wait_at_most(entry, max_wait)
        await asyncio.shield(entry.durable)

    async def run(self) -> None:
        """Write batches until fenced or cancelled."""
        try:
            while await self._wait_for_turn():
                await self._commit(self._queue.take_batch())
        finally:
            self._pacer.remove(self)
            self._queue.fail_all(fenced_error(self._shard))

    def close(self) -> None:
        """Stop accepting and writing; queued records fail as fenced."""
        self.fenced.set()
        self._queue.changed.set()

    async def flush(self) -> None:
        """Return when no record is pending, or the shard is fenced."""
        waits = {
            asyncio.create_task(self._queue.idle.wait()),
            asyncio.create_task(self.fenced.wait()),
        }
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for fut in waits:
            fut.cancel()

    # --- admission ---------------------------------------------------------
    def _refuse_if_behind(self, count: int) -> None:
        """Refuse records that would wait too long; a refusal means none is written."""
        now = self._clock.now()
        in_doubt_since = self._in_doubt_since
        if now < self._unavailable_until or (
            in_doubt_since is not None and now - in_doubt_since > MAX_IN_DOUBT_S
        ):
            raise EbonydealError(
                ErrorKind.JOURNAL_UNAVAILABLE, "The table service does not respond."
            )
        if self._queue.pending + count > self._cfg.max_pending:
            raise EbonydealError(
                ErrorKind.JOURNAL_BEHIND, "Too many records are waiting to be written."
            )

    async def _wait_at_most(self, entry: Entry, max_wait: float) -> None:
        timer = asyncio.ensure_future(self._clock.sleep(max_wait))
        try:
            await asyncio.wait(
                {timer, entry.durable}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
        if entry.durable.done():
            return
        if self._queue.withdraw(entry):
            raise EbonydealError(
                ErrorKind.JOURNAL_UNAVAILABLE, "The table service is too slow."
            )
        raise EbonydealError(
            ErrorKind.STORE_IN_DOUBT, "The table service has not confirmed the write."
        )

    # --- batching ----------------------------------------------------------
    async def _wait_for_turn(self) -> bool:
        """Wait for records and for the write budget; return False once fenced."""
        while not self.fenced.is_set():
            self._queue.changed.clear()
            if not self._queue.entries:
                self._pacer.remove(self)
                await self._queue.changed.wait()
                continue
            urgent = self._queue.has_urgent
            wait = self._pacer.wait(self, self._clock.now(), urgent)
            if wait <= 0.0:
                self._pacer.take(self, self._clock.now(), urgent)
                return True
            await self._sleep_until_due(wait, urgent)
        return False

    async def _sleep_until_due(self, wait: float, urgent: bool) -> None:
        """Sleep; a new entry ends this early only if it could be written sooner."""
        waits: set[asyncio.Future] = {asyncio.ensure_future(self._clock.sleep(wait))}
        if not urgent:
            waits.add(asyncio.ensure_future(self._queue.changed.wait()))
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for fut in waits:
                fut.cancel()

    # --- writing -----------------------------------------------------------
    async def _commit(self, batch: list[Entry]) -> None:
        """Write one row, retrying as often as needed."""
        batch_id = new_token("b", self._rng)
        messages = [item for entry in batch for item in entry.messages]
        row = {"batch": batch_id, "epoch": self._epoch, "records": messages}
        delay = INITIAL_BACKOFF_S
        try:
            while True:
                verdict = await self._try_write(row)
                if verdict is WriteOutcome.DURABLE:
                    return self._acknowledge(batch)
                if verdict is WriteOutcome.FENCED:
                    return self._fence(batch)
                if verdict is WriteOutcome.UNAVAILABLE and self._in_doubt_since is None:
                    return await self._requeue(batch)
                self._metrics.count_retry(RetryReason.STORE)
                await self._clock.sleep(delay)
                delay = min(delay * 2, MAX_BACKOFF_S)
        except BaseException:
            for entry in batch:
                self._queue.finish(entry, fenced_error(self._shard))
            raise

    async def _try_write(self, row: dict) -> WriteOutcome:
        """Make one attempt to write ``row`` as the next row."""
        key = journal_key(self._shard, self.seq)
        self._metrics.count(Event.TABLE_WRITES)
        try:
            applied = await self._tables.transact(
                [
                    FieldEquals(shard_key(self._shard), "epoch", self._epoch),
                    RowAbsent(key),
                ],
                [Put(key, row)],
            )
        except EbonydealError as exc:
            if exc.kind is ErrorKind.STORE_UNAVAILABLE:
                return WriteOutcome.UNAVAILABLE
            self._record_doubt()
            return await self._read_back(key, row["batch"], WriteOutcome.IN_DOUBT)
        if applied:
            return WriteOutcome.DURABLE
        return await self._read_back(key, row["batch"], WriteOutcome.FENCED)

    def _record_doubt(self) -> None:
        self._metrics.count(Event.APPENDS_IN_DOUBT)
        if self._in_doubt_since is None:
            self._in_doubt_since = self._clock.now()

    async def _read_back(
        self, key: str, batch_id: str, if_absent: WriteOutcome
    ) -> WriteOutcome:
        """Read the row to find out whose write took effect."""
        self._metrics.count(Event.TABLE_READS)
        try:
            row = await self._tables.get(key)
        except EbonydealError:
            self._record_doubt()
            return WriteOutcome.IN_DOUBT
        if row is None:
            return if_absent
        return (
            WriteOutcome.DURABLE
            if row.value.get("batch") == batch_id
            else WriteOutcome.FENCED
        )

    def _acknowledge(self, batch: list[Entry]) -> None:
        seq = self.seq
        self.seq += 1
        self._in_doubt_since = None
        self._unavailable_until = 0.0
        self._backoff = INITIAL_BACKOFF_S
        records = [record for entry in batch for record in entry.records]
        self._metrics.count(Event.RECORDS_APPENDED, len(records))
        self._on_durable(seq, records)
        now = self._clock.now()
        for entry in batch:
            self._metrics.record_duration(Timing.APPEND, now - entry.enqueued_at)
            self._queue.finish(entry, None)

    def _fence(self, batch: list[Entry]) -> None:
        logger.warning(
            "Shard is fenced by a new owner.", shard=self._shard, epoch=self._epoch
        )
        self._metrics.count(Event.APPENDS_FENCED)
        self.fenced.set()
        for entry in batch:
            self._queue.finish(entry, fenced_error(self._shard))

    async def _requeue(self, batch: list[Entry]) -> None:
        """Requeue the retained entries of an unwritten batch and refuse the rest."""
        refusal = EbonydealError(
            ErrorKind.JOURNAL_UNAVAILABLE, "The table service is unavailable."
        )
        retained = [entry for entry in batch if entry.retain]
        for entry in batch:
            if not entry.retain:
                self._queue.finish(entry, refusal)
        self._queue.requeue(retained)
        self._unavailable_until = self._clock.now() + self._backoff
        self._metrics.count_retry(RetryReason.STORE)
        await self._clock.sleep(self._backoff)
        self._backoff = min(self._backoff * 2, MAX_BACKOFF_S)
