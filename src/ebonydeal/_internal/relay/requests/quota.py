"""Rate limits of client accounts at one relay."""

from typing import Protocol

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.routing.limits.demand import RateMeter
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.limits.quota_broker import Balances, Grant
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.quota")

_DEMAND_WINDOW_S = 2.0
_MIN_WAIT_S = 0.01


class GrantPort(Protocol):
    """Source of grants: amounts of an account's limit that this relay may use."""

    balances: Balances

    async def grant(self, account: ForwardAccount, amount: float) -> Grant:
        """Request an amount; raises LIMIT_UNAVAILABLE if no granter is reachable."""


class Admission:
    """Admission of a request by its account's limit, with an expiry time.

    A request sent after that would run in another window than its amount was granted
    for.

    Parameters
    ----------
    limiter : QuotaLimiter
        Admits the request again.
    account : ForwardAccount
        Account whose limit applies.
    amount : float
        Amount that the request uses of the limit.
    until : float
        When the admission expires, monotonic seconds.
    """

    def __init__(
        self,
        limiter: "QuotaLimiter",
        account: ForwardAccount,
        amount: float,
        until: float,
    ) -> None:
        self._limiter = limiter
        self._account = account
        self._amount = amount
        self._until = until

    async def renew(self, now: float) -> None:
        """Admit the request again if its admission has expired; raises RATE_LIMITED."""
        if now > self._until:
            renewed = await self._limiter.admit(self._account, self._amount, 0.0)
            self._until = renewed._until


class QuotaLimiter:
    """Admits requests while their client account is within its rate limit."""

    def __init__(
        self,
        grants: GrantPort,
        clock: Clock,
        bounds: QuotaBounds,
        metrics: Metrics | None = None,
    ) -> None:
        self._grants = grants
        self._bounds = bounds
        self._clock = clock
        self._metrics = metrics or Metrics()
        self._meters: dict[str, RateMeter] = {}

    def demand(self, now: float) -> dict[str, list[float]]:
        """Return demand per second and unused balance, by account."""
        balance = self._grants.balances.left
        return {
            name: [round(meter.rate(now), 1), round(balance(name, now), 1)]
            for name, meter in self._meters.items()
        }

    async def admit(
        self, account: ForwardAccount, amount: float, max_wait_s: float
    ) -> Admission:
        """Return once ``amount`` may be used, after ``max_wait_s`` at most.

        Raises RATE_LIMITED, LIMIT_TOO_SMALL or LIMIT_UNAVAILABLE.
        """
        if account.rate > 0.0:
            await self._take(account, amount, max_wait_s)
        until = self._clock.now() + self._bounds.max_send_delay_s(account)
        return Admission(self, account, amount, until)

    async def _take(
        self, account: ForwardAccount, amount: float, max_wait_s: float
    ) -> None:
        now = self._clock.now()
        meter = self._meters.get(account.name)
        if meter is None:
            meter = self._meters[account.name] = RateMeter(_DEMAND_WINDOW_S)
        meter.add(amount, now)
        if self._grants.balances.take(account.name, amount, now):
            self._metrics.count(Event.ADMITTED_IN_ADVANCE)
            return
        deadline = now + max_wait_s
        while True:
            try:
                grant = await self._grants.grant(account, amount)
            except EbonydealError as exc:
                wait = exc.retry_after or 0.0
                if self._clock.now() + wait > deadline:
                    raise
                await self._clock.sleep(wait)
                continue
            if grant.amount >= amount:
                return
            if grant.wait is None:
                raise EbonydealError(
                    ErrorKind.LIMIT_TOO_SMALL,
                    f"{amount:.0f} exceeds the burst of client account"
                    f" {account.name}: {account.burst:.0f}",
                )
            if self._clock.now() + grant.wait > deadline:
                detail = (
                    f"client account {account.name} exceeds its limit of"
                    f" {account.rate:.0f}/s with {amount:.0f} more"
                )
                raise EbonydealError(
                    ErrorKind.RATE_LIMITED, detail, retry_after=grant.wait
                )
            await self._clock.sleep(max(_MIN_WAIT_S, grant.wait))
