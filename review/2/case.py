"""A coordinator ends by itself when replicas leave a minute after others left."""

import asyncio
import random
import sys
from collections import Counter
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from standins.operator import HOST, KEY, SERVICE, configuration, route
from standins.record import Record, run_case
from standins.relays import Fleet, Relay
from standins.replica import Replica, stop_all
from standins.store import Store

SEED = 1
CLIENTS, PAUSE_S = 150, 0.5
# Runs, and the client's deadline, which is also the route's timeout.
RUN_S, DEADLINE_S = (8.0, 10.0), 15.0
RELAYS, ZONES, PER_ZONE = 3, 3, 3
# `scale_in`, how = "reclaim": the replicas of a zone leave, x s after the notice.
WAVES_S, NOTICE_S, NEW_AFTER_S = (2.0, 66.0), 2.5, 4.0
END_S, RESTART_S = 76.0, 0.5
# More closes than this on one machine break the rule.
ALLOWED = 3


class Attempt(NamedTuple):
    """One request on a connection that was kept from an earlier one.

    ``status`` is 0 if the connection ended without an answer.
    """

    relay: Relay
    waited_s: float
    status: int


class Zones:
    """The replicas of each zone; those of one zone are replaced at a time."""

    def __init__(self, store: Store, record: Record) -> None:
        self._store = store
        self._record = record
        self._listed: dict[int, list[Replica]] = {}
        self.all: list[Replica] = []

    async def add(self, zone: int) -> None:
        """Start and list the replicas of a zone."""
        self._listed[zone] = []
        for _ in range(PER_ZONE):
            name = f"i-{len(self.all) + 1:08x}"
            replica = Replica(name, self._record, RUN_S, 24, seed=SEED)
            replica.zone, replica.spot = f"z{zone + 1}", True
            await replica.start()
            self._listed[zone].append(replica)
            self.all.append(replica)
            await self._store.put("servers", name, replica.entry(SERVICE))

    async def reclaim(self, zone: int) -> None:
        """Let all replicas of a zone leave, and add others later.

        They take no more connections, and answer what they still run.
        """
        leaving = self._listed[zone]
        for replica in leaving:
            replica.leaves_at = self._record.now() + NOTICE_S
            self._record.line(replica.name, "draining")
            await self._store.put("servers", replica.name, replica.entry(SERVICE))
        await asyncio.sleep(NOTICE_S)
        for replica in leaving:
            await self._store.put("servers", replica.name, None)
        await stop_all(leaving)
        await asyncio.sleep(NEW_AFTER_S)
        await self.add(zone)


async def case(record: Record, trouble: bool) -> list[str]:
    """Let two zones leave; return the requests that a relay then didn't answer."""
    store = await Store().start()
    zones = Zones(store, record)
    slow = {"timeout_ms": round(DEADLINE_S * 1000), "target_latency_ms": 5000}
    await store.put(
        "op", "config", configuration(route("/claim/", "non_idempotent", **slow))
    )
    for zone in range(ZONES):
        await zones.add(zone)
    attempts: dict[str, Attempt] = {}
    ends: list[str] = []
    async with Fleet(RELAYS, store.address) as relays:
        await asyncio.sleep(3.0)
        watchers = [asyncio.create_task(watch(r, ends, record)) for r in relays]
        ending = asyncio.Event()
        clients = [
            asyncio.create_task(client(n, relays, record, attempts, ending))
            for n in range(CLIENTS)
        ]
        waves = [
            asyncio.create_task(later(at, zones.reclaim(n)))
            for n, at in enumerate(WAVES_S)
            if trouble
        ]
        await asyncio.sleep(END_S)
        ending.set()
        await asyncio.gather(*clients, *waves)
        for task in watchers:
            task.cancel()
    await stop_all(zones.all)
    await store.stop()
    # Only replicas that never left count as sound.
    sound = [replica for replica in zones.all if replica.leaves_at is None]
    runs = {request_id for replica in sound for request_id in replica.runs}
    served = sum(a.status == 200 for a in attempts.values())
    record.line("requests", len(attempts), "served", served)
    if served < len(attempts) / 2:
        raise RuntimeError("less than half of the requests were served")
    lost = Counter(
        a.relay.name
        for request_id, a in attempts.items()
        if a.status == 0 and request_id in runs and a.waited_s < DEADLINE_S
    )
    return [
        f"LOST {name}: {count} requests of kept connections passed on, not answered;"
        f" ended by themselves: {', '.join(ends) or 'none'}"
        for name, count in lost.items()
        if count > ALLOWED
    ]


async def later(seconds: float, work: Coroutine[None, None, None]) -> None:
    """Do something after a while."""
    await asyncio.sleep(seconds)
    await work


async def watch(relay: Relay, ends: list[str], record: Record) -> None:
    """Note each time that a relay's process ends, and start it again."""
    while True:
        await asyncio.sleep(0.05)
        if relay.exit_code is None:
            continue
        record.line(relay.name, "ended by itself with code", relay.exit_code)
        ends.append(f"{relay.name} with code {relay.exit_code}")
        await asyncio.sleep(RESTART_S)
        await relay.start()


async def client(
    number: int,
    relays: list[Relay],
    record: Record,
    attempts: dict[str, Attempt],
    ending: asyncio.Event,
) -> None:
    """Send one request after the other, on one connection as long as it is kept."""
    rng = random.Random(f"{SEED}-{number}")
    while not ending.is_set():
        relay = rng.choice(relays)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        except OSError:
            await asyncio.sleep(0.2)
            continue
        kept, first = True, True
        while kept and not ending.is_set():
            await asyncio.sleep(rng.uniform(0.0, 2.0 * PAUSE_S))
            if reader.at_eof():
                break
            request_id = f"{rng.getrandbits(64):016x}"
            sent_at, status, kept = record.now(), 0, False
            record.line("client sends", request_id, relay.name)
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                writer.write(request(request_id))
                status, kept = await receive(reader)
            waited_s = record.now() - sent_at
            if not first:
                attempts[request_id] = Attempt(relay, waited_s, status)
            record.line("client gets", request_id, relay.name, status)
            first = False
        writer.close()


def request(request_id: str) -> bytes:
    """Return one request."""
    return (
        f"POST /claim/2f HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Ebonydeal-Request-Id: {request_id}\r\n"
        f"Ebonydeal-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 5\r\n\r\nclaim"
    ).encode()


async def receive(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status of a complete answer, and whether the connection is kept."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.lower(): value.strip() for name, _sep, value in pairs}
    await reader.readexactly(int(headers.get("content-length", 0)))
    return int(head[0].split()[1]), headers.get("connection", "").lower() != "close"


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
