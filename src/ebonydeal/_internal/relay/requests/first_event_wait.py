"""Timeout of a stream's first event, after which the request is resent."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ebonydeal._internal.relay.requests.job import SendParts
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.utils.clock import Clock

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
    no other send may follow.

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
        if now < self._until:
            return self._until
        if self._sends.is_last:
            # Checked again, since the retry budget may permit a resend by then.
            return max(now, min(self._sends.job.deadline, now + _ALIVE_TIMEOUT_S))
        silent_s = self._parts.selector.seconds_since_activity(self._endpoint_id, now)
        if silent_s >= _ALIVE_TIMEOUT_S:
            return now
        return min(self._active_until, now + _ALIVE_TIMEOUT_S - silent_s)

    @asynccontextmanager
    async def limit(self) -> AsyncIterator[None]:
        """Raise TimeoutError in the body when the wait is over."""
        async with asyncio.timeout(None) as limit:
            timer = _Timer(self, limit, self._parts.clock)
            timer.check()
            try:
                yield
            finally:
                timer.cancel()


class _Timer:
    """Checks a wait when its time is up, and extends or ends it."""

    def __init__(self, wait: FirstEventWait, limit: asyncio.Timeout, clock: Clock):
        self._wait = wait
        self._limit = limit
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None

    def check(self) -> None:
        """End the wait, or schedule the next check."""
        now = self._clock.now()
        until = self._wait.until(now)
        if until <= now:
            self._limit.reschedule(self._loop.time())
            return
        self._handle = self._loop.call_later(until - now, self.check)

    def cancel(self) -> None:
        """Stop checking."""
        if self._handle is not None:
            self._handle.cancel()
