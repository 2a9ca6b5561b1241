"""What relays remember of crashes, in the platform's store.

It is written with a renewal of the lease where it has changed, so it costs no call, and
read by who takes the lease: so it outlives the loss of all relays at once.
"""

from typing import Any

from ebonydeal._internal.models.shared import RowWrite
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.crashes.suspects import Suspects
from ebonydeal._internal.relay.packed_row import MOST_BYTES, UNREADABLE, pack, unpack
from ebonydeal._internal.relay.ports import SharedStore
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.suspects")

CRASHES_TABLE = "ebonydeal-crashes"
_KEY = "memory"


class CrashStore:
    """Reads and writes the row of crashes.

    Parameters
    ----------
    store : SharedStore
        The platform's store.
    suspects : Suspects
        What this relay remembers.
    clock : Clock
        The time of day, as monotonic time ends with a process.
    """

    def __init__(self, store: SharedStore, suspects: Suspects, clock: Clock) -> None:
        self._store = store
        self._suspects = suspects
        self._clock = clock
        self._written = ""
        # Mark of the last changes, until it is known whether they took effect.
        self._writing = ""
        # Whether what lies in the store was read: before that it isn't written over.
        self.known = False

    def changes(self) -> list[RowWrite]:
        """Return the write that keeps what changed since the last one, if anything."""
        self._writing = ""
        if not self.known or self._suspects.mark == self._written:
            return []
        message = {"wall": self._clock.wall(), "memory": self._suspects.memory()}
        value = pack(message)
        if len(value) > MOST_BYTES:
            # What is refused is still known to all relays, but not kept.
            logger.warning("Crashes are too many to keep.", size=len(value))
            return []
        self._writing = self._suspects.mark
        return [RowWrite(CRASHES_TABLE, _KEY, value)]

    def wrote(self) -> None:
        """Note that the last changes lie in the store."""
        if self._writing:
            self._written = self._writing

    async def read(self) -> None:
        """Take what the holder before kept."""
        rows, _version = await self._store.rows(CRASHES_TABLE)
        for row in rows:
            if row.key != _KEY or row.value is None:
                continue
            try:
                message = unpack(row.value)
                passed = max(0.0, self._clock.wall() - float(message["wall"]))
                self._suspects.learn(_aged(message["memory"], passed), "store")
            except UNREADABLE as exc:
                logger.error("Stored crashes can't be read.", reason=repr(exc))
        self.known = True


def _aged(memory: Any, seconds: float) -> Any:
    """Return a memory as it is so much later."""
    crashes = [{**told, "age": told["age"] + seconds} for told in memory["crashes"]]
    served = {digest: age + seconds for digest, age in memory["served"].items()}
    return {"crashes": crashes, "served": served}
