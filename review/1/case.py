"""A late copy of a refusal is taken for the answer to the next request."""

import asyncio
import random
import sys
from collections import Counter
from contextlib import suppress
from pathlib import Path

import aiohttp
from standins.operator import HOST, KEY, SERVICE, configuration, route
from standins.record import Record, run_case
from standins.relays import Fleet
from standins.replica import Replica, stop_all
from standins.store import Store

SEED = 1
SECONDS = 45.0
PER_S = 130.0
RELAYS, REPLICAS = 3, 3
# `garble`, how = "extra late": the dose of the site file sbcp-inoltro.toml.
SHARE, X, FOR_S, FIRST_S, EVERY_S = 0.6, 0.03, 5.0, 3.0, 7.0
NOT_RUN = (408, 421, 429, 503)


async def case(record: Record, trouble: bool) -> list[str]:
    """Send requests that may run once; return those that ran twice or were denied."""
    rng = random.Random(SEED)
    store = await Store().start()
    replicas = [
        await Replica(f"i-{n:08x}", record, (0.06, 0.18), seed=SEED).start()
        for n in range(REPLICAS)
    ]
    began = 0.0

    def garbled(replica: Replica) -> bool:
        since = record.now() - began - FIRST_S
        on = trouble and began > 0.0 and since >= 0.0 and since % EVERY_S < FOR_S
        return on and replica.rng.random() < X

    for replica in replicas[: round(SHARE * REPLICAS)]:
        replica.repeats_late = lambda replica=replica: garbled(replica)
    await store.put("op", "config", configuration(route("/puxa403/", "non_idempotent")))
    for replica in replicas:
        await store.put("servers", replica.name, replica.entry(SERVICE))
    statuses: dict[str, int] = {}
    async with Fleet(RELAYS, store.address) as relays:
        await asyncio.sleep(3.0)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as http:
            began = record.now()
            tasks = []
            while record.now() - began < SECONDS:
                await asyncio.sleep(rng.expovariate(PER_S))
                port = rng.choice(relays).port
                request_id = f"{rng.getrandbits(64):016x}"
                tasks.append(
                    asyncio.create_task(send(http, port, request_id, record, statuses))
                )
            await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
    await stop_all(replicas)
    await store.stop()
    runs = Counter(request_id for r in replicas for request_id in r.runs)
    record.line("statuses", sorted(Counter(statuses.values()).items()))
    if statuses and sum(s == 200 for s in statuses.values()) < len(statuses) / 2:
        raise RuntimeError("less than half of the requests were served")
    twice = [f"TWICE {r} ran {n} times" for r, n in runs.items() if n > 1]
    refused = [
        f"REFUSED {r} answered {status}, but it ran"
        for r, status in statuses.items()
        if status in NOT_RUN and runs[r]
    ]
    return twice + refused


async def send(
    http: aiohttp.ClientSession,
    port: int,
    request_id: str,
    record: Record,
    statuses: dict[str, int],
) -> None:
    """Send one request, and record its status; 0 if there was no answer."""
    headers = {
        "Host": HOST,
        "Ebonydeal-Request-Id": request_id,
        "Ebonydeal-Deadline-Ms": "2500",
        "Authorization": f"Bearer {KEY}",
    }
    url = f"http://127.0.0.1:{port}/puxa403/2f"
    status = 0
    record.line("client sends", request_id, port)
    with suppress(aiohttp.ClientError, TimeoutError):
        async with http.post(url, data=b"label", headers=headers) as resp:
            await resp.read()
            status = resp.status
    statuses[request_id] = status
    record.line("client gets", request_id, status)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
