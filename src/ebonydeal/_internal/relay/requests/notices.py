"""Notices: what endpoints report of themselves in answers; applied, counted, logged."""

from collections.abc import Callable
from http import HTTPStatus

from ebonydeal._internal.models.forwarding import AnswerHead, Member
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.routing.notices.endpoint_notices import EndpointNotices
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.notices")


class NoticeReader:
    """Applies the notices in the heads of an endpoint's answers."""

    def __init__(
        self, notices: EndpointNotices, metrics: Metrics, clock: Clock
    ) -> None:
        self.notices = notices
        # How many relays send to the endpoints.
        self.relay_count: Callable[[], int] = lambda: 1
        self._metrics = metrics
        self._clock = clock

    def read(
        self, member: Member, head: AnswerHead, request_id: str, sent_at: float
    ) -> None:
        """Apply the notice in an answer to a request that was sent at ``sent_at``."""
        if head.misdirected:
            # The answer is from another process at this address.
            return
        is_answer = head.request_id == request_id
        notice = head.notice
        for header in notice.unreadable:
            self._metrics.count(Event.NOTICES_UNREADABLE)
            logger.warning(
                "Notice unreadable.", endpoint=member.endpoint_id, said=header
            )
        if notice.backoff_s > 0.0:
            self._note_backoff(member, notice.backoff_s)
        if notice.leaving:
            self._note_leaving(member)
        if notice.max_rejections is not None or is_answer:
            self._note_brittle(member, notice.max_rejections)
        is_rejection = head.not_run and head.status == HTTPStatus.SERVICE_UNAVAILABLE
        if is_answer and is_rejection:
            self._note_rejection(member)
        # An answer without a limit ends the known one, unless it holds an unreadable
        # notice or belongs to another request.
        if notice.limit is None and (notice.unreadable or not is_answer):
            return
        now = self._clock.now()
        if self.notices.note_limit(member.process, notice.limit, sent_at, now):
            self._metrics.count(Event.ENDPOINT_LIMITS_CHANGED)
            logger.info(
                "Endpoint's limit.",
                endpoint=member.endpoint_id,
                born=member.incarnation,
                limit=notice.limit,
                source="answer",
            )

    def _note_brittle(self, member: Member, max_rejections: float | None) -> None:
        """Record how many rejections an endpoint can bear."""
        now = self._clock.now()
        if self.notices.note_brittle(member.process, max_rejections, now):
            logger.info(
                "Endpoint's bearable rejections.",
                endpoint=member.endpoint_id,
                born=member.incarnation,
                per_second=max_rejections,
            )

    def _note_rejection(self, member: Member) -> None:
        """Back off from an endpoint that fails if it has to reject many requests."""
        seconds = self.notices.backoff_after_rejection(
            member.process, self.relay_count(), self._clock.now()
        )
        if seconds > 0.0:
            self._metrics.count(Event.BRITTLE_ENDPOINTS_AVOIDED)
            self._note_backoff(member, seconds)

    def _note_leaving(self, member: Member) -> None:
        """Record that an endpoint announced that it is leaving."""
        if self.notices.note_leaving(member.process, self._clock.now()):
            self._metrics.count(Event.ENDPOINTS_SAID_LEAVING)
            logger.info(
                "Endpoint says that it leaves.",
                endpoint=member.endpoint_id,
                born=member.incarnation,
                listed_as_leaving=member.leaving,
                source="answer",
            )

    def _note_backoff(self, member: Member, seconds: float) -> None:
        """Record for how long an endpoint wants no requests from this relay."""
        if self.notices.note_backoff(member.process, seconds, self._clock.now()):
            self._metrics.count(Event.ENDPOINTS_RESTED)
            logger.info(
                "Endpoint asks for rest.",
                endpoint=member.endpoint_id,
                born=member.incarnation,
                rest_s=seconds,
            )
