"""Limits of client accounts at one relay."""

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

_DEMAND_S = 2.0
_LEAST_WAIT_S = 0.01


class GrantPort(Protocol):
    """Where parts of limits come from."""

    balances: Balances

    async def grant(self, account: ForwardAccount, amount: float) -> Grant:
        """Ask for an amount; raises LIMIT_UNAVAILABLE where nobody is reached."""


class Admission:
    """A request's admission by its account's limit, good for a while.

    What is sent later than that would count in another window than it was granted in.

    Parameters
    ----------
    gate : QuotaLimiter
        Admits it anew.
    account : ForwardAccount
        Whose limit.
    amount : float
        What the request counts.
    until : float
        When the admission ends.
    """

    def __init__(
        self, gate: "QuotaLimiter", account: ForwardAccount, amount: float, until: float
    ) -> None:
        self._gate = gate
        self._account = account
        self._amount = amount
        self._until = until

    async def renew(self, now: float) -> None:
        """Admit the request anew where its admission has ended; raises RATE_LIMITED."""
        if now > self._until:
            again = await self._gate.admit(self._account, self._amount, 0.0)
            self._until = again._until


class QuotaLimiter:
    """Lets requests pass while their client account is within its limit."""

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
        """Return demand a second and unused balance by account."""
        left = self._grants.balances.left
        return {
            name: [round(meter.rate(now), 1), round(left(name, now), 1)]
            for name, meter in self._meters.items()
        }

    async def admit(
        self, account: ForwardAccount, amount: float, patience: float
    ) -> Admission:
        """Return when ``amount`` may be used; raises RATE_LIMITED and its kin.

        What will be there within ``patience`` seconds is waited for.
        """
        if account.rate > 0.0:
            await self._take(account, amount, patience)
        until = self._clock.now() + self._bounds.late_s(account)
        return Admission(self, account, amount, until)

    async def _take(
        self, account: ForwardAccount, amount: float, patience: float
    ) -> None:
        now = self._clock.now()
        meter = self._meters.get(account.name)
        if meter is None:
            meter = self._meters[account.name] = RateMeter(_DEMAND_S)
        meter.add(amount, now)
        if self._grants.balances.take(account.name, amount, now):
            self._metrics.count(Event.ADMITTED_IN_ADVANCE)
            return
        until = now + patience
        while True:
            try:
                got = await self._grants.grant(account, amount)
            except EbonydealError as exc:
                wait = exc.retry_after or 0.0
                if self._clock.now() + wait > until:
                    raise
                await self._clock.sleep(wait)
                continue
            if got.amount >= amount:
                return
            if got.wait is None:
                raise EbonydealError(
                    ErrorKind.LIMIT_TOO_SMALL,
                    f"{amount:.0f} is more than the limit of {account.name} holds"
                    f" at once: {account.burst:.0f}",
                )
            if self._clock.now() + got.wait > until:
                detail = (
                    f"client account {account.name} asked for {amount:.0f}"
                    f" beyond its limit of {account.rate:.0f}/s"
                )
                raise EbonydealError(
                    ErrorKind.RATE_LIMITED, detail, retry_after=got.wait
                )
            await self._clock.sleep(max(_LEAST_WAIT_S, got.wait))
