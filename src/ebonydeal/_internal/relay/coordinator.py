"""What one relay does for all: it holds the lease of the duties.

It hears every relay several times a second, tells each what the others have at
the endpoints, grants parts of client accounts' limits, reports usage and orders
endpoints. When it is gone another takes the lease; what relays told it, they
tell the next one again.
"""

from random import Random
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.shared import NO_ROW, RowChange
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.messages import (
    ExchangeMessage,
    ExchangeReply,
    GrantMessage,
    GrantReply,
)
from ebonydeal._internal.relay.ports import Duties, SharedStore
from ebonydeal._internal.relay.usage_store import UsageStore
from ebonydeal._internal.relay.view import RelayView
from ebonydeal._internal.routing.duty_lease import (
    DutyLease,
    LeaseRow,
    Look,
    Rest,
    Write,
)
from ebonydeal._internal.routing.quota_broker import QuotaBounds, QuotaBroker
from ebonydeal._internal.routing.usage_ledger import Due, UsageLedger
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.coordinator")

LEASE_TABLE = "ebonydeal-lease"
_LEASE_KEY = "duties"
_LOOK_S = 0.5
_REST_S = 0.1
_USAGE_STEP_S = 0.25
# After taking the lease, relays need this long to tell what they know.
_WARM_UP_S = 1.3
# A relay not heard for this long is held to be gone.
_SILENT_S = 3.0
# A relay that is not heard for this long goes on alone: about its own patience,
# and above the longest time between two exchanges.
_ALONE_S = 2.0
# How long a silent one may be cut off and still serving, unless it comes back.
_MAY_SERVE_S = 15.0


class _Relay(NamedTuple):
    """A relay as last heard."""

    address: str
    at: float
    message: ExchangeMessage


class CoordinatorParts(NamedTuple):
    """What the coordinator works with."""

    store: SharedStore
    duties: Duties
    view: RelayView
    clock: Clock
    rng: Random


class Coordinator(Service):
    """The lease, and what its holder does.

    Parameters
    ----------
    parts : CoordinatorParts
        The outside and the view.
    lease : DutyLease
        The protocol of the lease.
    ledger : UsageLedger
        Usage windows.
    bounds : QuotaBounds
        What limits tolerate.
    checks_fence : bool
        Whether the platform refuses calls with an old fencing number.
    """

    def __init__(
        self,
        parts: CoordinatorParts,
        lease: DutyLease,
        ledger: UsageLedger,
        bounds: QuotaBounds,
        checks_fence: bool,
    ) -> None:
        super().__init__()
        self._parts = parts
        self.lease = lease
        self._ledger = ledger
        self._usage = UsageStore(parts.store, ledger)
        self._checks_fence = checks_fence
        self._refused_fence = 0
        self._broker = QuotaBroker(bounds)
        self._relays: dict[str, _Relay] = {}
        self._last_heard: dict[str, float] = {}
        self._held_since: float | None = None
        self._stopping = False

    # --- what the holder knows ---------------------------------------------------
    @property
    def holds(self) -> bool:
        """Whether this relay may act on the duties now."""
        return self.lease.holds(self._parts.clock.now())

    @property
    def warm(self) -> bool:
        """Whether relays had time to tell what they know."""
        since = self._held_since
        return since is not None and self._parts.clock.now() - since >= _WARM_UP_S

    @property
    def may_order(self) -> bool:
        """Whether endpoints may be ordered.

        Where the platform checks fencing numbers, the last holder goes on
        while the store is away and can renew nobody's lease: a newer holder's
        number makes the platform refuse it.
        """
        if not self.warm or not self.lease.mine:
            return False
        if self.holds:
            return True
        return self._checks_fence and self.lease.fence != self._refused_fence

    def order_refused(self) -> None:
        """Note a refusal that may come from a newer holder."""
        if not self.holds:
            self._refused_fence = self.lease.fence

    def heard_lately(self) -> list[ExchangeMessage]:
        """Return the last word of each relay that is alive."""
        now = self._parts.clock.now()
        return [r.message for r in self._relays.values() if now - r.at <= _SILENT_S]

    # --- talk with relays --------------------------------------------------------
    def exchange(self, message: ExchangeMessage) -> ExchangeReply:
        """Take a relay's word and tell it what it needs."""
        parts = self._parts
        now = parts.clock.now()
        node = message["node"]
        self._relays[node] = _Relay(message["address"], now, message)
        self._last_heard[node] = now
        if message["leaving"]:
            del self._last_heard[node]
        self._broker.part = self._part_heard(now)
        # Counts are running totals of one incarnation.
        self._ledger.heard(
            f"{node}/{message['incarnation']}",
            {int(number): counts for number, counts in message["windows"].items()},
            message["wall"],
        )
        self._forget_silent(now)
        return ExchangeReply(
            holds=self.holds,
            fence=self.lease.fence,
            relays=[relay.address for relay in self._relays.values()],
            config=parts.view.version,
            members=parts.view.last_change,
            reported=self._ledger.reported,
            loads=self._loads_without(node),
            grants=self._advances(message, now),
        )

    def _part_heard(self, now: float) -> float:
        """Return the share of the relays that may be serving and are heard."""
        for node, at in list(self._last_heard.items()):
            if now - at > _MAY_SERVE_S:
                del self._last_heard[node]
        ages = [now - at for at in self._last_heard.values()]
        heard = sum(age <= _ALONE_S for age in ages)
        return heard / len(ages) if ages else 1.0

    def _forget_silent(self, now: float) -> None:
        for node, relay in list(self._relays.items()):
            if now - relay.at > _SILENT_S:
                self._ledger.forget(f"{node}/{relay.message['incarnation']}")
                del self._relays[node]

    def _loads_without(self, node: str) -> dict[str, list[float]]:
        """Return what all other relays have at each endpoint."""
        total: dict[str, list[float]] = {}
        for other, relay in self._relays.items():
            if other == node:
                continue
            for endpoint_id, load in relay.message["loads"].items():
                sums = total.setdefault(endpoint_id, [0, 0])
                sums[0] += load[0]
                sums[1] += load[1]
        return total

    def _advances(self, message: ExchangeMessage, now: float) -> dict[str, float]:
        index = self._parts.view.index
        if index is None:
            return {}
        grants = {}
        for account in index.table.accounts:
            demand = message["demand"].get(account.name)
            if demand is None or account.rate <= 0.0:
                continue
            amount = self._broker.advance(account, demand[0], demand[1], now)
            if amount > 0.0:
                grants[account.name] = round(amount, 1)
        return grants

    def grant(self, message: GrantMessage) -> GrantReply:
        """Grant a part of an account's limit; raises NO_ENDPOINT if it isn't ours."""
        index = self._parts.view.index
        if index is None or not self.lease.mine:
            raise EbonydealError(ErrorKind.WRONG_OWNER, "not the coordinator")
        for account in index.table.accounts:
            if account.name == message["account"]:
                now = self._parts.clock.now()
                got = self._broker.grant(account, message["amount"], now)
                return GrantReply(amount=got.amount, wait=got.wait)
        return GrantReply(amount=0.0, wait=1.0)

    # --- lease -----------------------------------------------------------------
    @Service.task
    async def _keep_lease(self) -> None:
        # All relays start together: the first to come makes the row.
        await self._parts.clock.sleep(self._parts.rng.uniform(0.0, 0.3))
        while not self.should_stop:
            held = self.holds
            try:
                await self._lease_step()
                if self.holds and self._held_since is None:
                    await self._usage.read_open()
            except EbonydealError as exc:
                self._lease_failed(exc)
                await self._parts.clock.sleep(_LOOK_S * self._parts.rng.uniform(0.5, 1))
            self._note_change(held)

    async def _lease_step(self) -> None:
        """Take one step of the lease's protocol."""
        parts, lease = self._parts, self.lease
        if self._stopping:
            # It takes no lease, but still has to tell the holder its counts.
            if lease.wanted:
                await self._look()
            await parts.clock.sleep(_LOOK_S * parts.rng.uniform(0.6, 1.4))
            return
        match lease.next_step(parts.clock.now()):
            case Rest(seconds=seconds):
                await parts.clock.sleep(min(_REST_S, seconds))
            case Look():
                await self._look()
                if not lease.mine:
                    await parts.clock.sleep(_LOOK_S * parts.rng.uniform(0.6, 1.4))
            case Write() as write:
                await self._write(write)

    async def _look(self) -> None:
        rows, _version = await self._parts.store.rows(LEASE_TABLE)
        now = self._parts.clock.now()
        for row in rows:
            if row.key == _LEASE_KEY and row.value is not None:
                self.lease.saw(_decoded(row.value), row.version, now)
                return
        self.lease.saw(None, NO_ROW, now)

    async def _write(self, write: Write) -> None:
        change = RowChange(LEASE_TABLE, _LEASE_KEY, write.row.encode(), write.expected)
        changes = [change]
        if self.lease.mine and write.row.fence == self.lease.fence:
            # With the renewal, what was told of usage outlives all processes.
            changes.append(self._usage.open_change())
        try:
            result = await self._parts.store.transact(changes)
        except EbonydealError as exc:
            if exc.kind is ErrorKind.STORE_IN_DOUBT:
                self.lease.in_doubt()
            raise
        if result.applied:
            self.lease.wrote(write.row, result.version)
            return
        now = self._parts.clock.now()
        row = result.rows[0] if result.rows else None
        value = None if row is None or row.value is None else _decoded(row.value)
        self.lease.saw(value, NO_ROW if row is None else row.version, now)

    def _lease_failed(self, exc: EbonydealError) -> None:
        logger.warning("Lease: store call failed.", reason=str(exc))
        self.lease.failed(self._parts.clock.now())

    def _note_change(self, held: bool) -> None:
        """Log the lease gained or lost, and start afresh."""
        holds = self.holds
        if holds == held:
            return
        fence = self.lease.fence
        if not holds:
            logger.warning("Lease lost.", fence=fence)
            return
        logger.info("Lease gained.", fence=fence)
        if self._held_since is None:
            # What was told before the lease was ours may be of long ago.
            self._broker.begin(fresh=fence == 1)
        self._held_since = self._parts.clock.now()

    async def release(self) -> None:
        """Free the lease at a planned stop, so that another takes it at once."""
        self._stopping = True
        write = self.lease.release()
        if write is None:
            return
        changes = [
            RowChange(LEASE_TABLE, _LEASE_KEY, write.row.encode(), write.expected),
            self._usage.open_change(),
        ]
        try:
            await self._parts.store.transact(changes)
        except EbonydealError as exc:
            logger.warning("Lease not released.", reason=str(exc))
        logger.info("Lease released.", fence=write.row.fence)

    # --- usage -----------------------------------------------------------------
    @Service.task
    async def _report_usage(self) -> None:
        while not self.should_stop:
            await self._parts.clock.sleep(_USAGE_STEP_S)
            index = self._parts.view.index
            if index is None or not self.warm or not self.holds:
                continue
            accounts = [account.name for account in index.table.accounts]
            due = self._ledger.due(self._parts.clock.wall(), accounts)
            if due is None:
                continue
            try:
                await self._report(due)
            except EbonydealError as exc:
                logger.warning("Usage waits.", window=due.window, reason=str(exc))

    async def _report(self, due: Due) -> None:
        """Store a window once, then send what is stored."""
        fence = self.lease.fence
        counts = await self._usage.store_once(due)
        if counts is None or not self.holds:
            return
        answer = await self._parts.duties.report_usage(due.window, counts, fence)
        logger.info(
            "Usage reported.",
            window=due.window,
            accepted=answer.accepted,
            counts=counts,
            relays=len(self._relays),
            told_by=self._ledger.told_by(due.window),
            detail="" if answer.accepted else answer.detail,
        )
        if answer.conflict:
            self.lease.in_doubt()
            return
        self._ledger.reported = due.window


def _decoded(value: bytes) -> LeaseRow | None:
    """Return the lease's row; one that can't be read counts as none."""
    try:
        return LeaseRow.decode(value)
    except (ValueError, KeyError, TypeError) as exc:
        logger.error("The lease's row can't be read.", reason=repr(exc))
        return None
