"""Limits of client accounts, enforced as totals by gateways that exchange demand.

Each gateway enforces its share of every limit. The share is its own demand over
the demand of all gateways that report, with a small minimum for gateways that
have been idle. A gateway that stops reporting keeps its share for ``peer_hold``
seconds. After that, if the node list still names it, it may be serving behind a
broken connection: its share stays reserved, and the gateways that reach each
other divide the rest.
"""

from collections.abc import Mapping
from typing import NamedTuple

from ebonydeal._internal.models.document import Account
from ebonydeal._internal.routing.limits.demand import (
    Demand,
    DemandReport,
    RateMeter,
    fair_share,
    whole_shares,
)
from ebonydeal._internal.settings.routing import AdmissionSettings

_LISTED_GATEWAY_TTL_S = 120.0
_NO_DEMAND = Demand()
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 60.0


class OverLimit(NamedTuple):
    """A limit that a request exceeds, and the seconds until it may be repeated."""

    limit: str
    retry_after: float


class _Bucket:
    """A token bucket whose rate may change and whose level may be negative."""

    def __init__(self, now: float) -> None:
        self.level: float | None = None
        self.filled_at = now

    def fill(self, rate: float, burst: float, now: float) -> float:
        """Add what was earned since the last call; return the level."""
        capacity = max(1.0, rate * burst)
        if self.level is None:
            self.level = capacity
        earned = rate * max(0.0, now - self.filled_at)
        self.level = min(capacity, self.level + earned)
        self.filled_at = max(self.filled_at, now)
        return self.level

    def take(self, amount: float) -> None:
        """Take an amount, possibly below zero; a negative amount is a refund."""
        assert self.level is not None
        self.level -= amount


class _Usage:
    """One client account at this gateway."""

    def __init__(self, window: float, now: float) -> None:
        self.requests = RateMeter(window)
        self.tokens = RateMeter(window)
        self.concurrency_refusals = RateMeter(window)
        self.request_bucket = _Bucket(now)
        self.token_bucket = _Bucket(now)
        self.in_flight = 0


class _PeerReport(NamedTuple):
    """A peer's last report, its arrival time, and the peer's shares of limits then."""

    report: DemandReport
    at: float
    shares: dict[str, Demand]


class AccountLimits:
    """All client accounts' limits at one gateway.

    Parameters
    ----------
    cfg : AdmissionSettings
        Demand window and minimum shares.
    gateway : str
        This gateway's node id.
    """

    def __init__(self, cfg: AdmissionSettings, gateway: str) -> None:
        self._cfg = cfg
        self._gateway = gateway
        self._accounts: dict[str, Account] = {}
        self._usage: dict[str, _Usage] = {}
        self._peer_reports: dict[str, _PeerReport] = {}
        self._listed: frozenset[str] = frozenset()
        self._seq = 0

    @classmethod
    def from_config(cls, cfg: AdmissionSettings, gateway: str) -> "AccountLimits":
        """Build from settings."""
        return cls(cfg, gateway)

    def configure(self, accounts: Mapping[str, Account]) -> None:
        """Apply the accounts of a newly accepted document."""
        self._accounts = dict(accounts)
        for name in [name for name in self._usage if name not in accounts]:
            if self._usage[name].in_flight == 0:
                del self._usage[name]

    # --- peers ---------------------------------------------------------------
    def report(self, now: float) -> DemandReport:
        """Return this gateway's demand, to be sent to all peers."""
        self._seq = max(self._seq + 1, int(now * 1000))
        demands = {name: self._demand(name, now) for name in self._usage}
        return DemandReport(self._gateway, self._seq, demands)

    def merge_report(self, report: DemandReport, now: float) -> None:
        """Merge a peer's report; one older than the known report is ignored."""
        if report.gateway == self._gateway:
            return
        known = self._peer_reports.get(report.gateway)
        if known is None or report.seq > known.report.seq:
            self._peer_reports[report.gateway] = _PeerReport(report, now, {})
            shares = {
                name: self._peer_share(name, report, now) for name in report.demands
            }
            self._peer_reports[report.gateway] = _PeerReport(report, now, shares)
            self._evict_stale_gateways(now)

    def _evict_stale_gateways(self, now: float) -> None:
        """Drop gateways that no longer count, or replaced instances would pile up."""
        for name, peer in list(self._peer_reports.items()):
            if now - peer.at > _LISTED_GATEWAY_TTL_S:
                del self._peer_reports[name]

    def forget_gateway(self, gateway: str) -> None:
        """Forget a gateway that is known to have stopped."""
        self._peer_reports.pop(gateway, None)

    def set_listed_gateways(self, gateways: frozenset[str]) -> None:
        """Set the gateways that the node list names now."""
        self._listed = gateways

    # --- requests --------------------------------------------------------------
    def take(self, account: str, tokens: float, now: float) -> OverLimit | None:
        """Reserve limits for a request of ``tokens`` (prompt and expected output).

        Returns None if the request is within all limits; it is then in flight until
        `settle`. Otherwise nothing is reserved, but its demand is counted.
        """
        limits = self._accounts.get(account)
        usage = self._usage_of(account, now)
        usage.requests.add(1.0, now)
        usage.tokens.add(tokens, now)
        if limits is not None:
            over = self._exceeded_limit(limits, usage, tokens, now)
            if over is not None:
                return over
            self._reserve(limits, usage, tokens)
        usage.in_flight += 1
        return None

    def settle(self, account: str, reserved: float, used: float, now: float) -> None:
        """End a request and correct the reserved tokens to those used."""
        usage = self._usage_of(account, now)
        usage.in_flight = max(0, usage.in_flight - 1)
        usage.tokens.add(max(0.0, used - reserved), now)
        limits = self._accounts.get(account)
        if limits is not None and limits.tokens_per_s > 0.0:
            usage.token_bucket.fill(self._token_rate(limits, now), self._cfg.burst, now)
            usage.token_bucket.take(used - reserved)

    def undo(self, account: str, reserved: float, now: float) -> None:
        """Release all that was reserved: the request was refused before it ran."""
        self.settle(account, reserved, 0.0, now)
        limits = self._accounts.get(account)
        if limits is not None and limits.requests_per_s > 0.0:
            self._usage_of(account, now).request_bucket.take(-1.0)

    def in_flight(self, account: str) -> int:
        """Return how many requests of an account are in flight at this gateway."""
        usage = self._usage.get(account)
        return usage.in_flight if usage else 0

    # --- shares ------------------------------------------------------------------
    def _usage_of(self, account: str, now: float) -> _Usage:
        if account not in self._usage:
            self._usage[account] = _Usage(self._cfg.demand_window, now)
        return self._usage[account]

    def _demand(self, account: str, now: float) -> Demand:
        usage = self._usage_of(account, now)
        # Clients retry a refused request about once a second while they wait.
        concurrency = usage.in_flight + usage.concurrency_refusals.rate(now)
        return Demand(
            requests_per_s=usage.requests.rate(now),
            tokens_per_s=usage.tokens.rate(now),
            concurrency=concurrency,
            in_flight=float(usage.in_flight),
        )

    def _others(self, account: str, now: float) -> dict[str, Demand]:
        """Return the demand at gateways that reported recently."""
        return {
            name: peer.report.demands.get(account, _NO_DEMAND)
            for name, peer in self._peer_reports.items()
            if now - peer.at <= self._cfg.peer_hold
        }

    def _peer_share(self, account: str, report: DemandReport, now: float) -> Demand:
        """Return a peer's shares of the limits, each from 0 to 1."""
        demands = [self._demand(account, now), *self._others(account, now).values()]
        totals = [sum(values) for values in zip(*demands, strict=True)]
        own = report.demands[account]
        shares = (
            demand / max(demand, total, 1e-9)
            for demand, total in zip(own, totals, strict=True)
        )
        return Demand(*shares)

    def _unreserved(self, account: str, now: float) -> Demand:
        """Return the fractions of limits not reserved for silent listed gateways."""
        unreserved = [1.0] * len(Demand._fields)
        for name, peer in self._peer_reports.items():
            silent_s = now - peer.at
            if silent_s <= self._cfg.peer_hold or silent_s > _LISTED_GATEWAY_TTL_S:
                continue
            if name in self._listed:
                shares = peer.shares.get(account, _NO_DEMAND)
                unreserved = [
                    max(0.0, a - b) for a, b in zip(unreserved, shares, strict=True)
                ]
        return Demand(*unreserved)

    def _request_rate(self, limits: Account, now: float) -> float:
        others = self._others(limits.name, now).values()
        own = self._demand(limits.name, now).requests_per_s
        peers = [demand.requests_per_s for demand in others]
        share = fair_share(own, peers, self._cfg.floor_share)
        return limits.requests_per_s * share * self._unreserved(limits.name, now)[0]

    def _token_rate(self, limits: Account, now: float) -> float:
        others = self._others(limits.name, now).values()
        own = self._demand(limits.name, now).tokens_per_s
        peers = [demand.tokens_per_s for demand in others]
        share = fair_share(own, peers, self._cfg.floor_share)
        return limits.tokens_per_s * share * self._unreserved(limits.name, now)[1]

    def _max_in_flight(self, limits: Account, now: float) -> int:
        """Return this gateway's share of the concurrency limit, in requests."""
        others = self._others(limits.name, now)
        demands = {name: demand.concurrency for name, demand in others.items()}
        # The current request counts, so that an idle gateway gets a share.
        own = self._demand(limits.name, now)
        demands[self._gateway] = own.concurrency + 1.0
        total = int(limits.concurrency * self._unreserved(limits.name, now).concurrency)
        share = whole_shares(total, demands)[self._gateway]
        elsewhere = sum(demand.in_flight for demand in others.values())
        # What other gateways leave unused is divided by demand, too.
        idle = max(0.0, total - elsewhere - own.in_flight)
        borrowed = int(idle * demands[self._gateway] / sum(demands.values()))
        return min(share + borrowed, max(0, int(total - elsewhere)))

    def _exceeded_limit(
        self, limits: Account, usage: _Usage, tokens: float, now: float
    ) -> OverLimit | None:
        """Return the first limit that is exceeded."""
        if limits.concurrency > 0:
            if usage.in_flight >= self._max_in_flight(limits, now):
                usage.concurrency_refusals.add(1.0, now)
                return OverLimit("concurrency", 1.0)
        if limits.requests_per_s > 0.0:
            rate = self._request_rate(limits, now)
            level = usage.request_bucket.fill(rate, self._cfg.burst, now)
            if level < 1.0:
                return OverLimit("requests_per_s", _retry_after(1.0 - level, rate))
        if limits.tokens_per_s > 0.0:
            rate = self._token_rate(limits, now)
            level = usage.token_bucket.fill(rate, self._cfg.burst, now)
            # A request larger than the bucket is admitted when the bucket is full.
            need = min(tokens, max(1.0, rate * self._cfg.burst))
            if level < need:
                return OverLimit("tokens_per_s", _retry_after(need - level, rate))
        return None

    def _reserve(self, limits: Account, usage: _Usage, tokens: float) -> None:
        if limits.requests_per_s > 0.0:
            usage.request_bucket.take(1.0)
        if limits.tokens_per_s > 0.0:
            usage.token_bucket.take(tokens)


def _retry_after(missing: float, rate: float) -> float:
    """Return how long a bucket takes to earn what is missing, seconds."""
    if rate <= 0.0:
        return _MAX_RETRY_AFTER_S
    return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, missing / rate))
