"""Persists what relays remember of crashes in the platform's store.

The row is written together with a renewal of the lease when it has changed, which costs
no extra call. A relay that acquires the lease reads it, so the evidence survives the
loss of all relays at once.
"""

from typing import Any

from ebonydeal._internal.models.shared import RowWrite
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.crashes.suspects import Suspects
from ebonydeal._internal.relay.packed_row import (
    MAX_PACKED_BYTES,
    UNPACK_ERRORS,
    pack,
    unpack,
)
from ebonydeal._internal.relay.ports import SharedStore
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.suspects")

CRASHES_TABLE = "ebonydeal-crashes"
_KEY = "memory"


class CrashStore:
    """Reads and writes the row with the crash evidence.

    Parameters
    ----------
    store : SharedStore
        The platform's store.
    suspects : Suspects
        The crash evidence of this relay.
    clock : Clock
        Wall-clock time, as monotonic time ends with the process.
    """

    def __init__(self, store: SharedStore, suspects: Suspects, clock: Clock) -> None:
        self._store = store
        self._suspects = suspects
        self._clock = clock
        # Fingerprint of the evidence in the store.
        self._written = ""
        # Fingerprint of the last changes, until it is known whether they took effect.
        self._writing = ""
        # Whether the row was read: it isn't overwritten before.
        self.loaded = False

    def changes(self) -> list[RowWrite]:
        """Return the write that persists the evidence, if it has changed."""
        self._writing = ""
        if not self.loaded or self._suspects.fingerprint == self._written:
            return []
        message = {"wall": self._clock.wall(), "memory": self._suspects.to_message()}
        value = pack(message)
        if len(value) > MAX_PACKED_BYTES:
            # All relays still know the quarantined requests; they aren't persisted.
            logger.warning("Crash evidence is too large to persist.", size=len(value))
            return []
        self._writing = self._suspects.fingerprint
        return [RowWrite(CRASHES_TABLE, _KEY, value)]

    def wrote(self) -> None:
        """Note that the last changes took effect."""
        if self._writing:
            self._written = self._writing

    def store_restored(self) -> None:
        """Write the evidence again: the store may have lost it."""
        self._written = ""

    async def read(self) -> None:
        """Merge the evidence that the previous lease holder persisted."""
        rows, _version = await self._store.rows(CRASHES_TABLE)
        for row in rows:
            if row.key != _KEY or row.value is None:
                continue
            try:
                message = unpack(row.value)
                elapsed = max(0.0, self._clock.wall() - float(message["wall"]))
                self._suspects.merge(_aged(message["memory"], elapsed), "store")
            except UNPACK_ERRORS as exc:
                logger.error("Stored crash evidence is unreadable.", reason=repr(exc))
        self.loaded = True


def _aged(evidence: Any, seconds: float) -> Any:
    """Return an evidence message with its ages increased by ``seconds``."""
    crashes = [
        {**crash, "age": crash["age"] + seconds} for crash in evidence["crashes"]
    ]
    served = {digest: age + seconds for digest, age in evidence["served"].items()}
    return {**evidence, "crashes": crashes, "served": served}
