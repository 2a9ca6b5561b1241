"""Sends requests at a rate that doesn't depend on the answers, from own processes.

A system that falls behind gets no relief from clients that wait.
"""

import asyncio
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from multiprocessing import get_context
from random import Random
from typing import NamedTuple

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from ebonydeal._internal.platform.server_side import client_headers
from ebonydeal._internal.soak.clients import HOST
from ebonydeal._internal.soak.endpoints import RELAY_HEADER

# One process sends some hundred requests a second on a busy machine.
_PROCESSES = 2
# Time from the start of the processes to the first request, seconds.
_BOOT_S = 3.0
# A client waits this much longer than its deadline.
_EXTRA_WAIT_S = 3.0


class Load(NamedTuple):
    """A load on relays.

    ``relays`` are names and addresses, ``rates`` the requests per second of each client
    account, and ``path`` that of each request, which has a deadline in seconds.
    """

    relays: tuple[tuple[str, str], ...]
    rates: dict[str, float]
    path: str
    deadline_s: float
    seconds: float
    seed: int


class Sent(NamedTuple):
    """One request of the load; times in seconds, ``at`` since the load began.

    ``status`` is 0 without a complete answer. ``claims_not_run`` means that the answer
    says that the request has not run; ``lag`` is how late it was sent.
    """

    request_id: str
    account: str
    at: float
    lag: float
    latency: float
    status: int
    claims_not_run: bool


def account_key(account: str) -> str:
    """Return the API key of a client account."""
    return f"key-{account}"


class _Sender:
    """Sends the requests of a load and keeps their results."""

    def __init__(self, load: Load, rng: Random) -> None:
        self._load = load
        self._rng = rng
        self.sent: list[Sent] = []
        self._session = ClientSession(connector=TCPConnector(limit=0))
        # A retry by the library would be a second request with the same id.
        self._session._retry_connection = False

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def run(self, rate: float, begin: float) -> None:
        """Send Poisson arrivals to random relays, and wait for all answers."""
        names, weights = zip(*self._load.rates.items(), strict=True)
        async with asyncio.TaskGroup() as tasks:
            at = self._rng.expovariate(rate)
            while at < self._load.seconds:
                await asyncio.sleep(max(0.0, begin + at - time.monotonic()))
                account = self._rng.choices(names, weights)[0]
                relay = self._rng.choice(self._load.relays)
                tasks.create_task(self.send(relay, account, begin, at))
                at += self._rng.expovariate(rate)

    async def send(
        self, relay: tuple[str, str], account: str, begin: float, at: float
    ) -> None:
        """Send one request that is due ``at`` seconds after ``begin``."""
        load, (name, address) = self._load, relay
        request_id = f"{self._rng.getrandbits(64):016x}"
        headers = client_headers(
            HOST, request_id, account_key(account), load.deadline_s, 0
        )
        headers[RELAY_HEADER] = name
        sent, status, outcome = time.monotonic(), 0, ""
        url = f"http://{address}{load.path}"
        timeout = ClientTimeout(total=load.deadline_s + _EXTRA_WAIT_S)
        try:
            async with self._session.get(url, headers=headers, timeout=timeout) as resp:
                await resp.read()
                status = resp.status
                outcome = resp.headers.get("X-Outcome", "")
        except (TimeoutError, ClientError, OSError):
            pass
        latency, lag = time.monotonic() - sent, sent - begin - at
        not_run = outcome == "not_run"
        self.sent.append(Sent(request_id, account, at, lag, latency, status, not_run))


async def send_once(load: Load) -> list[Sent]:
    """Send one request to each relay from this process, and return the results."""
    sender = _Sender(load, Random(time.monotonic_ns()))
    try:
        account = next(iter(load.rates))
        for relay in load.relays:
            await sender.send(relay, account, time.monotonic(), 0.0)
    finally:
        await sender.close()
    return sender.sent


async def _send_share(load: Load, number: int, begin: float) -> list[Sent]:
    sender = _Sender(load, Random(f"{load.seed}-{number}"))
    try:
        await sender.run(sum(load.rates.values()) / _PROCESSES, begin)
    finally:
        await sender.close()
    return sender.sent


def _run_share(load: Load, begin: float, number: int) -> list[Sent]:
    """Send one process's share of a load; the monotonic clock is the machine's."""
    return asyncio.run(_send_share(load, number, begin))


async def send_load(load: Load, started: asyncio.Event) -> list[Sent]:
    """Send a load from own processes, and return the results.

    ``started`` is set at its beginning.
    """
    loop = asyncio.get_running_loop()
    begin = time.monotonic() + _BOOT_S
    loop.call_later(_BOOT_S, started.set)
    with ProcessPoolExecutor(_PROCESSES, mp_context=get_context("spawn")) as pool:
        run = partial(_run_share, load, begin)
        shares = await asyncio.gather(
            *(loop.run_in_executor(pool, run, n) for n in range(_PROCESSES))
        )
    return [one for share in shares for one in share]
