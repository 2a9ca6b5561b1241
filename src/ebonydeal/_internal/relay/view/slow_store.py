"""Finds out how long a store takes to reply that replies to no poll in time."""

import asyncio
from collections.abc import Awaitable, Callable

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.follower")

# How long a slow store may take to reply.
MAX_REPLY_TIMEOUT_S = 4.0


class SlowStoreProbe:
    """Makes one call with a long timeout, beside polls with short ones.

    Polls that are lost have to end soon, as the store may be back since they began.
    With their timeouts alone, a store that takes longer would never be read again.

    Parameters
    ----------
    call : callable
        Makes a call that the store should answer at once; it gets the timeout of the
        reply, seconds.
    on_reply : callable
        Gets the seconds that the store took.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        call: Callable[[float], Awaitable[object]],
        on_reply: Callable[[float], None],
        clock: Clock,
    ) -> None:
        self._call = call
        self._on_reply = on_reply
        self._clock = clock
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Make the call, unless it is in flight."""
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        began_at = self._clock.now()
        try:
            await self._call(MAX_REPLY_TIMEOUT_S)
        except EbonydealError as exc:
            logger.info("Store gave no reply to a long call, either.", reason=str(exc))
            return
        took = self._clock.now() - began_at
        logger.info("Store replies slowly.", took_s=round(took, 3))
        self._on_reply(took)

    def stop(self) -> None:
        """Cancel the call if it is in flight."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
