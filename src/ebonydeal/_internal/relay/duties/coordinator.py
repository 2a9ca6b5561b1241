"""The coordinator: the relay that holds the lease and acts for all relays.

Every relay reports to it several times a second. It replies with the load that the
other relays put on the endpoints, grants parts of client accounts' limits, reports
usage and orders endpoints. When it fails, another relay takes the lease, and all
relays report to that one.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.capacity.plain_exchange import PlainCapacityExchange
from ebonydeal._internal.relay.capacity.speed_exchange import SpeedMerger
from ebonydeal._internal.relay.duties.lease_keeper import LeaseKeeper, PersistedRow
from ebonydeal._internal.relay.duties.reported_windows import ReportedWindows
from ebonydeal._internal.relay.duties.usage_store import UsageStore
from ebonydeal._internal.relay.limits.granter import Granter, StandbyCandidate
from ebonydeal._internal.relay.limits.messages import (
    DelegateMessage,
    PermitMessage,
    PermitReply,
    ReleaseMessage,
    ReleaseReply,
    ShareReply,
)
from ebonydeal._internal.relay.limits.registry_store import RegistryStore
from ebonydeal._internal.relay.limits.share_divider import ShareDivider
from ebonydeal._internal.relay.peers.messages import (
    ExchangeMessage,
    ExchangeReply,
    GrantMessage,
    GrantReply,
    RolloutsMessage,
    ViewDelta,
)
from ebonydeal._internal.relay.peers.relay_reports import RelayReports
from ebonydeal._internal.relay.ports import Duties, SharedStore
from ebonydeal._internal.relay.view.deltas import delta_since
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.admission.share_messages import SharesMessage
from ebonydeal._internal.routing.crashes.crash_messages import EvidenceMessage
from ebonydeal._internal.routing.duties.coordinator_lease import CoordinatorLease
from ebonydeal._internal.routing.duties.usage_ledger import DueWindow, UsageLedger
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.limits.quota_broker import QuotaConfig
from ebonydeal._internal.routing.notices.endpoint_notices import LimitReport
from ebonydeal._internal.routing.retries.start_retries import StartRetries
from ebonydeal._internal.settings.policy import PolicySettings
from ebonydeal._internal.settings.relay import RelaySettings
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.coordinator")

CompareCrashes = Callable[[ExchangeMessage], tuple[str, EvidenceMessage | None]]

_USAGE_CHECK_INTERVAL_S = 0.25
_GRANT_LOG_INTERVAL_S = 1.0
# The standbys are chosen again among all relays after this long.
_STANDBYS_TTL_S = 0.1
# Time that relays need to report what they know after the lease was taken.
_WARM_UP_S = 1.3
# Instances of at least this size take a free lease at once. Smaller ones wait, since
# the reports and deltas of hundreds of relays fill half a core and a link of 20 Mbit/s.
_MIN_LARGE_CORES = 1.0
_MIN_LARGE_LINK_MBPS = 50.0
# Larger instances read the lease twice a second, and so take it within this time.
_TAKEOVER_DELAY_S = 0.6
# With at least this many relays, frequent polls of the configuration by the coordinator
# alone are cheaper than a long poll by each relay.
_MIN_RELAYS_TO_PUSH_CONFIG = 40


class CoordinatorParts(NamedTuple):
    """The coordinator's dependencies."""

    store: SharedStore
    duties: Duties
    view: RelayView
    clock: Clock
    rng: Random


class CoordinatorCapacity(NamedTuple):
    """What an instance can do as coordinator.

    Attributes
    ----------
    cores : float
        CPU cores that it may use.
    takeover_delay_s : float
        Seconds for which it leaves a free lease to larger instances.
    exchange_s : float
        Shortest time between two reports of a relay, seconds.
    """

    cores: float = 1.0
    takeover_delay_s: float = 0.0
    exchange_s: float = 0.5

    @classmethod
    def from_config(
        cls, cfg: RelaySettings, policy: PolicySettings
    ) -> "CoordinatorCapacity":
        """Build from settings."""
        cores = cfg.cpu_share * cfg.cpu_cores
        large = cores >= _MIN_LARGE_CORES and cfg.link_mbps >= _MIN_LARGE_LINK_MBPS
        return cls(cores, 0.0 if large else _TAKEOVER_DELAY_S, policy.exchange_s)


def _counter_name(report: ExchangeMessage) -> str:
    """Return the name under which an incarnation's counts are stored."""
    return f"{report['node']}/{report['incarnation']}"


class _GrantLog:
    """Logs once a second what was granted to each account, and of which share."""

    def __init__(self, fence_and_share: Callable[[], tuple[int, float]]) -> None:
        self._fence_and_share = fence_and_share
        self._amounts: dict[str, float] = {}
        self._since = 0.0

    def add(self, account: str, amount: float, now: float) -> None:
        """Count a grant, or a refusal as 0; log those of the previous second."""
        if now - self._since >= _GRANT_LOG_INTERVAL_S:
            fence, share = self._fence_and_share()
            amounts = {name: round(total) for name, total in self._amounts.items()}
            if amounts:
                logger.info("Granted.", fence=fence, share=share, amounts=amounts)
            self._amounts = {}
            self._since = now
        self._amounts[account] = self._amounts.get(account, 0.0) + amount


class Coordinator(SupervisedService):
    """Competes for the coordinator lease, and performs the duties of its holder.

    Parameters
    ----------
    parts : CoordinatorParts
        Platform interfaces and the view.
    lease : CoordinatorLease
        State machine of the lease.
    ledger : UsageLedger
        Usage windows.
    bounds : QuotaBounds
        By how much limits may be exceeded.
    checks_fence : bool
        Whether the platform refuses calls with an old fencing token.
    config : QuotaConfig, optional
        Which requests are granted first near an account's limit.
    capacity : CoordinatorCapacity, optional
        What this instance can do as coordinator.
    """

    def __init__(
        self,
        parts: CoordinatorParts,
        lease: CoordinatorLease,
        ledger: UsageLedger,
        bounds: QuotaBounds,
        checks_fence: bool,
        config: QuotaConfig | None = None,
        capacity: CoordinatorCapacity | None = None,
    ) -> None:
        super().__init__()
        self._parts = parts
        capacity = capacity or CoordinatorCapacity()
        self._ledger = ledger
        self._usage = UsageStore(parts.store, ledger)
        self._keeper = LeaseKeeper(
            parts.store,
            self._usage,
            lease,
            parts.clock,
            parts.rng,
            self._begin,
            capacity.takeover_delay_s,
        )
        self.lease = lease
        self._checks_fence = checks_fence
        self._refused_fence = 0
        self._reports = RelayReports(parts.clock, capacity.exchange_s, capacity.cores)
        self.granter = Granter(
            lease, lambda: self._keeper.holds, parts.clock, bounds, config
        )
        self.granter.accounts = self._accounts
        self.granter.min_report_interval = capacity.exchange_s
        self.takeover_delay_s = capacity.takeover_delay_s
        self._keeper.persisted_rows.append(
            RegistryStore(
                parts.store,
                self.granter,
                lease,
                parts.clock,
                lambda: {relay.message["node"] for relay in self._reports.alive()},
            )
        )
        self._keeper.persisted_rows.append(
            ReportedWindows(parts.store, ledger, lease, parts.clock.wall)
        )
        self._grant_log = _GrantLog(self._fence_and_share)
        # The standbys' addresses, and until when they are used without a new choice.
        self._standby_addresses: list[str] = []
        self._standbys_until = 0.0
        # Whether this relay is the first standby of the lease holder.
        self.is_standby: Callable[[], bool] = lambda: False
        self._keeper.takes_precedence = lambda: self.is_standby()
        # Whether another relay is a standby, and should take the lease.
        self.has_standby: Callable[[], bool] = lambda: False
        self._keeper.yields_to_standby = lambda: self.has_standby()
        # How many relays the previous coordinator reported.
        self.previous_relay_count: Callable[[], int] = lambda: 0
        # Called when this relay becomes the coordinator.
        self.on_lease_gained: Callable[[], None] = lambda: None
        # Whether the store answered this relay just now; set by the program.
        self.store_is_fresh: Callable[[], bool] = lambda: True
        # The same for polls of the configuration.
        self.config_is_fresh: Callable[[], bool] = lambda: True
        # Seconds since the store confirmed this relay's configuration, None if it never
        # did; set by the program.
        self.config_age: Callable[[], float | None] = lambda: None
        # Merges a relay's crash evidence; returns the fingerprint of ours, and our
        # evidence where the fingerprints differ.
        self.compare_crashes: CompareCrashes = lambda _report: ("", None)
        # Retries for relays that start; set by the program.
        self.start_retries = StartRetries(0)
        # Divides services in shortage; None where `fair_shares` is off.
        self.share_divider: ShareDivider | None = None
        # Plain endpoints' capacity; set by the program.
        self.plain_capacity: PlainCapacityExchange | None = None
        # Adds up the relays' samples of engines' speeds, if that is enabled.
        self.engine_speeds: SpeedMerger | None = None
        # The state of roll-outs for the replies to relays.
        self.rollouts: Callable[[], RolloutsMessage | None] = lambda: None

    def on_init_dependencies(self) -> Iterable[Service]:
        """Return the task that keeps the lease."""
        self._keeper.on_task_failed = lambda: self.on_task_failed()
        return [self._keeper]

    def _begin(self) -> None:
        """Start with no reports: those of an earlier time may be stale."""
        self.on_lease_gained()
        if self.share_divider is not None:
            self.share_divider.begin()
        if self.plain_capacity is not None:
            self.plain_capacity.begin()
        self._reports.begin(self.previous_relay_count())

    def persist_with_lease(self, row: PersistedRow) -> None:
        """Write a row together with the lease from now on."""
        self._keeper.persisted_rows.append(row)

    def write_soon(self) -> None:
        """Renew the lease now, and write with it the rows that are due."""
        self.lease.renew_soon(self._parts.clock.now())

    @property
    def period(self) -> float:
        """Seconds between two reports of a relay."""
        return self._reports.pace.period

    def start_duties(self) -> None:
        """Compete for the lease, now that other relays can reach this one."""
        self._keeper.reachable.set()

    async def release(self) -> None:
        """Free the lease at a planned stop, so that another relay takes it at once."""
        await self._keeper.release()

    # --- state of the holder -----------------------------------------------------
    @property
    def holds(self) -> bool:
        """Whether this relay may act on the duties now."""
        return self._keeper.holds

    @property
    def fresh(self) -> bool:
        """Whether this relay's list of endpoints is up to date with the store."""
        return self._parts.view.members_known and self.store_is_fresh()

    @property
    def should_push_config(self) -> bool:
        """Whether relays should get the configuration from this one only."""
        return self.holds and len(self._reports.alive()) >= _MIN_RELAYS_TO_PUSH_CONFIG

    @property
    def pushes_config(self) -> bool:
        """Whether they get it only from here: not while this relay's own polls fail."""
        return self.should_push_config and self.config_is_fresh()

    @property
    def warmed_up(self) -> bool:
        """Whether relays had time to report what they know."""
        since = self._keeper.held_since
        return since is not None and self._parts.clock.now() - since >= _WARM_UP_S

    @property
    def may_order(self) -> bool:
        """Whether endpoints may be ordered.

        Where the platform checks fencing tokens, the last holder continues
        during an outage of the store, when no lease can be renewed: if there is a
        newer holder, its token makes the platform refuse the older one.
        """
        # Nothing was ordered before the first holder, so it waits for no reports.
        ready = self.warmed_up or self.lease.is_first
        if not ready or not self.lease.is_mine:
            return False
        if self.holds:
            return True
        return self._checks_fence and self.lease.fence != self._refused_fence

    def order_refused(self) -> None:
        """Note a refusal that may come from a newer holder."""
        if not self.holds:
            self._refused_fence = self.lease.fence

    def live_addresses(self) -> list[str]:
        """Return the addresses of relays that reported recently."""
        return [relay.address for relay in self._reports.alive()]

    def live_reports(self) -> list[ExchangeMessage]:
        """Return the last report of each relay that is alive."""
        return [relay.message for relay in self._reports.alive()]

    # --- exchange with relays ----------------------------------------------------
    def exchange(self, message: ExchangeMessage) -> ExchangeReply:
        """Process a relay's report and return the reply."""
        parts = self._parts
        node = message["node"]
        self._reports.record(message)
        # Usage reports no longer wait for the counts of relays that stopped reporting.
        self._reports.expire(lambda report: self._ledger.forget(_counter_name(report)))
        self.lease.relay_count = self._reports.count
        # Counts are running totals of one incarnation.
        self._ledger.add_report(
            _counter_name(message),
            {int(number): counts for number, counts in message["windows"].items()},
            message["wall"],
        )
        # The row of a window that a previous coordinator reported may be lost. Relays
        # of the previous release don't send it.
        self._ledger.reported = max(self._ledger.reported, message.get("reported", -1))
        mark, crashes = self.compare_crashes(message)
        reply = ExchangeReply(
            holds=self.holds,
            relays=self._reports.addresses_unless(message.get("known", "")),
            config=parts.view.version,
            members=parts.view.last_change,
            reported=self._ledger.reported,
            loads=self._reports.loads_without(node),
            answers=self._reports.failures_without(node),
            # Relays of the previous release expect amounts here.
            grants={},
            limits=self._handle_share_report(message),
            period=self._reports.pace.period,
            tells_config=self.pushes_config,
            config_age=self.config_age(),
            fresh=self.fresh,
            news=self._delta_for(node),
            crashes_mark=mark,
            crashes=crashes,
            rollouts=self.rollouts(),
            notices=self._merge_notices(message),
            said_leaving=self._merge_leaving(message),
            links_down=self._reports.links_down(message),
            start_retry=self._allot_start_retry(message),
            engine_speeds=self._merge_engine_speeds(message),
        )
        if self.share_divider is not None:
            reply["shares"] = self._divide_shares(self.share_divider, message)
        if self.plain_capacity is not None:
            reply["plain_capacity"] = self.plain_capacity.exchange(message, self.period)
            reply["capacity_relays"] = self.plain_capacity.relays
        return reply

    def _divide_shares(
        self, divider: ShareDivider, message: ExchangeMessage
    ) -> SharesMessage | None:
        """Record a relay's offered work; return its shares, once all have reported."""
        divider.record(message)
        if not self.holds or not self.warmed_up:
            return None
        alive = [relay.message["node"] for relay in self._reports.alive()]
        seconds = self._reports.pace.isolation_timeout
        return divider.shares_for(message["node"], alive, self.lease.fence, seconds)

    def _allot_start_retry(self, message: ExchangeMessage) -> bool:
        """Allot a retry to a relay that has started, if it asks for one."""
        # A relay of the previous release doesn't ask.
        if not message.get("wants_start_retry", False) or not self.holds:
            return False
        held_since = None if self.lease.is_first else self._keeper.held_since
        now = self._parts.clock.now()
        allotted = self.start_retries.allot(_counter_name(message), held_since, now)
        logger.info("Retry at start.", relay=message["node"], allotted=allotted)
        return allotted

    def _merge_notices(self, message: ExchangeMessage) -> list[list]:
        """Merge the endpoints' limits that a relay reports; return all known."""
        notices, now = self.granter.notices, self._parts.clock.now()
        # A relay of the previous release reports none.
        for report in notices.merge_limits(message.get("notices", []), now):
            logger.info(
                "Endpoint's limit.",
                endpoint=report.process.endpoint_id,
                born=report.process.incarnation,
                limit=report.limit,
                source=message["node"],
            )
        return [report.encode() for report in notices.limit_reports(now)]

    def _merge_leaving(self, message: ExchangeMessage) -> list[list]:
        """Merge the leaving endpoints that a relay reports; return all known."""
        notices, now = self.granter.notices, self._parts.clock.now()
        for process in notices.merge_leaving(message.get("said_leaving", []), now):
            logger.info(
                "Endpoint says that it leaves.",
                endpoint=process.endpoint_id,
                born=process.incarnation,
                source=message["node"],
            )
        return notices.leaving_reports(now)

    def _merge_engine_speeds(self, message: ExchangeMessage) -> dict[str, list] | None:
        """Merge a relay's samples of engines' speeds; return those of the others."""
        if self.engine_speeds is None:
            return None
        # A relay of the previous release reports none.
        field = message.get("engine_speeds", {})
        timeout = self._reports.pace.relay_timeout
        return self.engine_speeds.merge(message["node"], field, timeout)

    def _delta_for(self, node: str) -> ViewDelta | None:
        """Return the changes that a relay's list of endpoints lacks."""
        if not self.lease.is_mine or not self.fresh or self.is_self(node):
            return None
        mark = self._reports.mark_of(node)
        now = self._parts.clock.now()
        return delta_since(self._parts.view, mark, self.lease.fence, now)

    def is_self(self, node: str) -> bool:
        """Return whether a node id is this relay's own."""
        return node == self.lease.node

    def delta_targets(self) -> tuple[dict[str, list[int]], int] | None:
        """Return the relays to push deltas to, their marks, and our fencing token."""
        if not self.holds or not self.fresh:
            return None
        others = [
            r for r in self._reports.alive() if not self.is_self(r.message["node"])
        ]
        return {relay.address: relay.mark for relay in others}, self.lease.fence

    # --- limits ----------------------------------------------------------------
    def _accounts(self) -> tuple[ForwardAccount, ...]:
        index = self._parts.view.index
        return () if index is None else index.table.accounts

    def _fence_and_share(self) -> tuple[int, float]:
        return self.lease.fence, round(self.granter.share(self._parts.clock.now()), 3)

    def _handle_share_report(self, message: ExchangeMessage) -> ShareReply | None:
        """Process a relay's report on its share, and grant it amounts in advance.

        A relay that doesn't hold the lease, as after its own restart, ignores reports.
        """
        node = message["node"]
        # A relay of the previous release doesn't know shares.
        limits = message.get("limits")
        if limits is None or not self.lease.is_mine:
            return None
        granter = self.granter
        seconds = self._reports.pace.delegation_timeout
        reply = granter.handle_report(node, message["incarnation"], limits, seconds)
        now = self._parts.clock.now()
        for name, amount in (grants := granter.advances(message["demand"])).items():
            self._grant_log.add(name, amount, now)
        reply["grants"] = grants
        if granter.manages_shares:
            reply["stand_ins"] = self._current_standbys(now)
            reply["stand_in"] = granter.standby_grants(node, limits["stand_in"])
        return reply

    def _current_standbys(self, now: float) -> list[str]:
        """Return the standbys' addresses; one choice serves hundreds of replies."""
        if now >= self._standbys_until:
            standbys = self.granter.standbys(self._standby_candidates())
            self._standby_addresses = [peer.address for peer in standbys]
            self._standbys_until = now + _STANDBYS_TTL_S
        return self._standby_addresses

    def _standby_candidates(self) -> list[StandbyCandidate]:
        return [
            StandbyCandidate(
                relay.message["node"],
                relay.address,
                relay.message["limits"]["zone"],
                relay.message["limits"]["stands_back_s"],
            )
            for relay in self._reports.alive()
            if not relay.message["leaving"] and "limits" in relay.message
        ]

    def delegate(self, message: DelegateMessage) -> ShareReply:
        """Accept the share of a relay that can't reach the coordinator."""
        return self.granter.handle_report(
            message["node"], message["incarnation"], message["limits"]
        )

    def release_share(self, message: ReleaseMessage) -> ReleaseReply:
        """Return a relay's share to it, which it delegates to another granter."""
        along = self.granter.release(message["node"], message["incarnation"])
        return ReleaseReply(along=along)

    def grant(self, message: GrantMessage) -> GrantReply:
        """Grant a part of an account's limit; raises WRONG_OWNER."""
        for account in self._accounts():
            if account.name == message["account"]:
                got = self.granter.grant(account, message["amount"], message["spare"])
                now = self._parts.clock.now()
                self._grant_log.add(account.name, got.amount, now)
                return GrantReply(amount=got.amount, wait=got.wait, short=got.shortfall)
        # The relay that asks has a newer configuration than this one.
        raise EbonydealError(ErrorKind.WRONG_OWNER, "account not configured here")

    def permit(self, message: PermitMessage) -> PermitReply:
        """Permit one request to an endpoint that has a limit; raises WRONG_OWNER."""
        return self.granter.permit(LimitReport.decode(message["report"]))

    # --- usage -----------------------------------------------------------------
    @supervised_task
    async def _report_usage(self) -> None:
        while not self.should_stop:
            await self._parts.clock.sleep(_USAGE_CHECK_INTERVAL_S)
            index = self._parts.view.index
            if index is None or not self.warmed_up or not self.holds:
                continue
            accounts = [account.name for account in index.table.accounts]
            wait = self._reports.pace.relay_timeout
            due = self._ledger.due(self._parts.clock.wall(), accounts, wait)
            if due is None:
                continue
            try:
                await self._report(due)
            except EbonydealError as exc:
                logger.warning(
                    "Usage not reported yet.", window=due.window, reason=str(exc)
                )

    async def _report(self, due: DueWindow) -> None:
        """Store a window's counts once, then report the stored ones."""
        fence = self.lease.fence
        counts = await self._usage.store_once(due)
        if counts is None or not self.holds:
            return
        reply = await self._parts.duties.report_usage(due.window, counts, fence)
        logger.info(
            "Usage reported.",
            window=due.window,
            accepted=reply.accepted,
            counts=counts,
            relays=len(self._reports.alive()),
            told_by=self._ledger.totals_by_relay(due.window),
            detail="" if reply.accepted else reply.detail,
        )
        if reply.conflict:
            self.lease.on_write_in_doubt()
            return
        self._ledger.reported = due.window
