"""Limits of client accounts, held in total by gateways that share demand.

Each gateway enforces its part of every limit. The part follows demand: own
demand over the demand of all gateways heard of, with a small floor for
gateways that were idle so far. A gateway that falls silent keeps its part for
``peer_hold`` seconds. After that, if the node list still names it, it may well
be serving behind a broken connection: the part that it had is left to it, and
those who hear each other divide the rest.
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

_LISTED_HOLD = 120.0
_NONE = Demand()
_RETRY_MIN = 0.1
_RETRY_MAX = 60.0


class OverLimit(NamedTuple):
    """A limit that a request would exceed, and when it would not, seconds."""

    limit: str
    retry_after: float


class _Bucket:
    """A token bucket whose rate may change; it may be in debt."""

    def __init__(self, now: float) -> None:
        self.level: float | None = None
        self.at = now

    def fill(self, rate: float, burst: float, now: float) -> float:
        """Earn since the last call; return the level."""
        most = max(1.0, rate * burst)
        if self.level is None:
            self.level = most
        earned = rate * max(0.0, now - self.at)
        self.level = min(most, self.level + earned)
        self.at = max(self.at, now)
        return self.level

    def take(self, amount: float) -> None:
        """Take, possibly into debt; a negative amount gives back."""
        assert self.level is not None
        self.level -= amount


class _Usage:
    """One client account at this gateway."""

    def __init__(self, window: float, now: float) -> None:
        self.requests = RateMeter(window)
        self.tokens = RateMeter(window)
        self.turned_away = RateMeter(window)
        self.request_bucket = _Bucket(now)
        self.token_bucket = _Bucket(now)
        self.in_flight = 0


class _PeerReport(NamedTuple):
    """A peer's last report, when it came, and its parts of limits then."""

    report: DemandReport
    at: float
    parts: dict[str, Demand]


class AccountLimits:
    """All client accounts' limits at one gateway.

    Parameters
    ----------
    cfg : AdmissionSettings
        Windows and floors.
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
        """Take the accounts of a newly accepted document."""
        self._accounts = dict(accounts)
        for name in [name for name in self._usage if name not in accounts]:
            if self._usage[name].in_flight == 0:
                del self._usage[name]

    # --- peers ---------------------------------------------------------------
    def report(self, now: float) -> DemandReport:
        """Return this gateway's demand, for all peers."""
        self._seq = max(self._seq + 1, int(now * 1000))
        demands = {name: self._demand(name, now) for name in self._usage}
        return DemandReport(self._gateway, self._seq, demands)

    def merge_report(self, report: DemandReport, now: float) -> None:
        """Take a peer's report; an older one than known is ignored."""
        if report.gateway == self._gateway:
            return
        known = self._peer_reports.get(report.gateway)
        if known is None or report.seq > known.report.seq:
            self._peer_reports[report.gateway] = _PeerReport(report, now, {})
            parts = {name: self._part(name, report, now) for name in report.demands}
            self._peer_reports[report.gateway] = _PeerReport(report, now, parts)
            self._forget_long_silent(now)

    def _forget_long_silent(self, now: float) -> None:
        """Drop gateways that no longer count; instances come and go for ever."""
        for name, peer in list(self._peer_reports.items()):
            if now - peer.at > _LISTED_HOLD:
                del self._peer_reports[name]

    def forget_gateway(self, gateway: str) -> None:
        """Forget a gateway that is known to have stopped."""
        self._peer_reports.pop(gateway, None)

    def set_listed_gateways(self, gateways: frozenset[str]) -> None:
        """Take the gateways that the node list names now."""
        self._listed = gateways

    # --- requests --------------------------------------------------------------
    def take(self, account: str, tokens: float, now: float) -> OverLimit | None:
        """Count a request of ``tokens`` (prompt and expected output).

        Returns None if it is within all limits; it is then in flight until
        `settle`. Otherwise nothing is taken, but the demand is remembered.
        """
        limits = self._accounts.get(account)
        usage = self._use(account, now)
        usage.requests.add(1.0, now)
        usage.tokens.add(tokens, now)
        if limits is not None:
            over = self._over(limits, usage, tokens, now)
            if over is not None:
                return over
            self._spend(limits, usage, tokens)
        usage.in_flight += 1
        return None

    def settle(self, account: str, reserved: float, used: float, now: float) -> None:
        """End a request: give back, or take, what was estimated wrongly."""
        usage = self._use(account, now)
        usage.in_flight = max(0, usage.in_flight - 1)
        usage.tokens.add(max(0.0, used - reserved), now)
        limits = self._accounts.get(account)
        if limits is not None and limits.tokens_per_s > 0.0:
            usage.token_bucket.fill(self._token_rate(limits, now), self._cfg.burst, now)
            usage.token_bucket.take(used - reserved)

    def undo(self, account: str, reserved: float, now: float) -> None:
        """Give everything back: the request was refused before it ran."""
        self.settle(account, reserved, 0.0, now)
        limits = self._accounts.get(account)
        if limits is not None and limits.requests_per_s > 0.0:
            self._use(account, now).request_bucket.take(-1.0)

    def in_flight(self, account: str) -> int:
        """Return an account's requests in flight here."""
        usage = self._usage.get(account)
        return usage.in_flight if usage else 0

    # --- parts -------------------------------------------------------------------
    def _use(self, account: str, now: float) -> _Usage:
        if account not in self._usage:
            self._usage[account] = _Usage(self._cfg.demand_window, now)
        return self._usage[account]

    def _demand(self, account: str, now: float) -> Demand:
        usage = self._use(account, now)
        # Turned away requests come back about once a second while they wait.
        wanted = usage.in_flight + usage.turned_away.rate(now)
        return Demand(
            requests_per_s=usage.requests.rate(now),
            tokens_per_s=usage.tokens.rate(now),
            concurrency=wanted,
            in_flight=float(usage.in_flight),
        )

    def _others(self, account: str, now: float) -> dict[str, Demand]:
        """Return the demand at gateways that were heard lately."""
        return {
            name: peer.report.demands.get(account, _NONE)
            for name, peer in self._peer_reports.items()
            if now - peer.at <= self._cfg.peer_hold
        }

    def _part(self, account: str, report: DemandReport, now: float) -> Demand:
        """Return a peer's parts of the limits, each from 0 to 1."""
        demands = [self._demand(account, now), *self._others(account, now).values()]
        totals = [sum(values) for values in zip(*demands, strict=True)]
        own = report.demands[account]
        shares = (
            part / max(part, total, 1e-9)
            for part, total in zip(own, totals, strict=True)
        )
        return Demand(*shares)

    def _left(self, account: str, now: float) -> Demand:
        """Return what silent gateways that may be serving leave of the limits."""
        left = [1.0] * len(Demand._fields)
        for name, peer in self._peer_reports.items():
            silent = now - peer.at
            if silent <= self._cfg.peer_hold or silent > _LISTED_HOLD:
                continue
            if name in self._listed:
                parts = peer.parts.get(account, _NONE)
                left = [max(0.0, a - b) for a, b in zip(left, parts, strict=True)]
        return Demand(*left)

    def _request_rate(self, limits: Account, now: float) -> float:
        others = self._others(limits.name, now).values()
        own = self._demand(limits.name, now).requests_per_s
        asked = [demand.requests_per_s for demand in others]
        share = fair_share(own, asked, self._cfg.floor_share)
        return limits.requests_per_s * share * self._left(limits.name, now)[0]

    def _token_rate(self, limits: Account, now: float) -> float:
        others = self._others(limits.name, now).values()
        own = self._demand(limits.name, now).tokens_per_s
        asked = [demand.tokens_per_s for demand in others]
        share = fair_share(own, asked, self._cfg.floor_share)
        return limits.tokens_per_s * share * self._left(limits.name, now)[1]

    def _most_in_flight(self, limits: Account, now: float) -> int:
        """Return this gateway's whole part of the concurrency limit."""
        others = self._others(limits.name, now)
        asked = {name: demand.concurrency for name, demand in others.items()}
        # The request at hand counts, so that an idle gateway isn't left out.
        own = self._demand(limits.name, now)
        asked[self._gateway] = own.concurrency + 1.0
        total = int(limits.concurrency * self._left(limits.name, now).concurrency)
        part = whole_shares(total, asked)[self._gateway]
        elsewhere = sum(demand.in_flight for demand in others.values())
        # What others leave idle is lent out by demand, too.
        idle = max(0.0, total - elsewhere - own.in_flight)
        lent = int(idle * asked[self._gateway] / sum(asked.values()))
        return min(part + lent, max(0, int(total - elsewhere)))

    def _over(
        self, limits: Account, usage: _Usage, tokens: float, now: float
    ) -> OverLimit | None:
        """Return the first limit that is exceeded."""
        if limits.concurrency > 0:
            if usage.in_flight >= self._most_in_flight(limits, now):
                usage.turned_away.add(1.0, now)
                return OverLimit("concurrency", 1.0)
        if limits.requests_per_s > 0.0:
            rate = self._request_rate(limits, now)
            level = usage.request_bucket.fill(rate, self._cfg.burst, now)
            if level < 1.0:
                return OverLimit("requests_per_s", _wait(1.0 - level, rate))
        if limits.tokens_per_s > 0.0:
            rate = self._token_rate(limits, now)
            level = usage.token_bucket.fill(rate, self._cfg.burst, now)
            # A request larger than the bucket passes when the bucket is full.
            need = min(tokens, max(1.0, rate * self._cfg.burst))
            if level < need:
                return OverLimit("tokens_per_s", _wait(need - level, rate))
        return None

    def _spend(self, limits: Account, usage: _Usage, tokens: float) -> None:
        if limits.requests_per_s > 0.0:
            usage.request_bucket.take(1.0)
        if limits.tokens_per_s > 0.0:
            usage.token_bucket.take(tokens)


def _wait(missing: float, rate: float) -> float:
    """Return how long a bucket takes to earn what is missing, seconds."""
    if rate <= 0.0:
        return _RETRY_MAX
    return min(_RETRY_MAX, max(_RETRY_MIN, missing / rate))
