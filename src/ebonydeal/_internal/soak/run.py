"""One soak: starts the system, injects the planned faults, checks the observations."""

import asyncio
import signal
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from random import Random
from shutil import copytree
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
from ebonydeal._internal.soak.endpoints import (
    FATAL_PREFIX,
    SERVICE,
    SoakEndpoint,
    VersionDefect,
)
from ebonydeal._internal.soak.guarantees import Guarantees, Limit, Violation
from ebonydeal._internal.soak.plan import Fault, Step, make_plan
from ebonydeal._internal.soak.plants import PLANTS
from ebonydeal._internal.soak.platform import SoakPlatform
from ebonydeal._internal.soak.processes import RelayProcess
from ebonydeal._internal.soak.proxy import LinkFault, Proxy
from ebonydeal._internal.soak.records import (
    FaultPeriod,
    Kind,
    ListedLeaving,
    Log,
    OrderedRollout,
    PublishedConfig,
)

_DRAIN_TIMEOUT_S = 2.0
_LEAVE_NOTICE_S = 2.5
_QUOTA_WINDOW_S = 2.0
_REQUEST_LIMITED = AccountSpec("small", "key-small", rate=8.0, burst=8.0)
_TOKEN_LIMITED = AccountSpec("tokens", "key-tokens", 1500.0, 1500.0, True, 50)
# They send several times their account's limit.
_CLIENTS_PER_LIMITED_ACCOUNT = 6
_UNLIMITED = AccountSpec("large", "key-large")
_QUOTA_OVERSHOOT = 0.1
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
# A crashing request is sent four times a second; endpoints restart after 2 s.
_FATAL_INTERVAL_S = 0.25
_RESTART_DELAY_S = 2.0
# Time from a roll-out's order to its new endpoints, and from its deadline until a
# missing verdict counts as a rollback.
_BOOT_DELAY_S = 0.4
_VERDICT_TIMEOUT_S = 3.0
# What endpoints announce: limits in requests per second, and backoffs.
_ANNOUNCED_LIMITS = (0.0, 0.3, 1.0, 1.4, 2.0)
_BACKOFFS_S = (1.0, 2.0, 3.0)
_FATAL_KINDS = (Kind.IDEMPOTENT, Kind.RESUMABLE_STREAM, Kind.STREAM, Kind.AT_MOST_ONCE)


class Size(NamedTuple):
    """The size of a soak."""

    relays: int = 3
    endpoints: int = 4
    clients: int = 12
    seconds: float = 12.0


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
        self._kv_caches: dict[str, str] = {}
        self._relays: list[RelayProcess] = []
        self._endpoints: list[SoakEndpoint] = []
        self._endpoint_count = 0
        self._replacements: set[asyncio.Future[None]] = set()
        self._version = 0
        # Software version of the service's endpoints.
        self._service_version = "v1"

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
            tasks = self._load(client)
            steps = [
                asyncio.create_task(self._inject_at(start + step.at, step))
                for step in self._plan
            ]
            await asyncio.sleep(self._size.seconds)
            await asyncio.gather(*steps)
            await asyncio.gather(*self._replacements)
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
            relay = RelayProcess(f"n{number}", self._folder, proxy, _RELAY_SETTINGS)
            self._relays.append(relay)
        for relay in self._relays:
            relay.write_settings([r.peer_address for r in self._relays])
            await relay.start()
            stack.push_async_callback(relay.stop)

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

    def _load(self, client: Client) -> list[asyncio.Task[None]]:
        """Start the clients and probes."""
        loads = [client.run(_UNLIMITED, 0.05) for _ in range(self._size.clients)]
        for account in (_REQUEST_LIMITED, _TOKEN_LIMITED):
            loads += [
                client.run(account, 0.05) for _ in range(_CLIENTS_PER_LIMITED_ACCOUNT)
            ]
        loads += [self._probe(client, relay) for relay in self._relays]
        return [asyncio.create_task(load) for load in loads]

    async def _probe(self, client: Client, relay: RelayProcess) -> None:
        while True:
            versions = range(max(1, self._version - 1), self._version + 1)
            for version in versions:
                await client.probe(relay, _UNLIMITED.key, version)
            await asyncio.sleep(_PROBE_INTERVAL_S)

    # --- the operator and the endpoints --------------------------------------
    async def _publish(self) -> None:
        """Publish the next configuration."""
        version = self._version + 1
        routes = [
            RouteSpec(Kind.IDEMPOTENT.value, Repeat.IDEMPOTENT),
            RouteSpec(Kind.AT_MOST_ONCE.value, Repeat.ONCE),
            RouteSpec(Kind.STREAM.value, Repeat.STREAM),
            RouteSpec(Kind.RESUMABLE_STREAM.value, Repeat.STREAM, resumable=True),
            RouteSpec(f"{Kind.PROBE.value}{version}/", Repeat.IDEMPOTENT),
        ]
        document = config_document(
            version,
            HOST,
            SERVICE,
            routes,
            [_REQUEST_LIMITED, _TOKEN_LIMITED, _UNLIMITED],
        )
        at = await self._platform.write(CONFIG_TABLE, CONFIG_KEY, document)
        self.log.published_configs.append(PublishedConfig(version, at))
        self._version = version

    async def _add_endpoint(
        self, defect: VersionDefect = VersionDefect.NONE, version: str = ""
    ) -> None:
        self._endpoint_count += 1
        endpoint = SoakEndpoint(
            f"e{self._endpoint_count}",
            self.log,
            self._kv_caches,
            version or self._service_version,
            defect,
        )
        endpoint.on_crash = self._on_crash
        await endpoint.start()
        self._endpoints.append(endpoint)
        document = member_document(endpoint.member())
        await self._platform.write(MEMBERS_TABLE, endpoint.name, document)

    async def _stop_endpoints(self) -> None:
        for endpoint in self._endpoints:
            await endpoint.stop()

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
                async with self._record_fault("hang up", relay.name):
                    relay.send_signal(signal.SIGHUP)
            case Fault.STORE_UNAVAILABLE:
                async with self._record_fault("store", ""):
                    self._platform.unavailable = True
                    await asyncio.sleep(step.seconds)
                    self._platform.unavailable = False
            case Fault.STORE_LOSES_ANSWERS:
                async with self._record_fault("store", ""):
                    self._platform.lost_answer_share = 0.5
                    await asyncio.sleep(step.seconds)
                    self._platform.lost_answer_share = 0.0
            case Fault.STORE_CUT:
                await self._break_link(relay.store, relay.name, step)
            case Fault.ENDPOINT_LINK_FAULT:
                if self._endpoints:
                    await self._break_link(self._pick(step).proxy, "", step)
            case Fault.ENDPOINT_LEAVES:
                await self._retire_endpoint(step)
            case Fault.ENDPOINT_UNLISTED:
                await self._unlist_endpoint(step)
            case Fault.ENDPOINT_CRASHES:
                await self._crash_endpoint(step)
            case Fault.CONNECTIONS_SILENT:
                async with self._record_fault("silence", ""):
                    self._silence_connections()
            case Fault.FEED_REPLIES_LOST:
                async with self._record_fault("store", ""):
                    self._platform.loses_feed_replies = True
                    await asyncio.sleep(step.seconds)
                    self._platform.loses_feed_replies = False
            case Fault.HISTORY_DROPPED:
                async with self._record_fault("store", ""):
                    await self._platform.drop_history()
            case Fault.CONFIG:
                await self._publish()
            case Fault.FATAL_REQUEST:
                await self._repeat_fatal(step)
            case Fault.SUSPENSION:
                await self._pause(relay, step)
            case Fault.ROLLOUT:
                await self._run_rollout(step)
            case Fault.MASS_KILL:
                await self._kill_many(step)
            case (
                Fault.ANNOUNCES_LIMIT | Fault.ANNOUNCES_LEAVING | Fault.REQUESTS_BACKOFF
            ):
                await self._announce(step)

    @asynccontextmanager
    async def _record_fault(self, kind: str, relay: str) -> AsyncIterator[None]:
        """Record the period of a fault."""
        begin = time.monotonic()
        try:
            yield
        finally:
            end = time.monotonic()
            self.log.fault_periods.append(FaultPeriod(kind, relay, begin, end))

    async def _kill(self, relay: RelayProcess, step: Step) -> None:
        async with relay.lock, self._record_fault("kill", relay.name):
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
            async with self._record_fault("stop", relay.name):
                relay.send_signal(signal.SIGTERM)
                await relay.wait_ended()
            async with self._record_fault("start", relay.name):
                await self._restart(relay)

    async def _restart(self, relay: RelayProcess) -> None:
        """Start a relay and let it synchronise with the others.

        A relay serves as soon as it is ready, before it has the others' state.
        """
        await relay.start()
        await relay.wait_ready()
        await asyncio.sleep(1.0)

    async def _pause(self, relay: RelayProcess, step: Step) -> None:
        async with relay.lock, self._record_fault("pause", relay.name):
            relay.send_signal(signal.SIGSTOP)
            await asyncio.sleep(step.seconds)
            relay.send_signal(signal.SIGCONT)

    async def _break_link(self, proxy: Proxy, relay: str, step: Step) -> None:
        faults = [fault for fault in LinkFault if fault is not LinkFault.NONE]
        async with self._record_fault("link", relay):
            proxy.set_fault(faults[step.which % len(faults)])
            await asyncio.sleep(step.seconds)
            proxy.set_fault(LinkFault.NONE)

    async def _retire_endpoint(self, step: Step) -> None:
        """Add a new endpoint, then let another one leave with notice."""
        if not self._endpoints:
            return
        endpoint = self._pick(step)
        self._endpoints.remove(endpoint)
        await self._add_endpoint()
        endpoint.set_leave_time(_LEAVE_NOTICE_S)
        document = member_document(endpoint.member(leaving=True))
        at = await self._platform.write(MEMBERS_TABLE, endpoint.name, document)
        self.log.listed_leaving.append(ListedLeaving(endpoint.name, at))
        await asyncio.sleep(_LEAVE_NOTICE_S)
        await endpoint.stop()
        await self._platform.write(MEMBERS_TABLE, endpoint.name, None)

    async def _unlist_endpoint(self, step: Step) -> None:
        """Let an endpoint leave by the list alone; it serves on for some seconds.

        Its entry says that it leaves, or is removed.
        """
        if not self._endpoints:
            return
        endpoint = self._pick(step)
        self._endpoints.remove(endpoint)
        await self._add_endpoint(version=endpoint.version, defect=endpoint.defect)
        document = None
        if step.which % 3 == 0:
            document = member_document(endpoint.member(leaving=True))
        at = await self._platform.write(MEMBERS_TABLE, endpoint.name, document)
        self.log.listed_leaving.append(ListedLeaving(endpoint.name, at))
        await asyncio.sleep(step.seconds)
        await endpoint.stop()
        if document is not None:
            await self._platform.write(MEMBERS_TABLE, endpoint.name, None)

    def _silence_connections(self) -> None:
        """Let all open connections to the store and to endpoints fall silent."""
        for relay in self._relays:
            relay.store.silence_open_connections()
        for endpoint in self._endpoints:
            endpoint.proxy.silence_open_connections()

    async def _announce(self, step: Step) -> None:
        """Let an endpoint announce something in its responses for some time.

        One that announces leaving stays listed as ready until it is gone.
        """
        if not self._endpoints:
            return
        endpoint = self._pick(step)
        match step.fault:
            case Fault.ANNOUNCES_LIMIT:
                endpoint.limit = _ANNOUNCED_LIMITS[step.which % len(_ANNOUNCED_LIMITS)]
                await asyncio.sleep(step.seconds)
                endpoint.limit = None
            case Fault.REQUESTS_BACKOFF:
                endpoint.backoff_s = _BACKOFFS_S[step.which % len(_BACKOFFS_S)]
                await asyncio.sleep(step.seconds)
                endpoint.backoff_s = 0.0
            case Fault.ANNOUNCES_LEAVING:
                endpoint.announces_leaving = True
                self._endpoints.remove(endpoint)
                await self._add_endpoint(
                    version=endpoint.version, defect=endpoint.defect
                )
                await asyncio.sleep(step.seconds)
                await endpoint.stop()
                await self._platform.write(MEMBERS_TABLE, endpoint.name, None)

    async def _crash_endpoint(self, step: Step) -> None:
        """Let an endpoint crash; its entry is removed later."""
        if not self._endpoints:
            return
        endpoint = self._pick(step)
        self._endpoints.remove(endpoint)
        async with self._record_fault("crash", ""):
            await endpoint.stop()
            await self._add_endpoint()
            await asyncio.sleep(step.seconds)
            await self._platform.write(MEMBERS_TABLE, endpoint.name, None)

    async def _run_rollout(self, step: Step) -> None:
        """Roll out a new version, with or without a defect, and apply the verdict."""
        defect = list(VersionDefect)[step.which % len(VersionDefect)]
        target_version = "v2"
        order = RolloutOrder(SERVICE, target_version, step.seconds, 0)
        at = await self._platform.write(
            CONFIG_TABLE, order_key(SERVICE), order_document(order)
        )
        rollout = OrderedRollout(
            target_version, defect is not VersionDefect.NONE, at, at + step.seconds
        )
        self.log.rollouts.append(rollout)
        await asyncio.sleep(_BOOT_DELAY_S)
        for _ in range(self._size.endpoints):
            await self._add_endpoint(defect, target_version)
        phase = await self._wait_verdict(
            target_version, rollout.deadline + _VERDICT_TIMEOUT_S
        )
        if phase is Phase.COMPLETED:
            self._service_version = target_version
        # Remove endpoints that are no longer needed: after a completed roll-out the old
        # ones at once, after a rollback the new ones with a delay.
        if phase is Phase.ROLLED_BACK:
            await asyncio.sleep(_LEAVE_NOTICE_S)
        for endpoint in list(self._endpoints):
            # Another fault may have removed it while an earlier one was being stopped.
            if (
                endpoint.version != self._service_version
                and endpoint in self._endpoints
            ):
                self._endpoints.remove(endpoint)
                await endpoint.stop()
                await self._platform.write(MEMBERS_TABLE, endpoint.name, None)

    async def _wait_verdict(self, target_version: str, end: float) -> Phase:
        """Wait for a roll-out's verdict; without one, treat it as rolled back."""
        while time.monotonic() < end:
            for status in self.log.rollout_statuses:
                if (
                    status.target_version == target_version
                    and status.phase is not Phase.RUNNING
                ):
                    return status.phase
            await asyncio.sleep(0.05)
        return Phase.ROLLED_BACK

    def _pick(self, step: Step) -> SoakEndpoint:
        """Return an endpoint, of the service's current version if there is one."""
        own = [e for e in self._endpoints if e.version == self._service_version]
        return (own or self._endpoints)[step.which % len(own or self._endpoints)]

    def _on_crash(self, endpoint: SoakEndpoint) -> None:
        """Start a replacement for an endpoint that a request crashed."""
        if endpoint in self._endpoints:
            self._endpoints.remove(endpoint)
        self._replacements.add(asyncio.ensure_future(self._replace_crashed(endpoint)))

    async def _replace_crashed(self, endpoint: SoakEndpoint) -> None:
        async with self._record_fault("crash", ""):
            await asyncio.sleep(_RESTART_DELAY_S)
            await endpoint.stop()
            await self._add_endpoint(version=endpoint.version, defect=endpoint.defect)
            await self._platform.write(MEMBERS_TABLE, endpoint.name, None)

    async def _repeat_fatal(self, step: Step) -> None:
        """Repeatedly send a request that crashes endpoints, to random relays."""
        rng = Random(step.which)
        kind = rng.choice(_FATAL_KINDS)
        body = FATAL_PREFIX + f"-{step.which}".encode()
        end = time.monotonic() + step.seconds
        async with AsyncExitStack() as stack:
            client = Client(self.log, self._relays, Random(step.which))
            stack.push_async_callback(client.close)
            while time.monotonic() < end:
                count = rng.choice((1, 1, 2, len(self._relays)))
                relays = rng.sample(self._relays, count)
                sending = client.send_to_all(body, kind, relays, _UNLIMITED.key)
                task = asyncio.ensure_future(sending)
                stack.push_async_callback(_wait_task, task)
                await asyncio.sleep(_FATAL_INTERVAL_S)


async def _wait_task(task: asyncio.Task[None]) -> None:
    await asyncio.gather(task, return_exceptions=True)


async def run_seed(
    seed: int, size: Size, plant: str | None = None, logs: Path | None = None
) -> Verdict:
    """Run one seed; with ``plant``, falsify the observations before the checks.

    After a violation the relays' logs and the observations are kept under ``logs``.
    """
    return await run_plan(make_plan(seed, size.seconds), seed, size, plant, logs)


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
