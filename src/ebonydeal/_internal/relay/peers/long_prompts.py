"""Notifications of long prompts, sent to all other relays at once.

An endpoint prefills one prompt after the other, and one of 50,000 tokens takes more
than a second. Other relays learn the endpoint's load up to half a second later; short
prompts that they send there meanwhile wait too long behind the long one. So the relay
that sends a long prompt notifies all others at once. After a lost notification they
learn the load from their next exchange.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.peers.call_budget import CallBudget
from ebonydeal._internal.relay.peers.messages import LongPromptMessage
from ebonydeal._internal.routing.placement.endpoint_selector import EndpointSelector
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.long_reads")

LONG_PROMPT = "/relay/v1/long-read"
# A notification that arrives later than this is of little use.
_CALL_TIMEOUT_S = 0.4
# Longer prefill times in notifications are considered errors and limited to this.
_MAX_PREFILL_S = 5.0


class _LongPrompt(NamedTuple):
    """A long prompt that was sent, and when its prefill will end."""

    endpoint_id: str
    until: float


class LongPromptReceiver:
    """Passes other relays' notifications to the endpoint selector."""

    def __init__(self, selector: EndpointSelector, clock: Clock) -> None:
        self._selector = selector
        self._clock = clock

    def receive(self, message: LongPromptMessage) -> dict[str, Any]:
        """Apply one notification."""
        seconds = min(_MAX_PREFILL_S, max(0.0, float(message["seconds"])))
        until = self._clock.now() + seconds
        self._selector.mark_prefilling(str(message["endpoint"]), until)
        return {}


class LongPromptNotifier(SupervisedService):
    """Notifies other relays of long prompts.

    Parameters
    ----------
    client : PeerClient
        Calls to relays.
    clock, rng
        Time; choice of relays where not all can be called.
    others : callable
        Returns the addresses of the other relays.
    min_prefill_s : float
        Minimum prefill time for which relays are notified, seconds; 0 switches it off.
    """

    def __init__(
        self,
        client: PeerClient,
        clock: Clock,
        rng: Random,
        others: Callable[[], list[str]],
        min_prefill_s: float,
    ) -> None:
        super().__init__()
        self._client = client
        self._clock = clock
        self._min_prefill_s = min_prefill_s
        self._budget = CallBudget(others, clock, rng)
        self._queue: asyncio.Queue[_LongPrompt] = asyncio.Queue()

    def note_sent(self, endpoint_id: str, prefill: float, expected: float) -> None:
        """Note a prompt that was sent.

        Parameters
        ----------
        endpoint_id : str
            Where it was sent.
        prefill : float
            Seconds that its prefill takes by itself.
        expected : float
            Seconds until its prefill ends, with the prompts that wait before it.
        """
        if not self._min_prefill_s or prefill < self._min_prefill_s:
            return
        until = self._clock.now() + expected
        self._queue.put_nowait(_LongPrompt(endpoint_id, until))

    @supervised_task
    async def _run(self) -> None:
        while not self.should_stop:
            prompt = await self._queue.get()
            addresses = self._budget.pick_targets()
            await asyncio.gather(
                *(self._notify(prompt, address) for address in addresses)
            )

    async def _notify(self, prompt: _LongPrompt, address: str) -> None:
        seconds = prompt.until - self._clock.now()
        if seconds <= 0.0:
            return
        message = LongPromptMessage(
            endpoint=prompt.endpoint_id, seconds=round(seconds, 3)
        )
        try:
            await self._client.call(address, LONG_PROMPT, message, _CALL_TIMEOUT_S)
        except EbonydealError as exc:
            logger.info(
                "Relay not notified of a long prompt.", peer=address, reason=str(exc)
            )
