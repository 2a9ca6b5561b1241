"""A coordinator ends by itself when replicas leave a minute after others left."""

import asyncio
import random
import sys
from collections import Counter
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path

import aiohttp
from standins.operator import HOST, KEY, SERVICE, configuration, route
from standins.record import Record, run_case
from standins.relays import Fleet, Relay
from standins.replica import Replica, stop_all
from standins.store import Store

SEED = 1
PER_S = 20.0
RELAYS, ZONES, PER_ZONE = 3, 3, 3
# `scale_in`, how = "reclaim": the replicas of a zone leave, x s after the notice.
WAVES_S, NOTICE_S, NEW_AFTER_S = (2.0, 70.0), 2.5, 4.0
END_S, RESTART_S = 80.0, 0.5


class Zones:
    """The replicas of each zone; those of one zone are replaced at a time."""

    def __init__(self, store: Store, record: Record) -> None:
        self._store = store
        self._record = record
        self._count = 0
        self._replicas: dict[int, list[Replica]] = {}

    async def add(self, zone: int) -> None:
        """Start and list the replicas of a zone."""
        self._replicas[zone] = []
        for _ in range(PER_ZONE):
            self._count += 1
            name = f"i-{self._count:08x}"
            replica = Replica(name, self._record, (0.03, 0.06), 12, seed=SEED)
            replica.zone, replica.spot = f"z{zone + 1}", True
            await replica.start()
            self._replicas[zone].append(replica)
            await self._store.put("servers", name, replica.entry(SERVICE))

    async def reclaim(self, zone: int) -> None:
        """Let all replicas of a zone leave, and add others later."""
        leaving = self._replicas[zone]
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

    async def stop(self) -> None:
        """Close the sockets of all replicas."""
        for replicas in self._replicas.values():
            await stop_all(replicas)


async def case(record: Record, trouble: bool) -> list[str]:
    """Replace replicas zone by zone; return the relays that ended by themselves."""
    rng = random.Random(SEED)
    store = await Store().start()
    zones = Zones(store, record)
    await store.put("op", "config", configuration(route("/status/", "idempotent")))
    for zone in range(ZONES):
        await zones.add(zone)
    statuses: Counter[int] = Counter()
    ends: list[str] = []
    async with Fleet(RELAYS, store.address) as relays:
        await asyncio.sleep(3.0)
        began = record.now()
        watchers = [asyncio.create_task(watch(r, ends, record)) for r in relays]
        work: list[asyncio.Task[None]] = []
        if trouble:
            work += [
                asyncio.create_task(later(at, zones.reclaim(n % ZONES)))
                for n, at in enumerate(WAVES_S)
            ]
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as http:
            sends = []
            while record.now() - began < END_S:
                await asyncio.sleep(rng.expovariate(PER_S))
                port = rng.choice(relays).port
                request_id = f"{rng.getrandbits(64):016x}"
                sends.append(
                    asyncio.create_task(send(http, port, request_id, record, statuses))
                )
            await asyncio.gather(*sends)
        for task in (*watchers, *work):
            task.cancel()
    await zones.stop()
    await store.stop()
    record.line("statuses", sorted(statuses.items()))
    if statuses[200] < statuses.total() / 2:
        raise RuntimeError("less than half of the requests were served")
    return ends


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
        ends.append(f"{relay.name} ended by itself with code {relay.exit_code}")
        await asyncio.sleep(RESTART_S)
        await relay.start()


async def send(
    http: aiohttp.ClientSession,
    port: int,
    request_id: str,
    record: Record,
    statuses: Counter[int],
) -> None:
    """Send one request, and record its status; 0 if there was no answer."""
    headers = {
        "Host": HOST,
        "Ebonydeal-Request-Id": request_id,
        "Ebonydeal-Deadline-Ms": "2500",
        "Authorization": f"Bearer {KEY}",
    }
    status = 0
    with suppress(aiohttp.ClientError, TimeoutError):
        url = f"http://127.0.0.1:{port}/status/2f"
        async with http.get(url, headers=headers) as resp:
            await resp.read()
            status = resp.status
    statuses[status] += 1
    record.line("client gets", request_id, status)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
