"""Asks leaving reclaimable endpoints when they will have left.

The list shows that an endpoint leaves; only the endpoint itself reports how soon. The
coordinator asks for all relays, and pushes the time with the other changes of the list.
"""

import asyncio
from collections import Counter

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.duties.coordinator import Coordinator
from ebonydeal._internal.relay.ports import Engines
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.leaving")

_CHECK_INTERVAL_S = 0.1
# An endpoint's replies are some hundred milliseconds old, so the first ones may not
# contain the time yet.
_MAX_ATTEMPTS = 4


def _key(member: Member) -> tuple[str, int]:
    return member.endpoint_id, member.incarnation


class LeavingTimes(SupervisedService):
    """Learns when endpoints will have left, while this relay is the coordinator."""

    def __init__(
        self, coordinator: Coordinator, engines: Engines, view: RelayView, clock: Clock
    ) -> None:
        super().__init__()
        self._coordinator = coordinator
        self._engines = engines
        self._view = view
        self._clock = clock
        # By id and incarnation: a restarted endpoint is asked again.
        self._attempts: Counter[tuple[str, int]] = Counter()

    @supervised_task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_CHECK_INTERVAL_S)
            if not self._coordinator.lease.is_mine:
                continue
            due = self._due()
            for member in due:
                self._attempts[_key(member)] += 1
            self._forget_removed()
            await asyncio.gather(*(self._ask(member) for member in due))

    def _forget_removed(self) -> None:
        """Drop the counts of endpoints that are no longer listed."""
        listed = {_key(member) for member in self._view.members.values()}
        for key in self._attempts.keys() - listed:
            del self._attempts[key]

    def _due(self) -> list[Member]:
        """Return leaving reclaimable endpoints whose leave time is to be requested."""
        return [
            member
            for member in self._view.members.values()
            if member.leaving
            and member.reclaimable
            and self._view.leaves_at(member.endpoint_id) is None
            and self._attempts[_key(member)] < _MAX_ATTEMPTS
        ]

    async def _ask(self, member: Member) -> None:
        try:
            left = await self._engines.leaves_in(member.address)
        except EbonydealError as exc:
            logger.info(
                "Leaving time not received.",
                endpoint=member.endpoint_id,
                reason=str(exc),
            )
            return
        if left is None:
            return
        logger.info("Leaving time.", endpoint=member.endpoint_id, left_s=left)
        self._view.set_leave_time(member.endpoint_id, self._clock.now() + left)
