"""Whether a send that has no answer yet goes on, by what is expected of endpoints."""

from typing import NamedTuple

from ebonydeal._internal.observe.counters import Event, RetryReason
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.requests.job import SendParts
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.routing.retries.resend_timing import (
    KeepWaiting,
    Resend,
    ResendReason,
    SendProgress,
    decide,
)

logger = get_logger("relay.job")

# The retry budget is checked again after this time if another request spent it.
_BUDGET_RECHECK_S = 0.1


class Patience(NamedTuple):
    """Seconds since a send for which its answer is awaited in any case.

    ``alive_s`` applies to an endpoint that answers other requests. It does so if it
    sent something since the send, or within the last ``max_silence_s`` if that is set.
    """

    silent_s: float
    alive_s: float
    max_silence_s: float | None = None


class ResendCheck:
    """The wait for one send's answer, or for its first event.

    Parameters
    ----------
    parts : SendParts
        Clock, and the endpoints' activity.
    sends : JobSends
        The sends of the request; the last one is the one that is awaited.
    patience : Patience
        How long is waited in any case.
    """

    def __init__(self, parts: SendParts, sends: JobSends, patience: Patience) -> None:
        assert sends.member is not None
        self._parts = parts
        self._sends = sends
        self._patience = patience
        self._member = sends.member
        self._sent_at = parts.clock.now()
        self._expected = sends.expected_answer_s
        self._own_requests = parts.selector.own_running(self._member.endpoint_id)
        self._kept = False
        self.reason: ResendReason | None = None

    def until(self, now: float) -> float:
        """Return the time to wait until, by what is known at ``now``.

        A resend is taken from the retry budget before the wait ends, since otherwise
        another request could take it, and this one would have no answer at all.
        """
        progress = self._progress(now)
        match decide(progress):
            case KeepWaiting(seconds=seconds):
                self._count_kept(progress)
                return now + seconds
            case Resend(reason=reason):
                if not self._sends.reserve_resend():
                    return min(self._sends.job.deadline, now + _BUDGET_RECHECK_S)
                self.reason = reason
                if reason is ResendReason.SOONER_ELSEWHERE:
                    self._sends.resend_reason = RetryReason.SOONER_ELSEWHERE
                self._log(progress, reason)
        return now

    @property
    def endpoint_fault(self) -> bool:
        """Whether the end of the wait is evidence of a fault of the endpoint.

        A queue is none: endpoints that are ejected for it would leave their load to
        the others.
        """
        if self.reason is None:
            return not self._is_alive(self._parts.clock.now())
        return self.reason is ResendReason.ENDPOINT_SILENT

    def _progress(self, now: float) -> SendProgress:
        waited, patience = now - self._sent_at, self._patience
        alive = self._is_alive(now)
        needed = patience.alive_s if alive else patience.silent_s
        can_resend = waited >= needed and not self._sends.is_last
        return SendProgress(
            waited_s=waited,
            patience_s=patience.silent_s,
            alive_patience_s=patience.alive_s,
            expected_s=self._expected,
            alive=alive,
            others_alive=can_resend and self._are_others_alive(now),
            own_requests=self._own_requests,
            # Looked up only for a decision, since it considers all endpoints.
            other_expected_s=(
                self._sends.resend_expected_s(self._member) if can_resend else None
            ),
            time_left_s=self._sends.job.deadline - now,
            can_resend=can_resend,
        )

    def _is_alive(self, now: float) -> bool:
        """Return whether the endpoint answers other requests."""
        endpoint_id = self._member.endpoint_id
        silent_s = self._parts.selector.seconds_since_activity(endpoint_id, now)
        longest = self._patience.max_silence_s
        return silent_s < (now - self._sent_at if longest is None else longest)

    def _are_others_alive(self, now: float) -> bool:
        """Return whether another endpoint answered something since the send."""
        selector, waited = self._parts.selector, now - self._sent_at
        return any(
            member.endpoint_id != self._member.endpoint_id
            and selector.seconds_since_activity(member.endpoint_id, now) < waited
            for member in self._parts.view.of_service(self._member.service)
        )

    def _count_kept(self, progress: SendProgress) -> None:
        """Count a send that a fixed timeout would have ended."""
        if not self._kept and progress.can_resend:
            self._kept = True
            self._parts.metrics.count(Event.SENDS_KEPT_WAITING)

    def _log(self, progress: SendProgress, reason: ResendReason) -> None:
        logger.info(
            "Send given up.",
            request=self._sends.job.req.request_id,
            endpoint=self._member.endpoint_id,
            reason=str(reason),
            waited_s=round(progress.waited_s, 3),
            expected_s=_rounded(progress.expected_s),
            other_expected_s=_rounded(progress.other_expected_s),
            alive=progress.alive,
            others_alive=progress.others_alive,
            own_requests=progress.own_requests,
            time_left_s=round(progress.time_left_s, 3),
        )


def _rounded(seconds: float | None) -> float | None:
    """Return seconds for a log line."""
    return None if seconds is None else round(seconds, 3)
