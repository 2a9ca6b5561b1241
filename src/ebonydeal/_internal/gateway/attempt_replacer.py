"""Replaces an attempt that may still answer by another one."""

import asyncio
import math
from collections.abc import Callable

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.gateway.attempt_control import (
    AttemptControl,
    StreamRunnerParts,
)
from ebonydeal._internal.gateway.attempts import (
    Attempt,
    AttemptFailed,
    ChunkReceived,
    Message,
)
from ebonydeal._internal.gateway.live_stream import LiveStream, retry_reason
from ebonydeal._internal.gateway.resumption import FINAL_KINDS, Resumption
from ebonydeal._internal.observe.logs import get_logger

logger = get_logger("gateway.streams")


class AttemptReplacer:
    """Starts other attempts beside a leaving or silent one, until one of them answers.

    Another endpoint may refuse the request or break, so the first attempt is kept
    until then. What it sends meanwhile stays in its mailbox, since both attempts
    continue after the same token.

    Parameters
    ----------
    parts : StreamRunnerParts
        Dependencies.
    control : AttemptControl
        Starts and ends attempts.
    resumption : Resumption
        Decides on further attempts.
    """

    def __init__(
        self,
        parts: StreamRunnerParts,
        control: AttemptControl,
        resumption: Resumption,
    ) -> None:
        self._parts = parts
        self._control = control
        self._resumption = resumption

    async def replace_leaving(
        self, live: LiveStream, attempt: Attempt
    ) -> Attempt | None:
        """Return the attempt that replaces one whose endpoint leaves.

        None if that one goes on.
        """
        return await self._replace(live, attempt, _has_ended, allow_failed=False)

    async def replace_silent(
        self, live: LiveStream, attempt: Attempt, error: EbonydealError
    ) -> Attempt | None:
        """Return the attempt that replaces a silent one.

        None if that one has sent a chunk, or nothing else can be tried now. Raises
        ``error`` once it was silent for the maximum wait beyond its time limit.
        """
        await self._control.record_silence(live, attempt, error)
        assert attempt.silent_since is not None
        until = attempt.silent_since + self._resumption.max_wait_s
        if self._parts.clock.now() >= until:
            raise error
        if not self._parts.directory.views(live.job.deployment.name):
            return None
        try:
            await self._wait_for_retry(live, error)
        except EbonydealError:
            return None
        # The silent endpoint may answer a second attempt.
        return await self._replace(
            live, attempt, _has_answered, allow_failed=True, until=until
        )

    async def _replace(
        self,
        live: LiveStream,
        attempt: Attempt,
        is_settled: Callable[[Message], bool],
        *,
        allow_failed: bool,
        until: float = math.inf,
    ) -> Attempt | None:
        """Make other attempts until ``until``; a settled message decides against them.

        Unless it is a failure: then the other attempt is all that is left.
        ``allow_failed`` is as in `AttemptControl.choose_route`.
        """
        while True:
            try:
                self._start_successor(live, allow_failed)
                if live.successor is None:
                    reason = "no endpoint is available"
                    break
                if await _first_is_successor(attempt, live.successor, is_settled):
                    return live.successor
                failed = await self._end_successor(live)
                if failed is None:
                    return None
                if self._parts.clock.now() >= until:
                    return None
                await self._wait_for_retry(live, failed.error)
            except EbonydealError as exc:
                reason = str(exc)
                break
        logger.info(
            "Attempt goes on, as no other endpoint takes the request.",
            request_id=live.request_id,
            endpoint=attempt.route.endpoint.endpoint_id,
            reason=reason,
        )
        return None

    def _start_successor(self, live: LiveStream, allow_failed: bool) -> None:
        """Start another attempt if an endpoint is available and it is permitted."""
        live.check_deadline(self._parts.clock.wall())
        self._parts.crashes.check(live.job.request, may_have_run=True)
        route = self._control.choose_route(live, allow_failed)
        if route is not None:
            live.successor = self._control.start(live, route)

    async def _end_successor(self, live: LiveStream) -> AttemptFailed | None:
        """End the successor; return its failure, None if it isn't needed any more."""
        successor, live.successor = live.successor, None
        assert successor is not None
        failed = successor.mailbox.failure()
        await self._control.end(live, successor, failed, len(live.delivered))
        if failed is not None:
            await self._control.record_failure(live, successor.route, failed.error)
        return failed

    async def _wait_for_retry(self, live: LiveStream, error: EbonydealError) -> None:
        """Wait until the next attempt; raises the final error if there is none."""
        if error.kind in FINAL_KINDS:
            raise error
        verdict = self._resumption.decide(live, error, self._parts.clock.wall())
        if isinstance(verdict, EbonydealError):
            raise verdict
        self._parts.metrics.count_retry(retry_reason(error.kind, len(live.delivered)))
        if verdict > 0.0:
            await self._parts.clock.sleep(verdict)


async def _first_is_successor(
    attempt: Attempt, successor: Attempt, is_settled: Callable[[Message], bool]
) -> bool:
    """Wait until it is known which of two attempts is used."""
    begun = asyncio.ensure_future(successor.mailbox.wait_for(_is_any))
    settled = asyncio.ensure_future(attempt.mailbox.wait_for(is_settled))
    try:
        await asyncio.wait({begun, settled}, return_when=asyncio.FIRST_COMPLETED)
        if begun.done():
            return isinstance(begun.result(), ChunkReceived)
        return _is_failure(settled.result())
    finally:
        begun.cancel()
        settled.cancel()


def _is_any(_message: Message) -> bool:
    return True


def _has_ended(message: Message) -> bool:
    """Return whether an attempt has ended, with or without its whole answer."""
    match message:
        case ChunkReceived(chunk=chunk):
            return bool(chunk.finish)
        case AttemptFailed():
            return True
    return False


def _has_answered(message: Message) -> bool:
    """Return whether an attempt has sent a chunk, or ended."""
    return isinstance(message, ChunkReceived | AttemptFailed)


def _is_failure(message: Message) -> bool:
    """Return whether an attempt's end leaves the answer to another one."""
    match message:
        case AttemptFailed(error=error):
            return error.kind not in FINAL_KINDS
    return False
