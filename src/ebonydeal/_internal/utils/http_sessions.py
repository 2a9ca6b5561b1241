"""HTTP client sessions that stop using open connections once one gets no reply."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from aiohttp import ClientError, ClientSession

from ebonydeal._internal.utils.clock import Clock, SystemClock

# Sessions that weren't used for this long are closed when another one is opened.
_UNUSED_TIMEOUT_S = 60.0


class SessionPool:
    """One session, and how many calls use it."""

    def __init__(self, session: ClientSession) -> None:
        self.session = session
        self.calls = 0
        self.retired = False
        self.used_at = 0.0


class HttpSessions:
    """A session for each address.

    A connection that fell silent shows only by a call without a reply. Others of the
    same address were open at that time, and are probably silent too. So after such a
    call a new session is used, with new connections. Calls in flight aren't affected.

    Parameters
    ----------
    open_session : callable
        Returns a new session.
    clock : Clock, optional
        Time.
    """

    def __init__(
        self, open_session: Callable[[], ClientSession], clock: Clock | None = None
    ) -> None:
        self._open_session = open_session
        self._pools: dict[str, SessionPool] = {}
        self._clock = clock or SystemClock()

    @asynccontextmanager
    async def use(self, address: str) -> AsyncIterator[ClientSession]:
        """Yield the session for a call to an address.

        The call's errors have to pass through this context.
        """
        pool = await self.acquire(address)
        failed = False
        try:
            yield pool.session
        except (TimeoutError, ClientError, OSError):
            failed = True
            raise
        finally:
            await self.release(address, pool, failed)

    async def acquire(self, address: str) -> SessionPool:
        """Return the session for a call that ends with `release`."""
        pool = self._pools.get(address)
        is_new = pool is None
        if pool is None:
            pool = self._pools[address] = SessionPool(self._open_session())
        pool.calls += 1
        pool.used_at = self._clock.now()
        if is_new:
            await self._close_unused()
        return pool

    async def release(self, address: str, pool: SessionPool, failed: bool) -> None:
        """Note that a call has ended; ``failed`` if it got no reply."""
        if failed:
            pool.retired = True
            if self._pools.get(address) is pool:
                del self._pools[address]
        pool.calls -= 1
        if pool.retired and not pool.calls:
            await pool.session.close()

    async def _close_unused(self) -> None:
        unused_since = self._clock.now() - _UNUSED_TIMEOUT_S
        unused = [
            address
            for address, pool in self._pools.items()
            if not pool.calls and pool.used_at < unused_since
        ]
        # Removed before any is closed: meanwhile another call may look for unused ones.
        for pool in [self._pools.pop(address) for address in unused]:
            await pool.session.close()

    async def close(self) -> None:
        """Close all sessions; calls in flight fail."""
        pools, self._pools = self._pools, {}
        for pool in pools.values():
            await pool.session.close()
