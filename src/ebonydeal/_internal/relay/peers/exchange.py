"""Sends this relay's reports to the coordinator, and handles the replies."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple, TypeVar

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.derived_settings import INITIAL_RELAY_COUNT
from ebonydeal._internal.relay.duties.coordinator import Coordinator
from ebonydeal._internal.relay.limits.messages import (
    PERMIT,
    PermitMessage,
    PermitReply,
)
from ebonydeal._internal.relay.peers.messages import (
    EXCHANGE,
    GRANT,
    HOLDER,
    ExchangeMessage,
    ExchangeReply,
    GrantMessage,
    GrantReply,
    HolderMessage,
)
from ebonydeal._internal.routing.duties.coordinator_lease import (
    CoordinatorLease,
    LeaseRow,
)
from ebonydeal._internal.routing.duties.report_pacing import (
    MAX_JITTER,
    MIN_JITTER,
    ReportPacing,
)
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.exchange")

# Retries of relays that got no reply since their start: the interval between those of
# one relay, and the rate of all relays together.
_MIN_STARTUP_RETRY_INTERVAL_S = 0.1
_MAX_STARTUP_RETRIES_PER_S = 80.0

_Request = TypeVar("_Request")
_Reply = TypeVar("_Reply")

# A coordinator polls the configuration once a second. If it wasn't confirmed for longer
# than this, its version may not be the newest one.
_MAX_CONFIG_AGE_S = 1.5
# A call takes a few milliseconds, or a third of a second on a busy instance.
_CALL_TIMEOUT_S = 0.5


class ExchangeParts(NamedTuple):
    """The dependencies of `Exchange`.

    ``build_report`` gets the addresses of the known relays; ``on_reply`` gets the
    reply, and the time at which the report was sent. ``period`` is the minimum time
    between two reports, seconds.
    """

    coordinator: Coordinator
    client: PeerClient
    clock: Clock
    rng: Random
    build_report: Callable[[list[str]], ExchangeMessage]
    on_reply: Callable[[ExchangeReply, float], None]
    period: float = 0.5


class Exchange(SupervisedService):
    """Reports to the coordinator several times a second, and handles its replies."""

    def __init__(self, parts: ExchangeParts, seeds: tuple[str, ...]) -> None:
        super().__init__()
        self._parts = parts
        self._last_reply_at = parts.clock.now()
        self._deltas_pushed = False
        self.relays: list[str] = list(seeds)
        self._count = max(INITIAL_RELAY_COUNT, len(seeds))
        # Whether a coordinator's reply gave the number of relays.
        self.count_known = False
        self._pace = ReportPacing(parts.period)
        self._config_pushed = False
        # Whether the coordinator's version of the configuration was the newest one.
        self._config_confirmed = False
        self._links_down: dict[str, list[str]] = {}
        # The version of the coordinator's list of endpoints, by its last reply.
        self.coordinator_members = 0
        # Set once other relays can reach this one.
        self.reachable = asyncio.Event()
        self._report_requested = asyncio.Event()

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Add addresses from the settings to the known relays."""
        self.relays.extend(seed for seed in seeds if seed not in self.relays)

    @property
    def relay_count(self) -> int:
        """How many relays there are, by the last reply.

        Before the first reply, the count in the lease's row.
        """
        row = self.lease.row
        if self.count_known or row is None:
            return self._count
        return max(self._count, row.relays)

    @property
    def previous_relay_count(self) -> int:
        """How many relays a previous coordinator reported; 0 if unknown."""
        if self.count_known:
            return self._count
        row = self.lease.row
        return 0 if row is None else row.relays

    @property
    def coordinator_alive(self) -> bool:
        """Whether the coordinator replied recently."""
        elapsed = self._parts.clock.now() - self._last_reply_at
        return elapsed <= self._pace.isolation_timeout

    @property
    def isolation_timeout(self) -> float:
        """Seconds without a reply after which the coordinator's data is stale."""
        return self._pace.isolation_timeout

    @property
    def receives_deltas(self) -> bool:
        """Whether the coordinator pushes deltas to this relay, and is alive.

        After a suspension, earlier replies are stale, and the store is polled.
        """
        return self._deltas_pushed and self.coordinator_alive

    @property
    def hears_config(self) -> bool:
        """Whether a live coordinator shows the newest version of the configuration.

        Its list of endpoints may be up to date while its polls of the configuration get
        no reply.
        """
        return self.receives_deltas and self._config_confirmed

    @property
    def receives_config(self) -> bool:
        """Whether the coordinator pushes each configuration, and is alive."""
        return self.receives_deltas and self._config_pushed

    def links_down(self, service: str) -> list[str]:
        """Return the relays without links to a service, by a recent reply."""
        return self._links_down.get(service, []) if self.coordinator_alive else []

    @property
    def lease(self) -> CoordinatorLease:
        """The lease, as this relay knows it."""
        return self._parts.coordinator.lease

    @property
    def coordinator_address(self) -> str | None:
        """The coordinator's address, if known."""
        row = self._parts.coordinator.lease.row
        return row.address if row is not None and row.address else None

    @supervised_task
    async def _run(self) -> None:
        parts = self._parts
        await self.reachable.wait()
        while not self.should_stop:
            replied = await self._exchange_once()
            pause = self._pace.period if replied else self._retry_interval()
            jitter = parts.rng.uniform(MIN_JITTER, MAX_JITTER)
            await self._pause(pause * jitter)

    def _retry_interval(self) -> float:
        """Return the seconds until a report without a reply is retried.

        A relay that has just started has no share of limits before the first reply, so
        it retries often. Hundreds of them do so less often, to spare a small instance.
        """
        if self.count_known:
            return self._pace.retry_interval
        spread_interval = self.relay_count / _MAX_STARTUP_RETRIES_PER_S
        return min(
            self._pace.retry_interval,
            max(_MIN_STARTUP_RETRY_INTERVAL_S, spread_interval),
        )

    async def _pause(self, seconds: float) -> None:
        """Wait for that long, or until a report is requested."""
        waits = {
            asyncio.ensure_future(self._parts.clock.sleep(seconds)),
            asyncio.ensure_future(self._report_requested.wait()),
        }
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._report_requested.clear()
            for wait in waits:
                wait.cancel()

    def report_now(self) -> None:
        """Send the next report at once."""
        self._report_requested.set()

    async def flush(self) -> None:
        """Send a last report before this process ends."""
        await self._exchange_once()

    async def _exchange_once(self) -> bool:
        """Send one report; compete for the lease if the coordinator is lost.

        Returns whether there was a reply.
        """
        parts = self._parts
        lease = parts.coordinator.lease
        asked_at = parts.clock.now()
        try:
            reply = await self._send_report()
        except EbonydealError as exc:
            self._deltas_pushed = False
            elapsed = parts.clock.now() - self._last_reply_at
            if not lease.wanted and elapsed > self._pace.coordinator_timeout:
                logger.warning("Coordinator lost.", reason=str(exc))
                lease.wanted = True
            return False
        if reply is None:
            self._deltas_pushed = False
            lease.wanted = True
            return False
        # Nobody pushes deltas to the coordinator itself, and the list of a coordinator
        # whose store doesn't answer may be stale.
        self._deltas_pushed = reply["holds"] and reply["fresh"] and not lease.is_mine
        self._last_reply_at = parts.clock.now()
        if reply["relays"] is not None:
            self.relays = list(reply["relays"])
        self._count = max(1, len(self.relays))
        self.count_known = True
        # A coordinator of the previous release doesn't send these fields.
        self._pace = ReportPacing(max(parts.period, reply.get("period", 0.0)))
        self._config_pushed = reply.get("tells_config", False)
        config_age = reply.get("config_age")
        self._config_confirmed = (
            config_age is not None and config_age <= _MAX_CONFIG_AGE_S
        )
        self._links_down = reply.get("links_down", {})
        self.coordinator_members = reply["members"]
        lease.wanted = not reply["holds"]
        parts.on_reply(reply, asked_at)
        return True

    async def announce(self) -> None:
        """Notify all known relays that this one holds the lease now.

        Without this, each would read the lease's row: hundreds of calls to the store.
        """
        lease = self.lease
        if not lease.is_mine or lease.row is None:
            return
        message = HolderMessage(row=list(lease.row), version=lease.version)
        own = lease.row.address
        known = {*self.relays, *self._parts.coordinator.live_addresses()}
        others = sorted(known - {own})
        reached = await asyncio.gather(*(self._announce_to(a, message) for a in others))
        logger.info(
            "Relays told of the holder.", asked=len(reached), heard=sum(reached)
        )

    async def _announce_to(self, address: str, message: HolderMessage) -> bool:
        try:
            await self._parts.client.call(address, HOLDER, message, _CALL_TIMEOUT_S)
        except EbonydealError:
            # It will find the holder by reading the lease, or has stopped.
            return False
        return True

    def receive_lease_holder(self, message: HolderMessage) -> dict[str, Any]:
        """Apply another relay's announcement that it holds the lease."""
        self.lease.learn_holder(LeaseRow(*message["row"]), int(message["version"]))
        if not self.coordinator_alive or not self.count_known:
            self.report_now()
        return {}

    async def _send_report(self) -> ExchangeReply | None:
        parts = self._parts
        if parts.coordinator.lease.is_mine:
            return parts.coordinator.exchange(parts.build_report(self.relays))
        address = self.coordinator_address
        if address is None:
            return None
        reply: Any = await parts.client.call(
            address, EXCHANGE, parts.build_report(self.relays), _CALL_TIMEOUT_S
        )
        return reply

    async def grant(self, account: str, amount: float) -> GrantReply:
        """Ask the coordinator for a part of an account's limit.

        Raises `EbonydealError` if the coordinator doesn't reply.
        """
        message = GrantMessage(account=account, amount=amount, spare=False)
        return await self._ask_coordinator(
            GRANT, message, self._parts.coordinator.grant
        )

    async def permit(self, message: PermitMessage) -> PermitReply:
        """Ask to send a request to an endpoint that has a limit; raises as `grant`."""
        return await self._ask_coordinator(
            PERMIT, message, self._parts.coordinator.permit
        )

    async def _ask_coordinator(
        self, path: str, message: _Request, handle_locally: Callable[[_Request], _Reply]
    ) -> _Reply:
        """Call the coordinator; ``handle_locally`` serves where that is this relay."""
        if self._parts.coordinator.lease.is_mine:
            return handle_locally(message)
        address = self.coordinator_address
        if address is None:
            raise EbonydealError(ErrorKind.WRONG_OWNER, "no coordinator is known")
        client = self._parts.client
        reply: Any = await client.call(address, path, message, _CALL_TIMEOUT_S / 2)
        return reply
