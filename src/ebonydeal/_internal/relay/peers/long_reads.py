"""Long prompts, told to all relays at once.

An endpoint reads one prompt after the other. One of 50,000 tokens takes more than a
second, and short ones that other relays send to the same endpoint before they heard of
it, up to half a second later, come too late behind it. So whoever sends one tells all
others at once. A word that is lost is made up for by the next exchange.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.peers.call_budget import CallBudget
from ebonydeal._internal.relay.peers.messages import LongReadMessage
from ebonydeal._internal.routing.placement.endpoint_selector import EndpointSelector
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient

logger = get_logger("relay.long_reads")

LONG_READ = "/relay/v1/long-read"
# Later than this the word is worth little, seconds.
_CALL_S = 0.4
# An expectation beyond this is not believed, seconds.
_MOST_S = 5.0


class _LongRead(NamedTuple):
    """A long prompt that was sent, and until when its endpoint reads."""

    endpoint_id: str
    until: float


class LongReadTaker:
    """Takes other relays' words into the choice of endpoints."""

    def __init__(self, choice: EndpointSelector, clock: Clock) -> None:
        self._choice = choice
        self._clock = clock

    def take(self, message: LongReadMessage) -> dict[str, Any]:
        """Take one word."""
        seconds = min(_MOST_S, max(0.0, float(message["seconds"])))
        until = self._clock.now() + seconds
        self._choice.mark_prefilling(str(message["endpoint"]), until)
        return {}


class LongReads(Service):
    """Tells other relays of long prompts.

    Parameters
    ----------
    client : PeerClient
        Calls to relays.
    clock, rng
        Time; which relays hear a word that can't go to all.
    others : callable
        Returns the addresses of the other relays.
    least : float
        Seconds of reading from which on a prompt is told; 0 is off.
    """

    def __init__(
        self,
        client: PeerClient,
        clock: Clock,
        rng: Random,
        others: Callable[[], list[str]],
        least: float,
    ) -> None:
        super().__init__()
        self._client = client
        self._clock = clock
        self._least = least
        self._budget = CallBudget(others, clock, rng)
        self._waiting: asyncio.Queue[_LongRead] = asyncio.Queue()

    def sent(self, endpoint_id: str, reading: float, expected: float) -> None:
        """Note a prompt that was sent.

        Parameters
        ----------
        endpoint_id : str
            Where it was sent.
        reading : float
            Seconds that reading it takes by itself.
        expected : float
            Seconds until it will have been read, behind what waits there.
        """
        if not self._least or reading < self._least:
            return
        until = self._clock.now() + expected
        self._waiting.put_nowait(_LongRead(endpoint_id, until))

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            read = await self._waiting.get()
            addresses = self._budget.hearers()
            await asyncio.gather(*(self._tell(read, address) for address in addresses))

    async def _tell(self, read: _LongRead, address: str) -> None:
        seconds = read.until - self._clock.now()
        if seconds <= 0.0:
            return
        message = LongReadMessage(endpoint=read.endpoint_id, seconds=round(seconds, 3))
        try:
            await self._client.call(address, LONG_READ, message, _CALL_S)
        except EbonydealError as exc:
            logger.info("Long prompt not told.", peer=address, reason=str(exc))
