"""The relays with shares of all limits, and startup grants, in the platform's store.

The names of the relays, and the times at which new lease holders started grants before
they had shares, are written together with a renewal of the lease when they change, so
they cost no extra call. A relay that takes the lease reads them.
"""

import json
from collections.abc import Callable

from ebonydeal._internal.models.shared import RowWrite
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.limits.granter import Granter
from ebonydeal._internal.relay.ports import SharedStore
from ebonydeal._internal.routing.duties.coordinator_lease import CoordinatorLease
from ebonydeal._internal.routing.limits.share_registry import (
    EMPTY_ROW,
    RegistryRow,
    ShareRegistry,
)
from ebonydeal._internal.routing.limits.startup_grant import MAX_STARTUP_GRANTS
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.limits")

SHARES_TABLE = "ebonydeal-shares"
_KEY = "names"
_STARTUP_KEY = "startup"


class RegistryStore:
    """Reads and writes the rows of the share registry and of startup grants.

    Parameters
    ----------
    store : SharedStore
        The platform's store.
    granter : Granter
        Owner of the registry and of the startup grants.
    lease : CoordinatorLease
        The lease under which the rows are written.
    clock : Clock
        Time.
    alive : callable
        Returns the names of the relays that reported recently.
    """

    def __init__(
        self,
        store: SharedStore,
        granter: Granter,
        lease: CoordinatorLease,
        clock: Clock,
        alive: Callable[[], set[str]],
    ) -> None:
        self._store = store
        self._granter = granter
        self._lease = lease
        self._clock = clock
        self._alive = alive
        self._writing_registry = self._writing_startup = False
        # Whether the stored rows may be older than those that relays act on.
        self._restored = False

    @property
    def loaded(self) -> bool:
        """Whether the rows were read under the current fencing token."""
        return self._granter.registry_fence == self._lease.fence

    @property
    def _registry(self) -> ShareRegistry:
        return self._granter.registry

    def changes(self) -> list[RowWrite]:
        """Return the writes of rows that have changed."""
        self._writing_registry = self._writing_startup = False
        if not self.loaded:
            return []
        return [*self._startup_changes(), *self._registry_changes()]

    def _startup_changes(self) -> list[RowWrite]:
        startup = self._granter.startup
        if not startup.is_requested:
            return []
        self._writing_startup = True
        started_at = startup.begin_write(self._clock.now(), self._store.clock_ahead_s)
        return [RowWrite(SHARES_TABLE, _STARTUP_KEY, json.dumps(started_at).encode())]

    def _registry_changes(self) -> list[RowWrite]:
        row = self._registry.next_row(self._alive(), self._clock.now())
        if row == self._registry.row:
            return []
        self._registry.begin_write(row)
        self._writing_registry = True
        return [RowWrite(SHARES_TABLE, _KEY, row.encode())]

    def wrote(self) -> None:
        """Note that the last changes are stored."""
        if self._writing_startup:
            self._granter.startup.confirm_write()
            logger.info("Startup grant started.", fence=self._lease.fence)
        if self._writing_registry:
            self._granter.refresh()
            self._registry.confirm_write(self._clock.now())
            self._granter.refresh()
            # From now on relays may have granted before this one knows an account.
            self._granter.broker.starts_full = False
            row = self._registry.row
            logger.info(
                "Share registry stored.", shares=row.shares, names=len(row.names)
            )

    def store_restored(self) -> None:
        """Don't trust the rows alone: the store may have lost the last ones."""
        self._restored = True

    async def read(self) -> None:
        """Load the rows that the previous lease holder wrote."""
        rows, _version = await self._store.rows(SHARES_TABLE)
        found: RegistryRow = EMPTY_ROW
        started_at: list[float] = []
        now = self._clock.now()
        for row in rows:
            if row.value is None:
                continue
            if row.key == _KEY:
                found = _decode_registry(row.value)
            elif row.key == _STARTUP_KEY:
                started_at = _decode_startup(row.value, now + self._store.clock_ahead_s)
        if self._restored:
            # No share of a relay that this one knows may be granted a second time, and
            # startup grants may have begun that aren't stored any more.
            self._restored = False
            found = found.merged(self._registry.row)
            started_at = [now + self._store.clock_ahead_s] * MAX_STARTUP_GRANTS
        self._granter.refresh()
        self._registry.load(found, self._clock.now())
        self._granter.on_registry_loaded()
        self._granter.refresh()
        self._granter.startup.load(started_at, now + self._store.clock_ahead_s)
        self._granter.request_startup_grant()


def _decode_registry(value: bytes) -> RegistryRow:
    """Return the registry row; an unreadable one counts as empty."""
    try:
        return RegistryRow.decode(value)
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as exc:
        logger.error("Share registry is unreadable.", reason=repr(exc))
        return EMPTY_ROW


def _decode_startup(value: bytes, now: float) -> list[float]:
    """Return the times of startup grants; an unreadable row allows no grant now."""
    try:
        return [float(at) for at in json.loads(value)]
    except (ValueError, TypeError, OverflowError, RecursionError) as exc:
        logger.error("Times of startup grants are unreadable.", reason=repr(exc))
        return [now] * MAX_STARTUP_GRANTS
