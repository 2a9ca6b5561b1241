"""Queue of records that wait to be written to a row."""

import asyncio
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.records import Record, record_to_message


@dataclass(eq=False)
class Entry:
    """Records of one append, which are written to the same row.

    Attributes
    ----------
    records : tuple of Record
        In write order.
    messages : list of dict
        Their wire format.
    size : int
        Bytes of ``messages``.
    urgent : bool
        A caller is waiting.
    retain : bool
        Stays queued through an outage.
    enqueued_at : float
        Monotonic seconds.
    durable : asyncio.Future
        Done when the records are durable or have failed.
    """

    records: tuple[Record, ...]
    messages: list[dict]
    size: int
    urgent: bool
    retain: bool
    enqueued_at: float
    durable: asyncio.Future = field(repr=False)

    @classmethod
    def of(
        cls, records: Sequence[Record], urgent: bool, retain: bool, now: float
    ) -> "Entry":
        """Build from records; needs a running event loop."""
        messages = [record_to_message(record) for record in records]
        return cls(
            records=tuple(records),
            messages=messages,
            size=len(msgspec.json.encode(messages)),
            urgent=urgent,
            retain=retain,
            enqueued_at=now,
            durable=asyncio.get_running_loop().create_future(),
        )


class EntryQueue:
    """Queued entries, and a record count that includes those being written.

    Attributes
    ----------
    entries : deque of Entry
        Not yet taken for a batch.
    pending : int
        Records that are queued or being written.
    changed : asyncio.Event
        Set when an entry is added.
    idle : asyncio.Event
        Set while nothing is pending.
    """

    def __init__(self, max_batch: int, max_bytes: int) -> None:
        self.entries: deque[Entry] = deque()
        self.pending = 0
        self.changed = asyncio.Event()
        self.idle = asyncio.Event()
        self.idle.set()
        self._max_batch = max_batch
        self._max_bytes = max_bytes

    @property
    def has_urgent(self) -> bool:
        """Whether a caller is waiting for any entry."""
        return any(entry.urgent for entry in self.entries)

    def add(self, entry: Entry) -> None:
        """Append an entry."""
        self.entries.append(entry)
        self.pending += len(entry.records)
        self.idle.clear()
        self.changed.set()

    def withdraw(self, entry: Entry) -> bool:
        """Remove a queued entry; return False if it was already taken."""
        if entry not in self.entries:
            return False
        self.entries.remove(entry)
        entry.durable.cancel()
        self._subtract_pending(entry)
        return True

    def take_batch(self) -> list[Entry]:
        """Take entries in order, up to the size limits of a row."""
        batch: list[Entry] = []
        count = size = 0
        while self.entries:
            entry = self.entries[0]
            count += len(entry.records)
            size += entry.size
            full = count > self._max_batch or size > self._max_bytes
            if full and batch:
                break
            batch.append(self.entries.popleft())
        return batch

    def requeue(self, batch: list[Entry]) -> None:
        """Put taken entries back at the front."""
        self.entries.extendleft(reversed(batch))

    def finish(self, entry: Entry, error: EbonydealError | None) -> None:
        """Set the outcome of an entry."""
        if not entry.durable.done():
            if error is None:
                entry.durable.set_result(None)
            else:
                entry.durable.set_exception(error)
                # Marks the exception as retrieved: the waiter may have been cancelled.
                entry.durable.exception()
        self._subtract_pending(entry)

    def fail_all(self, error: EbonydealError) -> None:
        """Fail all queued entries."""
        while self.entries:
            self.finish(self.entries.popleft(), error)

    def _subtract_pending(self, entry: Entry) -> None:
        self.pending -= len(entry.records)
        if self.pending == 0:
            self.idle.set()
