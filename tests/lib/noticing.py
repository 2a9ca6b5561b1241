"""Relays before endpoints that say something of themselves in each answer."""

import asyncio
from contextlib import asynccontextmanager

from tests.lib.raw_endpoints import RawEndpoint, answer
from tests.lib.relay_fakes import MemoryStore, ask, document, relay, until

# Clients name the relay that they ask, and it passes this header on.
ASKED = "X-Asked"


class NoticingEndpoint(RawEndpoint):
    """An endpoint that adds ``says`` to each answer, and notes what it gets.

    ``arrivals`` holds when and from which relay each request came, ``told`` when each
    relay first got an answer that said something.
    """

    def __init__(self, name, says=b"", status=b"200 OK"):
        super().__init__(name)
        self.says, self.status = says, status
        self.arrivals = []
        self.told = {}

    async def _serve(self, reader, writer):
        self.script = _Always(self._answer)
        await super()._serve(reader, writer)

    async def _answer(self, _reader, writer, headers):
        now = asyncio.get_running_loop().time()
        asked = headers[ASKED.lower()]
        self.arrivals.append((now, asked))
        writer.write(answer(headers, status=self.status, extra=self.says))
        await writer.drain()
        if self.says:
            self.told.setdefault(asked, now)

    def fullest(self, window, known_after):
        """Return the most that came in some window from relays that knew."""
        counted = [
            at
            for at, asked in self.arrivals
            if asked in self.told and at >= self.told[asked] + known_after
        ]
        return max(
            (sum(at - window < other <= at for other in counted) for at in counted),
            default=0,
        )


class _Always(list):
    """A script that never ends."""

    def __init__(self, step):
        super().__init__([step])

    def pop(self, _index=0):
        return self[0]


@asynccontextmanager
async def relays(count, *endpoints, **cfg):
    """Run some relays before endpoints; yields (relays, store)."""
    store = MemoryStore()
    for endpoint in endpoints:
        await endpoint.start()
        await store.put("servers", endpoint.name, endpoint.row())
    await store.put("op", "config", document())
    programs = [
        relay(store, node=f"n{number}", seed=number + 1, **cfg)
        for number in range(count)
    ]
    for program in programs:
        await program.start()
    for program in programs:
        await until(lambda p=program: p.ready)
    try:
        yield programs, store
    finally:
        for program in programs:
            await program.stop()
        for endpoint in endpoints:
            await endpoint.stop()


async def press(programs, seconds, gap=0.02, path="/safe/"):
    """Ask the relays in turn; return the statuses."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    asking, number = [], 0
    while loop.time() < end:
        program = programs[number % len(programs)]
        headers = [(ASKED, program.coordinator.lease.node)]
        asking.append(
            asyncio.ensure_future(ask(program, path, rid=f"r{number}", headers=headers))
        )
        number += 1
        await asyncio.sleep(gap)
    return [status for status, _headers, _body in await asyncio.gather(*asking)]
