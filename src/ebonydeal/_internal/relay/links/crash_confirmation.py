"""Tells an endpoint that has crashed from one that this relay alone can't reach.

Both refuse a new connection. Lost links also refuse those to other endpoints, and other
relays still reach the endpoint.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import TypedDict

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.reachability import (
    accepts_connections,
    any_accepts,
    refuses_connections,
)

logger = get_logger("relay.crash")

CONFIRM = "/relay/v1/confirm-crash"
# Other endpoints that are tried, and other relays that are asked: one of these must be
# well where most relays have lost their links.
_MAX_ENDPOINTS = 3
_MAX_RELAYS = 8
_CALL_TIMEOUT_S = 0.5


class ConfirmMessage(TypedDict):
    """A process of an endpoint that refuses connections from the asking relay."""

    endpoint: str
    incarnation: int


class ConfirmReply(TypedDict):
    """Whether it refuses connections from another relay; None if that can't tell."""

    refuses: bool | None


class CrashConfirmation:
    """Checks crashes by way of other endpoints and other relays.

    Parameters
    ----------
    view : RelayView
        The listed endpoints.
    client : PeerClient
        Calls to other relays.
    others : callable
        Returns the addresses of the other relays.
    rng : random.Random
        Choice of relays and endpoints.
    connect_timeout_s : float
        Connect timeout, seconds.
    """

    def __init__(
        self,
        view: RelayView,
        client: PeerClient,
        others: Callable[[], list[str]],
        rng: Random,
        connect_timeout_s: float,
    ) -> None:
        self._view = view
        self._client = client
        self._others = others
        self._rng = rng
        self._connect_timeout_s = connect_timeout_s

    async def is_crash(self, member: Member) -> bool:
        """Return whether an endpoint that refuses connections here has crashed.

        Relays that reach other endpoints decide. If none does, all endpoints may have
        crashed, or this relay is on its own.
        """
        relays = self._others()
        relays = self._rng.sample(relays, min(_MAX_RELAYS, len(relays)))
        asked = [asyncio.ensure_future(self._ask(r, member)) for r in relays]
        reaches_others = await self._reaches_others(member)
        replies = [reply for reply in await asyncio.gather(*asked) if reply is not None]
        opinions = {reply["refuses"] for reply in replies} - {None}
        if opinions:
            crashed = False not in opinions
        else:
            crashed = reaches_others or bool(replies)
        if not crashed:
            logger.warning(
                "Endpoint refuses connections here alone.",
                endpoint=member.endpoint_id,
                reaches_others=reaches_others,
                relays_asked=len(asked),
                relays_replied=len(replies),
            )
        return crashed

    async def _reaches_others(self, member: Member) -> bool:
        """Return whether another endpoint accepts a connection.

        True without another endpoint, since nothing speaks against a crash then.
        """
        listed = [
            other
            for other in self._view.members.values()
            if other.endpoint_id != member.endpoint_id and not other.leaving
        ]
        if not listed:
            return True
        tests = [
            asyncio.ensure_future(
                accepts_connections(other.address, self._connect_timeout_s)
            )
            for other in self._rng.sample(listed, min(_MAX_ENDPOINTS, len(listed)))
        ]
        try:
            return await any_accepts(tests)
        finally:
            for test in tests:
                test.cancel()

    async def _ask(self, relay: str, member: Member) -> ConfirmReply | None:
        """Return another relay's reply, None if there is none."""
        message = ConfirmMessage(
            endpoint=member.endpoint_id, incarnation=member.incarnation
        )
        try:
            reply = await self._client.call(relay, CONFIRM, message, _CALL_TIMEOUT_S)
        except EbonydealError:
            # It can't be reached, or is of the previous release.
            return None
        return ConfirmReply(refuses=reply.get("refuses"))

    async def answer(self, message: ConfirmMessage) -> ConfirmReply:
        """Answer another relay."""
        member = self._view.members.get(message["endpoint"])
        if member is None or member.incarnation != message["incarnation"]:
            return ConfirmReply(refuses=None)
        refuses, reaches_others = await asyncio.gather(
            refuses_connections(member.address, self._connect_timeout_s),
            self._reaches_others(member),
        )
        return ConfirmReply(refuses=refuses if reaches_others else None)
