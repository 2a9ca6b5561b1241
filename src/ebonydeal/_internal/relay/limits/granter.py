"""Grants from the shares that one relay has: its own, or others' as well.

Each relay is a granter. The holder of the lease has the shares of all that delegate
theirs, and those that are over; a stand-in those of relays that have lost the holder;
any other only its own, while it is delegated to nobody.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from xxhash import xxh3_64_hexdigest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import EndpointProcess, ForwardAccount
from ebonydeal._internal.relay.limits.messages import (
    LimitsReply,
    LimitsWord,
    PermitReply,
)
from ebonydeal._internal.routing.duties.duty_lease import DutyLease
from ebonydeal._internal.routing.duties.pace import Pace
from ebonydeal._internal.routing.limits.endpoint_limits import (
    ENDPOINT_BOUNDS,
    limit_account,
)
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.limits.quota_broker import (
    STAND_IN_KEPT_S,
    Balances,
    Grant,
    QuotaBroker,
    QuotaTerms,
)
from ebonydeal._internal.routing.limits.share_registry import (
    SHARE_KEPT_S,
    ShareRegistry,
)
from ebonydeal._internal.routing.limits.shares import Delegations, ShareLease, Word
from ebonydeal._internal.routing.limits.startup import StartupGrant
from ebonydeal._internal.routing.notices.notices import EndpointNotices, LimitReport
from ebonydeal._internal.utils.clock import Clock

# For so long shares are delegated to a stand-in: they are soon back with a coordinator,
# and with a relay that starts anew.
STAND_IN_SECONDS = 0.6
# A stand-in that has nothing to spare isn't asked again for so long.
_SPARE_WAIT_S = 1.0
# Relays that stand in, one after the other: some may be lost with the holder.
_STAND_INS = 4
# A holder with less than this of all shares needs what is kept for its start.
_FEW_SHARES = 0.5
# The longest time for which a relay is told to ask for no permit, seconds.
_MOST_TURN_S = 10.0
# Cores of the smallest coordinator that is expected, whose relays speak seldomest.
_LEAST_CORES = 0.5


def _rank(node: str) -> str:
    """Return where a relay stands among its like: names in a row are often lost."""
    return xxh3_64_hexdigest(node.encode())


class Peer(NamedTuple):
    """A relay that the holder has heard lately."""

    node: str
    address: str
    zone: str
    stands_back_s: float


class Granter:
    """One relay's grants, and what it knows of shares.

    Parameters
    ----------
    lease : DutyLease
        The lease of the duties, which says who this relay is.
    holds : callable
        Returns whether this relay may act as holder now.
    clock : Clock
        Time.
    bounds, terms : QuotaBounds, QuotaTerms
        What limits tolerate; which requests go first near a limit.
    """

    def __init__(
        self,
        lease: DutyLease,
        holds: Callable[[], bool],
        clock: Clock,
        bounds: QuotaBounds,
        terms: QuotaTerms | None = None,
    ) -> None:
        self._lease = lease
        self._holds = holds
        self._clock = clock
        self.bounds = bounds
        self.own = ShareLease()
        self.delegations = Delegations(lease.incarnation)
        self.registry = ShareRegistry()
        self.broker = QuotaBroker(bounds, terms, self._known_share)
        # The share as it was worked out last, and for which moment: hundreds of
        # relays' shares aren't added up anew for each account.
        self._worked_out: tuple[float, float] | None = None
        self.broker.lent_elsewhere = self._is_lent_elsewhere
        # Limits that endpoints named, granted from the same shares.
        self.notices = EndpointNotices()
        self.permits = QuotaBroker(ENDPOINT_BOUNDS, None, self._known_share)
        # By process, when the relay that was told to wait longest may ask again.
        self._turns: dict[EndpointProcess, float] = {}
        # What it has to grant as a new holder, before it has shares.
        self.startup = StartupGrant(bounds)
        # What this relay has to grant as stand-in.
        self.stand_in = Balances(STAND_IN_KEPT_S)
        # Under which fencing number the registry was read, as only its holder decides.
        self.registry_fence = 0
        self._began = 0.0
        self._stand_in_node = ""
        self._stand_in_until = 0.0
        # By relay and process, the last amounts that came along with its share.
        self._along: dict[str, tuple[str, int]] = {}
        # Limits in force, and the shortest time between words: set by who knows them.
        self.accounts: Callable[[], Iterable[ForwardAccount]] = tuple
        self.least_period = 0.5

    @property
    def decides(self) -> bool:
        """Whether this relay decides which relays have shares."""
        fence = self._lease.fence
        return self._lease.mine and self.registry_fence == fence and self._holds()

    def begin(self) -> None:
        """Note that the registry was read under a new fencing number."""
        self._stand_in_node = ""
        self.registry_fence = self._lease.fence
        # Nobody can have granted anything before the very first holder.
        self.broker.first = self.registry_fence == 1 and not self.registry.row.names
        self._began = self._clock.now()
        if self.broker.first:
            self._began -= STAND_IN_KEPT_S

    def share(self, now: float) -> float:
        """Return the part of all shares that are granted from here."""
        if self.decides:
            return self.registry.granted_here(self.delegations.nodes(now), now)
        return min(1.0, self.delegations.share(now) + self.own.own(now))

    def _known_share(self, now: float) -> float:
        """Return the share as it was worked out for this moment."""
        if self._worked_out is None or self._worked_out[0] != now:
            self._worked_out = (now, self.share(now))
        return self._worked_out[1]

    def refresh(self, now: float | None = None) -> None:
        """Fill all accounts' buckets; before and after each change of shares."""
        self._worked_out = None
        now = self._clock.now() if now is None else now
        self.broker.refresh(self.accounts(), now)
        limited = self.notices.limited(now)
        self.permits.refresh([limit_account(p, r) for p, r in limited.items()], now)

    # --- words of relays -----------------------------------------------------
    def hear(
        self,
        node: str,
        incarnation: str,
        word: LimitsWord,
        seconds: float = STAND_IN_SECONDS,
    ) -> LimitsReply:
        """Take a relay's word; return on what it may delegate its share.

        ``seconds`` is for how long it may.
        """
        now = self._clock.now()
        self.refresh(now)
        before = self._known_share(now)
        self._take_share(node, incarnation, word, now + seconds)
        delegated = self.delegations.nodes(now)
        weight = 0.0
        if node in delegated:
            self.registry.heard(node, now)
            # Who has every relay's share knows that nobody else decides.
            if self.decides or self._has_all(delegated):
                weight = self.registry.weight(node)
        if self.share(now) != before:
            self.refresh(now)
        self._put_along(node, incarnation, word, delegated)
        given = self.delegations.word(seconds, now)
        return LimitsReply(
            granter=given.granter,
            until=given.until,
            seconds=given.seconds,
            weight=weight,
            kept_s=SHARE_KEPT_S if weight else 0.0,
            grants={},
            stand_ins=[],
            stand_in=None,
        )

    def _take_share(
        self, node: str, incarnation: str, word: LimitsWord, until: float
    ) -> None:
        """Count a relay's share, if it is delegated here or promised to nobody."""
        now = self._clock.now()
        if word["weight"] > 0.0:
            promised = Word(word["granter"], word["until"], word["seconds"])
            self.delegations.heard(node, incarnation, word["weight"], promised, now)
            return
        self.delegations.forget_before(node, incarnation)
        here = word["free"] or word["granter"] == self.delegations.granter
        if self.decides and here and word["up_s"] >= self._promise_before_s():
            self.delegations.take(node, incarnation, until)

    def _put_along(
        self, node: str, incarnation: str, word: LimitsWord, delegated: set[str]
    ) -> None:
        """Take what came along with a share, once."""
        mark = (incarnation, word["along_number"])
        if not word["along"] or node not in delegated:
            return
        if self._along.get(node) == mark:
            return
        self._along = {n: m for n, m in self._along.items() if n in delegated}
        self._along[node] = mark
        now = self._clock.now()
        for account in self.accounts():
            amount = word["along"].get(account.name, 0.0)
            if amount > 0.0:
                self.broker.put(account, amount, now)

    def release(self, node: str, incarnation: str) -> dict[str, float]:
        """Give a relay's share back, with its part of what is left to grant."""
        now = self._clock.now()
        self.refresh(now)
        weight = self.delegations.share_of(node, incarnation, now)
        along = {
            account.name: self.broker.part(account, weight, now)
            for account in self.accounts()
            if account.rate > 0.0 and weight > 0.0
        }
        self.delegations.release(node, incarnation)
        self.refresh(now)
        return along

    def _promise_before_s(self) -> float:
        """Return for how long the process before may have promised a relay's share."""
        before = self._lease.before
        if before is None or before.holder in ("", self._lease.node):
            # The holder before is gone for sure: only stand-ins had shares.
            return STAND_IN_SECONDS
        shares = max(self.registry.row.shares, 1)
        return Pace.of(shares, self.least_period, _LEAST_CORES).patience

    def _is_lent_elsewhere(self, now: float) -> bool:
        """Return whether a stand-in may have what another holder gave it."""
        return not self.decides or now - self._began < STAND_IN_KEPT_S

    def _has_all(self, delegated: set[str]) -> bool:
        names = self.registry.row.names
        return bool(names) and self._lease.mine and names <= delegated

    def advances(self, demand: dict[str, list[float]]) -> dict[str, float]:
        """Return what a relay gets in advance, by its demand and balance by account."""
        now = self._clock.now()
        grants = {}
        for account in self.accounts():
            told = demand.get(account.name)
            if told is None or account.rate <= 0.0:
                continue
            amount = self.broker.advance(account, told[0], told[1], now)
            if amount > 0.0:
                grants[account.name] = round(amount, 1)
        return grants

    # --- stand-ins -----------------------------------------------------------
    def stand_ins(self, peers: Iterable[Peer]) -> list[Peer]:
        """Return who is to grant while there is no coordinator, best first."""
        peers = list(peers)
        me = self._lease.node
        zone = next((peer.zone for peer in peers if peer.node == me), "")
        others = [peer for peer in peers if peer.node != me]
        # Small instances last, and those that are lost with this one's zone.
        others.sort(
            key=lambda peer: (peer.stands_back_s, peer.zone == zone, _rank(peer.node))
        )
        now = self._clock.now()
        known = {peer.node for peer in others}
        if self._stand_in_node not in known and now >= self._stand_in_until:
            self._stand_in_node = others[0].node if others else ""
        others.sort(key=lambda peer: peer.node != self._stand_in_node)
        return others[:_STAND_INS]

    def stand_in_grants(
        self, node: str, has: dict[str, float]
    ) -> dict[str, float] | None:
        """Return what the stand-in gets beside what it has; None for all others."""
        now = self._clock.now()
        if not self.decides or node != self._stand_in_node:
            return None
        if now - self._began < STAND_IN_KEPT_S:
            return None
        self._stand_in_until = now + STAND_IN_KEPT_S
        amounts = {
            account.name: self.broker.stand_by(account, has.get(account.name, 0.0), now)
            for account in self.accounts()
            if account.rate > 0.0
        }
        return {name: amount for name, amount in amounts.items() if amount > 0.0}

    # --- grants --------------------------------------------------------------
    def grant(self, account: ForwardAccount, need: float, spare: bool = False) -> Grant:
        """Grant an amount, or say when it may be there.

        With ``spare``, as stand-in while the coordinator has none left, only of what
        is a part of the burst. Raises WRONG_OWNER where this relay has nothing to
        grant from.
        """
        now = self._clock.now()
        self._worked_out = None
        if spare:
            kept = self.bounds.standby(account)
            if self.stand_in.left(account.name, now) - need < kept:
                return Grant(0.0, _SPARE_WAIT_S)
        else:
            got = self.broker.grant(account, need, now)
            if got.amount >= need:
                return got
        if not spare and self._holds() and self._take_startup(account, need, now):
            return Grant(need, 0.0)
        if self.stand_in.take(account.name, need, now):
            return Grant(need, 0.0)
        if spare:
            return Grant(0.0, _SPARE_WAIT_S)
        if self._known_share(now) <= 0.0:
            raise EbonydealError(ErrorKind.WRONG_OWNER, "no share to grant from")
        return got

    def _take_startup(self, account: ForwardAccount, need: float, now: float) -> bool:
        """Grant of what is kept for a new holder."""
        if self.startup.take(account, need, now):
            return True
        self.want_startup()
        return False

    def want_startup(self) -> None:
        """Begin what is kept for a new holder, where it lacks shares."""
        now = self._clock.now()
        if self._known_share(now) < _FEW_SHARES and self.startup.want():
            self._lease.renew_soon(now)

    def permit(self, report: LimitReport) -> PermitReply:
        """Grant one request to an endpoint that named a limit, or say when to ask.

        Raises WRONG_OWNER where this relay has nothing to grant from.
        """
        now = self._clock.now()
        self.notices.take_limit(report, now)
        process = report.process
        known = self.notices.limit_report(process, now)
        told = None if known is None else known.encode()
        limit = self.notices.limit(process, now)
        if limit is None:
            return PermitReply(granted=False, wait=0.0, report=told)
        self._worked_out = None
        account = limit_account(process, limit)
        got = self.permits.grant(account, 1.0, now)
        if got.amount >= 1.0:
            return PermitReply(granted=True, wait=0.0, report=told)
        if self._known_share(now) <= 0.0:
            raise EbonydealError(ErrorKind.WRONG_OWNER, "no share to grant from")
        turn = self._turn(account, process, now, got.wait or _MOST_TURN_S)
        return PermitReply(granted=False, wait=turn, report=told)

    def _turn(
        self, account: ForwardAccount, process: EndpointProcess, now: float, wait: float
    ) -> float:
        """Return when a relay may ask again, seconds: one after the other.

        Hundreds of relays would ask for each request of a small limit.
        """
        rate = account.rate * self._known_share(now)
        last = self._turns.get(process, now)
        turn = min(max(now + wait, last + 1.0 / rate), now + _MOST_TURN_S)
        self._turns = {p: at for p, at in self._turns.items() if at > now}
        self._turns[process] = turn
        return turn - now
