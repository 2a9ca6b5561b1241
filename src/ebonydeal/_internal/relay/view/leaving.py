"""Asks endpoints that are taken back when they will be gone.

The list tells that an endpoint leaves, the endpoint itself how soon. One relay
asks for all, and tells it with the other changes of the list.
"""

import asyncio
from collections import Counter

from mode import Service

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.duties.coordinator import Coordinator
from ebonydeal._internal.relay.ports import Engines
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.leaving")

_STEP_S = 0.1
# Reports are some hundred milliseconds old: the first ones may not tell yet.
_MOST_ASKED = 4


def _key(member: Member) -> tuple[str, int]:
    return member.endpoint_id, member.incarnation


class LeavingTimes(Service):
    """Keeps up when endpoints will be gone, while this is the coordinator."""

    def __init__(
        self, coordinator: Coordinator, engines: Engines, view: RelayView, clock: Clock
    ) -> None:
        super().__init__()
        self._coordinator = coordinator
        self._engines = engines
        self._view = view
        self._clock = clock
        # By id and start: one that started again is another endpoint.
        self._asked: Counter[tuple[str, int]] = Counter()

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_STEP_S)
            if not self._coordinator.lease.mine:
                continue
            due = self._due()
            for member in due:
                self._asked[_key(member)] += 1
            self._forget_gone()
            await asyncio.gather(*(self._ask(member) for member in due))

    def _forget_gone(self) -> None:
        """Drop the counts of endpoints that are listed no more."""
        listed = {_key(member) for member in self._view.members.values()}
        for key in self._asked.keys() - listed:
            del self._asked[key]

    def _due(self) -> list[Member]:
        """Return endpoints that are taken back, and may still tell when."""
        return [
            member
            for member in self._view.members.values()
            if member.leaving
            and member.reclaimable
            and self._view.leaves_at(member.endpoint_id) is None
            and self._asked[_key(member)] < _MOST_ASKED
        ]

    async def _ask(self, member: Member) -> None:
        try:
            left = await self._engines.leaves_in(member.address)
        except EbonydealError as exc:
            logger.info(
                "Leaving time not told.",
                endpoint=member.endpoint_id,
                reason=str(exc),
            )
            return
        if left is None:
            return
        logger.info("Leaving time.", endpoint=member.endpoint_id, left_s=left)
        self._view.expect_leave(member.endpoint_id, self._clock.now() + left)
