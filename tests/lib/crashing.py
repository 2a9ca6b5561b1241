"""Several relays in front of endpoints that one request body crashes."""

import asyncio
from contextlib import asynccontextmanager

from xxhash import xxh3_64_hexdigest

from tests.lib.raw_endpoints import (
    Always,
    RawEndpoint,
    chunk,
    events,
    request_id,
    stream_head,
)
from tests.lib.relay_fakes import MemoryStore, ask, document, relay, until

FATAL = b"brings down what runs it"
FATAL_PART = "fa7a1"


class CrashingEndpoint(RawEndpoint):
    """Behaves as a killed process once it reads `FATAL`.

    All its connections are reset and its address refuses new ones, but its entry stays
    listed. ``pause`` is the time before it ends, seconds.
    """

    def __init__(self, name, script=(), pause=0.0):
        super().__init__(name, script)
        self.pause = pause
        self.crashed = False
        self.in_flight = 0
        self._writers = set()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super()._serve(_BodyReader(self, reader), writer)
        finally:
            self._writers.discard(writer)

    async def run(self, body):
        """Run a request's body; crash if it is fatal."""
        if body == FATAL:
            await asyncio.sleep(self.pause)
            self.crash()
            raise ConnectionResetError

    def crash(self):
        self.crashed = True
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class PartCrashingEndpoint(CrashingEndpoint):
    """Begins to answer a prompt with `FATAL_PART`, and crashes.

    All other requests get a stream of three events.
    """

    def __init__(self, name):
        super().__init__(name)
        self.script = Always(self._answer)

    async def _answer(self, _reader, writer, headers):
        head = stream_head().replace(b"{id}", request_id(headers))
        if f"{FATAL_PART}:" in headers.get("ebonydeal-prompt-prefix", ""):
            writer.write(head + b"4\r\nid")
            await writer.drain()
            self.crash()
            raise ConnectionResetError
        writer.write(head + chunk(events(1, 3)) + chunk(b""))
        await writer.drain()


class _BodyReader:
    """A reader that passes each body to its endpoint."""

    def __init__(self, endpoint, reader):
        self._endpoint = endpoint
        self._reader = reader

    async def readuntil(self, separator):
        return await self._reader.readuntil(separator)

    async def read(self):
        return await self._reader.read()

    async def readexactly(self, size):
        body = await self._reader.readexactly(size)
        await self._endpoint.run(body)
        return body


class Fleet:
    """Endpoints of one service; `fill` replaces those that crashed."""

    def __init__(self, store, count, make=CrashingEndpoint):
        self.store = store
        self.endpoints = []
        self._count = count
        self._make = make

    @property
    def crashed(self):
        return sum(endpoint.crashed for endpoint in self.endpoints)

    @property
    def alive(self):
        return [e for e in self.endpoints if not e.crashed]

    async def fill(self):
        """Remove the entries of crashed endpoints, and start new ones."""
        for endpoint in self.endpoints:
            if endpoint.crashed and endpoint.name in self.store.tables["servers"]:
                await self.store.put("servers", endpoint.name, None)
        while len(self.alive) < self._count:
            endpoint = self._make(f"i{len(self.endpoints)}")
            await endpoint.start()
            self.endpoints.append(endpoint)
            zone = f"z{len(self.endpoints) % 3}"
            await self.store.put("servers", endpoint.name, endpoint.row(zone=zone))

    async def stop(self):
        for endpoint in self.alive:
            await endpoint.stop()


@asynccontextmanager
async def cluster(
    relays=3, endpoints=6, make=CrashingEndpoint, store=None, tenants=None, **cfg
):
    """Run relays in front of a fleet; yields (relays, fleet)."""
    store = store or MemoryStore()
    fleet = Fleet(store, endpoints, make)
    await fleet.fill()
    more = {"tenants": tenants} if tenants else {}
    await store.put("op", "config", document(**more))
    programs = [
        relay(store, node=f"n{n}", seed=n + 1, settle_s=0.0, **cfg)
        for n in range(relays)
    ]
    for program in programs:
        await program.start()
    for program in programs:
        await until(lambda program=program: program.ready)
    await until(lambda: all(knows_relays(p, relays) for p in programs))
    try:
        yield programs, fleet
    finally:
        await asyncio.gather(*(program.stop() for program in programs))
        await fleet.stop()


@asynccontextmanager
async def started(program):
    """Run a relay that starts later than the others."""
    await program.start()
    await until(lambda: program.ready)
    try:
        yield
    finally:
        await program.stop()


async def lose_coordinator(relays):
    """Cut the coordinator off from the other relays; return these."""
    holder = next(r for r in relays if r.coordinator.lease.is_mine)
    await holder.peers.stop()
    return [r for r in relays if r is not holder]


def knows_relays(program, relays):
    """Return whether a relay knows so many relays."""
    return len(program._exchange.relays) >= relays


async def repeat(program, path, rid, body=FATAL):
    """Send a body; returns (status, body), or None where the connection was cut."""
    try:
        status, _headers, text = await ask(
            program, path, rid=rid, method="POST", body=body
        )
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return status, text


async def ask_model(program, path, rid, *parts, **kwargs):
    """Send a prompt of several parts; returns as `repeat`.

    Its body and its last part are its own, so that no two requests are equal.
    """
    listed = ",".join(
        f"{part}:20" for part in (*parts, xxh3_64_hexdigest(rid.encode()))
    )
    headers = [("Ebonydeal-Prompt-Prefix", listed), ("Ebonydeal-Token-Usage", "60,5")]
    try:
        status, _headers, text = await ask(
            program,
            path,
            rid=rid,
            method="POST",
            body=rid.encode(),
            headers=headers,
            **kwargs,
        )
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return status, text
