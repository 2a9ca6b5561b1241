"""The names of relays that have shares of all limits, in the platform's store.

They are written with a renewal of the lease where they have changed, so that they cost
no call, and read by who takes the lease. So is when a new holder last granted something
before it had shares.
"""

import json
from collections.abc import Callable

from ebonydeal._internal.models.shared import RowWrite
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.limits.granter import Granter
from ebonydeal._internal.relay.ports import SharedStore
from ebonydeal._internal.routing.duties.duty_lease import DutyLease
from ebonydeal._internal.routing.limits.share_registry import (
    NO_NAMES,
    RegistryRow,
    ShareRegistry,
)
from ebonydeal._internal.routing.limits.startup import STARTUPS
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.limits")

SHARES_TABLE = "ebonydeal-shares"
_KEY = "names"
_STARTUP_KEY = "startup"


class RegistryStore:
    """Reads and writes the row of names.

    Parameters
    ----------
    store : SharedStore
        The platform's store.
    granter : Granter
        Whose registry it is.
    lease : DutyLease
        Under which it is kept.
    clock : Clock
        Time.
    alive : callable
        Returns the names of the relays that were heard lately.
    """

    def __init__(
        self,
        store: SharedStore,
        granter: Granter,
        lease: DutyLease,
        clock: Clock,
        alive: Callable[[], set[str]],
    ) -> None:
        self._store = store
        self._granter = granter
        self._lease = lease
        self._clock = clock
        self._alive = alive
        self._writing = self._writing_startup = False

    @property
    def known(self) -> bool:
        """Whether the row was read since this relay holds the lease."""
        return self._granter.registry_fence == self._lease.fence

    @property
    def _registry(self) -> ShareRegistry:
        return self._granter.registry

    def changes(self) -> list[RowWrite]:
        """Return the write of names that have changed, if any."""
        self._writing = self._writing_startup = False
        if not self.known:
            return []
        return [*self._startup_changes(), *self._names_changes()]

    def _startup_changes(self) -> list[RowWrite]:
        startup = self._granter.startup
        if not startup.wanted:
            return []
        self._writing_startup = True
        begun = startup.writes(self._clock.now(), self._store.ahead)
        return [RowWrite(SHARES_TABLE, _STARTUP_KEY, json.dumps(begun).encode())]

    def _names_changes(self) -> list[RowWrite]:
        wanted = self._registry.wanted(self._alive(), self._clock.now())
        if wanted == self._registry.row:
            return []
        self._registry.writes(wanted)
        self._writing = True
        return [RowWrite(SHARES_TABLE, _KEY, wanted.encode())]

    def wrote(self) -> None:
        """Note that the last changes lie in the store."""
        if self._writing_startup:
            self._granter.startup.wrote()
            logger.info("Granting before shares are there.", fence=self._lease.fence)
        if self._writing:
            self._granter.refresh()
            self._registry.wrote(self._clock.now())
            self._granter.refresh()
            # From now on relays may have granted before an account is known here.
            self._granter.broker.first = False
            row = self._registry.row
            logger.info("Shares written.", shares=row.shares, names=len(row.names))

    async def read(self) -> None:
        """Take what the holder before kept."""
        rows, _version = await self._store.rows(SHARES_TABLE)
        found: RegistryRow = NO_NAMES
        begun: list[float] = []
        now = self._clock.now()
        for row in rows:
            if row.value is None:
                continue
            if row.key == _KEY:
                found = _decoded(row.value)
            elif row.key == _STARTUP_KEY:
                begun = _decoded_startup(row.value, now + self._store.ahead)
        self._granter.refresh()
        self._registry.load(found, self._clock.now())
        self._granter.begin()
        self._granter.refresh()
        self._granter.startup.load(begun, now + self._store.ahead)
        self._granter.want_startup()


def _decoded(value: bytes) -> RegistryRow:
    """Return the row; one that can't be read names nobody."""
    try:
        return RegistryRow.decode(value)
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as exc:
        logger.error("The names of shares can't be read.", reason=repr(exc))
        return NO_NAMES


def _decoded_startup(value: bytes, now: float) -> list[float]:
    """Return when new holders granted so; what can't be read allows none now."""
    try:
        return [float(at) for at in json.loads(value)]
    except (ValueError, TypeError, OverflowError, RecursionError) as exc:
        logger.error("The times of the last starts can't be read.", reason=repr(exc))
        return [now] * STARTUPS
