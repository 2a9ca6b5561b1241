"""Changes of the list of endpoints, told by the coordinator to all relays.

One relay polls the store for all: each change costs one call instead of one for
every relay. News goes out at once; who missed one gets it with its next
exchange, and who isn't in touch with a coordinator that hears the store polls
for itself.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from mode import Service

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.peers.messages import ViewDelta
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient

logger = get_logger("relay.news")

DELTA = "/relay/v1/news"
_CALL_S = 0.4
# Changes come in groups: those of so long are told together. Many relays need longer
# ones: each group is a call to all, and at 87 of them, in groups of 0.05 s, the calls
# of a wave filled the coordinator's link of 5 Mbit/s. The longest is a tenth of the
# shortest time in which an endpoint that leaves must get nothing new.
_LEAST_GROUP_S = 0.05
_GROUP_S_BY_RELAY = 0.0025
_MOST_GROUP_S = 0.2
# Before any news: no coordinator has this fence.
NO_MARK = (0, 0)


def delta_since(
    view: RelayView, seen: list[int], fence: int, now: float
) -> ViewDelta | None:
    """Return what a relay lacks that has seen the mark ``seen``, if anything."""
    changed = view.changed_since(seen[1]) if seen[0] == fence else None
    if changed == []:
        return None
    whole = changed is None
    ids = list(view.members) if changed is None else changed
    ages = {i: view.leaving_age(i, now) for i in ids}
    return ViewDelta(
        config=view.version,
        mark=[fence, view.changes],
        version=view.members_version,
        put=[list(m) for i in ids if (m := view.listing_for_peers(i, now)) is not None],
        gone=[[i, view.removed_at(i)] for i in ids if i not in view.members],
        whole=whole,
        ages={i: round(age, 3) for i, age in ages.items() if age is not None},
    )


def _only_config(view: RelayView, seen: list[int]) -> ViewDelta:
    """Return news of the configuration alone, for a relay that has seen ``seen``."""
    return ViewDelta(
        config=view.version,
        mark=list(seen),
        version=0,
        put=[],
        gone=[],
        whole=False,
        ages={},
    )


def batch_interval(relays: int) -> float:
    """Return the seconds of which changes are told together to so many relays."""
    return min(_MOST_GROUP_S, max(_LEAST_GROUP_S, relays * _GROUP_S_BY_RELAY))


class DeltaReceiver:
    """Takes news into this relay's view; remembers the last mark."""

    def __init__(self, view: RelayView, clock: Clock) -> None:
        self._view = view
        self._clock = clock
        # Told that a newer configuration is to be had.
        self.on_behind: Callable[[], None] = lambda: None
        self.last_mark: tuple[int, int] = NO_MARK

    def receive(self, news: ViewDelta) -> dict[str, Any]:
        """Take news; those of an older coordinator are left out."""
        # A coordinator of the release before doesn't tell it.
        if int(news.get("config", -1)) > self._view.version:
            self.on_behind()
        mark = (int(news["mark"][0]), int(news["mark"][1]))
        if mark <= self.last_mark:
            return {}
        if not news["whole"] and mark[0] != self.last_mark[0]:
            # Changes since something that we never heard: the exchange tells all.
            return {}
        view, now = self._view, self._clock.now()
        members = [Member(*item) for item in news["put"]]
        for member in members:
            # When the coordinator heard it, not when we do: what comes late here
            # is as old at the endpoint.
            age = news["ages"].get(member.endpoint_id)
            view.put(member, None if age is None else now - age)
            if member.leaves_in is not None:
                view.set_leave_time(member.endpoint_id, now + member.leaves_in)
        if news["whole"] and news["version"] >= view.members_version:
            view.replace(members, news["version"], now, False)
        for endpoint_id, version in news["gone"]:
            view.remove(str(endpoint_id), int(version))
        view.members_version = max(view.members_version, int(news["version"]))
        self.last_mark = mark
        logger.info(
            "Endpoints told.",
            fence=mark[0],
            version=view.members_version,
            listed=len(members),
            leaving=sum(member.leaving for member in members),
            gone=len(news["gone"]),
        )
        return {}


class DeltaPublisher(Service):
    """Tells news to all relays while this one is the coordinator.

    Parameters
    ----------
    view : RelayView
        What is told.
    client : PeerClient
        Calls to relays.
    clock : Clock
        Time.
    listeners : callable
        Returns the relays' addresses and their last marks, and our fence; None
        where this relay isn't the coordinator.
    """

    def __init__(
        self,
        view: RelayView,
        client: PeerClient,
        clock: Clock,
        listeners: Callable[[], tuple[dict[str, list[int]], int] | None],
    ) -> None:
        super().__init__()
        self._view = view
        self._client = client
        self._clock = clock
        self._listeners = listeners
        self._told = 0
        self._told_config = -1
        self._hearers = 0

    @Service.task
    async def _tell(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(batch_interval(self._hearers))
            changed = self._view.changes != self._told
            newer = self._view.version != self._told_config
            if not changed and not newer:
                continue
            self._told, self._told_config = self._view.changes, self._view.version
            listeners = self._listeners()
            if listeners is None:
                continue
            marks, fence = listeners
            self._hearers = len(marks)
            await asyncio.gather(
                *(self._tell_one(a, mark, fence, newer) for a, mark in marks.items())
            )

    async def _tell_one(
        self, address: str, mark: list[int], fence: int, newer: bool
    ) -> None:
        """Tell one relay what it lacks; its next exchange mends a failure.

        ``newer`` says that there is a newer configuration than was told before.
        """
        news = delta_since(self._view, mark, fence, self._clock.now())
        if news is None and newer:
            news = _only_config(self._view, mark)
        if news is None:
            return
        try:
            await self._client.call(address, DELTA, news, _CALL_S)
        except EbonydealError as exc:
            logger.info("News not told.", peer=address, reason=str(exc))
            return
        mark[:] = news["mark"]
