"""Relays in front of endpoints of two versions, under an even load."""

import asyncio
import json
import random
import time
from contextlib import asynccontextmanager, suppress

from tests.lib.raw_endpoints import Always, RawEndpoint, answer
from tests.lib.relay_fakes import MemoryStore, ask, document, relay, until

OLD, NEW = "v1", "v2"
ROUTES = ("/safe/", "/once/")


class VersionEndpoint(RawEndpoint):
    """Answers as its version does, and records when.

    ``bad`` gets a request's path and returns what goes wrong: ``None``, a status line,
    or a delay in seconds.
    """

    def __init__(self, name, version, bad=lambda _path: None):
        super().__init__(name)
        self.version = version
        self.bad = bad
        self.times = []
        self.script = Always(self._answer)

    async def _answer(self, _reader, writer, headers):
        path = self.seen[-1].split()[1]
        self.times.append(time.monotonic())
        found = self.bad(path)
        if isinstance(found, float):
            await asyncio.sleep(found)
            found = None
        writer.write(answer(headers, status=found or b"200 OK"))
        await writer.drain()

    def row(self, **extra):
        return super().row(version=self.version, **extra)


class Deployment:
    """Relays, endpoints of both versions, and callers."""

    def __init__(self, store, relays):
        self.store = store
        self.relays = relays
        self.endpoints = []
        self.answers = []
        self.stopped = set()

    async def add(self, version, count, bad=lambda _path: None):
        """Start endpoints of a version, and list them."""
        for _ in range(count):
            endpoint = VersionEndpoint(f"e{len(self.endpoints)}", version, bad)
            await endpoint.start()
            self.endpoints.append(endpoint)
            zone = f"z{len(self.endpoints) % 3}"
            await self.store.put("servers", endpoint.name, endpoint.row(zone=zone))

    async def order(self, to=NEW, seconds=5.0, service="s"):
        """Order a roll-out as an operator does."""
        message = {"service": service, "to": to, "duration_s": seconds}
        value = json.dumps(message).encode()
        await self.store.put("op", f"rollout/{service}", value)

    def status(self):
        """Return the status that operators read, (state, version), or None."""
        row = self.store.tables.get("status", {}).get("rollout/s")
        if row is None:
            return None
        message = json.loads(row.value)
        return message["state"], message["to"]

    def sends(self, version):
        """Return when endpoints of a version got requests."""
        return sorted(
            at for e in self.endpoints if e.version == version for at in e.times
        )

    async def load(self, rng, rate=30.0):
        """Send requests at an even rate, to any running relay."""
        number = 0
        tasks = set()
        while True:
            await asyncio.sleep(1.0 / rate)
            alive = [r for r in self.relays if r not in self.stopped]
            if not alive:
                continue
            number += 1
            path = f"{ROUTES[number % len(ROUTES)]}{number}"
            task = asyncio.ensure_future(self._ask(rng.choice(alive), path, number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _ask(self, program, path, number):
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            status, _headers, _body = await ask(program, path, rid=f"q{number}")
            self.answers.append((path, status))

    def coordinator(self):
        """Return the relay that holds the lease."""
        return next(r for r in self.relays if r.coordinator.holds)


@asynccontextmanager
async def deployment(relays=3, old=3, store=None, load=True, **cfg):
    """Run relays in front of endpoints of the old version; ``load`` sends requests."""
    store = store or MemoryStore()
    programs = [
        relay(store, node=f"n{n}", seed=n + 1, settle_s=0.0, **cfg)
        for n in range(relays)
    ]
    found = Deployment(store, programs)
    await found.add(OLD, old)
    await store.put("op", "config", document())
    for program in programs:
        await program.start()
    for program in programs:
        await until(lambda program=program: program.ready)
    await until(lambda: all(len(p._exchange.relays) >= relays for p in programs))
    await until(lambda: any(p.coordinator.warmed_up for p in programs))
    callers = [asyncio.ensure_future(found.load(random.Random(5)))] if load else []
    try:
        yield found
    finally:
        for caller in callers:
            caller.cancel()
        running = [p for p in programs if p not in found.stopped]
        await asyncio.gather(*(program.stop() for program in running))
        for endpoint in found.endpoints:
            await endpoint.stop()
