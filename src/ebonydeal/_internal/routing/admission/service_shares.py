"""Division of a service's capacity among client accounts and relays under shortage.

Load: one account sends many times what fits, beside accounts that stay within their
share, through up to hundreds of relays. The coordinator adds up the work that all
relays report, and divides the capacity only while the work approaches it.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

# Offered work relative to the capacity at which shortage begins and ends, and the time
# for which it must stay below the latter.
_SHORTAGE_BEGINS = 0.9
_SHORTAGE_ENDS = 0.8
_MIN_BELOW_S = 2.0
# An account within its share may send this many times its reported work until the
# next report shows the growth: with 72 relays, one's part of a small account is less
# than a request per second and varies by more than its mean.
_GROWTH = 2.0
# Part of a limited account's share that is divided equally among all relays, so that
# its first request at another relay gets its turn.
_EQUAL_PART = 0.02


class RelayShares(NamedTuple):
    """What one relay may admit of a service, in endpoint seconds per second.

    ``rates`` by account; ``default`` is for each account that isn't listed.
    """

    default: float
    rates: dict[str, float]


class ShortageChange(NamedTuple):
    """A service entered or left shortage; ``shares`` are the accounts' totals."""

    entered: bool
    offered: float
    capacity: float
    shares: dict[str, float]


class _Totals(NamedTuple):
    """An account's totals; ``limited`` says that it offers more than its share."""

    offered: float
    share: float
    limited: bool


def max_min_shares(offered: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Return each account's share of ``capacity`` by max-min fairness.

    An account gets what it offers, but at most an equal part of what the accounts that
    offer less than such a part leave.
    """
    shares = {}
    left = max(0.0, capacity)
    waiting = len(offered)
    for account, work in sorted(offered.items(), key=lambda item: (item[1], item[0])):
        shares[account] = min(work, left / waiting)
        left -= shares[account]
        waiting -= 1
    return shares


class ServiceShares:
    """Shares of one service's capacity, as the coordinator divides it."""

    def __init__(self) -> None:
        self.in_shortage = False
        self._capacity = 0.0
        self._reports: Mapping[str, Mapping[str, float]] = {}
        self._accounts: dict[str, _Totals] = {}
        self._below_since: float | None = None

    def update(
        self,
        reports: Mapping[str, Mapping[str, float]],
        capacity: float,
        now: float,
    ) -> ShortageChange | None:
        """Divide the capacity by the current reports; return a change of shortage.

        Parameters
        ----------
        reports : mapping
            Work by account, by relay. All relays that are alive, also idle ones.
        capacity : float
            Endpoint seconds per second that the service's usable endpoints provide.
        now : float
            Seconds.
        """
        totals = _totals(reports.values())
        offered = sum(totals.values())
        was_short = self.in_shortage
        self._detect(offered, capacity, now)
        shares = max_min_shares(totals, capacity) if self.in_shortage else {}
        self._accounts = {
            name: _Totals(totals[name], share, share < totals[name])
            for name, share in shares.items()
        }
        self._reports = reports
        self._capacity = capacity
        if self.in_shortage is was_short:
            return None
        return ShortageChange(self.in_shortage, offered, capacity, self.shares())

    def shares(self) -> dict[str, float]:
        """Return the accounts' shares, in endpoint seconds per second."""
        return {name: totals.share for name, totals in self._accounts.items()}

    def for_relay(self, node: str) -> RelayShares | None:
        """Return what a relay may admit; None without shortage, for no limit.

        An account within its share is limited only if it grows: until the next report
        it may send up to an equal part of the capacity, or twice what it sent.
        """
        if not self.in_shortage:
            return None
        relays = max(1, len(self._reports))
        own = self._reports.get(node, {})
        equal = self._capacity / max(1, len(self._accounts))
        rates = {}
        for name, totals in self._accounts.items():
            part = own.get(name, 0.0) / totals.offered if totals.offered > 0.0 else 0.0
            if totals.limited:
                part = part * (1.0 - _EQUAL_PART) + _EQUAL_PART / relays
                rates[name] = totals.share * part
            else:
                growing = max(equal, _GROWTH * totals.offered)
                rates[name] = growing * max(part, 1.0 / relays)
        new = self._capacity / (len(self._accounts) + 1) / relays
        return RelayShares(new, rates)

    def _detect(self, offered: float, capacity: float, now: float) -> None:
        """Update whether there is shortage; without endpoints there are no shares."""
        if capacity <= 0.0:
            self.in_shortage = False
        elif offered > _SHORTAGE_BEGINS * capacity:
            self.in_shortage = True
        if not self.in_shortage or offered >= _SHORTAGE_ENDS * capacity:
            self._below_since = None
            return
        if self._below_since is None:
            self._below_since = now
        if now - self._below_since >= _MIN_BELOW_S:
            self.in_shortage = False
            self._below_since = None


def _totals(reports: Iterable[Mapping[str, float]]) -> dict[str, float]:
    totals: dict[str, float] = {}
    for report in reports:
        for account, work in report.items():
            totals[account] = totals.get(account, 0.0) + work
    return totals
