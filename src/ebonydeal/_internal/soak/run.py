"""One soak: starts the system, injects the planned faults, checks the observations."""

import asyncio
import signal
import time
from collections.abc import Callable, Collection, Coroutine, Sequence
from contextlib import AsyncExitStack
from functools import partial
from itertools import count
from pathlib import Path
from random import Random
from shutil import copytree
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

from ebonydeal._internal.models.forwarding import Repeat
from ebonydeal._internal.platform.rows import (
    CONFIG_KEY,
    CONFIG_TABLE,
)
from ebonydeal._internal.platform.server_side import (
    AccountSpec,
    RouteSpec,
    config_document,
)
from ebonydeal._internal.soak.checks import check_all
from ebonydeal._internal.soak.clients import (
    HOST,
    REQUEST_TIMEOUT_S,
    SHARED_PART,
    Client,
    may_resume,
)
from ebonydeal._internal.soak.endpoints import (
    BODY_NUMBER,
    FATAL_PREFIX,
    PLAIN_SERVICE,
    SERVICE,
)
from ebonydeal._internal.soak.fleet import SoakFleet
from ebonydeal._internal.soak.guarantees import (
    Guarantees,
    Limit,
    OverloadBounds,
    Violation,
)
from ebonydeal._internal.soak.link_cuts import CutMode, LinkCuts, source_address
from ebonydeal._internal.soak.plain_load import (
    PLAIN_ACCOUNTS,
    PLAIN_OBJECTIVE_S,
    PLAIN_ROUTES,
    PlainLoad,
    overload_policy,
)
from ebonydeal._internal.soak.plan import (
    RESTORE_AWAY_S,
    Fault,
    Step,
    make_plan,
)
from ebonydeal._internal.soak.plants import PLANTS
from ebonydeal._internal.soak.platform import SoakPlatform
from ebonydeal._internal.soak.processes import RelayProcess, write_peer_proxies
from ebonydeal._internal.soak.proxy import LinkFault, Proxy
from ebonydeal._internal.soak.records import (
    FATAL_PART_PREFIX,
    CrowdPeriod,
    Kind,
    LinkCutPeriod,
    Log,
    OwnEnd,
    PublishedConfig,
)
from ebonydeal._internal.soak.slow_clients import SlowClient

_DRAIN_TIMEOUT_S = 2.0
_QUOTA_WINDOW_S = 2.0
_REQUEST_LIMITED = AccountSpec("small", "key-small", rate=8.0, burst=8.0)
_TOKEN_LIMITED = AccountSpec("tokens", "key-tokens", 1500.0, 1500.0, True, 50)
# They send several times their account's limit.
_CLIENTS_PER_LIMITED_ACCOUNT = 6
# Endpoints are quick; what takes time are the links of these clients.
_SLOW_CLIENTS_OBJECTIVE_S = 0.5
_UNLIMITED = AccountSpec("large", "key-large")
_QUOTA_OVERSHOOT = 0.1
_OVERLOAD_POLICY = overload_policy()
GUARANTEES = Guarantees(
    drain_s=_DRAIN_TIMEOUT_S,
    contact_s=3.0,
    apply_s=2.0,
    usage_window_s=2.0,
    quota_window_s=_QUOTA_WINDOW_S,
    limits=tuple(
        Limit(
            account.name,
            (account.rate * _QUOTA_WINDOW_S + account.burst) * (1.0 + _QUOTA_OVERSHOOT),
            account.in_tokens,
        )
        for account in (_REQUEST_LIMITED, _TOKEN_LIMITED)
    ),
    timeout_s=REQUEST_TIMEOUT_S,
    overload=OverloadBounds(PLAIN_OBJECTIVE_S, recovery_s=5.0, learning_s=3.0)
    if _OVERLOAD_POLICY
    else None,
)
_RELAY_SETTINGS = {
    "grace_s": "6",
    "settle_s": "1",
    "drain_ms": str(_DRAIN_TIMEOUT_S * 1000.0),
    "quota_window_s": str(_QUOTA_WINDOW_S),
    "quota_overshoot": str(_QUOTA_OVERSHOOT),
    "quota_slack": "0",
    "usage_window_s": "2",
    "usage_late_s": "6",
}
_READY_TIMEOUT_S = 20.0
_PROBE_INTERVAL_S = 0.25
_KNOWN_VERSIONS = 3
# Between two writes of all endpoints' entries, before the store forgets them.
_ENTRY_INTERVAL_S = 0.2
# A crashing request is sent four times a second.
_FATAL_INTERVAL_S = 0.25
# Several times what the other clients send to one relay.
_CROWD_INTERVAL_S = 0.01
_CROWD_SHARE = 0.9
# Time in which relays learn of a version that joins, streams whose clients come back,
# events after which they leave, and the time from then until a relay goes on.
_UNSEEN_JOIN_S = 0.7
_RETURNING_STREAMS = 12
_EVENTS_BEFORE_RETURN = 2
_RETURN_DELAY_S = 0.2
_FATAL_KINDS = (Kind.IDEMPOTENT, Kind.RESUMABLE_STREAM, Kind.STREAM, Kind.AT_MOST_ONCE)


class Size(NamedTuple):
    """The size of a soak; ``slow_clients`` have slow links."""

    relays: int = 3
    endpoints: int = 4
    clients: int = 12
    seconds: float = 12.0
    slow_clients: int = 0


class Verdict(NamedTuple):
    """The result of one seed; ``moved`` counts migrated runs."""

    seed: int
    requests: int
    served: int
    moved: int
    faults: int
    violations: list[Violation]


class _Soak:
    """The system of one soak: platform, relays, endpoints and clients."""

    def __init__(
        self, plan: Sequence[Step], seed: int, size: Size, folder: Path
    ) -> None:
        self.log = Log()
        self._plan = plan
        self._seed = seed
        self._size = size
        self._folder = folder
        self._rng = Random(seed)
        self._platform = SoakPlatform(self.log, Random(seed + 1))
        self._cuts = LinkCuts()
        self._fleet = SoakFleet(self._platform, self.log, size.endpoints, self._cuts)
        self._relays: list[RelayProcess] = []
        self._plain = PlainLoad(self._platform, self.log, self._cuts, self._relays)
        self._version = 0

    async def run(self) -> None:
        """Start the system, inject faults under load, and end all processes."""
        async with AsyncExitStack() as stack:
            await self._start(stack)
            client = Client(self.log, self._relays, Random(self._seed + 2))
            stack.push_async_callback(client.close)
            await self._wait_served(client)
            self.log.results.clear()
            self.log.runs.clear()
            start = time.monotonic()
            slow = SlowClient(self.log, self._relays, Random(self._seed + 4))
            stack.push_async_callback(slow.close)
            tasks = self._load(client, slow)
            steps = [
                asyncio.create_task(self._inject_at(start + step.at, step))
                for step in self._plan
            ]
            await asyncio.sleep(self._size.seconds)
            await asyncio.gather(*steps)
            await self._fleet.wait_replaced()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _start(self, stack: AsyncExitStack) -> None:
        await self._platform.start()
        stack.push_async_callback(self._platform.stop)
        await self._fleet.start()
        stack.push_async_callback(self._fleet.stop)
        stack.push_async_callback(self._plain.stop)
        await self._plain.start()
        await self._publish()
        for number in range(self._size.relays):
            proxy = await Proxy(self._platform.address).start()
            stack.push_async_callback(proxy.stop)
            relay = RelayProcess(
                f"n{number}",
                self._folder,
                proxy,
                _RELAY_SETTINGS,
                source_address(number),
                _OVERLOAD_POLICY,
            )
            relay.on_own_end = partial(self._record_own_end, relay.name)
            relay.peers = await Proxy(relay.peer_address).start()
            stack.push_async_callback(relay.peers.stop)
            self._relays.append(relay)
        write_peer_proxies(self._folder, self._relays)
        for relay in self._relays:
            relay.write_settings([r.peer_address for r in self._relays])
            await relay.start()
            stack.push_async_callback(relay.stop)

    def _record_own_end(self, relay: str, exit_code: int) -> None:
        self.log.own_ends.append(OwnEnd(relay, time.monotonic(), exit_code))

    async def _wait_served(self, client: Client) -> None:
        """Wait until every relay has served a request."""
        end = time.monotonic() + _READY_TIMEOUT_S
        for relay in self._relays:
            while time.monotonic() < end:
                await client.send(Kind.IDEMPOTENT, relay, _UNLIMITED)
                if self.log.results[-1].status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise TimeoutError(f"{relay.name} doesn't serve")

    def _load(self, client: Client, slow: Client) -> list[asyncio.Task[None]]:
        """Start the clients and probes."""
        loads = [client.run(_UNLIMITED, 0.05) for _ in range(self._size.clients)]
        for account in (_REQUEST_LIMITED, _TOKEN_LIMITED):
            loads += [
                client.run(account, 0.05) for _ in range(_CLIENTS_PER_LIMITED_ACCOUNT)
            ]
        loads += [slow.run(_UNLIMITED, 0.1) for _ in range(self._size.slow_clients)]
        loads += [self._probe(client, relay) for relay in self._relays]
        loads += self._plain.loads(client, Random(self._seed + 3))
        return [asyncio.create_task(load) for load in loads]

    async def _probe(self, client: Client, relay: RelayProcess) -> None:
        while True:
            oldest = max(1, self._version - _KNOWN_VERSIONS + 1)
            versions = range(oldest, self._version + 1)
            for version in versions:
                await client.probe(relay, _UNLIMITED.key, version)
            await asyncio.sleep(_PROBE_INTERVAL_S)

    # --- the operator ----------------------------------------------------------
    async def _publish(self) -> None:
        """Publish the next configuration."""
        version = self._version + 1
        routes = [
            RouteSpec(Kind.IDEMPOTENT.value, Repeat.IDEMPOTENT),
            RouteSpec(Kind.AT_MOST_ONCE.value, Repeat.ONCE),
            RouteSpec(
                Kind.SLOW.value, Repeat.ONCE, objective=_SLOW_CLIENTS_OBJECTIVE_S
            ),
            RouteSpec(Kind.STREAM.value, Repeat.STREAM),
            RouteSpec(Kind.RESUMABLE_STREAM.value, Repeat.STREAM, resumable=True),
            RouteSpec(f"{Kind.PROBE.value}{version}/", Repeat.IDEMPOTENT),
            *PLAIN_ROUTES,
        ]
        document = config_document(
            version,
            HOST,
            SERVICE,
            routes,
            [_REQUEST_LIMITED, _TOKEN_LIMITED, _UNLIMITED, *PLAIN_ACCOUNTS],
            [PLAIN_SERVICE],
        )
        at = await self._platform.write(CONFIG_TABLE, CONFIG_KEY, document)
        self.log.published_configs.append(PublishedConfig(version, at))
        self._version = version

    # --- faults ----------------------------------------------------------------
    async def _inject_at(self, when: float, step: Step) -> None:
        await asyncio.sleep(max(0.0, when - time.monotonic()))
        await self._inject(step)

    async def _inject(self, step: Step) -> None:
        """Inject one fault and wait until it ends."""
        relay = self._relays[step.which % len(self._relays)]
        match step.fault:
            case Fault.KILL:
                await self._kill(relay, step)
            case Fault.STOP:
                await self._stop(relay, step)
            case Fault.PAUSE:
                await self._pause(relay, step)
            case Fault.RELOAD:
                async with self.log.fault("hang up", relay.name):
                    relay.send_signal(signal.SIGHUP)
            case Fault.STORE_UNAVAILABLE:
                async with self.log.fault("store", ""):
                    self._platform.unavailable = True
                    await asyncio.sleep(step.seconds)
                    self._platform.unavailable = False
            case Fault.STORE_LOSES_ANSWERS:
                async with self.log.fault("store", ""):
                    self._platform.lost_answer_share = 0.5
                    await asyncio.sleep(step.seconds)
                    self._platform.lost_answer_share = 0.0
            case Fault.STORE_CUT:
                await self._break_link(relay.store, relay.name, step)
            case Fault.ENDPOINT_LINK_FAULT:
                if self._fleet.endpoints:
                    await self._break_link(self._fleet.pick(step).proxy, "", step)
            case Fault.ENDPOINT_LEAVES:
                await self._fleet.retire(step)
            case Fault.ENDPOINT_UNLISTED:
                await self._fleet.unlist(step)
            case Fault.ENDPOINT_CRASHES:
                await self._fleet.crash(step)
            case Fault.CONNECTIONS_SILENT:
                async with self.log.fault("silence", ""):
                    self._silence_connections()
            case Fault.FEED_REPLIES_LOST:
                async with self.log.fault("store", ""):
                    self._platform.loses_feed_replies = True
                    await asyncio.sleep(step.seconds)
                    self._platform.loses_feed_replies = False
            case Fault.HISTORY_DROPPED:
                async with self.log.fault("store", ""):
                    await self._platform.drop_history()
            case Fault.STORE_SILENT:
                async with self.log.fault("store", ""):
                    await self._platform.fall_silent(step.seconds)
            case Fault.PEERS_SILENT:
                async with self.log.fault("silence", ""):
                    for proxy in self._peer_proxies:
                        proxy.silence_open_connections()
            case Fault.PEER_UNREACHABLE:
                await self._silence_peer(relay, step)
            case Fault.CONFIG:
                await self._publish()
            case Fault.FATAL_REQUEST:
                await self._repeat_fatal(step)
            case Fault.FATAL_PART:
                await self._send_fatal_part(step)
            case Fault.CROWD:
                await self._crowd(relay, step)
            case Fault.SUSPENSION:
                await self._pause(relay, step)
            case Fault.ROLLOUT:
                await self._fleet.run_rollout(step)
            case Fault.MASS_KILL:
                await self._kill_many(step)
            case Fault.STORE_RESTORED:
                await self._restore_store(step)
            case Fault.ENDPOINT_LINKS_CUT:
                await self._cut_links(step)
            case Fault.SECOND_VERSION:
                await self._fleet.add_second_version(step)
            case Fault.ENDPOINT_OMITS_LENGTHS:
                await self._fleet.omit_lengths(step)
            case Fault.ENDPOINT_FULL:
                await self._fleet.refuse_some(step)
            case Fault.MOVES_REFUSED:
                await self._fleet.refuse_moves(step)
            case Fault.ENDPOINT_REPLACED:
                await self._fleet.replace(step)
            case Fault.ENDPOINTS_SILENT:
                await self._fleet.be_silent(step)
            case Fault.VERSION_UNSEEN:
                await self._add_version_unseen(relay, step)
            case Fault.OVERLOAD:
                await self._plain.overload(step)
            case Fault.ENDPOINTS_UNEQUAL:
                await self._plain.slow_down(step)
            case (
                Fault.ANNOUNCES_LIMIT | Fault.ANNOUNCES_LEAVING | Fault.REQUESTS_BACKOFF
            ):
                await self._fleet.announce(step)

    async def _kill(self, relay: RelayProcess, step: Step) -> None:
        async with relay.lock, self.log.fault("kill", relay.name):
            relay.send_signal(signal.SIGKILL)
            await relay.wait_ended()
            await asyncio.sleep(step.seconds / 2.0)
            await self._restart(relay)

    async def _kill_many(self, step: Step) -> None:
        """Kill all relays, or every second one, concurrently."""
        relays = self._relays[:: 1 + step.which % 2]
        await asyncio.gather(*(self._kill(relay, step) for relay in relays))

    async def _stop(self, relay: RelayProcess, _step: Step) -> None:
        async with relay.lock:
            async with self.log.fault("stop", relay.name):
                relay.send_signal(signal.SIGTERM)
                await relay.wait_ended()
            async with self.log.fault("start", relay.name):
                await self._restart(relay)

    async def _restart(self, relay: RelayProcess) -> None:
        """Start a relay and let it synchronise with the others.

        A relay serves as soon as it is ready, before it has the others' state.
        """
        await relay.start()
        await relay.wait_ready()
        await asyncio.sleep(1.0)

    async def _pause(self, relay: RelayProcess, step: Step) -> None:
        async with relay.lock, self.log.fault("pause", relay.name):
            relay.send_signal(signal.SIGSTOP)
            await asyncio.sleep(step.seconds)
            relay.send_signal(signal.SIGCONT)

    async def _add_version_unseen(self, relay: RelayProcess, step: Step) -> None:
        """Let a version join while a relay stands still, and streams come back there.

        Every second time its links are silent meanwhile, and those between all relays
        as it goes on.
        """
        assert relay.peers is not None
        is_cut = step.which // len(self._relays) % 2 == 1
        own_links = [relay.store, relay.peers] if is_cut else []
        links = [relay.store, *self._peer_proxies] if is_cut else []
        client = Client(self.log, self._relays, Random(step.which))
        others = [other for other in self._relays if other is not relay]
        async with relay.lock, self.log.fault("pause", relay.name):
            relay.send_signal(signal.SIGSTOP)
            for link in own_links:
                link.set_fault(LinkFault.SILENT)
            joining = asyncio.ensure_future(self._fleet.add_second_version(step))
            await asyncio.sleep(_UNSEEN_JOIN_S)
            begun = await asyncio.gather(
                *(
                    client.send(
                        Kind.RESUMABLE_STREAM,
                        others[number % len(others)],
                        _UNLIMITED,
                        leave_after=_EVENTS_BEFORE_RETURN,
                    )
                    for number in range(_RETURNING_STREAMS)
                )
            )
            returns = [
                asyncio.ensure_future(
                    client.send(
                        Kind.RESUMABLE_STREAM, relay, _UNLIMITED, resumed=result
                    )
                )
                for result in begun
                if may_resume(result)
            ]
            async with self.log.fault("silence", ""):
                for link in links:
                    link.set_fault(LinkFault.SILENT)
                await asyncio.sleep(_RETURN_DELAY_S)
                relay.send_signal(signal.SIGCONT)
                await asyncio.gather(*returns)
                for link in links:
                    link.set_fault(LinkFault.NONE)
        await client.close()
        await joining

    async def _break_link(self, proxy: Proxy, relay: str, step: Step) -> None:
        faults = [fault for fault in LinkFault if fault is not LinkFault.NONE]
        async with self.log.fault("link", relay):
            proxy.set_fault(faults[step.which % len(faults)])
            await asyncio.sleep(step.seconds)
            proxy.set_fault(LinkFault.NONE)

    async def _restore_store(self, step: Step) -> None:
        """Let the store forget some seconds, in which endpoints wrote their entries."""
        begin = time.monotonic()
        while (left := begin + step.seconds - time.monotonic()) > 0.0:
            await self._fleet.write_entries()
            await asyncio.sleep(min(_ENTRY_INTERVAL_S, left))
        async with self.log.fault("store", ""):
            age = time.monotonic() - begin
            await self._platform.restore(age, RESTORE_AWAY_S)

    async def _cut_links(self, step: Step) -> None:
        """Cut some relays, or all but one, from all endpoints."""
        modes = list(CutMode)
        mode = modes[step.which % len(modes)]
        count = len(self._relays)
        cut_count = (max(1, count // 3), count - 1)[step.which // len(modes) % 2]
        relays = Random(step.which).sample(self._relays, cut_count)
        begin = time.monotonic()
        for relay in relays:
            self._cuts.begin(relay.source, relay.cut_file, mode)
        await asyncio.sleep(step.seconds)
        for relay in relays:
            self._cuts.end(relay.source, relay.cut_file)
        names = tuple(relay.name for relay in relays)
        self.log.link_cuts.append(LinkCutPeriod(names, begin, time.monotonic()))

    @property
    def _peer_proxies(self) -> list[Proxy]:
        """The proxies by which relays reach each other."""
        return [relay.peers for relay in self._relays if relay.peers is not None]

    async def _silence_peer(self, relay: RelayProcess, step: Step) -> None:
        """Let other relays' connections to one carry nothing, new ones as well."""
        assert relay.peers is not None
        async with self.log.fault("peer link", relay.name):
            relay.peers.set_fault(LinkFault.SILENT)
            await asyncio.sleep(step.seconds)
            relay.peers.set_fault(LinkFault.NONE)

    def _silence_connections(self) -> None:
        """Let all open connections to the store and to endpoints fall silent."""
        for relay in self._relays:
            relay.store.silence_open_connections()
        for endpoint in self._fleet.endpoints:
            endpoint.proxy.silence_open_connections()

    async def _repeat_fatal(self, step: Step) -> None:
        """Repeatedly send a request that crashes endpoints, to random relays."""
        rng = Random(step.which)
        kind = rng.choice(_FATAL_KINDS)
        body = FATAL_PREFIX + f"-{step.which}".encode()

        def send(client: Client, _number: int) -> Coroutine[Any, Any, Any]:
            asked = rng.choice((1, 1, 2, len(self._relays)))
            relays = rng.sample(self._relays, asked)
            return client.send_to_all(body, kind, relays, _UNLIMITED.key)

        client = Client(self.log, self._relays, Random(step.which))
        await _send_repeatedly(client, send, step.seconds, _FATAL_INTERVAL_S)

    async def _send_fatal_part(self, step: Step) -> None:
        """Send different requests with a part that crashes endpoints."""
        rng = Random(step.which)
        parts = (SHARED_PART, f"{step.which:x}")
        cause = f"{FATAL_PART_PREFIX}-{step.which}"

        def send(client: Client, number: int) -> Coroutine[Any, Any, Any]:
            body = f"{cause}{BODY_NUMBER}{number}".encode()
            kind, relay = rng.choice(_FATAL_KINDS), rng.choice(self._relays)
            return client.send(kind, relay, _UNLIMITED, body=body, parts=parts)

        client = Client(self.log, self._relays, Random(step.which))
        await _send_repeatedly(client, send, step.seconds, _FATAL_INTERVAL_S)

    async def _crowd(self, relay: RelayProcess, step: Step) -> None:
        """Send requests on new connections, nine of ten to one relay."""
        rng = Random(step.which)
        begin = time.monotonic()

        def send(client: Client, _number: int) -> Coroutine[Any, Any, Any]:
            crowded = rng.random() < _CROWD_SHARE
            asked = relay if crowded else rng.choice(self._relays)
            return client.send(Kind.IDEMPOTENT, asked, _UNLIMITED)

        client = Client(self.log, self._relays, rng, reuse=False)
        await _send_repeatedly(client, send, step.seconds, _CROWD_INTERVAL_S)
        self.log.crowds.append(CrowdPeriod(relay.name, begin, begin + step.seconds))


async def _send_repeatedly(
    client: Client,
    send: Callable[[Client, int], Coroutine[Any, Any, Any]],
    seconds: float,
    interval_s: float,
) -> None:
    """Call ``send`` at an interval; wait for all calls, and close the client."""
    end = time.monotonic() + seconds
    async with AsyncExitStack() as stack:
        stack.push_async_callback(client.close)
        for number in count():
            if time.monotonic() >= end:
                return
            task = asyncio.ensure_future(send(client, number))
            stack.push_async_callback(_wait_task, task)
            await asyncio.sleep(interval_s)


async def _wait_task(task: asyncio.Task[Any]) -> None:
    await asyncio.gather(task, return_exceptions=True)


async def run_seed(
    seed: int,
    size: Size,
    plant: str | None = None,
    logs: Path | None = None,
    only: Collection[Fault] = tuple(Fault),
) -> Verdict:
    """Run one seed; with ``plant``, falsify the observations before the checks.

    After a violation the relays' logs and the observations are kept under ``logs``. Of
    the seed's faults, those in ``only`` are injected.
    """
    plan = [step for step in make_plan(seed, size.seconds) if step.fault in only]
    return await run_plan(plan, seed, size, plant, logs)


async def run_plan(
    plan: Sequence[Step],
    seed: int,
    size: Size,
    plant: str | None = None,
    logs: Path | None = None,
) -> Verdict:
    """Run the faults of a plan; the load is drawn from the seed."""
    with TemporaryDirectory(prefix="ebonydeal-soak-") as name:
        folder = Path(name)
        soak = _Soak(plan, seed, size, folder)
        await soak.run()
        log = soak.log
        if plant is not None:
            PLANTS[plant][0](log, GUARANTEES)
        violations = check_all(log, GUARANTEES)
        if violations and logs is not None:
            _write_observations(log, folder / "observations.txt")
            copytree(folder, logs / f"seed-{seed}", dirs_exist_ok=True)
    return Verdict(
        seed=seed,
        requests=len(log.results),
        served=sum(result.status == 200 and result.complete for result in log.results),
        moved=sum(run.migrated for run in log.runs),
        faults=len(plan),
        violations=violations,
    )


def _write_observations(log: Log, path: Path) -> None:
    """Write one line for each observation; times are those of the monotonic clock."""
    with path.open("w", encoding="utf-8") as out:
        out.write(f"# monotonic {time.monotonic()} is {time.time()} s since 1970\n")
        for observations in vars(log).values():
            out.writelines(f"{observation}\n" for observation in observations)
