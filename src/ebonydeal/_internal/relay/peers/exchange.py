"""A relay's reports to the coordinator, and what it learns from the answers."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple, TypeVar

from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.logs import get_logger
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
from ebonydeal._internal.relay.shares import FIRST_RELAYS
from ebonydeal._internal.routing.duties.duty_lease import DutyLease, LeaseRow
from ebonydeal._internal.routing.duties.pace import JITTER_LEAST, JITTER_MOST, Pace
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient

logger = get_logger("relay.exchange")

# A relay that wasn't heard since its start tries again so soon, and all of them
# together so often a second.
_FIRST_AGAIN_S = 0.1
_FIRST_PER_S = 80.0

_Asked = TypeVar("_Asked")
_Told = TypeVar("_Told")

# Longest wait for an answer: a call takes a few milliseconds, on a busy instance a
# third of a second.
_CALL_S = 0.5


class ExchangeParts(NamedTuple):
    """What the exchange works with.

    ``word`` builds this relay's message from the relays it knows; ``heard`` takes
    the reply, and when it was asked for. ``period`` is the least time between two
    words, seconds.
    """

    coordinator: Coordinator
    client: PeerClient
    clock: Clock
    rng: Random
    build_report: Callable[[list[str]], ExchangeMessage]
    on_reply: Callable[[ExchangeReply, float], None]
    period: float = 0.5


class Exchange(Service):
    """Tells the coordinator, several times a second, and takes its answer."""

    def __init__(self, parts: ExchangeParts, seeds: tuple[str, ...]) -> None:
        super().__init__()
        self._parts = parts
        self._last_ok = parts.clock.now()
        self._deltas_pushed = False
        self.relays: list[str] = list(seeds)
        self._count = max(FIRST_RELAYS, len(seeds))
        # Whether a coordinator told how many relays there are.
        self.count_known = False
        self._pace = Pace(parts.period)
        self._config_pushed = False
        # Set once other relays can reach this one.
        self.reachable = asyncio.Event()
        self._soon = asyncio.Event()

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Ask other relays to begin with, beside those that are known."""
        self.relays.extend(seed for seed in seeds if seed not in self.relays)

    @property
    def relay_count(self) -> int:
        """How many relays there are, as last heard.

        Before a coordinator told it, as many as the last one wrote with the lease.
        """
        row = self.lease.row
        if self.count_known or row is None:
            return self._count
        return max(self._count, row.relays)

    @property
    def previous_relay_count(self) -> int:
        """How many relays a coordinator before told of; 0 where none did."""
        if self.count_known:
            return self._count
        row = self.lease.row
        return 0 if row is None else row.relays

    @property
    def coordinator_alive(self) -> bool:
        """Whether the coordinator answered lately."""
        silent = self._parts.clock.now() - self._last_ok
        return silent <= self._pace.patience

    @property
    def isolation_timeout(self) -> float:
        """Seconds of silence after which the coordinator's word is too old."""
        return self._pace.patience

    @property
    def receives_deltas(self) -> bool:
        """Whether another relay tells this one of changes: not while it is silent.

        After a suspension what was told before it says nothing: the store is asked.
        """
        return self._deltas_pushed and self.coordinator_alive

    @property
    def receives_config(self) -> bool:
        """Whether another relay tells this one of each configuration."""
        return self.receives_deltas and self._config_pushed

    @property
    def lease(self) -> DutyLease:
        """The lease as this relay sees it."""
        return self._parts.coordinator.lease

    @property
    def coordinator_address(self) -> str | None:
        """Where the coordinator is, as far as known."""
        row = self._parts.coordinator.lease.row
        return row.address if row is not None and row.address else None

    @Service.task
    async def _run(self) -> None:
        parts = self._parts
        await self.reachable.wait()
        while not self.should_stop:
            answered = await self._once()
            pause = self._pace.period if answered else self._again()
            jitter = parts.rng.uniform(JITTER_LEAST, JITTER_MOST)
            await self._pause(pause * jitter)

    def _again(self) -> float:
        """Return the seconds until a report without an answer is made again.

        One that has just started has no share of limits until it is heard. Hundreds of
        them don't all ask a small instance that often.
        """
        if self.count_known:
            return self._pace.again
        crowd = self.relay_count / _FIRST_PER_S
        return min(self._pace.again, max(_FIRST_AGAIN_S, crowd))

    async def _pause(self, seconds: float) -> None:
        """Wait so long, or until something is to be told now."""
        waits = {
            asyncio.ensure_future(self._parts.clock.sleep(seconds)),
            asyncio.ensure_future(self._soon.wait()),
        }
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._soon.clear()
            for wait in waits:
                wait.cancel()

    def report_now(self) -> None:
        """Tell the coordinator now."""
        self._soon.set()

    async def flush(self) -> None:
        """Tell the coordinator once more before this process ends."""
        await self._once()

    async def _once(self) -> bool:
        """Make one exchange; without an answer, want the lease.

        Returns whether there was an answer.
        """
        parts = self._parts
        lease = parts.coordinator.lease
        asked_at = parts.clock.now()
        try:
            reply = await self._ask()
        except EbonydealError as exc:
            self._deltas_pushed = False
            silent = parts.clock.now() - self._last_ok
            if not lease.wanted and silent > self._pace.lost_after:
                logger.warning("Coordinator lost.", reason=str(exc))
                lease.wanted = True
            return False
        if reply is None:
            self._deltas_pushed = False
            lease.wanted = True
            return False
        # Our own list is told by nobody, and that of a coordinator which doesn't
        # hear the store may be old.
        self._deltas_pushed = reply["holds"] and reply["fresh"] and not lease.mine
        self._last_ok = parts.clock.now()
        if reply["relays"] is not None:
            self.relays = list(reply["relays"])
        self._count = max(1, len(self.relays))
        self.count_known = True
        # A coordinator of the release before doesn't tell these.
        self._pace = Pace(max(parts.period, reply.get("period", 0.0)))
        self._config_pushed = reply.get("tells_config", False)
        lease.wanted = not reply["holds"]
        parts.on_reply(reply, asked_at)
        return True

    async def announce(self) -> None:
        """Tell all relays known that this one holds the lease now.

        Else each would find it by reading the lease: hundreds of calls of the store.
        """
        lease = self.lease
        if not lease.mine or lease.row is None:
            return
        message = HolderMessage(row=list(lease.row), version=lease.version)
        own = lease.row.address
        known = {*self.relays, *self._parts.coordinator.live_addresses()}
        others = sorted(known - {own})
        told = await asyncio.gather(*(self._tell_holder(a, message) for a in others))
        logger.info("Relays told of the holder.", asked=len(told), heard=sum(told))

    async def _tell_holder(self, address: str, message: HolderMessage) -> bool:
        try:
            await self._parts.client.call(address, HOLDER, message, _CALL_S)
        except EbonydealError:
            # It finds the holder by itself, or is gone.
            return False
        return True

    def receive_lease_holder(self, message: HolderMessage) -> dict[str, Any]:
        """Take another relay's word that it holds the lease."""
        self.lease.hear(LeaseRow(*message["row"]), int(message["version"]))
        if not self.coordinator_alive or not self.count_known:
            self.report_now()
        return {}

    async def _ask(self) -> ExchangeReply | None:
        parts = self._parts
        if parts.coordinator.lease.mine:
            return parts.coordinator.exchange(parts.build_report(self.relays))
        address = self.coordinator_address
        if address is None:
            return None
        reply: Any = await parts.client.call(
            address, EXCHANGE, parts.build_report(self.relays), _CALL_S
        )
        return reply

    async def grant(self, account: str, amount: float) -> GrantReply:
        """Ask for a part of a limit.

        Raises `EbonydealError` where the coordinator doesn't answer.
        """
        message = GrantMessage(account=account, amount=amount, spare=False)
        return await self._ask_coordinator(
            GRANT, message, self._parts.coordinator.grant
        )

    async def permit(self, message: PermitMessage) -> PermitReply:
        """Ask to send to an endpoint that named a limit; raises as `grant`."""
        return await self._ask_coordinator(
            PERMIT, message, self._parts.coordinator.permit
        )

    async def _ask_coordinator(
        self, path: str, message: _Asked, own: Callable[[_Asked], _Told]
    ) -> _Told:
        """Make a call of the coordinator, which may be this relay."""
        if self._parts.coordinator.lease.mine:
            return own(message)
        address = self.coordinator_address
        if address is None:
            raise EbonydealError(ErrorKind.WRONG_OWNER, "no coordinator is known")
        client = self._parts.client
        reply: Any = await client.call(address, path, message, _CALL_S / 2)
        return reply
