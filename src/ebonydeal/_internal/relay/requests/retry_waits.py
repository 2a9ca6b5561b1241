"""Streams that wait until the retry budget pays for their next send.

A stream of which a part was delivered can't be refused any more: without another send
it is cut off, whatever time it has left.
"""

import asyncio

from ebonydeal._internal.observe.counters import Event, RetryReason
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.requests.job import Job, SendParts

logger = get_logger("relay.stream")

_POLL_INTERVAL_S = 0.05
# Streams that wait at the same time. While endpoints of a service fail, more of them
# would only take the retries from each other.
_MAX_WAITING = 64


class RetryWaits:
    """Waits for the retry budget, of all streams of one relay.

    Parameters
    ----------
    parts : SendParts
        The budget, the planned stop and time.
    """

    def __init__(self, parts: SendParts) -> None:
        self._parts = parts
        self._waiting = 0

    async def take(self, job: Job) -> bool:
        """Take a retry for a stream once one is earned; return whether one was.

        None is taken if too many streams wait already, or once the request's time is
        over or this relay ends its answers.
        """
        if self._waiting >= _MAX_WAITING:
            return False
        parts = self._parts
        began = parts.clock.now()
        parts.metrics.count(Event.STREAMS_AWAITING_RETRY)
        self._waiting += 1
        is_paid = False
        try:
            is_paid = await self._take(job)
        finally:
            self._waiting -= 1
            logger.info(
                "Stream awaited a retry.",
                request=job.req.request_id,
                service=job.service,
                is_paid=is_paid,
                waited_s=round(parts.clock.now() - began, 3),
                time_left_s=round(job.deadline - parts.clock.now(), 3),
            )
        if is_paid:
            parts.metrics.count_retry(RetryReason.STREAM_RESUMED)
        return is_paid

    async def _take(self, job: Job) -> bool:
        parts = self._parts
        try:
            async with asyncio.timeout(None) as limit:
                with parts.stop.limit_send(limit):
                    while parts.clock.now() < job.deadline:
                        if parts.retries.try_spend(job.service):
                            return True
                        await parts.clock.sleep(_POLL_INTERVAL_S)
        except TimeoutError:
            # This relay ends its answers.
            return False
        return False
