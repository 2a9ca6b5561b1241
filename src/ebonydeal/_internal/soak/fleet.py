"""The endpoints of a soak, and their faults."""

import asyncio
import time

from ebonydeal._internal.models.rollouts import Phase, RolloutOrder
from ebonydeal._internal.platform.rows import CONFIG_TABLE, MEMBERS_TABLE
from ebonydeal._internal.platform.server_side import (
    member_document,
    order_document,
    order_key,
)
from ebonydeal._internal.soak.endpoints import (
    DEFAULT_SPEC,
    SERVICE,
    EndpointSpec,
    SoakEndpoint,
    VersionDefect,
)
from ebonydeal._internal.soak.link_cuts import LinkCuts
from ebonydeal._internal.soak.moved_runs import KvCaches, MoveRefusal
from ebonydeal._internal.soak.plan import Fault, Step
from ebonydeal._internal.soak.platform import SoakPlatform
from ebonydeal._internal.soak.records import ListedLeaving, Log, OrderedRollout

_LEAVE_NOTICE_S = 2.5
# An endpoint that is replaced ends once it had no runs for this long, and may get no
# new ones: longer than a run that was stopped needs to come back.
_MIN_SERVE_S = 3.0
_IDLE_S = 1.0
_IDLE_POLL_INTERVAL_S = 0.05
_RESTART_DELAY_S = 2.0
# Time from a roll-out's order to its new endpoints, and from its deadline until a
# missing verdict counts as a rollback.
_BOOT_DELAY_S = 0.4
_VERDICT_TIMEOUT_S = 3.0
# Longer than relays wait for an event before they ask another endpoint.
_SILENCES_S = (0.8, 1.5, 2.5)
# What endpoints announce: limits in requests per second, and backoffs.
_ANNOUNCED_LIMITS = (0.0, 0.3, 1.0, 1.4, 2.0)
_BACKOFFS_S = (1.0, 2.0, 3.0)
# Endpoints of a second version, which no order names.
_SECOND_VERSION = "v1.1"
_SECOND_VERSION_ENDPOINTS = 3


class SoakFleet:
    """The endpoints that serve; each fault takes the endpoint that its step selects.

    Parameters
    ----------
    platform : SoakPlatform
        Lists the endpoints.
    log : Log
        Observations.
    size : int
        Number of endpoints at the start, and of a new version.
    cuts : LinkCuts
        Cuts between relays and endpoints.
    spec : EndpointSpec
        The endpoints' service and capacity.
    prefix : str
        Prefix of the endpoints' names.
    """

    def __init__(
        self,
        platform: SoakPlatform,
        log: Log,
        size: int,
        cuts: LinkCuts,
        spec: EndpointSpec = DEFAULT_SPEC,
        prefix: str = "e",
    ) -> None:
        self._cuts = cuts
        self._spec = spec
        self._prefix = prefix
        self._platform = platform
        self._log = log
        self._size = size
        self._kv_caches = KvCaches()
        self.endpoints: list[SoakEndpoint] = []
        self._count = 0
        self._replacements: set[asyncio.Future[None]] = set()
        # Software version of the service's endpoints.
        self._service_version = "v1"

    async def start(self) -> None:
        """Start and list the initial endpoints."""
        for _ in range(self._size):
            await self.add()

    async def wait_replaced(self) -> None:
        """Wait until endpoints that requests crashed are replaced."""
        await asyncio.gather(*self._replacements)

    async def add(
        self, defect: VersionDefect = VersionDefect.NONE, version: str = ""
    ) -> None:
        """Start and list an endpoint, by default of the service's version."""
        self._count += 1
        endpoint = SoakEndpoint(
            f"{self._prefix}{self._count}",
            self._log,
            self._kv_caches,
            version or self._service_version,
            defect,
            self._cuts,
            self._spec,
            reclaimable=self._count % 2 == 1,
        )
        endpoint.on_crash = self._on_crash
        await endpoint.start()
        self.endpoints.append(endpoint)
        document = member_document(endpoint.member())
        await self._platform.write(MEMBERS_TABLE, endpoint.name, document)

    async def write_entries(self) -> None:
        """Write the entries of all endpoints that are listed as ready."""
        for endpoint in list(self.endpoints):
            document = member_document(endpoint.member())
            await self._platform.write(MEMBERS_TABLE, endpoint.name, document)

    async def stop(self) -> None:
        """Stop all endpoints."""
        for endpoint in self.endpoints:
            await endpoint.stop()

    async def retire(self, step: Step) -> None:
        """Add a new endpoint, then let another one leave with notice."""
        if not self.endpoints:
            return
        endpoint = self.pick(step)
        self.endpoints.remove(endpoint)
        await self.add()
        endpoint.set_leave_time(_LEAVE_NOTICE_S)
        await self._list_leaving(endpoint)
        await asyncio.sleep(_LEAVE_NOTICE_S)
        await endpoint.stop()
        await self._platform.write(MEMBERS_TABLE, endpoint.name, None)

    async def unlist(self, step: Step) -> None:
        """Let an endpoint leave by the list alone; it serves on for some seconds.

        Its entry says that it leaves, or is removed.
        """
        if not self.endpoints:
            return
        endpoint = self.pick(step)
        self.endpoints.remove(endpoint)
        await self.add(version=endpoint.version, defect=endpoint.defect)
        is_removed = step.which % 3 != 0
        await self._list_leaving(endpoint, is_removed)
        await asyncio.sleep(step.seconds)
        await endpoint.stop()
        if not is_removed:
            await self._platform.write(MEMBERS_TABLE, endpoint.name, None)

    async def _list_leaving(
        self, endpoint: SoakEndpoint, is_removed: bool = False
    ) -> None:
        """Let an endpoint's entry say that it leaves, or remove the entry."""
        document = None
        if not is_removed:
            document = member_document(endpoint.member(leaving=True))
        at = await self._platform.write(MEMBERS_TABLE, endpoint.name, document)
        self._log.listed_leaving.append(ListedLeaving(endpoint.name, at))

    async def replace(self, step: Step) -> None:
        """Replace an endpoint by the list; it serves all its runs to their end."""
        if not self.endpoints:
            return
        endpoint = self.pick(step)
        self.endpoints.remove(endpoint)
        await self.add(version=endpoint.version, defect=endpoint.defect)
        await self._list_leaving(endpoint)
        await asyncio.sleep(_MIN_SERVE_S)
        idle_since = time.monotonic()
        while time.monotonic() < idle_since + _IDLE_S:
            await asyncio.sleep(_IDLE_POLL_INTERVAL_S)
            if endpoint.has_runs:
                idle_since = time.monotonic()
        await endpoint.stop()
        await self._platform.write(MEMBERS_TABLE, endpoint.name, None)

    async def refuse_moves(self, step: Step) -> None:
        """Refuse to have runs moved for some time, in one of several ways."""
        refusals = [item for item in MoveRefusal if item is not MoveRefusal.NONE]
        self._kv_caches.refusal = refusals[step.which % len(refusals)]
        await asyncio.sleep(step.seconds)
        self._kv_caches.refusal = MoveRefusal.NONE

    async def announce(self, step: Step) -> None:
        """Let an endpoint announce something in its responses for some time.

        One that announces leaving stays listed as ready until it is gone.
        """
        if not self.endpoints:
            return
        endpoint = self.pick(step)
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
                self.endpoints.remove(endpoint)
                await self.add(version=endpoint.version, defect=endpoint.defect)
                await asyncio.sleep(step.seconds)
                await endpoint.stop()
                await self._platform.write(MEMBERS_TABLE, endpoint.name, None)

    async def add_second_version(self, step: Step) -> None:
        """Let endpoints of a second version serve beside the others for some time."""
        known = set(self.endpoints)
        for _ in range(_SECOND_VERSION_ENDPOINTS):
            await self.add(version=_SECOND_VERSION)
        added = [e for e in self.endpoints if e not in known]
        await asyncio.sleep(step.seconds)
        for endpoint in added:
            # Another fault may have removed it.
            if endpoint in self.endpoints:
                self.endpoints.remove(endpoint)
                await self._list_leaving(endpoint)
        await asyncio.sleep(_LEAVE_NOTICE_S)
        for endpoint in added:
            await endpoint.stop()
            await self._platform.write(MEMBERS_TABLE, endpoint.name, None)

    async def refuse_some(self, step: Step) -> None:
        """Let all endpoints refuse some requests for some time."""
        endpoints = list(self.endpoints)
        for endpoint in endpoints:
            endpoint.is_full = True
        await asyncio.sleep(step.seconds)
        for endpoint in endpoints:
            endpoint.is_full = False

    async def be_silent(self, step: Step) -> None:
        """Let the streams of some endpoints fall silent midway for some time.

        Half of the times the other endpoints refuse all requests meanwhile.
        """
        silent = self.endpoints[::2]
        others = self.endpoints[1::2] if step.which % 2 == 0 else []
        for endpoint in silent:
            endpoint.silence_s = _SILENCES_S[step.which % len(_SILENCES_S)]
        for endpoint in others:
            endpoint.refuses_all = True
        await asyncio.sleep(step.seconds)
        for endpoint in silent:
            endpoint.silence_s = 0.0
        for endpoint in others:
            endpoint.refuses_all = False

    async def omit_lengths(self, step: Step) -> None:
        """Let an endpoint's streams end with their connections for some time."""
        if not self.endpoints:
            return
        endpoint = self.pick(step)
        endpoint.omits_lengths = True
        await asyncio.sleep(step.seconds)
        endpoint.omits_lengths = False

    async def crash(self, step: Step) -> None:
        """Let an endpoint crash; its entry is removed later."""
        if not self.endpoints:
            return
        endpoint = self.pick(step)
        self.endpoints.remove(endpoint)
        async with self._log.fault("crash", ""):
            await endpoint.stop()
            await self.add()
            await asyncio.sleep(step.seconds)
            await self._platform.write(MEMBERS_TABLE, endpoint.name, None)

    async def run_rollout(self, step: Step) -> None:
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
        self._log.rollouts.append(rollout)
        await asyncio.sleep(_BOOT_DELAY_S)
        for _ in range(self._size):
            await self.add(defect, target_version)
        phase = await self._wait_verdict(
            target_version, rollout.deadline + _VERDICT_TIMEOUT_S
        )
        if phase is Phase.COMPLETED:
            self._service_version = target_version
        # Remove endpoints that are no longer needed: after a completed roll-out the old
        # ones at once, after a rollback the new ones with a delay.
        if phase is Phase.ROLLED_BACK:
            await asyncio.sleep(_LEAVE_NOTICE_S)
        for endpoint in list(self.endpoints):
            # Another fault may have removed it while an earlier one was being stopped.
            if endpoint.version != self._service_version and endpoint in self.endpoints:
                self.endpoints.remove(endpoint)
                await endpoint.stop()
                await self._platform.write(MEMBERS_TABLE, endpoint.name, None)

    async def _wait_verdict(self, target_version: str, end: float) -> Phase:
        """Wait for a roll-out's verdict; without one, treat it as rolled back."""
        while time.monotonic() < end:
            for status in self._log.rollout_statuses:
                if (
                    status.target_version == target_version
                    and status.phase is not Phase.RUNNING
                ):
                    return status.phase
            await asyncio.sleep(0.05)
        return Phase.ROLLED_BACK

    def pick(self, step: Step) -> SoakEndpoint:
        """Return a step's endpoint, of the service's version if there is one."""
        own = [e for e in self.endpoints if e.version == self._service_version]
        return (own or self.endpoints)[step.which % len(own or self.endpoints)]

    def _on_crash(self, endpoint: SoakEndpoint) -> None:
        """Start a replacement for an endpoint that a request crashed."""
        if endpoint in self.endpoints:
            self.endpoints.remove(endpoint)
        self._replacements.add(asyncio.ensure_future(self._replace_crashed(endpoint)))

    async def _replace_crashed(self, endpoint: SoakEndpoint) -> None:
        async with self._log.fault("crash", ""):
            await asyncio.sleep(_RESTART_DELAY_S)
            await endpoint.stop()
            await self.add(version=endpoint.version, defect=endpoint.defect)
            await self._platform.write(MEMBERS_TABLE, endpoint.name, None)
