"""Relays in front of endpoints that announce something in each answer's headers."""

import asyncio
from contextlib import asynccontextmanager

from tests.lib.raw_endpoints import Always, RawEndpoint, answer
from tests.lib.relay_fakes import MemoryStore, ask, document, relay, until

# Clients name the relay that they send to in this header, which relays pass on.
ENTRY_HEADER = "X-Asked"


class AnnouncingEndpoint(RawEndpoint):
    """An endpoint that adds ``extra_headers`` to each answer and records requests.

    ``arrivals`` holds the time and the relay of each request, ``first_announced_at``
    when each relay first got an answer with extra headers.
    """

    def __init__(self, name, extra_headers=b"", status=b"200 OK"):
        super().__init__(name)
        self.extra_headers, self.status = extra_headers, status
        self.arrivals = []
        self.first_announced_at = {}

    async def _serve(self, reader, writer):
        self.script = Always(self._answer)
        await super()._serve(reader, writer)

    async def _answer(self, _reader, writer, headers):
        now = asyncio.get_running_loop().time()
        entry = headers[ENTRY_HEADER.lower()]
        self.arrivals.append((now, entry))
        writer.write(answer(headers, status=self.status, extra=self.extra_headers))
        await writer.drain()
        if self.extra_headers:
            self.first_announced_at.setdefault(entry, now)

    def max_in_window(self, window, known_after):
        """Return the most requests in any window from relays that know the headers."""
        counted = [
            at
            for at, entry in self.arrivals
            if entry in self.first_announced_at
            and at >= self.first_announced_at[entry] + known_after
        ]
        return max(
            (sum(at - window < other <= at for other in counted) for at in counted),
            default=0,
        )


@asynccontextmanager
async def running_relays(count, *endpoints, doc=None, **cfg):
    """Run some relays in front of endpoints; yields (relays, store)."""
    store = MemoryStore()
    for endpoint in endpoints:
        await endpoint.start()
        await store.put("servers", endpoint.name, endpoint.row())
    await store.put("op", "config", doc or document())
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


async def send_load(programs, seconds, gap=0.02, path="/safe/"):
    """Send requests to the relays in turn; return the statuses."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks, number = [], 0
    while loop.time() < end:
        program = programs[number % len(programs)]
        headers = [(ENTRY_HEADER, program.coordinator.lease.node)]
        tasks.append(
            asyncio.ensure_future(ask(program, path, rid=f"r{number}", headers=headers))
        )
        number += 1
        await asyncio.sleep(gap)
    return [status for status, _headers, _body in await asyncio.gather(*tasks)]
