"""Sends that overlap: a silent one is kept until another endpoint answers.

An endpoint that is silent may still answer, and another one that is asked may refuse
the request or break. So the silent send is kept while others are made, and the first
one to answer is used. If none does, the silent one is awaited until its deadline.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, suppress
from typing import Any, Generic, NamedTuple, TypeVar

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.requests.outcomes import MayHaveRun, Outcome
from ebonydeal._internal.relay.requests.sends import JobSends
from ebonydeal._internal.relay.requests.wait_timer import SETTLE_S

logger = get_logger("relay.job")

# Time after which endpoints that didn't take a request are asked again.
_ASK_AGAIN_S = 0.4

# What a send results in if it isn't an outcome, and what an awaited task does.
Opened = TypeVar("Opened")
T = TypeVar("T")
Limit = Callable[[], AbstractAsyncContextManager[object]]


class Awaited(NamedTuple):
    """A send that is awaited.

    ``limit`` raises TimeoutError once it is silent (see `wait_timer`), ``silence``
    returns the outcome with which it would be given up. ``delivered`` is as in
    `JobSends.check_resend`; ``may_send`` tells whether another send may be made beside
    it now, ``on_resend`` is called when one is, and ``overlap_s`` is for how long the
    silent one is kept then at most, seconds. ``on_overtaken`` is called when it is
    closed although it may still answer, as the other one is used.
    """

    sends: JobSends
    member: Member
    limit: Limit
    silence: Callable[[], MayHaveRun]
    delivered: bool = False
    may_send: Callable[[], bool] = lambda: True
    on_resend: Callable[[], None] = lambda: None
    on_overtaken: Callable[[], None] = lambda: None
    overlap_s: float | None = None


class OverlappingSends(ABC, Generic[Opened]):
    """Makes further sends of a request beside a silent one."""

    @abstractmethod
    async def send(self, sends: JobSends, member: Member) -> Opened | Outcome:
        """Make one send, with others beside it if it is silent."""

    @abstractmethod
    def is_failure(self, sends: JobSends, result: object, delivered: bool) -> bool:
        """Return whether a send's result is nothing that its client could get."""

    def discard(self, result: object) -> None:
        """Give up the result of a send that isn't used."""

    def sends_of(self, result: object) -> JobSends | None:
        """Return the sends that go on with a result, if it hasn't ended."""
        return None

    async def first_result(
        self, awaited: Awaited, current: "asyncio.Future[T]", is_silent: bool = False
    ) -> T | Opened | Outcome:
        """Return the result of ``current``, or of another send if that is sooner.

        ``is_silent`` says that the limit is over, but that what has arrived since may
        not have been read. A failure of ``current`` is returned once no other send may
        follow.
        """
        other: asyncio.Future[Opened | Outcome] | None = None
        taken: asyncio.Future[Any] | None = None
        try:
            while True:
                if is_silent:
                    await asyncio.wait({current}, timeout=SETTLE_S)
                else:
                    await _wait(current, awaited.limit)
                if current.cancelled():
                    return awaited.silence()
                if current.done():
                    taken = current
                    return current.result()
                if awaited.sends.time_left <= 0.0:
                    return awaited.silence()
                is_silent = False
                other = self._send_beside(awaited)
                if other is not None:
                    taken = await self._first_of(awaited, current, other)
                    if taken is not None:
                        if not current.done():
                            awaited.on_overtaken()
                        return taken.result()
                    other = None
                    await asyncio.wait({current}, timeout=_ASK_AGAIN_S)
        finally:
            for task in (current, other):
                if task is not None and task is not taken:
                    self._cancel(task)

    def _send_beside(
        self, awaited: Awaited
    ) -> "asyncio.Future[Opened | Outcome] | None":
        """Begin another send; None if that isn't allowed."""
        sends = awaited.sends
        if sends.is_last or not awaited.may_send():
            return None
        try:
            others = sends.beside(awaited.silence(), awaited.delivered)
        except EbonydealError:
            return None
        awaited.on_resend()
        return asyncio.ensure_future(self._send_elsewhere(others, awaited.delivered))

    async def _first_of(
        self,
        awaited: Awaited,
        current: "asyncio.Future[T]",
        other: "asyncio.Future[Opened | Outcome]",
    ) -> "asyncio.Future[Any] | None":
        """Return which one is used; None if only ``current`` may still answer."""
        both: set[asyncio.Future[Any]] = {current, other}
        await asyncio.wait(
            both, timeout=awaited.overlap_s, return_when=asyncio.FIRST_COMPLETED
        )
        if not current.done() and not other.done():
            # The other endpoint hasn't refused: this one may stop working.
            self._cancel(current)
        elif current.done() and not self.is_failure(
            awaited.sends, current.result(), awaited.delivered
        ):
            return current
        await asyncio.wait({other})
        exc = other.exception()
        if exc is None:
            return other
        if not isinstance(exc, EbonydealError):
            raise exc
        logger.info(
            "No other endpoint takes the request.",
            request=awaited.sends.job.req.request_id,
            endpoint=awaited.member.endpoint_id,
            reason=str(exc),
        )
        return None

    async def _send_elsewhere(
        self, sends: JobSends, delivered: bool
    ) -> Opened | Outcome:
        """Send until there is an answer; raises the final error if there is none."""
        while True:
            member = await sends.choose()
            result = await self._send_limited(sends, member)
            if not self.is_failure(sends, result, delivered):
                return result
            sends.check_resend(result, delivered)  # type: ignore[arg-type]

    async def _send_limited(self, sends: JobSends, member: Member) -> Opened | Outcome:
        """Make one send within the request's time."""
        timeout = sends.time_left
        result: Opened | Outcome | None = None
        try:
            async with sends.limited(timeout):
                result = await self.send(sends, member)
                return result
        except TimeoutError:
            return sends.timeout_outcome(f"no answer in {timeout:.3f} s")
        finally:
            if self.sends_of(result) is not sends:
                sends.record_end()

    def _cancel(self, task: "asyncio.Future[Any]") -> None:
        """Cancel a task; what it may have resulted in is given up."""
        task.cancel()
        task.add_done_callback(self._discard_result)

    def _discard_result(self, task: "asyncio.Future[Any]") -> None:
        if not task.cancelled() and task.exception() is None:
            self.discard(task.result())


async def _wait(task: "asyncio.Future[Any]", limit: Limit) -> None:
    """Wait for a task, at most until the limit ends."""
    with suppress(TimeoutError):
        async with limit():
            await asyncio.wait({task})
