"""A relay whose links to the store and to other relays fall silent."""

import asyncio
from contextlib import asynccontextmanager

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from tests.lib.announcing_endpoints import running_relays
from tests.lib.relay_fakes import relay, until

# A stream's lifetime by the configuration, and the interval of looks at the list.
FOLLOWED_S = 5.5


class SilentStore:
    """A store whose replies don't arrive while ``silent``."""

    def __init__(self, store):
        self._store = store
        self.silent = False
        self.calls = 0

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def changes(self, table, after, wait, reply_timeout):
        self.calls += 1
        reply = await self._store.changes(table, after, wait, reply_timeout)
        await self._lose_reply(reply_timeout)
        return reply

    async def rows(self, table, start=""):
        await self._lose_reply(1.0)
        return await self._store.rows(table, start)

    async def transact(self, changes):
        await self._lose_reply(1.0)
        return await self._store.transact(changes)

    async def _lose_reply(self, timeout):
        if self.silent:
            await asyncio.sleep(timeout)
            raise EbonydealError(ErrorKind.STORE_IN_DOUBT, "no reply")


class CutOffRelay:
    """One relay among others that can be cut off from the store and from them."""

    def __init__(self, program, store, others):
        self.program, self.store, self.others = program, store, others
        self._cut_peers = False
        for other in (program, *others):
            other._client.call = self._cuttable(other, other._client.call)

    def _cuttable(self, caller, call):
        async def call_unless_cut(address, path, message, timeout):
            concerned = caller is self.program or address == self.address
            if self._cut_peers and concerned:
                await asyncio.sleep(timeout)
                raise EbonydealError(ErrorKind.STORE_IN_DOUBT, "no reply")
            return await call(address, path, message, timeout)

        return call_unless_cut

    @property
    def address(self):
        return self.program._reporter.address

    def cut(self):
        self.store.silent = self._cut_peers = True

    def heal(self):
        self.store.silent = self._cut_peers = False


@asynccontextmanager
async def relays_with_one_to_cut(count, *endpoints):
    """Run relays that know each other, and one more; yields (relays, that one, store).

    Each has seen all versions of a stream's lifetime.
    """
    async with running_relays(count, *endpoints) as (others, store):
        cuttable = SilentStore(store)
        program = relay(cuttable, node="late", seed=9)
        await program.start()
        try:
            for one in (program, *others):
                await until(lambda p=one: len(p._exchange.relays) == count + 1, 20.0)
            await asyncio.sleep(FOLLOWED_S)
            yield others, CutOffRelay(program, cuttable, others), store
        finally:
            await program.stop()
