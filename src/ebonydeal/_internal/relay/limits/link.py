"""One relay's share of all limits, and whom it asks for amounts.

It delegates its share to the coordinator, with its words. When that is lost, a stand-in
that the coordinator named has something to grant at once, and gets the shares of relays
as the coordinator's time for them ends; without one a relay grants from its own share.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.limits.granter import STAND_IN_SECONDS, Granter
from ebonydeal._internal.relay.limits.messages import (
    DELEGATE,
    PERMIT,
    RELEASE,
    DelegateMessage,
    LimitsReply,
    LimitsWord,
    PermitMessage,
    PermitReply,
    ReleaseMessage,
)
from ebonydeal._internal.relay.peers.messages import GRANT, GrantMessage, GrantReply
from ebonydeal._internal.routing.limits.quota_broker import Balances, Grant
from ebonydeal._internal.routing.limits.shares import Word
from ebonydeal._internal.routing.notices.notices import LimitReport
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient

logger = get_logger("relay.limits")

_STEP_S = 0.25
_LEAST_STEP_S = 0.01
_CALL_S = 0.25
# Who gave no answer isn't asked again for so long: each request would wait for it.
_AVOIDED_S = 0.6
# When a relay that reaches nobody may reach somebody.
_NOBODY_WAIT_S = 0.5
# So long after its start a relay tells its words sooner, until it has a share.
_NEW_S = 4.0
# A stand-in that has nothing to spare isn't asked for it again for so long.
_DRY_S = 1.0
_LEAST_WAIT_S = 0.1
# For so long a word of a coordinator holds that doesn't tell for how long.
_BEFORE_SHARES_S = 2.0


class CoordinatorPort(Protocol):
    """The coordinator, as a relay reaches it."""

    @property
    def coordinator_address(self) -> str | None:
        """Where the coordinator is, as far as known."""

    async def grant(self, account: str, amount: float) -> GrantReply:
        """Ask for a part of a limit."""

    async def permit(self, message: PermitMessage) -> PermitReply:
        """Ask to send to an endpoint that named a limit."""

    def report_now(self) -> None:
        """Tell the coordinator now."""


class Place(NamedTuple):
    """A relay's availability zone, and how far it stands back for larger instances."""

    zone: str = ""
    stands_back_s: float = 0.0


class LimitsLink(Service):
    """Delegates this relay's share, and asks for amounts.

    Parameters
    ----------
    granter : Granter
        This relay's own grants.
    client : PeerClient
        Calls to other relays.
    clock : Clock
        Time.
    node, incarnation : str
        Who asks.
    metrics : Metrics
        Counts who granted.
    place : Place
        What others ask of a relay that is to stand in.
    """

    def __init__(
        self,
        granter: Granter,
        client: PeerClient,
        clock: Clock,
        node: str,
        incarnation: str,
        metrics: Metrics,
        place: Place,
    ) -> None:
        super().__init__()
        self._granter = granter
        self._client = client
        self._clock = clock
        self._node = node
        self._incarnation = incarnation
        self._metrics = metrics
        self._place = place
        self._up_since = clock.now()
        self._stand_ins: list[str] = []
        self._avoided: dict[str, float] = {}
        self._stand_in_granter = ""
        # Who has this relay's share, and what came along when it was given back.
        self._granter_address = ""
        self._along: dict[str, float] = {}
        self._along_number = 0
        self._along_for = ""
        # Until when the coordinator's last word holds.
        self._in_touch_until = 0.0
        # Until when a stand-in has this relay's share.
        self._stand_in_until = 0.0
        # By account, until when the stand-in isn't asked for what it can spare.
        self._dry: dict[str, float] = {}
        # Amounts that were granted in advance.
        self.balances = Balances()
        # Where others reach this relay.
        self.address: Callable[[], str] = str
        self.coordinator: CoordinatorPort | None = None

    @property
    def is_stand_in(self) -> bool:
        """Whether this relay is the first to stand in for the coordinator."""
        return self._stand_ins[:1] == [self.address()]

    @property
    def in_touch(self) -> bool:
        """Whether a holder of the lease answered lately."""
        return self._clock.now() < self._in_touch_until

    @property
    def has_stand_in(self) -> bool:
        """Whether another relay has this one's share while the coordinator is lost."""
        now = self._clock.now()
        promised = self._granter.own.promised(now)
        return promised is not None and promised.granter == self._stand_in_granter

    # --- words ---------------------------------------------------------------
    def word(self) -> LimitsWord:
        """Return what a granter is told of this relay's share."""
        now = self._clock.now()
        own, stand_in = self._granter.own, self._granter.stand_in
        promised = own.promised(now) or Word("", 0.0, 0.0)
        if self._along and promised.granter:
            # One granter gets it: the next can't know whether the one before did.
            self._along_for = self._along_for or promised.granter
            if self._along_for != promised.granter:
                self._along = {}
        return LimitsWord(
            # Who grants from it must not do so for longer than it is had.
            weight=own.weight(now + promised.seconds),
            granter=promised.granter,
            until=promised.until,
            seconds=promised.seconds,
            free=own.is_free(now),
            up_s=round(now - self._up_since, 3),
            stand_in={
                name: round(stand_in.left(name, now), 1) for name in stand_in.accounts()
            },
            stands_back_s=self._place.stands_back_s,
            zone=self._place.zone,
            along=self._along if promised.granter else {},
            along_number=self._along_number,
        )

    def heard(self, reply: LimitsReply | None, asked_at: float) -> None:
        """Take the coordinator's answer to what was told at ``asked_at``."""
        if reply is None:
            return
        self._in_touch_until = asked_at + reply["seconds"]
        coordinator = self.coordinator
        address = "" if coordinator is None else coordinator.coordinator_address or ""
        promised = self._granter.own.promised(asked_at)
        if promised is not None and promised.granter == reply["granter"]:
            # It has what came along, as it was told its own word.
            self._along = {}
        self._delegate(reply, address)
        if reply["kept_s"] > 0.0:
            self._granter.own.told(reply["weight"], asked_at + reply["kept_s"])
        for name, amount in reply["grants"].items():
            self.balances.add(name, amount, asked_at)
        if reply["stand_ins"]:
            self._stand_ins = list(reply["stand_ins"])
        if reply["stand_in"] is not None:
            self._granter.stand_in.extend(asked_at)
            for name, amount in reply["stand_in"].items():
                self._granter.stand_in.add(name, amount, asked_at)

    def heard_before_shares(self, grants: dict[str, float], asked_at: float) -> None:
        """Take the answer of a coordinator of the release before.

        It grants, but knows nothing of shares.
        """
        self._in_touch_until = asked_at + _BEFORE_SHARES_S
        for name, amount in grants.items():
            self.balances.add(name, amount, asked_at)

    def _delegate(self, reply: LimitsReply, address: str) -> bool:
        """Promise the share to who answered; return whether it must be told."""
        now = self._clock.now()
        self._granter.refresh()
        own = self._granter.own
        before = own.promised(now)
        word = Word(reply["granter"], reply["until"], reply["seconds"])
        taken = own.delegate(word, now)
        if taken:
            self._granter_address = address
        new = taken and (before is None or before.granter != word.granter)
        if new and self.coordinator is not None and self.in_touch:
            self.coordinator.report_now()
        return new

    @Service.task
    async def _keep_delegated(self) -> None:
        """Delegate to a stand-in while the coordinator is lost."""
        while not self.should_stop:
            await self._clock.sleep(self._step())
            self._granter.refresh()
            coordinator = self.coordinator
            if coordinator is None:
                continue
            if self.in_touch:
                await self._take_back()
                if self._waits_for_share():
                    coordinator.report_now()
                continue
            address = self._stand_in()
            if address is not None:
                await self._tell_stand_in(address)

    def _step(self) -> float:
        """Return the seconds until shares are looked after again.

        The coordinator counts the share of one that has just started from when what
        the process before promised to a stand-in is over.
        """
        until = STAND_IN_SECONDS - (self._clock.now() - self._up_since)
        return min(_STEP_S, until + _LEAST_STEP_S) if until > 0.0 else _STEP_S

    async def _take_back(self) -> None:
        """Take the share back from who had it before the coordinator was found."""
        own, coordinator = self._granter.own, self.coordinator
        promised = own.promised(self._clock.now())
        address = self._granter_address
        if promised is None or coordinator is None or not address:
            return
        if address in (coordinator.coordinator_address, self.address()):
            return
        message = ReleaseMessage(node=self._node, incarnation=self._incarnation)
        try:
            reply: Any = await self._client.call(address, RELEASE, message, _CALL_S)
        except EbonydealError as exc:
            # Its time ends by itself.
            logger.info("Share not given back.", address=address, reason=str(exc))
            self._granter_address = ""
            return
        own.released(promised)
        self._along = reply["along"]
        self._along_number += 1
        self._along_for = ""
        self._stand_in_until = 0.0

    def _waits_for_share(self) -> bool:
        """Return whether the coordinator is to count this relay's share soon.

        It was another's when the coordinator was heard first, or a process before this
        one may have promised it.
        """
        now = self._clock.now()
        if self._granter.own.is_free(now):
            return True
        is_new = STAND_IN_SECONDS <= now - self._up_since < _NEW_S
        return is_new and self._granter.own.weight(now) <= 0.0

    def _stand_in(self) -> str | None:
        """Return the stand-in to turn to, if one can be reached."""
        now = self._clock.now()
        for address in self._stand_ins:
            if address == self.address():
                return None
            if self._is_due(address, now):
                return address
        return None

    async def _tell_stand_in(self, address: str) -> None:
        """Delegate the share, or keep it delegated."""
        own = self._granter.own
        promised = own.promised(self._clock.now())
        for _ in range(2):
            message = DelegateMessage(
                node=self._node, incarnation=self._incarnation, limits=self.word()
            )
            try:
                reply: Any = await self._client.call(
                    address, DELEGATE, message, _CALL_S
                )
            except EbonydealError:
                self._avoid(address)
                return
            self._stand_in_granter = reply["granter"]
            is_new = self._delegate(reply, address)
            if self.has_stand_in:
                self._stand_in_until = self._clock.now() + reply["seconds"]
            if not is_new:
                return
            # It counts the share once it was told its own word.
            if promised is None:
                logger.info("Share delegated to the stand-in.", address=address)

    def _avoid(self, address: str) -> None:
        self._avoided[address] = self._clock.now() + _AVOIDED_S

    # --- amounts -------------------------------------------------------------
    async def grant(self, account: ForwardAccount, amount: float) -> Grant:
        """Ask for an amount; raises LIMIT_UNAVAILABLE where nobody is reached."""
        now = self._clock.now()
        coordinator = self.coordinator
        if coordinator is not None and self.in_touch and self._is_due("", now):
            # Until its time is over, a stand-in has the shares of this side.
            if self._stand_in_until > now:
                got = await self._ask_stand_in(account, amount, False)
                if got is not None and got.amount >= amount:
                    return got
            try:
                got = _grant(await coordinator.grant(account.name, amount))
            except EbonydealError as exc:
                logger.info("No grant.", account=account.name, reason=str(exc))
                # One that answers may have shares with the next request.
                if exc.kind is not ErrorKind.WRONG_OWNER:
                    self._avoid("")
            else:
                if got.amount >= amount:
                    return self._counted(got, Event.ADMITTED_BY_GRANT)
                return await self._ask_to_spare(coordinator, account, amount, got)
        got = await self._ask_stand_in(account, amount, False)
        if got is not None:
            return got
        try:
            got = self._granter.grant(account, amount)
            return self._counted(got, Event.ADMITTED_ALONE)
        except EbonydealError:
            wait = self._granter.own.free_in(self._clock.now()) or _NOBODY_WAIT_S
            raise EbonydealError(
                ErrorKind.LIMIT_UNAVAILABLE,
                f"nobody grants from the limit of {account.name}",
                retry_after=max(_LEAST_WAIT_S, wait),
            ) from None

    async def _ask_to_spare(
        self,
        coordinator: CoordinatorPort,
        account: ForwardAccount,
        amount: float,
        refused: Grant,
    ) -> Grant:
        """Ask the stand-in for what the coordinator lacks and it has of the burst."""
        now = self._clock.now()
        short = min(refused.short, amount)
        if short <= 0.0 or now < self._dry.get(account.name, now):
            return refused
        got = await self._ask_stand_in(account, short, True)
        if got is None or got.amount < short:
            self._dry[account.name] = now + _DRY_S
            return refused
        if short >= amount:
            return got
        # Kept for the next request, where the coordinator refuses the rest.
        self.balances.add(account.name, short, now)
        try:
            rest = _grant(await coordinator.grant(account.name, amount - short))
        except EbonydealError as exc:
            logger.info("No grant.", account=account.name, reason=str(exc))
            return refused
        if rest.amount < amount - short:
            return refused
        self.balances.take(account.name, short, self._clock.now())
        return self._counted(Grant(amount, 0.0), Event.ADMITTED_BY_GRANT)

    async def _ask_stand_in(
        self, account: ForwardAccount, amount: float, spare: bool
    ) -> Grant | None:
        """Return the stand-in's grant; None where there is none, or it has no share."""
        address = self._stand_in()
        if address is None:
            return None
        message = GrantMessage(account=account.name, amount=amount, spare=spare)
        try:
            reply: Any = await self._client.call(address, GRANT, message, _CALL_S)
        except EbonydealError as exc:
            logger.info("No grant.", account=account.name, reason=str(exc))
            if exc.kind is not ErrorKind.WRONG_OWNER:
                self._avoid(address)
            return None
        return self._counted(_grant(reply), Event.ADMITTED_BY_STAND_IN)

    async def permit(self, report: LimitReport) -> PermitReply:
        """Ask to send to an endpoint that named a limit.

        Raises WRONG_OWNER where nobody has a share to grant from.
        """
        message = PermitMessage(report=report.encode())
        now = self._clock.now()
        coordinator = self.coordinator
        if coordinator is not None and self.in_touch and self._is_due("", now):
            try:
                return await coordinator.permit(message)
            except EbonydealError as exc:
                self._no_permit("", exc)
        address = self._stand_in()
        if address is not None:
            try:
                reply: Any = await self._client.call(address, PERMIT, message, _CALL_S)
                return reply
            except EbonydealError as exc:
                self._no_permit(address, exc)
        return self._granter.permit(report)

    def _no_permit(self, address: str, error: EbonydealError) -> None:
        """Note who doesn't grant permits; empty for the coordinator."""
        logger.info("No permit.", address=address, reason=str(error))
        # Relays of the release before answer, and know none.
        if error.kind not in (ErrorKind.WRONG_OWNER, ErrorKind.NOT_FOUND):
            self._avoid(address)

    def _is_due(self, address: str, now: float) -> bool:
        return now >= self._avoided.get(address, now)

    def _counted(self, got: Grant, how: Event) -> Grant:
        if got.amount > 0.0:
            self._metrics.count(how)
        return got


def _grant(reply: GrantReply) -> Grant:
    return Grant(reply["amount"], reply["wait"], reply.get("short", 0.0))
