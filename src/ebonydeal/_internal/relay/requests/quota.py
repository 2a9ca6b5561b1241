"""Limits of client accounts at one relay."""

from typing import Protocol

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.routing.limits.demand import RateMeter
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


class QuotaGate:
    """Lets requests pass while their client account is within its limit."""

    def __init__(
        self, grants: GrantPort, clock: Clock, metrics: Metrics | None = None
    ) -> None:
        self._grants = grants
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
    ) -> None:
        """Return if ``amount`` may be used; raises RATE_LIMITED and its kin.

        What will be there within ``patience`` seconds is waited for.
        """
        if account.rate <= 0.0:
            return
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
