"""Asks endpoints that are taken back when they will be gone.

The list tells that an endpoint leaves, the endpoint itself how soon. One relay
asks for all, and tells it with the other changes of the list.
"""

import asyncio

from mode import Service

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.coordinator import Coordinator
from ebonydeal._internal.relay.ports import Engines
from ebonydeal._internal.relay.view import RelayView
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.leaving")

_STEP_S = 0.1
# Reports are some hundred milliseconds old: the first ones may not tell yet.
_MOST_ASKED = 4


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
        self._asked: dict[str, int] = {}

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_STEP_S)
            if not self._coordinator.lease.mine:
                continue
            open_ones = self._open()
            self._asked = {m.endpoint_id: self._count(m) + 1 for m in open_ones} | {
                endpoint_id: count
                for endpoint_id, count in self._asked.items()
                if endpoint_id in self._view.members
                and endpoint_id not in {m.endpoint_id for m in open_ones}
            }
            await asyncio.gather(*(self._ask(member) for member in open_ones))

    def _count(self, member: Member) -> int:
        return self._asked.get(member.endpoint_id, 0)

    def _open(self) -> list[Member]:
        """Return endpoints that are taken back at an unknown time."""
        return [
            member
            for member in self._view.members.values()
            if member.leaving
            and member.reclaimable
            and self._view.leaves_at(member.endpoint_id) is None
            and self._count(member) < _MOST_ASKED
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
