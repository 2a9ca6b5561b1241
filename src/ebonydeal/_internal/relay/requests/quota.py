"""Limits of client accounts at one relay."""

from typing import Protocol

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.routing.limits.demand import RateMeter
from ebonydeal._internal.routing.limits.quota_broker import LocalQuota
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.quota")

_DEMAND_S = 2.0
# Requests by the second would fill the log while there is no coordinator.
_TOLD_EVERY_S = 1.0


class GrantPort(Protocol):
    """Where parts of limits come from."""

    @property
    def in_touch(self) -> bool:
        """Whether the coordinator answered lately."""

    @property
    def relay_count(self) -> int:
        """How many relays there are, as last heard."""

    async def grant(self, account: str, amount: float) -> tuple[float, float]:
        """Ask for a part of a limit; returns (amount, seconds to wait)."""


class _AloneTally:
    """What passed by this relay's own word, told once a second by account."""

    def __init__(self) -> None:
        self._amounts: dict[str, float] = {}
        self._since = 0.0

    def add(self, account: str, amount: float, relays: int, now: float) -> None:
        """Count an amount; log what came in the second before."""
        if now - self._since >= _TOLD_EVERY_S:
            for name, total in self._amounts.items():
                logger.info(
                    "Passed without a coordinator.",
                    account=name,
                    amount=round(total),
                    relays=relays,
                    since_s=round(now - self._since, 2),
                )
            self._amounts = {}
            self._since = now
        self._amounts[account] = self._amounts.get(account, 0.0) + amount


class QuotaGate:
    """Lets requests pass while their client account is within its limit."""

    def __init__(
        self, local: LocalQuota, clock: Clock, metrics: Metrics | None = None
    ) -> None:
        self._local = local
        self._clock = clock
        self._metrics = metrics or Metrics()
        self._alone = _AloneTally()
        self._meters: dict[str, RateMeter] = {}
        self.grants: GrantPort | None = None

    def demand(self, now: float) -> dict[str, list[float]]:
        """Return demand a second and unused balance by account."""
        return {
            name: [round(m.rate(now), 1), round(self._local.balance(name, now), 1)]
            for name, m in self._meters.items()
        }

    def granted(self, grants: dict[str, float]) -> None:
        """Take what the coordinator gave in advance."""
        now = self._clock.now()
        for name, amount in grants.items():
            self._local.add(name, amount, now)

    async def admit(
        self, account: ForwardAccount, amount: float, patience: float
    ) -> None:
        """Return if ``amount`` may be used; raises RATE_LIMITED.

        What will be there within ``patience`` seconds is waited for.
        """
        if account.rate <= 0.0:
            return
        now = self._clock.now()
        meter = self._meters.get(account.name)
        if meter is None:
            meter = self._meters[account.name] = RateMeter(_DEMAND_S)
        meter.add(amount, now)
        if self._local.take(account.name, amount, now):
            self._metrics.count(Event.ADMITTED_IN_ADVANCE)
            return
        until = now + patience
        while wait := await self._ask(account, amount):
            if self._clock.now() + wait > until:
                break
            await self._clock.sleep(wait)
        if wait > 0.0:
            detail = (
                f"client account {account.name} asked for {amount:.0f}"
                f" beyond its limit of {account.rate:.0f}/s"
            )
            raise EbonydealError(ErrorKind.RATE_LIMITED, detail, retry_after=wait)

    async def _ask(self, account: ForwardAccount, amount: float) -> float:
        """Return 0 when the amount was granted, or seconds to wait."""
        grants = self.grants
        if grants is not None and grants.in_touch:
            try:
                got, wait = await grants.grant(account.name, amount)
            except EbonydealError as exc:
                logger.info("No grant.", account=account.name, reason=str(exc))
            else:
                if got < amount:
                    return max(wait, 0.01)
                self._metrics.count(Event.ADMITTED_BY_GRANT)
                return 0.0
        relays = 1 if grants is None else grants.relay_count
        now = self._clock.now()
        alone = self._local.take_alone(account, amount, relays, now)
        if alone == 0.0:
            self._metrics.count(Event.ADMITTED_ALONE)
            self._alone.add(account.name, amount, relays, now)
        return alone
