"""A relay that is stopped passes on requests that it can't finish in its grace time."""

import asyncio
import random
import sys
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from standins.ingress import Ingress
from standins.operator import HOST, KEY, SERVICE, configuration, route
from standins.record import Record, run_case
from standins.relays import BOUNDS, Fleet, Relay
from standins.replica import Replica, stop_all
from standins.store import Store

SEED = 1
CLIENTS, PAUSE_S = 120, 4.0
# 384 KiB over a client's link of 2.5 Mbit/s: 1.26 s.
BODY = bytes(range(256)) * 1536
CHUNK, BYTES_PER_S = 8192, 312_500.0
RELAYS, REPLICAS = 3, 6
# `roll_term`, x = 1: one machine at a time gets SIGTERM, and starts again.
FIRST_S, GAP_S = 6.0, 8.0
GRACE_S = float(BOUNDS["grace_s"])
DEADLINE_S = 10.0
EXCUSED_S = 3.0


class Attempt(NamedTuple):
    """One request; times are seconds since the start.

    ``whole_at`` is when its last byte was sent, None if the connection ended before;
    ``status`` is 0 if the connection ended without a complete answer.
    """

    relay: Relay
    sent_at: float
    whole_at: float | None
    ended_at: float
    status: int


async def case(record: Record, trouble: bool) -> list[str]:
    """Send documents on kept connections while relays are stopped in turn."""
    store = await Store().start()
    replicas = [
        await Replica(f"i-{n:08x}", record, (0.25, 0.55), 12, seed=SEED).start()
        for n in range(REPLICAS)
    ]
    slow = {"timeout_ms": 10000, "target_latency_ms": 300}
    routes = [route("/note/", "non_idempotent", **slow)]
    await store.put("op", "config", configuration(*routes))
    for replica in replicas:
        await store.put("servers", replica.name, replica.entry(SERVICE))
    attempts: dict[str, Attempt] = {}
    stops: dict[str, float] = {}
    async with Fleet(RELAYS, store.address) as relays:
        ingress = Ingress(relays)
        ingress.start()
        await asyncio.sleep(3.0)
        ending = asyncio.Event()
        clients = [
            asyncio.create_task(client(n, ingress, record, attempts, ending))
            for n in range(CLIENTS)
        ]
        await stop_in_turn(relays, stops, record, trouble)
        ending.set()
        await asyncio.gather(*clients)
        ingress.stop()
    await stop_all(replicas)
    await store.stop()
    runs = {request_id for replica in replicas for request_id in replica.runs}
    served = sum(a.status == 200 for a in attempts.values())
    record.line("requests", len(attempts), "served", served)
    if served < len(attempts) / 2:
        raise RuntimeError("less than half of the requests were served")
    return [
        f"LOST {request_id}: sent {a.sent_at - stops.get(a.relay.name, 0.0):+.3f} s"
        f" from the SIGTERM of {a.relay.name}, run by a replica, no answer after"
        f" {a.ended_at - a.sent_at:.3f} s"
        for request_id, a in attempts.items()
        if a.whole_at is not None and a.status == 0 and request_id in runs
        if a.ended_at - a.sent_at < DEADLINE_S
        # The rule excuses requests that were sent up to 3 s after the SIGTERM.
        if a.sent_at - stops.get(a.relay.name, -EXCUSED_S) > EXCUSED_S
    ]


async def client(
    number: int,
    ingress: Ingress,
    record: Record,
    attempts: dict[str, Attempt],
    ending: asyncio.Event,
) -> None:
    """Send a request now and then, on one connection as long as it is kept."""
    rng = random.Random(f"{SEED}-{number}")
    while not ending.is_set():
        relay = rng.choice(ingress.in_rotation())
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        except OSError:
            await asyncio.sleep(0.2)
            continue
        kept = True
        while kept and not ending.is_set():
            await asyncio.sleep(rng.uniform(0.0, 2.0 * PAUSE_S))
            if reader.at_eof():
                break
            request_id = f"{rng.getrandbits(64):016x}"
            sent_at, whole_at, status = record.now(), None, 0
            record.line("client sends", request_id, relay.name)
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                await upload(writer, request_id)
                whole_at = record.now()
                status, kept = await receive(reader)
            ended_at = record.now()
            attempts[request_id] = Attempt(relay, sent_at, whole_at, ended_at, status)
            record.line("client gets", request_id, relay.name, status)
            kept = kept and status > 0
        writer.close()


async def upload(writer: asyncio.StreamWriter, request_id: str) -> None:
    """Send a request at the pace of the client's link."""
    writer.write(
        f"POST /note/2f HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Ebonydeal-Request-Id: {request_id}\r\n"
        f"Ebonydeal-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()
    )
    for first in range(0, len(BODY), CHUNK):
        writer.write(BODY[first : first + CHUNK])
        await writer.drain()
        await asyncio.sleep(CHUNK / BYTES_PER_S)


async def receive(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status of a complete answer, and whether the connection is kept."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.lower(): value.strip() for name, _sep, value in pairs}
    await reader.readexactly(int(headers.get("content-length", 0)))
    return int(head[0].split()[1]), headers.get("connection", "").lower() != "close"


async def stop_in_turn(
    relays: list[Relay], stops: dict[str, float], record: Record, trouble: bool
) -> None:
    """Send SIGTERM to one relay after the other, and start each again."""
    await asyncio.sleep(FIRST_S)
    for relay in relays:
        if trouble:
            record.line("SIGTERM", relay.name)
            stops[relay.name] = record.now()
            took = await relay.terminate(GRACE_S)
            record.line("ended", relay.name, f"after {took:.3f} of {GRACE_S} s")
            await relay.start()
            await relay.wait_ready()
        else:
            await asyncio.sleep(GRACE_S)
        await asyncio.sleep(GAP_S)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
