"""What one relay does for all: it holds the lease of the duties.

It hears every relay several times a second, tells each what the others have at
the endpoints, grants parts of client accounts' limits, reports usage and orders
endpoints. When it is gone another takes the lease; what relays told it, they
tell the next one again.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.duties.lease_keeper import KeptRow, LeaseKeeper
from ebonydeal._internal.relay.duties.usage_store import UsageStore
from ebonydeal._internal.relay.limits.granter import Granter, Peer
from ebonydeal._internal.relay.limits.messages import (
    DelegateMessage,
    LimitsReply,
    PermitMessage,
    PermitReply,
    ReleaseMessage,
    ReleaseReply,
)
from ebonydeal._internal.relay.limits.registry_store import RegistryStore
from ebonydeal._internal.relay.peers.messages import (
    ExchangeMessage,
    ExchangeReply,
    GrantMessage,
    GrantReply,
    NewsMessage,
    RolloutsMessage,
)
from ebonydeal._internal.relay.peers.roster import Roster
from ebonydeal._internal.relay.ports import Duties, SharedStore
from ebonydeal._internal.relay.view.news import news_since
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.crashes.crash_messages import EvidenceMessage
from ebonydeal._internal.routing.duties.duty_lease import DutyLease
from ebonydeal._internal.routing.duties.usage_ledger import Due, UsageLedger
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.limits.quota_broker import QuotaTerms
from ebonydeal._internal.routing.notices.notices import LimitReport
from ebonydeal._internal.settings.policy import PolicySettings
from ebonydeal._internal.settings.relay import RelaySettings
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.coordinator")

CompareCrashes = Callable[[ExchangeMessage], tuple[str, EvidenceMessage | None]]

_USAGE_STEP_S = 0.25
_TOLD_EVERY_S = 1.0
# Stand-ins are chosen among all relays anew after this long.
_NAMED_S = 0.1
# After taking the lease, relays need this long to tell what they know.
_WARM_UP_S = 1.3
# Instances that take the lease at once; smaller ones give them time to, since hundreds
# of relays' words and their news fill half a core and a link of 20 Mbit/s.
_LARGE_CORES = 1.0
_LARGE_LINK_MBPS = 50.0
# A larger one looks at the lease twice a second.
_STAND_BACK_S = 0.6
# From so many relays on, the coordinator's own frequent look at the configuration is
# cheaper than a long poll of each.
_TELL_CONFIG_FROM = 40


class CoordinatorParts(NamedTuple):
    """What the coordinator works with."""

    store: SharedStore
    duties: Duties
    view: RelayView
    clock: Clock
    rng: Random


class CoordinatorSize(NamedTuple):
    """What an instance can do as coordinator.

    Attributes
    ----------
    cores : float
        What it has of a core.
    stands_back_s : float
        Seconds for which it leaves a free lease to larger instances.
    exchange_s : float
        Shortest time between two words of a relay, seconds.
    """

    cores: float = 1.0
    stands_back_s: float = 0.0
    exchange_s: float = 0.5

    @classmethod
    def from_config(
        cls, cfg: RelaySettings, policy: PolicySettings
    ) -> "CoordinatorSize":
        """Build from settings."""
        cores = cfg.cpu_share * cfg.cpu_cores
        large = cores >= _LARGE_CORES and cfg.link_mbps >= _LARGE_LINK_MBPS
        return cls(cores, 0.0 if large else _STAND_BACK_S, policy.exchange_s)


def _counter(word: ExchangeMessage) -> str:
    """Return the name under which an incarnation's counts are kept."""
    return f"{word['node']}/{word['incarnation']}"


class _GrantTally:
    """What was granted, told once a second by account with the share granted of."""

    def __init__(self, by: Callable[[], tuple[int, float]]) -> None:
        self._by = by
        self._amounts: dict[str, float] = {}
        self._since = 0.0

    def add(self, account: str, amount: float, now: float) -> None:
        """Count a grant, or a refusal as 0; log what came in the second before."""
        if now - self._since >= _TOLD_EVERY_S:
            fence, share = self._by()
            amounts = {name: round(total) for name, total in self._amounts.items()}
            if amounts:
                logger.info("Granted.", fence=fence, share=share, amounts=amounts)
            self._amounts = {}
            self._since = now
        self._amounts[account] = self._amounts.get(account, 0.0) + amount


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
    terms : QuotaTerms, optional
        Which requests go first near an account's limit.
    size : CoordinatorSize, optional
        What this instance can do as coordinator.
    """

    def __init__(
        self,
        parts: CoordinatorParts,
        lease: DutyLease,
        ledger: UsageLedger,
        bounds: QuotaBounds,
        checks_fence: bool,
        terms: QuotaTerms | None = None,
        size: CoordinatorSize | None = None,
    ) -> None:
        super().__init__()
        self._parts = parts
        size = size or CoordinatorSize()
        self._ledger = ledger
        self._usage = UsageStore(parts.store, ledger)
        self._keeper = LeaseKeeper(
            parts.store,
            self._usage,
            lease,
            parts.clock,
            parts.rng,
            self._begin,
            size.stands_back_s,
        )
        self.lease = lease
        self._checks_fence = checks_fence
        self._refused_fence = 0
        self._roster = Roster(parts.clock, size.exchange_s, size.cores)
        self.granter = Granter(
            lease, lambda: self._keeper.holds, parts.clock, bounds, terms
        )
        self.granter.accounts = self._accounts
        self.granter.least_period = size.exchange_s
        self.stands_back_s = size.stands_back_s
        self._keeper.kept.append(
            RegistryStore(
                parts.store,
                self.granter,
                lease,
                parts.clock,
                lambda: {relay.message["node"] for relay in self._roster.alive()},
            )
        )
        self._tally = _GrantTally(self._granted_by)
        # The stand-ins' addresses, and until when they are as good as new.
        self._named: list[str] = []
        self._named_until = 0.0
        # Whether this relay is the first to stand in for the holder.
        self.is_stand_in: Callable[[], bool] = lambda: False
        self._keeper.goes_first = lambda: self.is_stand_in()
        # Whether another relay stands in, and takes the lease.
        self.has_stand_in: Callable[[], bool] = lambda: False
        self._keeper.goes_last = lambda: self.has_stand_in()
        # How many relays the coordinator before told of.
        self.relays_before: Callable[[], int] = lambda: 0
        # Told when this relay becomes the coordinator.
        self.on_begin: Callable[[], None] = lambda: None
        # Whether the store answers this relay: set by who follows it.
        self.hears_store: Callable[[], bool] = lambda: True
        # The same of the configuration alone.
        self.hears_config: Callable[[], bool] = lambda: True
        # Takes a relay's memory of crashes; returns the mark of ours, and ours where it
        # is another.
        self.compare_crashes: CompareCrashes = lambda _word: ("", None)
        # What relays are told of roll-outs.
        self.rollouts: Callable[[], RolloutsMessage | None] = lambda: None

    def on_init_dependencies(self) -> Iterable[Service]:
        """Return the task that keeps the lease."""
        return [self._keeper]

    def _begin(self) -> None:
        """Start afresh: what was told before may be of long ago."""
        self.on_begin()
        self._roster.begin(self.relays_before())

    def keep(self, kept: KeptRow) -> None:
        """Keep a row with the lease."""
        self._keeper.kept.append(kept)

    def write_soon(self) -> None:
        """Renew the lease now, and write with it what is due."""
        self.lease.renew_soon(self._parts.clock.now())

    @property
    def period(self) -> float:
        """Seconds between two reports of a relay."""
        return self._roster.pace.period

    def start_duties(self) -> None:
        """Take part in the lease: other relays can reach this one now."""
        self._keeper.reachable.set()

    async def release(self) -> None:
        """Free the lease at a planned stop, so that another takes it at once."""
        await self._keeper.release()

    # --- what the holder knows ---------------------------------------------------
    @property
    def holds(self) -> bool:
        """Whether this relay may act on the duties now."""
        return self._keeper.holds

    @property
    def fresh(self) -> bool:
        """Whether what this relay knows of endpoints comes from the store."""
        return self._parts.view.members_known and self.hears_store()

    @property
    def feeds_config(self) -> bool:
        """Whether relays are to hear of the configuration from here alone."""
        return self.holds and len(self._roster.alive()) >= _TELL_CONFIG_FROM

    @property
    def tells_config(self) -> bool:
        """Whether they do: not while the store keeps it from this relay."""
        return self.feeds_config and self.hears_config()

    @property
    def warm(self) -> bool:
        """Whether relays had time to tell what they know."""
        since = self._keeper.held_since
        return since is not None and self._parts.clock.now() - since >= _WARM_UP_S

    @property
    def may_order(self) -> bool:
        """Whether endpoints may be ordered.

        Where the platform checks fencing numbers, the last holder goes on
        while the store is away and can renew nobody's lease: a newer holder's
        number makes the platform refuse it.
        """
        # The very first holder has nobody to hear of what was ordered before.
        ready = self.warm or self.lease.fence == 1
        if not ready or not self.lease.mine:
            return False
        if self.holds:
            return True
        return self._checks_fence and self.lease.fence != self._refused_fence

    def order_refused(self) -> None:
        """Note a refusal that may come from a newer holder."""
        if not self.holds:
            self._refused_fence = self.lease.fence

    def callers(self) -> list[str]:
        """Return the addresses of relays that were heard lately."""
        return [relay.address for relay in self._roster.alive()]

    def heard_lately(self) -> list[ExchangeMessage]:
        """Return the last word of each relay that is alive."""
        return [relay.message for relay in self._roster.alive()]

    # --- talk with relays --------------------------------------------------------
    def exchange(self, message: ExchangeMessage) -> ExchangeReply:
        """Take a relay's word and tell it what it needs."""
        parts = self._parts
        node = message["node"]
        self._roster.hear(message)
        # Silent relays' counts are waited for no longer.
        self._roster.drop_silent(lambda word: self._ledger.forget(_counter(word)))
        self.lease.relays = self._roster.count
        # Counts are running totals of one incarnation.
        self._ledger.heard(
            _counter(message),
            {int(number): counts for number, counts in message["windows"].items()},
            message["wall"],
        )
        mark, crashes = self.compare_crashes(message)
        return ExchangeReply(
            holds=self.holds,
            relays=self._roster.addresses_unless(message.get("known", "")),
            config=parts.view.version,
            members=parts.view.last_change,
            reported=self._ledger.reported,
            loads=self._roster.loads_without(node),
            answers=self._roster.failures_without(node),
            # Relays of the release before look for amounts here.
            grants={},
            limits=self._hear_limits(message),
            period=self._roster.pace.period,
            tells_config=self.tells_config,
            fresh=self.fresh,
            news=self._news_of(node),
            crashes_mark=mark,
            crashes=crashes,
            rollouts=self.rollouts(),
            notices=self._hear_notices(message),
            said_leaving=self._hear_leaving(message),
        )

    def _hear_notices(self, message: ExchangeMessage) -> list[list]:
        """Take the limits of endpoints that a relay heard of; return all known."""
        notices, now = self.granter.notices, self._parts.clock.now()
        # A relay of the release before tells of none.
        for report in notices.take_limits(message.get("notices", []), now):
            logger.info(
                "Endpoint's limit.",
                endpoint=report.process.endpoint_id,
                born=report.process.incarnation,
                limit=report.limit,
                source=message["node"],
            )
        return [report.encode() for report in notices.limit_reports(now)]

    def _hear_leaving(self, message: ExchangeMessage) -> list[list]:
        """Take which endpoints told a relay that they leave; return all known."""
        notices, now = self.granter.notices, self._parts.clock.now()
        for process in notices.take_leaving(message.get("said_leaving", []), now):
            logger.info(
                "Endpoint says that it leaves.",
                endpoint=process.endpoint_id,
                born=process.incarnation,
                source=message["node"],
            )
        return notices.leaving_reports(now)

    def _news_of(self, node: str) -> NewsMessage | None:
        """Return what a relay's list of endpoints lacks."""
        if not self.lease.mine or not self.fresh or self.is_self(node):
            return None
        mark = self._roster.mark_of(node)
        now = self._parts.clock.now()
        return news_since(self._parts.view, mark, self.lease.fence, now)

    def is_self(self, node: str) -> bool:
        """Return whether a relay's name is this one's."""
        return node == self.lease.node

    def listeners(self) -> tuple[dict[str, list[int]], int] | None:
        """Return whom to tell news: addresses, their marks, and our fence."""
        if not self.holds or not self.fresh:
            return None
        others = [
            r for r in self._roster.alive() if not self.is_self(r.message["node"])
        ]
        return {relay.address: relay.mark for relay in others}, self.lease.fence

    # --- limits ----------------------------------------------------------------
    def _accounts(self) -> tuple[ForwardAccount, ...]:
        index = self._parts.view.index
        return () if index is None else index.table.accounts

    def _granted_by(self) -> tuple[int, float]:
        return self.lease.fence, round(self.granter.share(self._parts.clock.now()), 3)

    def _hear_limits(self, message: ExchangeMessage) -> LimitsReply | None:
        """Take what a relay tells of its share, and grant it some in advance.

        One that isn't the holder, like a holder that was started anew, takes none.
        """
        node = message["node"]
        # A relay of the release before knows nothing of shares.
        word = message.get("limits")
        if word is None or not self.lease.mine:
            return None
        granter = self.granter
        seconds = self._roster.pace.patience
        reply = granter.hear(node, message["incarnation"], word, seconds)
        now = self._parts.clock.now()
        for name, amount in (grants := granter.advances(message["demand"])).items():
            self._tally.add(name, amount, now)
        reply["grants"] = grants
        if granter.decides:
            reply["stand_ins"] = self._named_stand_ins(now)
            reply["stand_in"] = granter.stand_in_grants(node, word["stand_in"])
        return reply

    def _named_stand_ins(self, now: float) -> list[str]:
        """Return the addresses of the stand-ins: hundreds of words have the same."""
        if now >= self._named_until:
            stand_ins = self.granter.stand_ins(self._peers())
            self._named = [peer.address for peer in stand_ins]
            self._named_until = now + _NAMED_S
        return self._named

    def _peers(self) -> list[Peer]:
        return [
            Peer(
                relay.message["node"],
                relay.address,
                relay.message["limits"]["zone"],
                relay.message["limits"]["stands_back_s"],
            )
            for relay in self._roster.alive()
            if not relay.message["leaving"] and "limits" in relay.message
        ]

    def delegate(self, message: DelegateMessage) -> LimitsReply:
        """Take the share of a relay that has lost the coordinator."""
        return self.granter.hear(
            message["node"], message["incarnation"], message["limits"]
        )

    def release_share(self, message: ReleaseMessage) -> ReleaseReply:
        """Give a relay's share back, which goes to another granter."""
        along = self.granter.release(message["node"], message["incarnation"])
        return ReleaseReply(along=along)

    def grant(self, message: GrantMessage) -> GrantReply:
        """Grant a part of an account's limit; raises WRONG_OWNER."""
        for account in self._accounts():
            if account.name == message["account"]:
                got = self.granter.grant(account, message["amount"], message["spare"])
                now = self._parts.clock.now()
                self._tally.add(account.name, got.amount, now)
                return GrantReply(amount=got.amount, wait=got.wait, short=got.short)
        # It lacks the configuration that the asking relay has.
        raise EbonydealError(ErrorKind.WRONG_OWNER, "the account isn't known here")

    def permit(self, message: PermitMessage) -> PermitReply:
        """Grant one request to an endpoint that named a limit; raises WRONG_OWNER."""
        return self.granter.permit(LimitReport.decode(message["report"]))

    # --- usage -----------------------------------------------------------------
    @Service.task
    async def _report_usage(self) -> None:
        while not self.should_stop:
            await self._parts.clock.sleep(_USAGE_STEP_S)
            index = self._parts.view.index
            if index is None or not self.warm or not self.holds:
                continue
            accounts = [account.name for account in index.table.accounts]
            wait = self._roster.pace.silent_after
            due = self._ledger.due(self._parts.clock.wall(), accounts, wait)
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
            relays=len(self._roster.alive()),
            told_by=self._ledger.told_by(due.window),
            detail="" if answer.accepted else answer.detail,
        )
        if answer.conflict:
            self.lease.in_doubt()
            return
        self._ledger.reported = due.window
