"""Whether an endpoint whose connection broke amid a request has crashed.

A broken connection alone says little: links reset, answers are cut, and endpoints that
leave close what is left. One whose address refuses a new connection at the same moment
has no process any more. What falls silent, or can't be reached, tells nothing: the same
is seen when a zone loses power or a link is cut.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.reachability import refuses_connections

logger = get_logger("relay.crash")

# Connections of a process that ends break within a few milliseconds of each other: so
# long the requests that were at work on them are put together.
_GROUP_S = 0.005
# A process that is gone refuses within milliseconds; what takes longer is unreachable,
# and the request that waits goes on.
_LONGEST_CHECK_S = 0.1
# Digests in one line: a full engine has some hundred requests at work.
_MOST_LOGGED = 16


class Crashed(NamedTuple):
    """An endpoint that crashed, and the requests at work there on this relay."""

    member: Member
    digests: frozenset[str]


class _Broken(NamedTuple):
    """Requests whose connections to an endpoint broke; ``done`` once it is checked."""

    digests: set[str]
    done: asyncio.Event


# An endpoint that starts again under its id is another one.
_Start = tuple[str, int]


def _start(member: Member) -> _Start:
    return member.endpoint_id, member.incarnation


class CrashCheck(Service):
    """Asks endpoints whose connections broke for another one.

    Parameters
    ----------
    view : RelayView
        The listed endpoints.
    clock : Clock
        Time.
    connect_s : float
        Longest wait for a connection, seconds.
    """

    def __init__(self, view: RelayView, clock: Clock, connect_s: float) -> None:
        super().__init__()
        self._view = view
        self._clock = clock
        self._connect_s = connect_s
        self._broken: dict[_Start, _Broken] = {}
        # Told what crashed.
        self.on_crash: Callable[[Crashed], None] = lambda _crashed: None

    def broke(self, member: Member, digest: str) -> None:
        """Note a connection that ended amid a request.

        One that leaves, or is listed no more, was about to end.
        """
        listed = self._view.members.get(member.endpoint_id)
        if listed is None or listed.leaving or listed.incarnation != member.incarnation:
            return
        waiting = self._broken.get(_start(listed))
        if waiting is not None:
            waiting.digests.add(digest)
            return
        self._broken[_start(listed)] = _Broken({digest}, asyncio.Event())
        self.add_future(self._check(listed))

    async def checked(self, member: Member) -> None:
        """Wait until it is known whether an endpoint crashed, if that is being asked.

        A request that goes on at once would bring down the next endpoint before
        anything is held against it.
        """
        broken = self._broken.get(_start(member))
        if broken is None:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(_LONGEST_CHECK_S):
                await broken.done.wait()

    async def _check(self, member: Member) -> None:
        """Find out about one endpoint, and tell."""
        await self._clock.sleep(_GROUP_S)
        refused = await refuses_connections(member.address, self._connect_s)
        broken = self._broken.pop(_start(member))
        digests = frozenset(broken.digests)
        logger.info(
            "Connections broke amid requests.",
            endpoint=member.endpoint_id,
            born=member.incarnation,
            zone=member.zone,
            requests=len(digests),
            digests=sorted(digests)[:_MOST_LOGGED],
            crashed=refused,
        )
        if refused:
            self.on_crash(Crashed(member, digests))
        broken.done.set()
