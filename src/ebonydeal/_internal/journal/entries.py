"""Records that wait for their row, in order."""

import asyncio
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.records import Record, record_to_message


@dataclass(eq=False)
class Entry:
    """Records of one append, which stay together in one row.

    Attributes
    ----------
    records : tuple of Record
        In their order.
    messages : list of dict
        Their wire shape.
    size : int
        Bytes of that.
    urgent : bool
        A caller waits.
    hold : bool
        Kept through an outage.
    asked_at : float
        Monotonic seconds.
    durable : asyncio.Future
        Done once durable, or failed.
    """

    records: tuple[Record, ...]
    messages: list[dict]
    size: int
    urgent: bool
    retain: bool
    asked_at: float
    durable: asyncio.Future = field(repr=False)

    @classmethod
    def of(
        cls, records: Sequence[Record], urgent: bool, retain: bool, now: float
    ) -> "Entry":
        """Build from records, inside the running loop."""
        messages = [record_to_message(record) for record in records]
        return cls(
            records=tuple(records),
            messages=messages,
            size=len(msgspec.json.encode(messages)),
            urgent=urgent,
            retain=retain,
            asked_at=now,
            durable=asyncio.get_running_loop().create_future(),
        )


class EntryQueue:
    """Entries that wait, and a count that includes those being written.

    Attributes
    ----------
    entries : deque of Entry
        Those that wait.
    pending : int
        Records that wait or are being written.
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
    def is_urgent(self) -> bool:
        """Whether a caller waits for any of them."""
        return any(entry.urgent for entry in self.entries)

    def add(self, entry: Entry) -> None:
        """Put an entry at the end."""
        self.entries.append(entry)
        self.pending += len(entry.records)
        self.idle.clear()
        self.changed.set()

    def withdraw(self, entry: Entry) -> bool:
        """Remove an entry that still waits; return False if it was taken."""
        if entry not in self.entries:
            return False
        self.entries.remove(entry)
        entry.durable.cancel()
        self._ended(entry)
        return True

    def take_batch(self) -> list[Entry]:
        """Take entries in their order, up to the size of a row."""
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

    def put_back(self, batch: list[Entry]) -> None:
        """Put taken entries back in front."""
        self.entries.extendleft(reversed(batch))

    def finish(self, entry: Entry, error: EbonydealError | None) -> None:
        """Tell an entry's waiter its outcome."""
        if not entry.durable.done():
            if error is None:
                entry.durable.set_result(None)
            else:
                entry.durable.set_exception(error)
                # Marks it as seen: a waiter may have gone.
                entry.durable.exception()
        self._ended(entry)

    def fail_all(self, error: EbonydealError) -> None:
        """Fail all entries that wait."""
        while self.entries:
            self.finish(self.entries.popleft(), error)

    def _ended(self, entry: Entry) -> None:
        self.pending -= len(entry.records)
        if self.pending == 0:
            self.idle.set()
