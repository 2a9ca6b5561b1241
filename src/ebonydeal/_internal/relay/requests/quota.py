"""Limits of client accounts at one relay."""

from typing import Protocol

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.routing.limits.demand import RateMeter
from ebonydeal._internal.routing.limits.quota_broker import LocalQuota
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.quota")

_DEMAND_S = 2.0


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


class QuotaGate:
    """Lets requests pass while their client account is within its limit."""

    def __init__(self, local: LocalQuota, clock: Clock) -> None:
        self._local = local
        self._clock = clock
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
                return 0.0 if got >= amount else max(wait, 0.01)
        relays = 1 if grants is None else grants.relay_count
        now = self._clock.now()
        return self._local.take_alone(account, amount, relays, now)
