"""Persists the software versions that services have had, in the platform's store.

The row is written together with a renewal of the lease when it has changed. Each relay
reads it at its start: when all relays were lost at once, no other one knows whether the
only listed version has just replaced another one.
"""

from collections.abc import Callable

from ebonydeal._internal.models.shared import RowWrite
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.packed_row import (
    MAX_PACKED_BYTES,
    UNPACK_ERRORS,
    pack,
    unpack,
)
from ebonydeal._internal.relay.ports import SharedStore

logger = get_logger("relay.versions")

VERSIONS_TABLE = "ebonydeal-versions"
_KEY = "services"

Versions = dict[str, list[str]]


class VersionStore:
    """Reads and writes the row with the versions of all services.

    Parameters
    ----------
    store : SharedStore
        The platform's store.
    noted : callable
        Returns the versions of each service that streams may have begun at.
    restore : callable
        Gets the stored versions.

    Attributes
    ----------
    loaded : bool
        Whether the row was read.
    """

    def __init__(
        self,
        store: SharedStore,
        noted: Callable[[], Versions],
        restore: Callable[[Versions], None],
    ) -> None:
        self._store = store
        self._noted = noted
        self._restore = restore
        # The versions in the store, and those of the last write, until it is known
        # whether that took effect.
        self._written: Versions | None = None
        self._writing: Versions | None = None
        self.loaded = False

    async def read(self) -> None:
        """Restore what the holders of the lease noted, if anything."""
        if self.loaded:
            return
        rows, _version = await self._store.rows(VERSIONS_TABLE)
        for row in rows:
            if row.key != _KEY or row.value is None:
                continue
            try:
                self._restore(_decode(unpack(row.value)))
            except UNPACK_ERRORS as exc:
                logger.error("Stored versions are unreadable.", reason=repr(exc))
        self.loaded = True

    def changes(self) -> list[RowWrite]:
        """Return the write that persists the versions, if they have changed."""
        self._writing = None
        versions = self._noted()
        if not self.loaded or not versions or versions == self._written:
            return []
        value = pack(versions)
        if len(value) > MAX_PACKED_BYTES:
            logger.warning("Versions are too large to persist.", size=len(value))
            return []
        self._writing = versions
        return [RowWrite(VERSIONS_TABLE, _KEY, value)]

    def wrote(self) -> None:
        """Note that the last changes took effect."""
        if self._writing is not None:
            self._written = self._writing

    def store_restored(self) -> None:
        """Write the versions again: the store may have lost them."""
        self._written = None


def _decode(message: dict[str, list[str]]) -> Versions:
    """Return the versions of a row; raises one of `UNPACK_ERRORS`."""
    return {
        str(service): [str(version) for version in versions]
        for service, versions in message.items()
    }
