"""Replays of overload: real relays, endpoints with a capacity, an open-loop load."""

import asyncio
import time
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from shutil import copytree
from statistics import fmean
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

from ebonydeal._internal.models.forwarding import Repeat
from ebonydeal._internal.platform.rows import CONFIG_KEY, CONFIG_TABLE
from ebonydeal._internal.platform.server_side import (
    AccountSpec,
    RouteSpec,
    config_document,
)
from ebonydeal._internal.settings.policy import PolicySettings
from ebonydeal._internal.soak.clients import HOST
from ebonydeal._internal.soak.endpoints import PLAIN_SERVICE, SERVICE, EndpointSpec
from ebonydeal._internal.soak.fleet import SoakFleet
from ebonydeal._internal.soak.link_cuts import LinkCuts, source_address
from ebonydeal._internal.soak.open_loop import (
    Load,
    Sent,
    account_key,
    send_load,
    send_once,
)
from ebonydeal._internal.soak.platform import SoakPlatform
from ebonydeal._internal.soak.processes import RelayProcess
from ebonydeal._internal.soak.proxy import Proxy
from ebonydeal._internal.soak.records import Kind, Log

OBJECTIVE_S = 0.8
DEADLINE_S = 4.0
_ROUTE = RouteSpec(
    Kind.IDEMPOTENT.value,
    Repeat.IDEMPOTENT,
    timeout=DEADLINE_S,
    objective=OBJECTIVE_S,
    service=PLAIN_SERVICE,
)
_RUN_S = 0.2
_CONCURRENCY = 4
_REFUSALS = frozenset({429, 503})
_READY_TIMEOUT_S = 20.0
# Time between the first answer of each relay and the load.
_SETTLE_S = 1.0
_LAG_INTERVAL_S = 0.02


class Case(NamedTuple):
    """One overload case.

    Attributes
    ----------
    loads : dict
        Arrival rate of each client account, as a share of the capacity.
    speeds : tuple of float
        Relative speeds of the endpoints, repeated until each has one.
    knee : int
        Requests at an endpoint beyond which they take three times as long; 0 is off.
        The capacity is then that of the knee.
    slows_to : float
        Speed of the first third of the endpoints in the second half; 0 is unchanged.
    endpoints : int
        Number of endpoints.
    """

    loads: dict[str, float]
    speeds: tuple[float, ...] = (1.0,)
    knee: int = 0
    slows_to: float = 0.0
    endpoints: int = 9

    def endpoint_speeds(self) -> list[float]:
        """Return the speed of each endpoint at the start."""
        return [self.speeds[n % len(self.speeds)] for n in range(self.endpoints)]

    @property
    def capacity(self) -> float:
        """Requests per second that the endpoints can run at the start."""
        return (self.knee or _CONCURRENCY) * sum(self.endpoint_speeds()) / _RUN_S


def _even(load: float) -> dict[str, float]:
    """Return a load that three accounts share evenly."""
    return {name: load / 3.0 for name in ("a", "b", "c")}


CASES: dict[str, Case] = {
    "equal-0.5": Case(_even(0.5)),
    "equal-0.7": Case(_even(0.7)),
    "equal-0.75": Case(_even(0.75)),
    "speeds-0.7": Case(_even(0.7), (0.5, 1.0, 2.0)),
    "knee": Case(_even(0.7), knee=_CONCURRENCY // 2),
    "one-account": Case({"large": 3.0, "small-1": 0.1, "small-2": 0.1}),
    "overload-1.5": Case(_even(1.5)),
    "overload-3": Case(_even(3.0)),
    # Fewer endpoints, as two processes send the load.
    "overload-10": Case(_even(10.0), endpoints=3),
    "one-at-a-tenth": Case(_even(0.7), (0.1, *[1.0] * 8)),
    "slows-midway": Case(_even(0.6), slows_to=0.3),
}


def parse_policy(text: str) -> dict[str, str]:
    """Return ``key=value,...`` as policy settings; raises ValueError if one is none."""
    policy = {}
    for entry in text.split(",") if text else ():
        key, separator, value = entry.strip().partition("=")
        if not separator or key not in PolicySettings._fields:
            raise ValueError(f"{entry!r} is no key=value of section [policy]")
        policy[key] = value
    return policy


def summarise(
    case: Case, sent: Sequence[Sent], seconds: float, runs: Mapping[str, int]
) -> dict[str, Any]:
    """Return the figures of a replay, of all its requests and by account.

    ``runs`` counts how often each request ran.
    """
    in_time = sum(_is_in_time(one) for one in sent)
    ideal = min(len(sent), case.capacity * seconds)
    accounts = sorted({one.account for one in sent})
    return {
        "all": _figures(sent, seconds),
        "in_time_of_ideal": round(in_time / ideal, 3) if ideal else None,
        "runs": sum(runs.values()),
        "false_not_run": sum(
            one.claims_not_run and one.request_id in runs for one in sent
        ),
        "lag_p99_s": _percentile([one.lag for one in sent], 0.99),
        "accounts": {
            name: _figures([one for one in sent if one.account == name], seconds)
            for name in accounts
        },
    }


def _is_in_time(one: Sent) -> bool:
    return one.status == 200 and one.latency <= OBJECTIVE_S


def _figures(sent: Sequence[Sent], seconds: float) -> dict[str, Any]:
    refused = [one.latency for one in sent if one.status in _REFUSALS]
    in_time = sum(_is_in_time(one) for one in sent)
    late = sum(one.status == 200 for one in sent) - in_time
    expired = sum(one.status == 504 for one in sent)
    return {
        "requests": len(sent),
        "in_time": in_time,
        "late": late,
        "refused": len(refused),
        "held_p99_s": _percentile(refused, 0.99),
        "timed_out": expired,
        "other": len(sent) - in_time - late - len(refused) - expired,
        "first_half": _share(one for one in sent if one.at < seconds / 2.0),
        "last_third": _share(one for one in sent if one.at >= seconds * 2.0 / 3.0),
    }


def _share(sent: Iterable[Sent]) -> float | None:
    """Return the share of requests answered within the objective."""
    served = [_is_in_time(one) for one in sent]
    return round(fmean(served), 3) if served else None


def _percentile(values: Sequence[float], share: float) -> float | None:
    if not values:
        return None
    return round(sorted(values)[min(len(values) - 1, int(share * len(values)))], 3)


class _Replay:
    """The system of one replay."""

    def __init__(self, case: Case, relays: int, folder: Path, seed: int) -> None:
        self._case = case
        self._folder = folder
        self._seed = seed
        self.log = Log()
        self._platform = SoakPlatform(self.log, Random(seed + 1))
        cuts = LinkCuts()
        spec = EndpointSpec(
            PLAIN_SERVICE, _RUN_S, _CONCURRENCY, knee=case.knee, proxied=False
        )
        self._fleet = SoakFleet(self._platform, self.log, case.endpoints, cuts, spec)
        self._relays: list[RelayProcess] = []
        self._relay_count = relays
        # How late this process, which is platform and endpoints, wakes up, seconds.
        self.lags: list[float] = []

    async def run(self, seconds: float, policy: dict[str, str]) -> list[Sent]:
        """Start the system, send the load, end all processes; return the requests."""
        async with AsyncExitStack() as stack:
            await self._start(stack, policy)
            load = Load(
                tuple((relay.name, relay.address) for relay in self._relays),
                {n: x * self._case.capacity for n, x in self._case.loads.items()},
                f"{_ROUTE.prefix}x",
                DEADLINE_S,
                seconds,
                self._seed,
            )
            await self._wait_served(load)
            started = asyncio.Event()
            tasks = (self._slow_midway(started, seconds), self._measure_lag(started))
            running = [asyncio.create_task(task) for task in tasks]
            sent = await send_load(load, started)
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
        return sent

    async def _start(self, stack: AsyncExitStack, policy: dict[str, str]) -> None:
        await self._platform.start()
        stack.push_async_callback(self._platform.stop)
        stack.push_async_callback(self._fleet.stop)
        await self._fleet.start()
        speeds = self._case.endpoint_speeds()
        for endpoint, speed in zip(self._fleet.endpoints, speeds, strict=True):
            endpoint.speed = speed
        accounts = [AccountSpec(name, account_key(name)) for name in self._case.loads]
        document = config_document(
            1, HOST, SERVICE, [_ROUTE], accounts, [PLAIN_SERVICE]
        )
        await self._platform.write(CONFIG_TABLE, CONFIG_KEY, document)
        for number in range(self._relay_count):
            store = await Proxy(self._platform.address).start()
            stack.push_async_callback(store.stop)
            source = source_address(number)
            relay = RelayProcess(f"n{number}", self._folder, store, {}, source, policy)
            self._relays.append(relay)
        for relay in self._relays:
            relay.write_settings([r.peer_address for r in self._relays])
            await relay.start()
            stack.push_async_callback(relay.stop)

    async def _wait_served(self, load: Load) -> None:
        """Wait until every relay serves."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while any(one.status != 200 for one in await send_once(load)):
                await asyncio.sleep(0.1)
        await asyncio.sleep(_SETTLE_S)

    async def _slow_midway(self, started: asyncio.Event, seconds: float) -> None:
        await started.wait()
        # Requests before the load aren't counted.
        self.log.runs.clear()
        await asyncio.sleep(seconds / 2.0)
        if self._case.slows_to:
            for endpoint in self._fleet.endpoints[: self._case.endpoints // 3]:
                endpoint.speed = self._case.slows_to

    async def _measure_lag(self, started: asyncio.Event) -> None:
        await started.wait()
        while True:
            due = time.monotonic() + _LAG_INTERVAL_S
            await asyncio.sleep(_LAG_INTERVAL_S)
            self.lags.append(time.monotonic() - due)


async def replay(
    case: Case,
    relays: int,
    seconds: float,
    policy: dict[str, str],
    seed: int = 1,
    logs: Path | None = None,
) -> dict[str, Any]:
    """Play a case and return its figures.

    The relays' logs are kept in the folder ``logs`` if that is given.
    """
    with TemporaryDirectory(prefix="ebonydeal-overload-") as folder:
        played = _Replay(case, relays, Path(folder), seed)
        sent = await played.run(seconds, policy)
        if logs is not None:
            copytree(folder, logs, dirs_exist_ok=True)
    runs = Counter(run.request_id for run in played.log.runs)
    at_endpoints = Counter(run.endpoint for run in played.log.runs)
    figures = summarise(case, sent, seconds, runs)
    figures["endpoint_lag_p99_s"] = _percentile(played.lags, 0.99)
    figures["runs_by_endpoint"] = dict(sorted(at_endpoints.items()))
    return figures
