"""One relay's share of all limits, and which granters it asks for amounts.

The relay delegates its share to the coordinator, with its reports. When the coordinator
is lost, a standby that it named has amounts to grant at once, and gets the shares of
relays as their delegations to the coordinator expire. Without a standby, a relay grants
from its own share.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.limits.granter import STANDBY_DELEGATION_S, Granter
from ebonydeal._internal.relay.limits.messages import (
    DELEGATE,
    PERMIT,
    RELEASE,
    DelegateMessage,
    PermitMessage,
    PermitReply,
    ReleaseMessage,
    ShareReply,
    ShareReport,
)
from ebonydeal._internal.relay.peers.messages import GRANT, GrantMessage, GrantReply
from ebonydeal._internal.routing.limits.quota_broker import Balances, Grant
from ebonydeal._internal.routing.limits.share_delegation import DelegationOffer
from ebonydeal._internal.routing.notices.endpoint_notices import LimitReport
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.limits")

_CHECK_INTERVAL_S = 0.25
_MIN_CHECK_INTERVAL_S = 0.01
_CALL_TIMEOUT_S = 0.25
# A relay that didn't answer isn't asked again for this long: each request would wait.
_AVOID_TIMEOUT_S = 0.6
# Retry-After for a client whose relay reaches no granter.
_UNREACHABLE_RETRY_AFTER_S = 0.5
# For this long after its start a relay without a share reports without waiting.
_STARTUP_PERIOD_S = 4.0
# A standby without spare amounts isn't asked for them again for this long.
_NO_SPARE_WAIT_S = 1.0
_MIN_RETRY_AFTER_S = 0.1
# TTL of a reply from a coordinator of the previous release, which states none.
_LEGACY_REPLY_TTL_S = 2.0


class CoordinatorPort(Protocol):
    """The coordinator, as a relay reaches it."""

    @property
    def coordinator_address(self) -> str | None:
        """The coordinator's address, None if unknown."""

    async def grant(self, account: str, amount: float) -> GrantReply:
        """Request an amount of a limit."""

    async def permit(self, message: PermitMessage) -> PermitReply:
        """Request to send to an endpoint with a limit."""

    def report_now(self) -> None:
        """Report to the coordinator now."""


class RelayPlacement(NamedTuple):
    """A relay's availability zone, and how long it leaves a free lease to others."""

    zone: str = ""
    takeover_delay_s: float = 0.0


class LimitsClient(SupervisedService):
    """Delegates this relay's share, and requests amounts and permits.

    Parameters
    ----------
    granter : Granter
        This relay's own granter.
    client : PeerClient
        Calls to other relays.
    clock : Clock
        Time.
    node, incarnation : str
        This relay.
    metrics : Metrics
        Counts grants by who granted.
    placement : RelayPlacement
        What the coordinator needs to know to choose standbys.
    """

    def __init__(
        self,
        granter: Granter,
        client: PeerClient,
        clock: Clock,
        node: str,
        incarnation: str,
        metrics: Metrics,
        placement: RelayPlacement,
    ) -> None:
        super().__init__()
        self._granter = granter
        self._client = client
        self._clock = clock
        self._node = node
        self._incarnation = incarnation
        self._metrics = metrics
        self._placement = placement
        self._started_at = clock.now()
        self._standbys: list[str] = []
        self._avoided_until: dict[str, float] = {}
        self._standby_granter = ""
        # The granter of this relay's share.
        self._granter_address = ""
        # Amounts that the last granter returned with the share, for the next one.
        self._transfer: dict[str, float] = {}
        self._transfer_number = 0
        self._transfer_granter = ""
        # Until when the coordinator's last reply is valid.
        self._coordinator_until = 0.0
        # Until when a standby has this relay's share.
        self._standby_until = 0.0
        # By account, until when the standby isn't asked for spare amounts.
        self._no_spare_until: dict[str, float] = {}
        # Amounts that were granted in advance.
        self.balances = Balances()
        # Returns the address at which other relays reach this one.
        self.address: Callable[[], str] = str
        self.coordinator: CoordinatorPort | None = None

    @property
    def is_standby(self) -> bool:
        """Whether this relay is the coordinator's first standby."""
        return self._standbys[:1] == [self.address()]

    @property
    def has_coordinator(self) -> bool:
        """Whether a lease holder answered recently."""
        return self._clock.now() < self._coordinator_until

    @property
    def is_delegated_to_standby(self) -> bool:
        """Whether this relay's share is delegated to a standby."""
        now = self._clock.now()
        offer = self._granter.own_share.accepted_offer(now)
        return offer is not None and offer.granter == self._standby_granter

    # --- reports -------------------------------------------------------------
    def share_report(self) -> ShareReport:
        """Return the report of this relay's share, for a granter."""
        now = self._clock.now()
        own, balances = self._granter.own_share, self._granter.standby_balances
        offer = own.accepted_offer(now) or DelegationOffer("", 0.0, 0.0)
        if self._transfer and offer.granter:
            # Only one granter gets them: another can't know whether the first did.
            self._transfer_granter = self._transfer_granter or offer.granter
            if self._transfer_granter != offer.granter:
                self._transfer = {}
        return ShareReport(
            # A granter must not use the share for longer than this relay has it.
            weight=own.weight(now + offer.seconds),
            granter=offer.granter,
            until=offer.until,
            seconds=offer.seconds,
            free=own.is_free(now),
            up_s=round(now - self._started_at, 3),
            stand_in={
                name: round(balances.left(name, now), 1) for name in balances.accounts()
            },
            stands_back_s=self._placement.takeover_delay_s,
            zone=self._placement.zone,
            along=self._transfer if offer.granter else {},
            along_number=self._transfer_number,
        )

    def on_reply(self, reply: ShareReply | None, asked_at: float) -> None:
        """Process the coordinator's reply to the report made at ``asked_at``."""
        if reply is None:
            return
        self._coordinator_until = asked_at + reply["seconds"]
        coordinator = self.coordinator
        address = "" if coordinator is None else coordinator.coordinator_address or ""
        offer = self._granter.own_share.accepted_offer(asked_at)
        if offer is not None and offer.granter == reply["granter"]:
            # It has the transferred amounts, as the report contained its own offer.
            self._transfer = {}
        self._delegate(reply, address)
        if reply["kept_s"] > 0.0:
            self._granter.own_share.set_weight(
                reply["weight"], asked_at + reply["kept_s"]
            )
        for name, amount in reply["grants"].items():
            self.balances.add(name, amount, asked_at)
        if reply["stand_ins"]:
            self._standbys = list(reply["stand_ins"])
        if reply["stand_in"] is not None:
            self._granter.standby_balances.extend(asked_at)
            for name, amount in reply["stand_in"].items():
                self._granter.standby_balances.add(name, amount, asked_at)

    def on_legacy_reply(self, grants: dict[str, float], asked_at: float) -> None:
        """Process the reply of a coordinator of the previous release.

        That one grants amounts, but doesn't know about shares.
        """
        self._coordinator_until = asked_at + _LEGACY_REPLY_TTL_S
        for name, amount in grants.items():
            self.balances.add(name, amount, asked_at)

    def _delegate(self, reply: ShareReply, address: str) -> bool:
        """Accept the offer in a reply; return whether its granter must be notified."""
        now = self._clock.now()
        self._granter.refresh()
        own = self._granter.own_share
        previous = own.accepted_offer(now)
        offer = DelegationOffer(reply["granter"], reply["until"], reply["seconds"])
        accepted = own.delegate(offer, now)
        if accepted:
            self._granter_address = address
        is_new = accepted and (previous is None or previous.granter != offer.granter)
        if is_new and self.coordinator is not None and self.has_coordinator:
            self.coordinator.report_now()
        return is_new

    @supervised_task
    async def _keep_delegated(self) -> None:
        """Delegate to a standby while the coordinator is lost."""
        while not self.should_stop:
            await self._clock.sleep(self._check_interval())
            self._granter.refresh()
            coordinator = self.coordinator
            if coordinator is None:
                continue
            if self.has_coordinator:
                await self._reclaim_share()
                if self._waits_for_share():
                    coordinator.report_now()
                continue
            address = self._standby_address()
            if address is not None:
                await self._delegate_to_standby(address)

    def _check_interval(self) -> float:
        """Return the seconds until the delegation is checked again.

        The coordinator counts the share of a restarted relay only after the previous
        process's delegation to a standby has expired.
        """
        until = STANDBY_DELEGATION_S - (self._clock.now() - self._started_at)
        return (
            min(_CHECK_INTERVAL_S, until + _MIN_CHECK_INTERVAL_S)
            if until > 0.0
            else _CHECK_INTERVAL_S
        )

    async def _reclaim_share(self) -> None:
        """Get the share back from its granter, now that the coordinator is found."""
        own, coordinator = self._granter.own_share, self.coordinator
        offer = own.accepted_offer(self._clock.now())
        address = self._granter_address
        if offer is None or coordinator is None or not address:
            return
        if address in (coordinator.coordinator_address, self.address()):
            return
        message = ReleaseMessage(node=self._node, incarnation=self._incarnation)
        try:
            reply: Any = await self._client.call(
                address, RELEASE, message, _CALL_TIMEOUT_S
            )
        except EbonydealError as exc:
            # The delegation expires by itself.
            logger.info(
                "Granter didn't return share.", address=address, reason=str(exc)
            )
            self._granter_address = ""
            return
        own.end_delegation(offer)
        self._transfer = reply["along"]
        self._transfer_number += 1
        self._transfer_granter = ""
        self._standby_until = 0.0

    def _waits_for_share(self) -> bool:
        """Return whether the coordinator should soon count this relay's share.

        The share was delegated to another granter at the coordinator's first reply, or
        a previous process may have delegated it.
        """
        now = self._clock.now()
        if self._granter.own_share.is_free(now):
            return True
        is_new = STANDBY_DELEGATION_S <= now - self._started_at < _STARTUP_PERIOD_S
        return is_new and self._granter.own_share.weight(now) <= 0.0

    def _standby_address(self) -> str | None:
        """Return the address of the first standby that may be asked, if any."""
        now = self._clock.now()
        for address in self._standbys:
            if address == self.address():
                return None
            if self._may_ask(address, now):
                return address
        return None

    async def _delegate_to_standby(self, address: str) -> None:
        """Delegate the share to a standby, or renew its delegation."""
        own = self._granter.own_share
        offer = own.accepted_offer(self._clock.now())
        for _ in range(2):
            message = DelegateMessage(
                node=self._node,
                incarnation=self._incarnation,
                limits=self.share_report(),
            )
            try:
                reply: Any = await self._client.call(
                    address, DELEGATE, message, _CALL_TIMEOUT_S
                )
            except EbonydealError:
                self._avoid(address)
                return
            self._standby_granter = reply["granter"]
            is_new = self._delegate(reply, address)
            if self.is_delegated_to_standby:
                self._standby_until = self._clock.now() + reply["seconds"]
            if not is_new:
                return
            # The standby counts the share once it is reported with its own offer.
            if offer is None:
                logger.info("Share delegated to the stand-in.", address=address)

    def _avoid(self, address: str) -> None:
        self._avoided_until[address] = self._clock.now() + _AVOID_TIMEOUT_S

    # --- amounts -------------------------------------------------------------
    async def grant(self, account: ForwardAccount, amount: float) -> Grant:
        """Request an amount; raises LIMIT_UNAVAILABLE if no granter is reached."""
        now = self._clock.now()
        coordinator = self.coordinator
        if coordinator is not None and self.has_coordinator and self._may_ask("", now):
            # Until its delegations expire, a standby has the shares of this partition.
            if self._standby_until > now:
                got = await self._ask_standby(account, amount, False)
                if got is not None and got.amount >= amount:
                    return got
            try:
                got = _grant(await coordinator.grant(account.name, amount))
            except EbonydealError as exc:
                logger.info(
                    "Grant request failed.", account=account.name, reason=str(exc)
                )
                # A coordinator that answers may have shares at the next request.
                if exc.kind is not ErrorKind.WRONG_OWNER:
                    self._avoid("")
            else:
                if got.amount >= amount:
                    return self._counted(got, Event.ADMITTED_BY_GRANT)
                return await self._ask_standby_for_spare(
                    coordinator, account, amount, got
                )
        got = await self._ask_standby(account, amount, False)
        if got is not None:
            return got
        try:
            got = self._granter.grant(account, amount)
            return self._counted(got, Event.ADMITTED_ALONE)
        except EbonydealError:
            wait = (
                self._granter.own_share.free_in(self._clock.now())
                or _UNREACHABLE_RETRY_AFTER_S
            )
            raise EbonydealError(
                ErrorKind.LIMIT_UNAVAILABLE,
                f"no granter of the limit of {account.name} is reachable",
                retry_after=max(_MIN_RETRY_AFTER_S, wait),
            ) from None

    async def _ask_standby_for_spare(
        self,
        coordinator: CoordinatorPort,
        account: ForwardAccount,
        amount: float,
        refused: Grant,
    ) -> Grant:
        """Request what the coordinator lacks from the standby's part of the burst."""
        now = self._clock.now()
        shortfall = min(refused.shortfall, amount)
        if shortfall <= 0.0 or now < self._no_spare_until.get(account.name, now):
            return refused
        got = await self._ask_standby(account, shortfall, True)
        if got is None or got.amount < shortfall:
            self._no_spare_until[account.name] = now + _NO_SPARE_WAIT_S
            return refused
        if shortfall >= amount:
            return got
        # Available to the next request if the coordinator refuses the remainder.
        self.balances.add(account.name, shortfall, now)
        try:
            remainder = _grant(
                await coordinator.grant(account.name, amount - shortfall)
            )
        except EbonydealError as exc:
            logger.info("Grant request failed.", account=account.name, reason=str(exc))
            return refused
        if remainder.amount < amount - shortfall:
            return refused
        self.balances.take(account.name, shortfall, self._clock.now())
        return self._counted(Grant(amount, 0.0), Event.ADMITTED_BY_GRANT)

    async def _ask_standby(
        self, account: ForwardAccount, amount: float, spare: bool
    ) -> Grant | None:
        """Return the standby's grant; None without a standby or if it has no share."""
        address = self._standby_address()
        if address is None:
            return None
        message = GrantMessage(account=account.name, amount=amount, spare=spare)
        try:
            reply: Any = await self._client.call(
                address, GRANT, message, _CALL_TIMEOUT_S
            )
        except EbonydealError as exc:
            logger.info("Grant request failed.", account=account.name, reason=str(exc))
            if exc.kind is not ErrorKind.WRONG_OWNER:
                self._avoid(address)
            return None
        return self._counted(_grant(reply), Event.ADMITTED_BY_STAND_IN)

    async def permit(self, report: LimitReport) -> PermitReply:
        """Request to send to an endpoint with a limit.

        Raises WRONG_OWNER if no relay that is reached has a share to grant from.
        """
        message = PermitMessage(report=report.encode())
        now = self._clock.now()
        coordinator = self.coordinator
        if coordinator is not None and self.has_coordinator and self._may_ask("", now):
            try:
                return await coordinator.permit(message)
            except EbonydealError as exc:
                self._note_permit_failure("", exc)
        address = self._standby_address()
        if address is not None:
            try:
                reply: Any = await self._client.call(
                    address, PERMIT, message, _CALL_TIMEOUT_S
                )
                return reply
            except EbonydealError as exc:
                self._note_permit_failure(address, exc)
        return self._granter.permit(report)

    def _note_permit_failure(self, address: str, error: EbonydealError) -> None:
        """Note a relay that doesn't grant permits; empty for the coordinator."""
        logger.info("Permit request failed.", address=address, reason=str(error))
        # Relays of the previous release answer, but don't know permits.
        if error.kind not in (ErrorKind.WRONG_OWNER, ErrorKind.NOT_FOUND):
            self._avoid(address)

    def _may_ask(self, address: str, now: float) -> bool:
        return now >= self._avoided_until.get(address, now)

    def _counted(self, got: Grant, how: Event) -> Grant:
        if got.amount > 0.0:
            self._metrics.count(how)
        return got


def _grant(reply: GrantReply) -> Grant:
    return Grant(reply["amount"], reply["wait"], reply.get("short", 0.0))
