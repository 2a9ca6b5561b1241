"""One soak: starts everything, plays a plan, and checks what was seen."""

import asyncio
import signal
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import Repeat
from ebonydeal._internal.models.rollouts import Phase, RolloutOrder
from ebonydeal._internal.platform.rows import (
    CONFIG_KEY,
    CONFIG_TABLE,
    MEMBERS_TABLE,
)
from ebonydeal._internal.platform.server_side import (
    AccountSpec,
    RouteSpec,
    config_document,
    member_document,
    order_document,
    order_key,
)
from ebonydeal._internal.soak.checks import check_all
from ebonydeal._internal.soak.clients import HOST, Client
from ebonydeal._internal.soak.endpoints import FATAL, SERVICE, Bad, PlayEndpoint
from ebonydeal._internal.soak.plan import Fault, Step, make_plan
from ebonydeal._internal.soak.plants import PLANTS
from ebonydeal._internal.soak.platform import PlayPlatform
from ebonydeal._internal.soak.processes import RelayProcess
from ebonydeal._internal.soak.proxy import Harm, Proxy
from ebonydeal._internal.soak.records import (
    Kind,
    Leave,
    Log,
    Publish,
    Rollout,
    Trouble,
)
from ebonydeal._internal.soak.terms import Limit, Terms, Violation

_DRAIN_S = 2.0
_NOTICE_S = 2.5
_QUOTA_WINDOW_S = 2.0
_LIMIT = AccountSpec("small", "key-small", rate=8.0, burst=8.0)
_TOKENS = AccountSpec("tokens", "key-tokens", 1500.0, 1500.0, True, 50)
# Clients of each limited account, which ask for several times its limit.
_PRESSING = 6
_OPEN = AccountSpec("large", "key-large")
_OVERSHOOT = 0.1
TERMS = Terms(
    drain=_DRAIN_S,
    apply=2.0,
    usage_window=2.0,
    quota_window=_QUOTA_WINDOW_S,
    limits=tuple(
        Limit(
            account.name,
            (account.rate * _QUOTA_WINDOW_S + account.burst) * (1.0 + _OVERSHOOT),
            account.in_tokens,
        )
        for account in (_LIMIT, _TOKENS)
    ),
)
_RELAY_TERMS = {
    "grace_s": "6",
    "settle_s": "1",
    "drain_ms": str(_DRAIN_S * 1000.0),
    "quota_window_s": str(_QUOTA_WINDOW_S),
    "quota_overshoot": str(_OVERSHOOT),
    "quota_slack": "0",
    "usage_window_s": "2",
    "usage_late_s": "6",
}
_READY_S = 20.0
_PROBE_S = 0.25
_KNOWN_VERSIONS = 3
# A request that crashes endpoints comes four times a second; these are back after 2 s.
_REPEAT_S = 0.25
_BACK_S = 2.0
# New endpoints come so long after the order; a verdict may come so late.
_BOOT_S = 0.4
_VERDICT_S = 3.0
# What endpoints may say: limits, requests a second, and rests, seconds.
_LIMITS = (0.0, 0.3, 1.0, 1.4, 2.0)
_RESTS_S = (1.0, 2.0, 3.0)
_FATAL_KINDS = (Kind.SAFE, Kind.AGAIN, Kind.LIVE, Kind.ONCE)


class Size(NamedTuple):
    """How large a soak is."""

    relays: int = 3
    endpoints: int = 4
    clients: int = 12
    seconds: float = 12.0


class Verdict(NamedTuple):
    """What came of one seed."""

    seed: int
    requests: int
    served: int
    moved: int
    faults: int
    violations: list[Violation]


class _Soak:
    """Everything that one soak runs."""

    def __init__(self, seed: int, size: Size, folder: Path) -> None:
        self.log = Log()
        self._seed = seed
        self._size = size
        self._folder = folder
        self._rng = Random(seed)
        self._platform = PlayPlatform(self.log, Random(seed + 1))
        self._memory: dict[str, str] = {}
        self._relays: list[RelayProcess] = []
        self._endpoints: list[PlayEndpoint] = []
        self._named = 0
        self._comings: set[asyncio.Future[None]] = set()
        self._version = 0
        # The version of the service's endpoints.
        self._runs = "v1"

    async def play(self) -> None:
        """Start, play the plan under load, and end all processes."""
        async with AsyncExitStack() as stack:
            await self._start(stack)
            client = Client(self.log, self._relays, Random(self._seed + 2))
            stack.push_async_callback(client.close)
            await self._until_served(client)
            self.log.seen.clear()
            self.log.runs.clear()
            begun = time.monotonic()
            tasks = self._load(client)
            steps = [
                asyncio.create_task(self._at(begun + step.at, step))
                for step in make_plan(self._seed, self._size.seconds)
            ]
            await asyncio.sleep(self._size.seconds)
            await asyncio.gather(*steps)
            await asyncio.gather(*self._comings)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _start(self, stack: AsyncExitStack) -> None:
        await self._platform.start()
        stack.push_async_callback(self._platform.stop)
        for _ in range(self._size.endpoints):
            await self._add_endpoint()
        stack.push_async_callback(self._stop_endpoints)
        await self._publish()
        for number in range(self._size.relays):
            proxy = await Proxy(self._platform.address).start()
            stack.push_async_callback(proxy.stop)
            relay = RelayProcess(f"n{number}", self._folder, proxy, _RELAY_TERMS)
            self._relays.append(relay)
        for relay in self._relays:
            relay.write_settings([r.peer_address for r in self._relays])
            await relay.start()
            stack.push_async_callback(relay.stop)

    async def _until_served(self, client: Client) -> None:
        """Wait until every relay serves."""
        end = time.monotonic() + _READY_S
        for relay in self._relays:
            while time.monotonic() < end:
                await client.ask(Kind.SAFE, relay, _OPEN)
                if self.log.seen[-1].status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise TimeoutError(f"{relay.name} doesn't serve")

    def _load(self, client: Client) -> list[asyncio.Task[None]]:
        """Start clients and probes."""
        plays = [client.play(_OPEN, 0.05) for _ in range(self._size.clients)]
        for account in (_LIMIT, _TOKENS):
            plays += [client.play(account, 0.05) for _ in range(_PRESSING)]
        plays += [self._probe(client, relay) for relay in self._relays]
        return [asyncio.create_task(play) for play in plays]

    async def _probe(self, client: Client, relay: RelayProcess) -> None:
        while True:
            versions = range(max(1, self._version - 1), self._version + 1)
            for version in versions:
                await client.probe(relay, _OPEN.key, version)
            await asyncio.sleep(_PROBE_S)

    # --- the operator and the endpoints --------------------------------------
    async def _publish(self) -> None:
        """Put the next configuration in force."""
        version = self._version + 1
        routes = [
            RouteSpec(Kind.SAFE.value, Repeat.IDEMPOTENT),
            RouteSpec(Kind.ONCE.value, Repeat.ONCE),
            RouteSpec(Kind.LIVE.value, Repeat.STREAM),
            RouteSpec(Kind.AGAIN.value, Repeat.STREAM, resumable=True),
            RouteSpec(f"{Kind.PROBE.value}{version}/", Repeat.IDEMPOTENT),
        ]
        document = config_document(
            version, HOST, SERVICE, routes, [_LIMIT, _TOKENS, _OPEN]
        )
        at = await self._platform.put(CONFIG_TABLE, CONFIG_KEY, document)
        self.log.published.append(Publish(version, at))
        self._version = version

    async def _add_endpoint(self, bad: Bad = Bad.NO, version: str = "") -> None:
        self._named += 1
        endpoint = PlayEndpoint(
            f"e{self._named}", self.log, self._memory, version or self._runs, bad
        )
        endpoint.on_crash = self._fell
        await endpoint.start()
        self._endpoints.append(endpoint)
        document = member_document(endpoint.member())
        await self._platform.put(MEMBERS_TABLE, endpoint.name, document)

    async def _stop_endpoints(self) -> None:
        for endpoint in self._endpoints:
            await endpoint.stop()

    # --- faults ----------------------------------------------------------------
    async def _at(self, when: float, step: Step) -> None:
        await asyncio.sleep(max(0.0, when - time.monotonic()))
        await self._do(step)

    async def _do(self, step: Step) -> None:
        """Carry out one fault, to its end."""
        relay = self._relays[step.which % len(self._relays)]
        match step.fault:
            case Fault.KILL:
                await self._kill(relay, step)
            case Fault.STOP:
                await self._stop(relay, step)
            case Fault.PAUSE:
                await self._pause(relay, step)
            case Fault.HANG_UP:
                async with self._trouble("hang up", relay.name):
                    relay.send(signal.SIGHUP)
            case Fault.STORE_AWAY:
                async with self._trouble("store", ""):
                    self._platform.away = True
                    await asyncio.sleep(step.seconds)
                    self._platform.away = False
            case Fault.STORE_LOSES:
                async with self._trouble("store", ""):
                    self._platform.lose = 0.5
                    await asyncio.sleep(step.seconds)
                    self._platform.lose = 0.0
            case Fault.STORE_CUT:
                await self._harm(relay.store, relay.name, step)
            case Fault.ENDPOINT_HARMED:
                if self._endpoints:
                    await self._harm(self._pick(step).proxy, "", step)
            case Fault.ENDPOINT_LEAVES:
                await self._leave(step)
            case Fault.ENDPOINT_CRASHES:
                await self._crash(step)
            case Fault.CONFIG:
                await self._publish()
            case Fault.FATAL_REQUEST:
                await self._repeat_fatal(step)
            case Fault.SUSPENSION:
                await self._pause(relay, step)
            case Fault.ROLLOUT:
                await self._roll_out(step)
            case Fault.HERD_KILL:
                await self._kill_many(step)
            case Fault.NAMES_LIMIT | Fault.SAYS_LEAVING | Fault.ASKS_FOR_REST:
                await self._say(step)

    @asynccontextmanager
    async def _trouble(self, kind: str, relay: str) -> AsyncIterator[None]:
        """Note a trouble from its begin to its end."""
        begin = time.monotonic()
        try:
            yield
        finally:
            end = time.monotonic()
            self.log.troubles.append(Trouble(kind, relay, begin, end))

    async def _kill(self, relay: RelayProcess, step: Step) -> None:
        async with relay.turn, self._trouble("kill", relay.name):
            relay.send(signal.SIGKILL)
            await relay.ended()
            await asyncio.sleep(step.seconds / 2.0)
            await self._start_again(relay)

    async def _kill_many(self, step: Step) -> None:
        """Kill all relays at the same moment, or every second one."""
        relays = self._relays[:: 1 + step.which % 2]
        await asyncio.gather(*(self._kill(relay, step) for relay in relays))

    async def _stop(self, relay: RelayProcess, _step: Step) -> None:
        async with relay.turn:
            async with self._trouble("stop", relay.name):
                relay.send(signal.SIGTERM)
                await relay.ended()
            async with self._trouble("start", relay.name):
                await self._start_again(relay)

    async def _start_again(self, relay: RelayProcess) -> None:
        """Start a relay, and let it hear the others.

        It serves as soon as it is ready, before it was told what they know.
        """
        await relay.start()
        await relay.serving()
        await asyncio.sleep(1.0)

    async def _pause(self, relay: RelayProcess, step: Step) -> None:
        async with relay.turn, self._trouble("pause", relay.name):
            relay.send(signal.SIGSTOP)
            await asyncio.sleep(step.seconds)
            relay.send(signal.SIGCONT)

    async def _harm(self, proxy: Proxy, relay: str, step: Step) -> None:
        harms = [harm for harm in Harm if harm is not Harm.NONE]
        async with self._trouble("link", relay):
            proxy.harm(harms[step.which % len(harms)])
            await asyncio.sleep(step.seconds)
            proxy.harm(Harm.NONE)

    async def _leave(self, step: Step) -> None:
        """Let an endpoint leave with notice, after another has come."""
        if not self._endpoints:
            return
        endpoint = self._pick(step)
        self._endpoints.remove(endpoint)
        await self._add_endpoint()
        endpoint.leaves(_NOTICE_S)
        document = member_document(endpoint.member(leaving=True))
        at = await self._platform.put(MEMBERS_TABLE, endpoint.name, document)
        self.log.leaves.append(Leave(endpoint.name, at))
        await asyncio.sleep(_NOTICE_S)
        await endpoint.stop()
        await self._platform.put(MEMBERS_TABLE, endpoint.name, None)

    async def _say(self, step: Step) -> None:
        """Let an endpoint say something of itself in its answers for a while.

        One that leaves goes on in the list as ready until it is gone.
        """
        if not self._endpoints:
            return
        endpoint = self._pick(step)
        match step.fault:
            case Fault.NAMES_LIMIT:
                endpoint.limit = _LIMITS[step.which % len(_LIMITS)]
                await asyncio.sleep(step.seconds)
                endpoint.limit = None
            case Fault.ASKS_FOR_REST:
                endpoint.rest = _RESTS_S[step.which % len(_RESTS_S)]
                await asyncio.sleep(step.seconds)
                endpoint.rest = 0.0
            case Fault.SAYS_LEAVING:
                endpoint.said_leaving = True
                self._endpoints.remove(endpoint)
                await self._add_endpoint(version=endpoint.version, bad=endpoint.bad)
                await asyncio.sleep(step.seconds)
                await endpoint.stop()
                await self._platform.put(MEMBERS_TABLE, endpoint.name, None)

    async def _crash(self, step: Step) -> None:
        """Let an endpoint crash; its entry goes later."""
        if not self._endpoints:
            return
        endpoint = self._pick(step)
        self._endpoints.remove(endpoint)
        async with self._trouble("crash", ""):
            await endpoint.stop()
            await self._add_endpoint()
            await asyncio.sleep(step.seconds)
            await self._platform.put(MEMBERS_TABLE, endpoint.name, None)

    async def _roll_out(self, step: Step) -> None:
        """Order a new version, good or bad, and do as the system decides."""
        bad = list(Bad)[step.which % len(Bad)]
        to = "v2"
        order = RolloutOrder(SERVICE, to, step.seconds, 0)
        at = await self._platform.put(
            CONFIG_TABLE, order_key(SERVICE), order_document(order)
        )
        rollout = Rollout(to, bad is not Bad.NO, at, at + step.seconds)
        self.log.rollouts.append(rollout)
        await asyncio.sleep(_BOOT_S)
        for _ in range(self._size.endpoints):
            await self._add_endpoint(bad, to)
        phase = await self._decided(to, rollout.until + _VERDICT_S)
        if phase is Phase.COMPLETED:
            self._runs = to
        # What isn't needed any more goes: old ones at once, new ones a little later.
        if phase is Phase.ROLLED_BACK:
            await asyncio.sleep(_NOTICE_S)
        for endpoint in list(self._endpoints):
            # Another fault may have taken it away while one before it was stopped.
            if endpoint.version != self._runs and endpoint in self._endpoints:
                self._endpoints.remove(endpoint)
                await endpoint.stop()
                await self._platform.put(MEMBERS_TABLE, endpoint.name, None)

    async def _decided(self, to: str, end: float) -> Phase:
        """Wait for a roll-out's verdict; without one the new version is given up."""
        while time.monotonic() < end:
            for status in self.log.statuses:
                if status.to == to and status.phase is not Phase.RUNNING:
                    return status.phase
            await asyncio.sleep(0.05)
        return Phase.ROLLED_BACK

    def _pick(self, step: Step) -> PlayEndpoint:
        """Return an endpoint of the version that the service runs."""
        own = [e for e in self._endpoints if e.version == self._runs]
        return (own or self._endpoints)[step.which % len(own or self._endpoints)]

    def _fell(self, endpoint: PlayEndpoint) -> None:
        """Bring another endpoint for one that a request crashed."""
        if endpoint in self._endpoints:
            self._endpoints.remove(endpoint)
        self._comings.add(asyncio.ensure_future(self._come_back(endpoint)))

    async def _come_back(self, endpoint: PlayEndpoint) -> None:
        async with self._trouble("crash", ""):
            await asyncio.sleep(_BACK_S)
            await endpoint.stop()
            await self._add_endpoint(version=endpoint.version, bad=endpoint.bad)
            await self._platform.put(MEMBERS_TABLE, endpoint.name, None)

    async def _repeat_fatal(self, step: Step) -> None:
        """Send a request that crashes what runs it, again and again, at any relay."""
        rng = Random(step.which)
        kind = rng.choice(_FATAL_KINDS)
        body = FATAL + f"-{step.which}".encode()
        end = time.monotonic() + step.seconds
        async with AsyncExitStack() as stack:
            client = Client(self.log, self._relays, Random(step.which))
            stack.push_async_callback(client.close)
            while time.monotonic() < end:
                count = rng.choice((1, 1, 2, len(self._relays)))
                relays = rng.sample(self._relays, count)
                asking = client.repeat(body, kind, relays, _OPEN.key)
                task = asyncio.ensure_future(asking)
                stack.push_async_callback(_ended, task)
                await asyncio.sleep(_REPEAT_S)


async def _ended(task: asyncio.Task[None]) -> None:
    await asyncio.gather(task, return_exceptions=True)


async def run_seed(seed: int, size: Size, plant: str | None = None) -> Verdict:
    """Play one seed; with ``plant``, falsify what was seen before it is checked."""
    with TemporaryDirectory(prefix="ebonydeal-soak-") as folder:
        soak = _Soak(seed, size, Path(folder))
        await soak.play()
    log = soak.log
    if plant is not None:
        PLANTS[plant][0](log, TERMS)
    return Verdict(
        seed=seed,
        requests=len(log.seen),
        served=sum(seen.status == 200 and seen.whole for seen in log.seen),
        moved=sum(run.carried for run in log.runs),
        faults=len(make_plan(seed, size.seconds)),
        violations=check_all(log, TERMS),
    )
