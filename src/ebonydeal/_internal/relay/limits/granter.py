"""Grants from the shares that one relay holds: its own, and those delegated to it.

Each relay is a granter. The lease holder has the shares that relays delegate to it, and
those that have expired. A standby has the shares of relays that don't reach the lease
holder. Any other relay has only its own share, unless that is delegated.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from xxhash import xxh3_64_hexdigest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import EndpointProcess, ForwardAccount
from ebonydeal._internal.relay.limits.messages import (
    PermitReply,
    ShareReply,
    ShareReport,
)
from ebonydeal._internal.routing.duties.coordinator_lease import CoordinatorLease
from ebonydeal._internal.routing.duties.report_pacing import ReportPacing
from ebonydeal._internal.routing.limits.endpoint_limits import (
    ENDPOINT_BOUNDS,
    limit_account,
)
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.limits.quota_broker import (
    STANDBY_GRANT_TTL_S,
    Balances,
    Grant,
    QuotaBroker,
    QuotaConfig,
)
from ebonydeal._internal.routing.limits.share_delegation import (
    DelegationOffer,
    Delegations,
    ShareLease,
)
from ebonydeal._internal.routing.limits.share_registry import (
    SHARE_TTL_S,
    ShareRegistry,
)
from ebonydeal._internal.routing.limits.startup_grant import StartupGrant
from ebonydeal._internal.routing.notices.endpoint_notices import (
    EndpointNotices,
    LimitReport,
)
from ebonydeal._internal.utils.clock import Clock

# Shares are delegated to a standby for this long, so that a new coordinator, or a
# restarted relay, gets them back soon.
STANDBY_DELEGATION_S = 0.6
# A standby without spare amounts isn't asked for them again for this long.
_NO_SPARE_WAIT_S = 1.0
# Standbys, in order of preference: some may be lost together with the lease holder.
_MAX_STANDBYS = 4
# A lease holder with less than this fraction of all shares needs a startup grant.
_MIN_HOLDER_SHARE = 0.5
# Maximum wait that a relay gets before it may ask for a permit again.
_MAX_PERMIT_WAIT_S = 10.0
# Cores of the smallest expected coordinator, to which relays report least often.
_MIN_COORDINATOR_CORES = 0.35


def _rank(node: str) -> str:
    """Return a pseudorandom rank: relays with consecutive names often fail together."""
    return xxh3_64_hexdigest(node.encode())


class StandbyCandidate(NamedTuple):
    """A relay that reported to the lease holder recently."""

    node: str
    address: str
    zone: str
    takeover_delay_s: float


class Granter:
    """One relay's grants, and what it knows of shares.

    Parameters
    ----------
    lease : CoordinatorLease
        The coordinator's lease, which also identifies this relay.
    holds : callable
        Returns whether this relay may act as lease holder now.
    clock : Clock
        Time.
    bounds, config : QuotaBounds, QuotaConfig
        How far limits may be exceeded; which requests are preferred near a limit.
    """

    def __init__(
        self,
        lease: CoordinatorLease,
        holds: Callable[[], bool],
        clock: Clock,
        bounds: QuotaBounds,
        config: QuotaConfig | None = None,
    ) -> None:
        self._lease = lease
        self._holds = holds
        self._clock = clock
        self.bounds = bounds
        self.own_share = ShareLease()
        self.delegations = Delegations(lease.incarnation)
        self.registry = ShareRegistry()
        self.broker = QuotaBroker(bounds, config, self._current_share)
        # The last computed share and its time, so that hundreds of relays' shares
        # aren't summed again for each account.
        self._cached_share: tuple[float, float] | None = None
        self.broker.has_unknown_standby = self._has_unknown_standby
        # Limits that endpoints announced, granted from the same shares.
        self.notices = EndpointNotices()
        self.permits = QuotaBroker(ENDPOINT_BOUNDS, None, self._current_share)
        # By process, when the relay with the longest wait may ask again.
        self._next_permit_at: dict[EndpointProcess, float] = {}
        # What this relay may grant as a new lease holder, before it has shares.
        self.startup = StartupGrant(bounds)
        # What this relay may grant as standby.
        self.standby_balances = Balances(STANDBY_GRANT_TTL_S)
        # Fencing token under which the registry was read: only its holder may use it.
        self.registry_fence = 0
        self._began_at = 0.0
        self._standby_node = ""
        self._standby_until = 0.0
        # By relay, its process and the number of the last transfer with its share.
        self._last_transfer: dict[str, tuple[str, int]] = {}
        # Limits in force, and the minimum time between reports: set by the owner.
        self.accounts: Callable[[], Iterable[ForwardAccount]] = tuple
        self.min_report_interval = 0.5

    @property
    def manages_shares(self) -> bool:
        """Whether this relay decides which relays have shares."""
        fence = self._lease.fence
        return self._lease.is_mine and self.registry_fence == fence and self._holds()

    def on_registry_loaded(self) -> None:
        """Note that the registry was read under a new fencing token."""
        self._standby_node = ""
        self.registry_fence = self._lease.fence
        # No relay can have granted anything before the very first lease holder.
        self.broker.starts_full = self._lease.is_first and not self.registry.row.names
        self._began_at = self._clock.now()
        if self.broker.starts_full:
            self._began_at -= STANDBY_GRANT_TTL_S

    def share(self, now: float) -> float:
        """Return the fraction of all shares that this relay grants from."""
        if self.manages_shares:
            return self.registry.grantable_fraction(self.delegations.nodes(now), now)
        return min(1.0, self.delegations.share(now) + self.own_share.own_weight(now))

    def _current_share(self, now: float) -> float:
        """Return the share, computed at most once for the same time."""
        if self._cached_share is None or self._cached_share[0] != now:
            self._cached_share = (now, self.share(now))
        return self._cached_share[1]

    def refresh(self, now: float | None = None) -> None:
        """Fill all buckets; must be called before and after each change of shares."""
        self._cached_share = None
        now = self._clock.now() if now is None else now
        self.broker.refresh(self.accounts(), now)
        limited = self.notices.active_limits(now)
        self.permits.refresh([limit_account(p, r) for p, r in limited.items()], now)

    # --- reports of relays ---------------------------------------------------
    def handle_report(
        self,
        node: str,
        incarnation: str,
        report: ShareReport,
        seconds: float = STANDBY_DELEGATION_S,
    ) -> ShareReply:
        """Process a relay's report; return an offer to delegate its share here.

        ``seconds`` is the duration of the delegation.
        """
        now = self._clock.now()
        self.refresh(now)
        before = self._current_share(now)
        self._count_share(node, incarnation, report, now + seconds)
        delegated = self.delegations.nodes(now)
        weight = 0.0
        if node in delegated:
            self.registry.record_delegation(node, now)
            # If all shares are delegated here, no other relay assigns any.
            if self.manages_shares or self._has_all(delegated):
                weight = self.registry.weight(node)
        if self.share(now) != before:
            self.refresh(now)
        self._deposit_transfer(node, incarnation, report, delegated)
        offer = self.delegations.offer(seconds, now)
        return ShareReply(
            granter=offer.granter,
            until=offer.until,
            seconds=offer.seconds,
            weight=weight,
            kept_s=SHARE_TTL_S if weight else 0.0,
            grants={},
            stand_ins=[],
            stand_in=None,
        )

    def _count_share(
        self, node: str, incarnation: str, report: ShareReport, until: float
    ) -> None:
        """Count a relay's share if it is delegated to this relay or to none."""
        now = self._clock.now()
        if report["weight"] > 0.0:
            offer = DelegationOffer(
                report["granter"], report["until"], report["seconds"]
            )
            self.delegations.add(node, incarnation, report["weight"], offer, now)
            return
        self.delegations.drop_previous_process(node, incarnation)
        here = report["free"] or report["granter"] == self.delegations.granter
        if (
            self.manages_shares
            and here
            and report["up_s"] >= self._previous_delegation_s()
        ):
            self.delegations.add_unassigned(node, incarnation, until)

    def _deposit_transfer(
        self, node: str, incarnation: str, report: ShareReport, delegated: set[str]
    ) -> None:
        """Deposit the amounts transferred with a share, once."""
        transfer = (incarnation, report["along_number"])
        if not report["along"] or node not in delegated:
            return
        if self._last_transfer.get(node) == transfer:
            return
        self._last_transfer = {
            n: t for n, t in self._last_transfer.items() if n in delegated
        }
        self._last_transfer[node] = transfer
        now = self._clock.now()
        for account in self.accounts():
            amount = report["along"].get(account.name, 0.0)
            if amount > 0.0:
                self.broker.deposit(account, amount, now)

    def release(self, node: str, incarnation: str) -> dict[str, float]:
        """Release a relay's share; return its part of unused amounts, by account."""
        now = self._clock.now()
        self.refresh(now)
        weight = self.delegations.share_of(node, incarnation, now)
        amounts = {
            account.name: self.broker.withdraw_share(account, weight, now)
            for account in self.accounts()
            if account.rate > 0.0 and weight > 0.0
        }
        self.delegations.release(node, incarnation)
        self.refresh(now)
        return amounts

    def _previous_delegation_s(self) -> float:
        """Return how long a relay's previous process may have delegated its share."""
        previous = self._lease.previous_row
        if previous is None or previous.holder in ("", self._lease.node):
            # The previous lease holder has certainly ended: only standbys had shares.
            return STANDBY_DELEGATION_S
        shares = max(self.registry.row.shares, 1)
        return ReportPacing.of(
            shares, self.min_report_interval, _MIN_COORDINATOR_CORES
        ).delegation_timeout

    def _has_unknown_standby(self, now: float) -> bool:
        """Return whether a standby may hold amounts from another lease holder."""
        return not self.manages_shares or now - self._began_at < STANDBY_GRANT_TTL_S

    def _has_all(self, delegated: set[str]) -> bool:
        names = self.registry.row.names
        return bool(names) and self._lease.is_mine and names <= delegated

    def advances(self, demand: dict[str, list[float]]) -> dict[str, float]:
        """Return what a relay gets in advance, given demand and balance by account."""
        now = self._clock.now()
        grants = {}
        for account in self.accounts():
            reported = demand.get(account.name)
            if reported is None or account.rate <= 0.0:
                continue
            amount = self.broker.advance(account, reported[0], reported[1], now)
            if amount > 0.0:
                grants[account.name] = round(amount, 1)
        return grants

    # --- standbys ------------------------------------------------------------
    def standbys(
        self, candidates: Iterable[StandbyCandidate]
    ) -> list[StandbyCandidate]:
        """Return the relays that grant while there is no coordinator, best first."""
        candidates = list(candidates)
        me = self._lease.node
        zone = next((c.zone for c in candidates if c.node == me), "")
        others = [c for c in candidates if c.node != me]
        # Small instances, and those in this relay's zone, which may be lost with it,
        # come last.
        others.sort(key=lambda c: (c.takeover_delay_s, c.zone == zone, _rank(c.node)))
        now = self._clock.now()
        known = {c.node for c in others}
        if self._standby_node not in known and now >= self._standby_until:
            self._standby_node = others[0].node if others else ""
        others.sort(key=lambda c: c.node != self._standby_node)
        return others[:_MAX_STANDBYS]

    def standby_grants(
        self, node: str, balances: dict[str, float]
    ) -> dict[str, float] | None:
        """Return what the standby gets beside its balances; None for other relays."""
        now = self._clock.now()
        if not self.manages_shares or node != self._standby_node:
            return None
        if now - self._began_at < STANDBY_GRANT_TTL_S:
            return None
        self._standby_until = now + STANDBY_GRANT_TTL_S
        amounts = {
            account.name: self.broker.grant_standby(
                account, balances.get(account.name, 0.0), now
            )
            for account in self.accounts()
            if account.rate > 0.0
        }
        return {name: amount for name, amount in amounts.items() if amount > 0.0}

    # --- grants --------------------------------------------------------------
    def grant(self, account: ForwardAccount, need: float, spare: bool = False) -> Grant:
        """Grant an amount, or say when to ask again.

        With ``spare``, this relay is the standby of a coordinator that has nothing
        left, and grants only from its part of the burst. Raises WRONG_OWNER if this
        relay has nothing to grant from.
        """
        now = self._clock.now()
        self._cached_share = None
        if spare:
            reserved = self.bounds.standby(account)
            if self.standby_balances.left(account.name, now) - need < reserved:
                return Grant(0.0, _NO_SPARE_WAIT_S)
        else:
            got = self.broker.grant(account, need, now)
            if got.amount >= need:
                return got
        if not spare and self._holds() and self._grant_at_startup(account, need, now):
            return Grant(need, 0.0)
        if self.standby_balances.take(account.name, need, now):
            return Grant(need, 0.0)
        if spare:
            return Grant(0.0, _NO_SPARE_WAIT_S)
        if self._current_share(now) <= 0.0:
            raise EbonydealError(ErrorKind.WRONG_OWNER, "no share to grant from")
        return got

    def _grant_at_startup(
        self, account: ForwardAccount, need: float, now: float
    ) -> bool:
        """Grant from what is reserved for a new lease holder; return whether it did."""
        if self.startup.take(account, need, now):
            return True
        self.request_startup_grant()
        return False

    def request_startup_grant(self) -> None:
        """Request a startup grant if this relay has few shares."""
        now = self._clock.now()
        if self._current_share(now) < _MIN_HOLDER_SHARE and self.startup.request():
            self._lease.renew_soon(now)

    def permit(self, report: LimitReport) -> PermitReply:
        """Grant one request to an endpoint with a limit, or say when to ask again.

        Raises WRONG_OWNER if this relay has nothing to grant from.
        """
        now = self._clock.now()
        self.notices.merge_limit(report, now)
        process = report.process
        known = self.notices.limit_report(process, now)
        encoded = None if known is None else known.encode()
        limit = self.notices.limit(process, now)
        if limit is None:
            return PermitReply(granted=False, wait=0.0, report=encoded)
        self._cached_share = None
        account = limit_account(process, limit)
        got = self.permits.grant(account, 1.0, now)
        if got.amount >= 1.0:
            return PermitReply(granted=True, wait=0.0, report=encoded)
        if self._current_share(now) <= 0.0:
            raise EbonydealError(ErrorKind.WRONG_OWNER, "no share to grant from")
        wait = self._permit_wait(account, process, now, got.wait or _MAX_PERMIT_WAIT_S)
        return PermitReply(granted=False, wait=wait, report=encoded)

    def _permit_wait(
        self, account: ForwardAccount, process: EndpointProcess, now: float, wait: float
    ) -> float:
        """Return the seconds until a relay may ask again, spaced between relays.

        Otherwise hundreds of relays would ask for each request of a small limit.
        """
        rate = account.rate * self._current_share(now)
        last = self._next_permit_at.get(process, now)
        next_at = min(max(now + wait, last + 1.0 / rate), now + _MAX_PERMIT_WAIT_S)
        self._next_permit_at = {
            p: at for p, at in self._next_permit_at.items() if at > now
        }
        self._next_permit_at[process] = next_at
        return next_at - now
