"""The plain service of a soak: endpoints with a capacity, its load and overloads."""

import asyncio
import time
from collections.abc import Coroutine
from random import Random
from typing import Any

from ebonydeal._internal.models.forwarding import Repeat
from ebonydeal._internal.platform.server_side import AccountSpec, RouteSpec
from ebonydeal._internal.settings.policy import PolicySettings
from ebonydeal._internal.soak.clients import Client
from ebonydeal._internal.soak.endpoints import PLAIN_SERVICE, EndpointSpec
from ebonydeal._internal.soak.fleet import SoakFleet
from ebonydeal._internal.soak.link_cuts import LinkCuts
from ebonydeal._internal.soak.plan import Step
from ebonydeal._internal.soak.platform import SoakPlatform
from ebonydeal._internal.soak.processes import RelayProcess
from ebonydeal._internal.soak.records import Kind, Log, OverloadPeriod, UnequalPeriod

PLAIN_OBJECTIVE_S = 0.8
_DEADLINE_S = 4.0
_RUN_S, _CONCURRENCY, _ENDPOINTS = 0.2, 3, 3
# Requests per second that all endpoints can run.
_CAPACITY = _ENDPOINTS * _CONCURRENCY / _RUN_S
# Rate of an overload, in capacities.
_OVERLOAD_FACTOR = 3.0
_SLOW_SPEED = 0.5
_LARGE = AccountSpec("page-large", "key-page-large")
# Requests per second at ordinary load. Two slow endpoints leave two thirds of the
# capacity, of which a third is still more than a small account sends.
_RATES = {
    _LARGE: 4.0,
    AccountSpec("page-small-1", "key-page-small-1"): 8.0,
    AccountSpec("page-small-2", "key-page-small-2"): 8.0,
}
PLAIN_ACCOUNTS = tuple(_RATES)
PLAIN_ROUTES = tuple(
    RouteSpec(
        kind.value,
        repeat,
        timeout=_DEADLINE_S,
        objective=PLAIN_OBJECTIVE_S,
        service=PLAIN_SERVICE,
    )
    for kind, repeat in (
        (Kind.PLAIN, Repeat.IDEMPOTENT),
        (Kind.PLAIN_AT_MOST_ONCE, Repeat.ONCE),
    )
)
_KINDS = (Kind.PLAIN, Kind.PLAIN, Kind.PLAIN_AT_MOST_ONCE)
# Keys of `[policy]` without which relays don't limit an overload.
_OVERLOAD_KEYS = (
    "learn_capacity",
    "learn_speeds",
    "resend_by_expectation",
    "fair_shares",
    "return_tickets",
)


def overload_policy() -> dict[str, str]:
    """Return the policy that limits an overload; empty if a key doesn't exist.

    The relays of a soak are of the same release as the soak.
    """
    if set(_OVERLOAD_KEYS) <= set(PolicySettings._fields):
        return dict.fromkeys(_OVERLOAD_KEYS, "yes")
    return {}


class PlainLoad:
    """Plain endpoints, and the requests that they get.

    Parameters
    ----------
    platform : SoakPlatform
        Lists the endpoints.
    log : Log
        Observations.
    cuts : LinkCuts
        Cuts between relays and endpoints.
    relays : list of RelayProcess
        Relays to send to; filled before the load starts.
    """

    def __init__(
        self,
        platform: SoakPlatform,
        log: Log,
        cuts: LinkCuts,
        relays: list[RelayProcess],
    ) -> None:
        spec = EndpointSpec(PLAIN_SERVICE, _RUN_S, _CONCURRENCY)
        self._fleet = SoakFleet(platform, log, _ENDPOINTS, cuts, spec, prefix="p")
        self._log = log
        self._relays = relays

    async def start(self) -> None:
        """Start and list the endpoints."""
        await self._fleet.start()

    async def stop(self) -> None:
        """Stop the endpoints."""
        await self._fleet.stop()

    def loads(self, client: Client, rng: Random) -> list[Coroutine[Any, Any, None]]:
        """Return the ordinary load of each account; it goes on until cancelled."""
        return [
            self._send_at_rate(client, account, rate, Random(rng.random()))
            for account, rate in _RATES.items()
        ]

    async def overload(self, step: Step) -> None:
        """Let one account send several times what the endpoints can run."""
        rng = Random(step.which)
        client = Client(self._log, self._relays, rng)
        begin = time.monotonic()
        rate = _OVERLOAD_FACTOR * _CAPACITY
        try:
            await self._send_at_rate(client, _LARGE, rate, rng, begin + step.seconds)
        finally:
            await client.close()
        period = OverloadPeriod(_LARGE.name, begin, begin + step.seconds)
        self._log.overloads.append(period)

    async def slow_down(self, step: Step) -> None:
        """Let one endpoint be slower for some time, and another one from midway."""
        slow, later = Random(step.which).sample(self._fleet.endpoints, 2)
        begin = time.monotonic()
        slow.speed = _SLOW_SPEED
        await asyncio.sleep(step.seconds / 2.0)
        changed = time.monotonic()
        later.speed = _SLOW_SPEED
        await asyncio.sleep(step.seconds / 2.0)
        slow.speed = later.speed = 1.0
        period = UnequalPeriod(begin, changed, time.monotonic())
        self._log.unequal_periods.append(period)

    async def _send_at_rate(
        self,
        client: Client,
        account: AccountSpec,
        rate: float,
        rng: Random,
        end: float = float("inf"),
    ) -> None:
        """Send at random times until ``end``, and wait for the answers.

        The rate doesn't depend on the answers.
        """
        at = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            while (at := at + rng.expovariate(rate)) < end:
                await asyncio.sleep(max(0.0, at - time.monotonic()))
                kind, relay = rng.choice(_KINDS), rng.choice(self._relays)
                tasks.create_task(client.send(kind, relay, account))
