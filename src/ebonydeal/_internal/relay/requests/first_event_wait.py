"""How long the first event of a stream may take before it is sent elsewhere."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ebonydeal._internal.relay.requests.job import SendParts
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.utils.clock import Clock

# Shorter silences are common: a chunk of another prompt takes some tens of
# milliseconds, and busy relays add to it.
LEAST_PATIENCE_S = 0.4
# An endpoint that made an event on any stream so lately is alive: engines make one
# every few milliseconds, and a chunk of another prompt delays it by some tens.
_ALIVE_S = 0.3


class FirstEventWait:
    """The wait for one send's first event.

    A long prompt takes as long as is expected of it. Beyond that the request is
    late wherever it is sent again, and the reading so far would be lost: so it
    stays where it is while its endpoint shows life on other streams, and to its end
    where no other send may follow.

    Parameters
    ----------
    parts : SendParts
        Clock, and signs of life.
    sends : JobSends
        The sends of the request; the last one is waited for.
    patience, longest : float
        Seconds of waiting without and with signs of life.
    """

    def __init__(
        self, parts: SendParts, sends: JobSends, patience: float, longest: float
    ) -> None:
        assert sends.member is not None
        self._parts = parts
        self._sends = sends
        self._endpoint_id = sends.member.endpoint_id
        now = parts.clock.now()
        self._by = now + patience
        self._last = now + max(patience, longest)

    @classmethod
    def of_send(cls, parts: SendParts, sends: JobSends) -> "FirstEventWait":
        """Return the wait for the send that was chosen last."""
        job, terms = sends.job, parts.terms
        left = max(0.001, job.until - parts.clock.now())
        if job.at_most_once:
            # It can't be sent again, so nothing is gained by not waiting.
            return cls(parts, sends, left, left)
        patience = max(
            LEAST_PATIENCE_S,
            job.route.objective * terms.first_objectives,
            (sends.expected or 0.0) * terms.first_spread,
        )
        longest = job.route.objective * terms.first_longest
        return cls(parts, sends, min(left, patience), min(left, longest))

    def until(self, now: float) -> float:
        """Return the time to wait until, as far as is known at ``now``."""
        if now < self._by:
            return self._by
        if self._sends.is_last:
            # Looked at again, since retries may be had by then.
            return max(now, min(self._sends.job.until, now + _ALIVE_S))
        silent = self._parts.choice.silent_for(self._endpoint_id, now)
        if silent >= _ALIVE_S:
            return now
        return min(self._last, now + _ALIVE_S - silent)

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
    """Looks at a wait when its time is up, and lets it go on or ends it."""

    def __init__(self, wait: FirstEventWait, limit: asyncio.Timeout, clock: Clock):
        self._wait = wait
        self._limit = limit
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None

    def check(self) -> None:
        """End the wait, or look again when there may be a reason to."""
        now = self._clock.now()
        until = self._wait.until(now)
        if until <= now:
            self._limit.reschedule(self._loop.time())
            return
        self._handle = self._loop.call_later(until - now, self.check)

    def cancel(self) -> None:
        """Look no more."""
        if self._handle is not None:
            self._handle.cancel()
