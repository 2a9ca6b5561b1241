"""Client accounts' limits over all relays, granted by one of them.

The coordinator keeps one token bucket an account. Relays ask for what they
need and get some in advance while there is plenty, so that a request far from
its limit never waits. Near the limit each request is asked for by itself, so
the sum over all relays stays exact. A relay that can't reach the coordinator
goes on with an even part of the rate.
"""

from typing import NamedTuple

from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.settings.policy import PolicySettings

# Part of the tolerated overshoot that the buckets use: the rest covers grants
# that are still unused at relays.
_OVERSHOOT_USED = 0.35
# Part of what a window allows beyond the rate that may come at once. The rest
# comes evenly with the rate: a window of the bounds may be filled whichever way,
# and an account that asks for more for seconds would have only its rate.
_AT_ONCE = 0.4
# Above this level of the bucket relays get some in advance.
_PLENTY = 0.5
# Seconds of a relay's own demand that it gets in advance.
_ADVANCE_S = 0.5
# Weight of a request in its account's mean size. Small requests that pass while
# others wait have a part of the rate, and of what may come at once, to themselves.
_MEAN_WEIGHT = 0.05
_SMALL_SHARE = 0.05
# What a relay that goes on alone has at once, in seconds of its part. It may have
# been killed with all others, which used up the limit just before.
_HEAD_START_S = 0.3
# A request may put a relay in debt by so many seconds of its part; what is larger
# has to be saved up, since all relays may meet a large one at once.
_DEBT_ALONE_S = 3.0
_LEAST_WAIT_S = 0.05
_MOST_WAIT_S = 10.0


class QuotaTerms(NamedTuple):
    """Terms of the grants; `PolicySettings` says what each does."""

    overdraft: float = 1.0
    small: float = 0.1

    @classmethod
    def from_config(cls, cfg: PolicySettings) -> "QuotaTerms":
        """Build from settings."""
        return cls(cfg.quota_overdraft, cfg.quota_small)


class QuotaBounds(NamedTuple):
    """By how much limits may be exceeded, and over which window, seconds.

    ``slack_used`` is the part of the slack that is granted: the rest is left to
    what relays grant themselves while there is no coordinator.
    """

    window: float
    overshoot: float
    slack: float
    slack_used: float = 0.3

    def burst(self, account: ForwardAccount) -> float:
        """Return the amount that may come at once."""
        return self._beyond_rate(account) * _AT_ONCE

    def rate(self, account: ForwardAccount) -> float:
        """Return the amount a second that may come for long."""
        evenly = self._beyond_rate(account) * (1.0 - _AT_ONCE)
        return account.rate + evenly / self.window

    def _beyond_rate(self, account: ForwardAccount) -> float:
        """Return what a window may hold beyond its rate, with what is tolerated."""
        limit = account.rate * self.window + account.burst
        over = self.overshoot * limit * _OVERSHOOT_USED
        if account.in_tokens:
            over += self.slack * self.slack_used
        return account.burst + over


class Grant(NamedTuple):
    """An amount that a relay may admit, or when to ask again (seconds)."""

    amount: float
    wait: float


class _Bucket:
    def __init__(self, level: float, at: float) -> None:
        self.level = level
        self.at = at
        # What small requests may still take while the level is too low.
        self.small = 0.0
        # Mean size of the requests that were asked for.
        self.mean = 0.0

    def fill(self, rate: float, most: float, now: float) -> None:
        earned = rate * max(0.0, now - self.at)
        self.level = min(most, self.level + earned)
        self.small = min(most * _SMALL_SHARE, self.small + earned * _SMALL_SHARE)
        self.at = max(self.at, now)


class QuotaBroker:
    """Buckets of all accounts at the coordinator.

    Parameters
    ----------
    bounds : QuotaBounds
        What is tolerated.
    terms : QuotaTerms
        Which requests go first near the limit.
    """

    def __init__(self, bounds: QuotaBounds, terms: QuotaTerms | None = None) -> None:
        self._bounds = bounds
        self._terms = terms or QuotaTerms()
        self._buckets: dict[str, _Bucket] = {}
        self._empty_start = False
        # Share of the relays that ask here: the others go on alone, each with
        # an even part of the rate.
        self.part = 1.0

    def begin(self, fresh: bool) -> None:
        """Start as coordinator; ``fresh`` where no other was before.

        After another coordinator, what it granted lately is unknown, so
        buckets start empty and fill at their rate.
        """
        self._buckets.clear()
        self._empty_start = not fresh

    def grant(self, account: ForwardAccount, need: float, now: float) -> Grant:
        """Grant ``need`` of an account, or say when it may be there.

        A request that the level doesn't cover may be granted on account of
        what will be earned: else small requests keep the level low and large
        ones, which are worth most, are refused. Those that are small beside the
        account's mean pass while others wait for what was overdrawn.
        """
        bucket = self._filled(account, now)
        most = self._bounds.burst(account)
        bucket.mean = bucket.mean or need
        bucket.mean += _MEAN_WEIGHT * (need - bucket.mean)
        level = min(need, most) * (1.0 - self._terms.overdraft)
        if bucket.level >= level and bucket.level > 0.0:
            bucket.level -= need
            return Grant(need, 0.0)
        if need < bucket.mean * self._terms.small and bucket.small >= need:
            bucket.level -= need
            bucket.small -= need
            return Grant(need, 0.0)
        missing = level - bucket.level
        rate = self._bounds.rate(account)
        wait = missing / rate if rate > 0.0 else _MOST_WAIT_S
        return Grant(0.0, min(_MOST_WAIT_S, max(_LEAST_WAIT_S, wait)))

    def advance(
        self, account: ForwardAccount, demand: float, balance: float, now: float
    ) -> float:
        """Return what a relay gets in advance; 0 near the limit."""
        bucket = self._filled(account, now)
        want = demand * _ADVANCE_S - balance
        spare = bucket.level - _PLENTY * self._bounds.burst(account)
        if want <= 0.0 or spare <= 0.0:
            return 0.0
        amount = min(want, spare)
        bucket.level -= amount
        return amount

    def _filled(self, account: ForwardAccount, now: float) -> _Bucket:
        most = self._bounds.burst(account)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            level = 0.0 if self._empty_start else most
            bucket = self._buckets[account.name] = _Bucket(level, now)
        bucket.fill(self._bounds.rate(account) * self.part, most, now)
        return bucket


class LocalQuota:
    """One relay's balance of each account.

    Parameters
    ----------
    keep : float
        Seconds after which an unused balance lapses.
    """

    def __init__(self, keep: float = 4.0) -> None:
        self._keep = keep
        self._balance: dict[str, float] = {}
        self._granted_at: dict[str, float] = {}
        self._alone: dict[str, _Bucket] = {}

    def balance(self, account: str, now: float) -> float:
        """Return what may still be admitted."""
        if now - self._granted_at.get(account, now) > self._keep:
            self._balance.pop(account, None)
        return self._balance.get(account, 0.0)

    def add(self, account: str, amount: float, now: float) -> None:
        """Take a grant."""
        self._balance[account] = self.balance(account, now) + amount
        self._granted_at[account] = now

    def take(self, account: str, amount: float, now: float) -> bool:
        """Use ``amount`` of the balance, if there is so much."""
        if self.balance(account, now) < amount:
            return False
        self._balance[account] -= amount
        return True

    def take_alone(
        self, account: ForwardAccount, amount: float, relays: int, now: float
    ) -> float:
        """Admit without a coordinator; returns 0, or seconds to wait.

        The bucket may fall into debt by one request, as a part of a limit is
        often smaller than a single request; much larger ones are saved up.
        """
        part = 1.0 / max(1, relays)
        bucket = self._alone.get(account.name)
        if bucket is None:
            bucket = self._alone[account.name] = _Bucket(0.0, now - _HEAD_START_S)
        rate = account.rate * part
        most = max(rate, account.burst * part)
        bucket.fill(rate, most, now)
        saved = max(0.0, min(amount - rate * _DEBT_ALONE_S, most))
        enough = bucket.level >= saved if saved else bucket.level > 0.0
        if enough:
            bucket.level -= amount
            return 0.0
        if rate <= 0.0:
            return _MOST_WAIT_S
        return min(_MOST_WAIT_S, max(_LEAST_WAIT_S, (saved - bucket.level) / rate))
