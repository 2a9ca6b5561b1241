"""Whether an endpoint that asked for rest, or named a limit, may get a request now.

One that rests gets none. One with a limit gets what is granted of it, one by one.
"""

from typing import Protocol

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import EndpointProcess, Member
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.relay.limits.messages import PermitReply
from ebonydeal._internal.routing.limits.endpoint_limits import (
    ENDPOINT_BOUNDS,
    limit_account,
)
from ebonydeal._internal.routing.notices.notices import EndpointNotices, LimitReport
from ebonydeal._internal.utils.clock import Clock

# A granter that knows of the limit's end, which this relay can't be sure of yet, is
# asked again so soon.
_LEAST_WAIT_S = 0.1
# Where nobody grants, nobody is asked again for so long.
_NOBODY_WAIT_S = 1.0


class PermitPort(Protocol):
    """Where permits come from."""

    async def permit(self, report: LimitReport) -> PermitReply:
        """Ask for one request; raises EbonydealError where nobody grants."""


class EndpointPermits:
    """Asks for permits, and remembers when it is of no use.

    Parameters
    ----------
    notices : EndpointNotices
        Which endpoints rest, and which have limits.
    port : PermitPort
        Who grants.
    clock : Clock
        Time.
    metrics : Metrics
        Counts what was granted and refused.
    """

    def __init__(
        self,
        notices: EndpointNotices,
        port: PermitPort,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._notices = notices
        self._port = port
        self._clock = clock
        self._metrics = metrics
        # By process: under which limit nothing was left, and until when.
        self._empty: dict[EndpointProcess, tuple[float, float]] = {}

    @property
    def needed(self) -> bool:
        """Whether any endpoint may need them."""
        return self._notices.any

    def wait(self, member: Member, now: float) -> float:
        """Return the seconds until an endpoint may be asked again; 0.0 for now."""
        rest = self._notices.rest(member.process, now)
        return max(rest, self._until_permit(member, now))

    def _until_permit(self, member: Member, now: float) -> float:
        empty = self._empty.get(member.process)
        if empty is None:
            return 0.0
        limit, until = empty
        if now >= until or self._notices.limit(member.process, now) != limit:
            del self._empty[member.process]
            return 0.0
        return until - now

    async def take(self, member: Member) -> bool:
        """Return whether one request may go to an endpoint now."""
        asked_at = self._clock.now()
        process = member.process
        if self._notices.rest(process, asked_at):
            return False
        limit = self._notices.limit(process, asked_at)
        report = self._notices.limit_report(process, asked_at)
        if limit is None or report is None:
            return True
        wait = _NOBODY_WAIT_S
        try:
            reply = await self._port.permit(report)
        except EbonydealError:
            granted = False
        else:
            granted, wait = reply["granted"], reply["wait"]
            if reply["report"] is not None:
                self._notices.take_limits([reply["report"]], asked_at)
        now = self._clock.now()
        if self._notices.limit(process, now) is None:
            return True
        # What was granted longer ago may count in another window.
        kept = ENDPOINT_BOUNDS.late_s(limit_account(process, limit))
        if granted and now - asked_at <= kept:
            self._metrics.count(Event.ENDPOINT_PERMITS_GRANTED)
            return True
        self._metrics.count(Event.ENDPOINT_PERMITS_REFUSED)
        self._empty[process] = (limit, now + max(wait, _LEAST_WAIT_S))
        return False
