"""Timeout of a stream's first event, after which the request is resent."""

from contextlib import AbstractAsyncContextManager

from ebonydeal._internal.relay.requests.job import SendParts
from ebonydeal._internal.relay.requests.resend_check import Patience, ResendCheck
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.relay.requests.wait_timer import checked_limit

# Shorter gaps between events are common: prefill of a chunk of another prompt takes
# some tens of milliseconds, and busy relays add to it.
MIN_EVENT_TIMEOUT_S = 0.4
# An endpoint that sent an event on any stream within this time is alive: engines send
# one every few milliseconds, and prefill of another prompt delays it by some tens.
_ALIVE_TIMEOUT_S = 0.3


class FirstEventWait:
    """The wait for one send's first event.

    A long prompt may take as long as is expected for it. After that the request is
    late wherever it is resent, and the prefill so far would be lost: so it stays at
    its endpoint while that sends events on other streams, and until its deadline if
    no other send may follow. With ``by_expectation`` it is resent only where the first
    event is expected sooner, or if its engine is silent.

    Parameters
    ----------
    parts : SendParts
        Clock, and the endpoints' activity.
    sends : JobSends
        The sends of the request; the last possible one has no shorter timeout.
    timeout, active_timeout : float
        Seconds to wait for an inactive and for an active endpoint.
    """

    def __init__(
        self, parts: SendParts, sends: JobSends, timeout: float, active_timeout: float
    ) -> None:
        assert sends.member is not None
        self._parts = parts
        self._sends = sends
        self._endpoint_id = sends.member.endpoint_id
        now = parts.clock.now()
        self._until = now + timeout
        self._active_until = now + max(timeout, active_timeout)
        self._check: ResendCheck | None = None
        if parts.config.by_expectation and not sends.job.at_most_once:
            patience = Patience(timeout, max(timeout, active_timeout), _ALIVE_TIMEOUT_S)
            self._check = ResendCheck(parts, sends, patience)

    @classmethod
    def of_send(cls, parts: SendParts, sends: JobSends) -> "FirstEventWait":
        """Return the wait for the send that was chosen last."""
        job, config = sends.job, parts.config
        time_left = max(0.001, job.deadline - parts.clock.now())
        if job.at_most_once:
            # It can't be resent, so a shorter timeout gains nothing.
            return cls(parts, sends, time_left, time_left)
        timeout = max(
            MIN_EVENT_TIMEOUT_S,
            job.route.objective * config.first_objectives,
            (sends.expected or 0.0) * config.first_spread,
        )
        active_timeout = job.route.objective * config.first_max_objectives
        return cls(
            parts, sends, min(time_left, timeout), min(time_left, active_timeout)
        )

    def until(self, now: float) -> float:
        """Return the time to wait until, by what is known at ``now``."""
        if self._check is not None:
            return self._check.until(now)
        if now < self._until:
            return self._until
        if self._sends.is_last:
            # Checked again, since the retry budget may permit a resend by then.
            return max(now, min(self._sends.job.deadline, now + _ALIVE_TIMEOUT_S))
        silent_s = self._parts.selector.seconds_since_activity(self._endpoint_id, now)
        if silent_s >= _ALIVE_TIMEOUT_S:
            return now
        return min(self._active_until, now + _ALIVE_TIMEOUT_S - silent_s)

    @property
    def endpoint_fault(self) -> bool:
        """Whether the end of the wait is evidence of a fault of the endpoint."""
        return self._check is None or self._check.endpoint_fault

    def limit(self) -> AbstractAsyncContextManager[None]:
        """Raise TimeoutError in the body when the wait is over."""
        return checked_limit(self.until, self._parts.clock)
