"""Whether an endpoint with a backoff or a limit may get a request now.

An endpoint in backoff gets none. One with a limit gets each request by a permit. One
that fails if it has to reject many gets none that it couldn't run at once.
"""

from collections.abc import Callable
from typing import Protocol

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import EndpointProcess, Member
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.relay.limits.messages import PermitReply
from ebonydeal._internal.routing.limits.endpoint_limits import (
    ENDPOINT_BOUNDS,
    limit_account,
)
from ebonydeal._internal.routing.notices.endpoint_notices import (
    EndpointNotices,
    LimitReport,
)
from ebonydeal._internal.utils.clock import Clock

# Wait before asking again a granter which reports that the limit has ended, while this
# relay can't be sure of that yet.
_MIN_WAIT_S = 0.1
# Wait before asking again after no granter was reached.
_NO_GRANTER_WAIT_S = 1.0
# Until a full brittle endpoint may have room: about a short request's time.
_NO_ROOM_WAIT_S = 0.1


class PermitPort(Protocol):
    """The source of permits."""

    async def permit(self, report: LimitReport) -> PermitReply:
        """Request a permit; raises EbonydealError if no relay grants permits."""


class EndpointPermits:
    """Requests permits, and remembers until when requests are futile.

    Parameters
    ----------
    notices : EndpointNotices
        Backoffs and limits of endpoints.
    port : PermitPort
        The source of permits.
    clock : Clock
        Time.
    metrics : Metrics
        Counts permits granted and refused.
    running : callable, optional
        Returns the requests of all relays at an endpoint, as far as known.
    """

    def __init__(
        self,
        notices: EndpointNotices,
        port: PermitPort,
        clock: Clock,
        metrics: Metrics,
        running: Callable[[str], int] = lambda _endpoint_id: 0,
    ) -> None:
        self._running = running
        self._notices = notices
        self._port = port
        self._clock = clock
        self._metrics = metrics
        # By process, the limit under which a permit was refused, and until when.
        self._refused: dict[EndpointProcess, tuple[float, float]] = {}

    @property
    def needed(self) -> bool:
        """Whether any endpoint may need permits."""
        return self._notices.has_any

    def wait(self, member: Member, now: float) -> float:
        """Return the seconds until an endpoint may get a request; 0.0 for now."""
        backoff = self._notices.backoff_remaining(member.process, now)
        return max(
            backoff, self._permit_wait(member, now), self._room_wait(member, now)
        )

    def _room_wait(self, member: Member, now: float) -> float:
        """Return the seconds until a brittle endpoint may have room."""
        if not self._notices.is_brittle(member.process, now):
            return 0.0
        full = self._running(member.endpoint_id) >= max(1, member.slots)
        return _NO_ROOM_WAIT_S if full else 0.0

    def _permit_wait(self, member: Member, now: float) -> float:
        refused = self._refused.get(member.process)
        if refused is None:
            return 0.0
        limit, until = refused
        if now >= until or self._notices.limit(member.process, now) != limit:
            del self._refused[member.process]
            return 0.0
        return until - now

    async def take(self, member: Member) -> bool:
        """Return whether one request may be sent to an endpoint now."""
        asked_at = self._clock.now()
        process = member.process
        if self._notices.backoff_remaining(process, asked_at):
            return False
        limit = self._notices.limit(process, asked_at)
        report = self._notices.limit_report(process, asked_at)
        if limit is None or report is None:
            return True
        wait = _NO_GRANTER_WAIT_S
        try:
            reply = await self._port.permit(report)
        except EbonydealError:
            granted = False
        else:
            granted, wait = reply["granted"], reply["wait"]
            if reply["report"] is not None:
                self._notices.merge_limits([reply["report"]], asked_at)
        now = self._clock.now()
        if self._notices.limit(process, now) is None:
            return True
        # An older grant may count in another window.
        max_age = ENDPOINT_BOUNDS.max_send_delay_s(limit_account(process, limit))
        if granted and now - asked_at <= max_age:
            self._metrics.count(Event.ENDPOINT_PERMITS_GRANTED)
            return True
        self._metrics.count(Event.ENDPOINT_PERMITS_REFUSED)
        self._refused[process] = (limit, now + max(wait, _MIN_WAIT_S))
        return False
