"""A relay's part of fair shares: offered work out, shares in, refusals."""

from math import ceil
from typing import NamedTuple

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.limits.request_work import RequestSize, RequestWork
from ebonydeal._internal.routing.admission.offered_work import OfferedWork
from ebonydeal._internal.routing.admission.return_order import (
    ReturnOrder,
    TicketStatus,
)
from ebonydeal._internal.routing.admission.share_buckets import (
    ShareBuckets,
    ShareRefusal,
    ShareRequest,
)
from ebonydeal._internal.routing.admission.share_messages import (
    OfferedMessage,
    decode_shares,
    encode_offered,
)
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.shares")

# Invalid replies are logged at most once in this time.
_LOG_INTERVAL_S = 10.0
# The same for tickets that are ignored.
_TICKET_LOG_INTERVAL_S = 0.1
_MS = 1000.0
_TICKET_EVENTS = {
    TicketStatus.VALID: Event.TICKETS_USED,
    TicketStatus.EARLY: Event.TICKETS_EARLY,
    TicketStatus.EXPIRED: Event.TICKETS_EXPIRED,
}


class ReturnInfo(NamedTuple):
    """What the order of return needs to know of a request.

    ``ticket`` is the text that the client sent, or empty; ``time_left`` is the time
    until its deadline, seconds.
    """

    digest: str
    ticket: str
    time_left: float


class ShareGate:
    """Measures offered work, and refuses what exceeds an account's share.

    Parameters
    ----------
    work : RequestWork
        Costs of requests.
    clock, metrics
        Time, observation.
    returns : ReturnOrder, optional
        None where `return_tickets` is off.
    """

    def __init__(
        self,
        work: RequestWork,
        clock: Clock,
        metrics: Metrics,
        returns: ReturnOrder | None = None,
    ) -> None:
        self.work = work
        self._clock = clock
        self._metrics = metrics
        self._offered = OfferedWork()
        self._buckets = ShareBuckets()
        self._returns = returns
        self._logged_at = -_LOG_INTERVAL_S
        self._ticket_logged_at = -_LOG_INTERVAL_S

    # --- exchange with the coordinator -----------------------------------------
    def offered(self) -> OfferedMessage:
        """Return the offered work for the report."""
        return encode_offered(self._offered.rates(self._clock.now()))

    def apply_reply(self, message: object, asked_at: float) -> None:
        """Apply the shares in a reply to the report that was sent at ``asked_at``.

        None, as from a coordinator that has just begun, leaves the shares as they are
        until they expire.
        """
        if message is None:
            return
        now = self._clock.now()
        try:
            shares = decode_shares(message)
        except ValueError as exc:
            self._reject(str(exc), now)
            return
        until = asked_at + shares.seconds
        if not self._buckets.update(shares.services, shares.fence, until, now):
            self._reject(f"fencing token {shares.fence} is old", now)

    def _reject(self, reason: str, now: float) -> None:
        self._metrics.count(Event.SHARES_INVALID)
        if now - self._logged_at >= _LOG_INTERVAL_S:
            self._logged_at = now
            logger.warning("Shares rejected.", reason=reason)

    # --- requests --------------------------------------------------------------
    def offer(
        self,
        service: str,
        account: str,
        size: RequestSize,
        priority: int,
        objective: float,
    ) -> ShareRequest | None:
        """Count a request before it is sent first; None if its cost is unknown."""
        now = self._clock.now()
        cost = self.work.cost(service, size, now)
        if cost is None:
            return None
        self._offered.record(service, account, cost, now)
        return ShareRequest(service, account, cost, priority, objective)

    def admit(self, request: ShareRequest, info: ReturnInfo) -> None:
        """Take a request's cost from its account's share; raises SHED."""
        now = self._clock.now()
        returns = self._returns
        if returns is not None and self._buckets.in_shortage(request.service, now):
            returning = bool(info.ticket) and self._is_returning(returns, request, info)
            request = request._replace(
                reserve=0.0 if returning else returns.reserve(request, now)
            )
        refusal = self._buckets.take(request, now)
        if refusal is None:
            return
        self._metrics.count(Event.SHARES_EXCEEDED)
        detail = (
            f"{request.service} is short, and the account's share is used up: "
            f"share {refusal.rate:.4f}, level {refusal.level:.4f} of "
            f"{refusal.needed:.4f}, cost {request.cost:.4f}"
        )
        error = EbonydealError(ErrorKind.SHED, detail, retry_after=refusal.wait_s)
        if returns is not None:
            self._set_return(returns, error, request, refusal, info)
        raise error

    def _set_return(
        self,
        returns: ReturnOrder,
        error: EbonydealError,
        request: ShareRequest,
        refusal: ShareRefusal,
        info: ReturnInfo,
    ) -> None:
        """Set the time of return in a refusal, and the ticket if there is a place."""
        now = self._clock.now()
        wait, has_place = returns.reserve_time(request, refusal, info.time_left, now)
        # The header has milliseconds: rounded down, clients would return too early.
        wait = ceil(wait * _MS) / _MS
        error.retry_after = wait
        if has_place:
            wall = self._clock.wall()
            error.retry_ticket = returns.issue(request, info.digest, wait, wall)
            self._metrics.count(Event.TICKETS_ISSUED)

    def _is_returning(
        self, returns: ReturnOrder, request: ShareRequest, info: ReturnInfo
    ) -> bool:
        """Return whether a request returns at the time of its ticket."""
        wall = self._clock.wall()
        status = returns.check(info.ticket, request, info.digest, wall)
        self._metrics.count(_TICKET_EVENTS.get(status, Event.TICKETS_REJECTED))
        if status is TicketStatus.VALID:
            return True
        now = self._clock.now()
        if now - self._ticket_logged_at >= _TICKET_LOG_INTERVAL_S:
            self._ticket_logged_at = now
            logger.info(
                "Ticket ignored.",
                reason=str(status),
                digest=info.digest,
                service=request.service,
                account=request.account,
            )
        return False
