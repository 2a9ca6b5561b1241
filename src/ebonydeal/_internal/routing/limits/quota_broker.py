"""Grants of client accounts' limits by whoever admits from relays' shares.

A granter keeps one token bucket an account, of the shares that it has: capacity and
rate follow them. Relays ask for what they need and get some in advance while there is
plenty, so that a request far from its limit seldom waits. Near the limit each request
is asked for by itself.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.settings.policy import PolicySettings

# Above this level of the bucket relays get some in advance.
_PLENTY = 0.5
# Seconds of a relay's own demand that it gets in advance.
_ADVANCE_S = 0.5
# Weight of a request in its account's mean size. Small requests that pass while
# others wait have a part of the rate, and of the debt, to themselves.
_MEAN_WEIGHT = 0.05
_SMALL_SHARE = 0.05
_SMALL_DEBT = 0.2
_LEAST_WAIT_S = 0.05
_MOST_WAIT_S = 10.0
# An amount granted in advance lapses, as seen by who has it. The granter counts the
# same time from later on.
ADVANCE_TTL_S = 2.0
# The same of what a stand-in has. A new holder, and one whose stand-in is lost, gives
# none out before.
STANDBY_GRANT_TTL_S = 4.0


class QuotaPolicy(NamedTuple):
    """Terms of the grants; `PolicySettings` says what each does."""

    overdraft: float = 1.0
    small: float = 0.1

    @classmethod
    def from_config(cls, cfg: PolicySettings) -> "QuotaPolicy":
        """Build from settings."""
        return cls(cfg.quota_overdraft, cfg.quota_small)


class Grant(NamedTuple):
    """An amount that a relay may admit, or when to ask again, seconds.

    ``wait`` is None where no wait helps: the amount is larger than the limit ever
    holds at once. ``shortfall`` is the amount that was missing.
    """

    amount: float
    wait: float | None
    shortfall: float = 0.0


class _Bucket:
    """One account's bucket, of the share that was there at the last fill."""

    def __init__(self, level: float, share: float, at: float) -> None:
        self.level = level
        self.share = share
        self.at = at
        # What lies granted at relays: when it lapses, and how much.
        self.advanced: deque[tuple[float, float]] = deque()
        self.out = 0.0
        # What the stand-in has at most, and until when.
        self.lent = 0.0
        self.lent_until = at
        # What small requests may still take while the level is too low.
        self.small = 0.0
        # Mean size of the requests that were asked for.
        self.mean = 0.0

    def lapse(self, now: float) -> None:
        """Forget what lay granted for too long to be used."""
        while self.advanced and self.advanced[0][0] <= now:
            self.out -= self.advanced.popleft()[1]
        if not self.advanced:
            self.out = 0.0


class QuotaBroker:
    """Buckets of all accounts at one granter.

    Parameters
    ----------
    bounds : QuotaBounds
        What is tolerated.
    terms : QuotaTerms, optional
        Which requests go first near the limit.
    share : callable, optional
        Returns the part of all relays' shares that are granted from here at a time.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        terms: QuotaPolicy | None = None,
        share: Callable[[float], float] = lambda _now: 1.0,
    ) -> None:
        self.bounds = bounds
        self._terms = terms or QuotaPolicy()
        self._share = share
        self._buckets: dict[str, _Bucket] = {}
        # Whether nobody can have granted anything before.
        self.first = False
        # Whether a stand-in may have a part of each burst that isn't known here.
        self.lent_elsewhere: Callable[[float], bool] = lambda _now: False

    def refresh(self, accounts: Iterable[ForwardAccount], now: float) -> None:
        """Fill all buckets; to be called before and after each change of the share."""
        limited = [account for account in accounts if account.rate > 0.0]
        for account in limited:
            self._filled(account, now)
        if len(self._buckets) > len(limited):
            names = {account.name for account in limited}
            self._buckets = {n: b for n, b in self._buckets.items() if n in names}

    def grant(self, account: ForwardAccount, need: float, now: float) -> Grant:
        """Grant ``need`` of an account, or say when it may be there.

        A request that the level doesn't cover may be granted on account of what will
        be earned, as far as debts go: else small requests keep the level low and
        large ones, which are worth most, are refused. Those that are small beside the
        account's mean pass while others wait for what was overdrawn.
        """
        bucket = self._filled(account, now)
        bucket.mean = bucket.mean or need
        bucket.mean += _MEAN_WEIGHT * (need - bucket.mean)
        debt = self.bounds.debt(account) * bucket.share * self._terms.overdraft
        wanted = max(0.0, need - debt * (1.0 - _SMALL_DEBT))
        if bucket.share > 0.0 and bucket.level >= wanted:
            bucket.level -= need
            return Grant(need, 0.0)
        is_small = need < bucket.mean * self._terms.small
        if is_small and bucket.small >= need and bucket.level - need >= -debt:
            bucket.level -= need
            bucket.small -= need
            return Grant(need, 0.0)
        return Grant(0.0, self._wait(account, bucket, wanted), wanted - bucket.level)

    def _wait(
        self, account: ForwardAccount, bucket: _Bucket, wanted: float
    ) -> float | None:
        """Return the seconds until a level may be reached."""
        if wanted > account.burst and bucket.share >= 1.0:
            return None
        rate = account.rate * bucket.share
        if rate <= 0.0:
            return _MOST_WAIT_S
        wait = (wanted - bucket.level) / rate
        return min(_MOST_WAIT_S, max(_LEAST_WAIT_S, wait))

    def advance(
        self, account: ForwardAccount, demand: float, balance: float, now: float
    ) -> float:
        """Return what a relay gets in advance; 0 near the limit.

        Parameters
        ----------
        account : ForwardAccount
            Whose limit.
        demand, balance : float
            What the relay is asked for a second, and what it has left.
        now : float
            Seconds.
        """
        bucket = self._filled(account, now)
        room = self.bounds.in_advance(account) * bucket.share - bucket.out
        want = min(demand * _ADVANCE_S - balance, room, self._spare(account, bucket))
        if want <= 0.0:
            return 0.0
        bucket.level -= want
        bucket.out += want
        bucket.advanced.append((now + ADVANCE_TTL_S, want))
        return want

    def stand_by(self, account: ForwardAccount, balance: float, now: float) -> float:
        """Return what a stand-in gets beside its ``balance``; 0 near the limit."""
        bucket = self._filled(account, now)
        most = self.bounds.standby(account) + self.bounds.standby_of_burst(account)
        room = most * bucket.share - balance
        amount = max(0.0, min(room, self._spare(account, bucket)))
        bucket.level -= amount
        bucket.lent = balance + amount
        bucket.lent_until = now + STANDBY_GRANT_TTL_S
        return amount

    def part(self, account: ForwardAccount, weight: float, now: float) -> float:
        """Take out what goes along with a share that another granter gets.

        It is what the share's part of the level is above the debt that the other begins
        with.
        """
        bucket = self._filled(account, now)
        if bucket.share <= 0.0:
            return 0.0
        part = min(1.0, weight / bucket.share)
        amount = bucket.level * part + self.bounds.debt(account) * weight
        bucket.level -= bucket.level * part
        return max(0.0, amount)

    def put(self, account: ForwardAccount, amount: float, now: float) -> None:
        """Take what came along with a share."""
        bucket = self._filled(account, now)
        bucket.level = min(bucket.level + amount, self._most(account, bucket, now))

    def _spare(self, account: ForwardAccount, bucket: _Bucket) -> float:
        most = self._most(account, bucket, bucket.at)
        return bucket.level - _PLENTY * most

    def _most(self, account: ForwardAccount, bucket: _Bucket, now: float) -> float:
        """Return the highest level: of a burst, what lies nowhere else."""
        lent = 0.0
        if self.lent_elsewhere(now):
            lent = self.bounds.standby_of_burst(account) * bucket.share
        elif now < bucket.lent_until:
            lent = max(0.0, bucket.lent - self.bounds.standby(account))
        return max(0.0, account.burst * bucket.share - bucket.out - lent)

    def _filled(self, account: ForwardAccount, now: float) -> _Bucket:
        share = self._share(now)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            level = account.burst if self.first else 0.0
            held = share if self.first else 0.0
            bucket = self._buckets[account.name] = _Bucket(level, held, now)
        bucket.lapse(now)
        earned = account.rate * min(share, bucket.share) * max(0.0, now - bucket.at)
        # What was overdrawn of a share isn't known to who gets it.
        owed = self.bounds.debt(account) * max(0.0, share - bucket.share)
        bucket.share = share
        bucket.at = max(bucket.at, now)
        most = self._most(account, bucket, now)
        bucket.level = min(most, bucket.level + earned - owed)
        small = _SMALL_SHARE * account.burst * share
        bucket.small = min(small, bucket.small + earned * _SMALL_SHARE)
        return bucket


class Balances:
    """Amounts of accounts' limits that one relay has, each until it lapses.

    Parameters
    ----------
    kept : float
        Seconds from before an amount was asked for until it lapses.
    """

    def __init__(self, kept: float = ADVANCE_TTL_S) -> None:
        self._kept = kept
        self._amounts: dict[str, deque[tuple[float, float]]] = {}

    def left(self, account: str, now: float) -> float:
        """Return what may still be admitted."""
        amounts = self._amounts.get(account)
        if not amounts:
            return 0.0
        while amounts and amounts[0][0] <= now:
            amounts.popleft()
        return sum(amount for _until, amount in amounts)

    def add(self, account: str, amount: float, asked_at: float) -> None:
        """Take an amount that was asked for at ``asked_at``."""
        amounts = self._amounts.setdefault(account, deque())
        amounts.append((asked_at + self._kept, amount))

    def extend(self, asked_at: float) -> None:
        """Keep all amounts that are left as if they were asked for then."""
        for name in self._amounts:
            left = self.left(name, asked_at)
            self._amounts[name] = deque([(asked_at + self._kept, left)] if left else [])

    def take(self, account: str, amount: float, now: float) -> bool:
        """Use ``amount``, if there is so much."""
        if self.left(account, now) < amount:
            return False
        amounts = self._amounts[account]
        while amount > 0.0 and amounts:
            until, first = amounts.popleft()
            if first > amount:
                amounts.appendleft((until, first - amount))
            amount -= first
        return True

    def accounts(self) -> Iterable[str]:
        """Return the accounts of which anything was had."""
        return tuple(self._amounts)
