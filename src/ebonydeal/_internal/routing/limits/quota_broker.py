"""Grants of client accounts' limits, from the shares that one relay holds.

A granter keeps one token bucket per account; its capacity and rate are in proportion to
the shares that the granter holds. Relays ask for what they need, and get amounts in
advance while the bucket is well filled, so that a request far from its limit rarely
waits. Near the limit each request needs a grant of its own.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.settings.policy import PolicySettings

# Relays get amounts in advance only from what the bucket holds above this fraction.
_MIN_ADVANCE_LEVEL = 0.5
# Seconds of a relay's own demand that it gets in advance.
_ADVANCE_S = 0.5
# Weight of a request in its account's mean size. A fraction of the rate and of the debt
# is reserved for small requests, which are admitted while others wait.
_MEAN_WEIGHT = 0.05
_SMALL_RATE_FRACTION = 0.05
_SMALL_DEBT_FRACTION = 0.2
_MIN_WAIT_S = 0.05
_MAX_WAIT_S = 10.0
# TTL of an amount granted in advance. The relay counts it from its request, the granter
# from its later answer.
ADVANCE_TTL_S = 2.0
# TTL of what a standby holds. A new lease holder, or one that has lost its standby,
# grants nothing to a standby until this time is over.
STANDBY_GRANT_TTL_S = 4.0


class QuotaConfig(NamedTuple):
    """Parameters of grants; `PolicySettings` says what each does."""

    overdraft: float = 1.0
    small: float = 0.1

    @classmethod
    def from_config(cls, cfg: PolicySettings) -> "QuotaConfig":
        """Build from settings."""
        return cls(cfg.quota_overdraft, cfg.quota_small)


class Grant(NamedTuple):
    """An amount that a relay may admit, or the seconds after which to ask again.

    ``wait`` is None where waiting does not help, because the amount is larger than the
    bucket's capacity. ``shortfall`` is the amount that was missing.
    """

    amount: float
    wait: float | None
    shortfall: float = 0.0


class _Bucket:
    """One account's bucket, with the granter's share as of the last fill."""

    def __init__(self, level: float, share: float, at: float) -> None:
        self.level = level
        self.share = share
        self.filled_at = at
        # Amounts granted in advance: when each expires, and how much.
        self.advances: deque[tuple[float, float]] = deque()
        self.advanced_total = 0.0
        # The maximum that the standby holds, and when that expires.
        self.standby_amount = 0.0
        self.standby_until = at
        # What small requests may still take while the level is too low.
        self.small_level = 0.0
        # Mean size of the requests.
        self.mean_size = 0.0

    def expire_advances(self, now: float) -> None:
        """Drop advances that have expired."""
        while self.advances and self.advances[0][0] <= now:
            self.advanced_total -= self.advances.popleft()[1]
        if not self.advances:
            self.advanced_total = 0.0


class QuotaBroker:
    """Buckets of all accounts at one granter.

    Parameters
    ----------
    bounds : QuotaBounds
        How far limits may be exceeded.
    config : QuotaConfig, optional
        Which requests are preferred near the limit.
    share : callable, optional
        Returns the fraction of all relays' shares that this granter holds at a time.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        config: QuotaConfig | None = None,
        share: Callable[[float], float] = lambda _now: 1.0,
    ) -> None:
        self.bounds = bounds
        self._config = config or QuotaConfig()
        self._share = share
        self._buckets: dict[str, _Bucket] = {}
        # Whether new buckets are full, as no relay can have granted anything before.
        self.starts_full = False
        # Whether a standby may hold a part of each burst that another granter gave it.
        self.has_unknown_standby: Callable[[float], bool] = lambda _now: False

    def refresh(self, accounts: Iterable[ForwardAccount], now: float) -> None:
        """Fill all buckets; must be called before and after each change of share."""
        limited = [account for account in accounts if account.rate > 0.0]
        for account in limited:
            self._filled(account, now)
        if len(self._buckets) > len(limited):
            names = {account.name for account in limited}
            self._buckets = {n: b for n, b in self._buckets.items() if n in names}

    def grant(self, account: ForwardAccount, need: float, now: float) -> Grant:
        """Grant ``need`` of an account, or say when to ask again.

        A request that the level doesn't cover may be granted on debt, up to a bound.
        Without debt, small requests would keep the level low, and large requests, the
        most valuable ones, would be refused. Requests much smaller than the account's
        mean size are granted while others wait for the debt to be earned.
        """
        bucket = self._filled(account, now)
        bucket.mean_size = bucket.mean_size or need
        bucket.mean_size += _MEAN_WEIGHT * (need - bucket.mean_size)
        debt = self.bounds.debt(account) * bucket.share * self._config.overdraft
        min_level = max(0.0, need - debt * (1.0 - _SMALL_DEBT_FRACTION))
        if bucket.share > 0.0 and bucket.level >= min_level:
            bucket.level -= need
            return Grant(need, 0.0)
        is_small = need < bucket.mean_size * self._config.small
        if is_small and bucket.small_level >= need and bucket.level - need >= -debt:
            bucket.level -= need
            bucket.small_level -= need
            return Grant(need, 0.0)
        return Grant(
            0.0, self._wait(account, bucket, min_level), min_level - bucket.level
        )

    def _wait(
        self, account: ForwardAccount, bucket: _Bucket, level: float
    ) -> float | None:
        """Return the seconds until the bucket may reach a level; None for never."""
        if level > account.burst and bucket.share >= 1.0:
            return None
        rate = account.rate * bucket.share
        if rate <= 0.0:
            return _MAX_WAIT_S
        wait = (level - bucket.level) / rate
        return min(_MAX_WAIT_S, max(_MIN_WAIT_S, wait))

    def advance(
        self, account: ForwardAccount, demand: float, balance: float, now: float
    ) -> float:
        """Return what a relay gets in advance; 0 near the limit.

        Parameters
        ----------
        account : ForwardAccount
            Whose limit.
        demand, balance : float
            The relay's demand per second, and the unused amount that it holds.
        now : float
            Seconds.
        """
        bucket = self._filled(account, now)
        room = self.bounds.in_advance(account) * bucket.share - bucket.advanced_total
        amount = min(demand * _ADVANCE_S - balance, room, self._spare(account, bucket))
        if amount <= 0.0:
            return 0.0
        bucket.level -= amount
        bucket.advanced_total += amount
        bucket.advances.append((now + ADVANCE_TTL_S, amount))
        return amount

    def grant_standby(
        self, account: ForwardAccount, balance: float, now: float
    ) -> float:
        """Return what a standby gets beside its ``balance``; 0 near the limit."""
        bucket = self._filled(account, now)
        max_amount = self.bounds.standby(account) + self.bounds.standby_burst(account)
        room = max_amount * bucket.share - balance
        amount = max(0.0, min(room, self._spare(account, bucket)))
        bucket.level -= amount
        bucket.standby_amount = balance + amount
        bucket.standby_until = now + STANDBY_GRANT_TTL_S
        return amount

    def withdraw_share(
        self, account: ForwardAccount, weight: float, now: float
    ) -> float:
        """Withdraw and return the amount to transfer with a share to another granter.

        It is the share's part of the level, plus the debt with which the other granter
        starts.
        """
        bucket = self._filled(account, now)
        if bucket.share <= 0.0:
            return 0.0
        fraction = min(1.0, weight / bucket.share)
        amount = bucket.level * fraction + self.bounds.debt(account) * weight
        bucket.level -= bucket.level * fraction
        return max(0.0, amount)

    def deposit(self, account: ForwardAccount, amount: float, now: float) -> None:
        """Add the amount that was transferred with a share."""
        bucket = self._filled(account, now)
        bucket.level = min(bucket.level + amount, self._capacity(account, bucket, now))

    def _spare(self, account: ForwardAccount, bucket: _Bucket) -> float:
        capacity = self._capacity(account, bucket, bucket.filled_at)
        return bucket.level - _MIN_ADVANCE_LEVEL * capacity

    def _capacity(self, account: ForwardAccount, bucket: _Bucket, now: float) -> float:
        """Return the highest level: the burst less what relays and the standby hold."""
        standby = 0.0
        if self.has_unknown_standby(now):
            standby = self.bounds.standby_burst(account) * bucket.share
        elif now < bucket.standby_until:
            standby = max(0.0, bucket.standby_amount - self.bounds.standby(account))
        return max(0.0, account.burst * bucket.share - bucket.advanced_total - standby)

    def _filled(self, account: ForwardAccount, now: float) -> _Bucket:
        share = self._share(now)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            level = account.burst if self.starts_full else 0.0
            initial_share = share if self.starts_full else 0.0
            bucket = self._buckets[account.name] = _Bucket(level, initial_share, now)
        bucket.expire_advances(now)
        earned = (
            account.rate * min(share, bucket.share) * max(0.0, now - bucket.filled_at)
        )
        # The previous granter of a gained share may have left debt.
        owed = self.bounds.debt(account) * max(0.0, share - bucket.share)
        bucket.share = share
        bucket.filled_at = max(bucket.filled_at, now)
        capacity = self._capacity(account, bucket, now)
        bucket.level = min(capacity, bucket.level + earned - owed)
        small = _SMALL_RATE_FRACTION * account.burst * share
        bucket.small_level = min(
            small, bucket.small_level + earned * _SMALL_RATE_FRACTION
        )
        return bucket


class Balances:
    """Amounts of accounts' limits that one relay holds, each with an expiry.

    Parameters
    ----------
    ttl : float
        Seconds from the request for an amount until the amount expires.
    """

    def __init__(self, ttl: float = ADVANCE_TTL_S) -> None:
        self._ttl = ttl
        self._amounts: dict[str, deque[tuple[float, float]]] = {}

    def left(self, account: str, now: float) -> float:
        """Return the unused amount of an account."""
        amounts = self._amounts.get(account)
        if not amounts:
            return 0.0
        while amounts and amounts[0][0] <= now:
            amounts.popleft()
        return sum(amount for _until, amount in amounts)

    def add(self, account: str, amount: float, asked_at: float) -> None:
        """Add an amount that was requested at ``asked_at``."""
        amounts = self._amounts.setdefault(account, deque())
        amounts.append((asked_at + self._ttl, amount))

    def extend(self, asked_at: float) -> None:
        """Renew all unused amounts as if they had been requested at ``asked_at``."""
        for name in self._amounts:
            left = self.left(name, asked_at)
            self._amounts[name] = deque([(asked_at + self._ttl, left)] if left else [])

    def take(self, account: str, amount: float, now: float) -> bool:
        """Use ``amount`` if that much is left; return whether it was."""
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
        """Return the accounts of which an amount was ever added."""
        return tuple(self._amounts)
