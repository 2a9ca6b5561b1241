"""Detects whether an endpoint whose connection broke during a request has crashed.

A broken connection alone isn't enough: links are reset, answers are cut off, and
endpoints that leave close their connections. Only an endpoint whose address refuses new
connections at that moment, and not those of this relay alone, has no process any more.
One that doesn't answer, or can't be reached, isn't counted as crashed: a power failure
in a zone, or a cut link, looks the same.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.crashes.request_traits import RequestTraits
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.reachability import refuses_connections
from ebonydeal._internal.utils.supervised import SupervisedService

logger = get_logger("relay.crash")

# Connections of a process that ends break within a few milliseconds of each other: the
# check waits for this long to collect the requests in flight on them.
_COLLECT_S = 0.005
# The address of an ended process refuses within milliseconds. One that takes longer is
# unreachable, and the waiting request continues.
_MAX_CHECK_WAIT_S = 0.1
# Digests per log line: a full engine has some hundred requests in flight.
_MAX_LOGGED_DIGESTS = 16


class CrashedEndpoint(NamedTuple):
    """An endpoint that crashed, and the requests of this relay in flight there."""

    member: Member
    requests: frozenset[RequestTraits]


class _Check(NamedTuple):
    """Requests whose connections to an endpoint broke; ``done`` once it is checked."""

    requests: set[RequestTraits]
    done: asyncio.Event


# Id and start time: an endpoint that restarts under its id is another one.
_StartKey = tuple[str, int]


def _start_key(member: Member) -> _StartKey:
    return member.endpoint_id, member.incarnation


async def _always_crashed(_member: Member) -> bool:
    return True


def _part_counts(requests: Iterable[RequestTraits]) -> dict[str, int]:
    """Return the prompt parts with most requests, and how many have each of them."""
    counts = Counter(part for found in requests for part in found.parts)
    return dict(counts.most_common(_MAX_LOGGED_DIGESTS))


class CrashDetector(SupervisedService):
    """Opens a new connection to endpoints whose connections broke.

    Parameters
    ----------
    view : RelayView
        The listed endpoints.
    clock : Clock
        Time.
    connect_timeout_s : float
        Connect timeout, seconds.
    """

    def __init__(self, view: RelayView, clock: Clock, connect_timeout_s: float) -> None:
        super().__init__()
        self._view = view
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._checks: dict[_StartKey, _Check] = {}
        self.refuses = refuses_connections
        # Returns whether an endpoint that refuses connections has crashed: it may only
        # be this relay that can't reach it.
        self.confirm: Callable[[Member], Awaitable[bool]] = _always_crashed
        # Called with each endpoint that crashed.
        self.on_crash: Callable[[CrashedEndpoint], None] = lambda _crashed: None

    def connection_broken(self, member: Member, traits: RequestTraits) -> None:
        """Check an endpoint whose connection broke during a request.

        One that is leaving, or isn't listed any more, was expected to end.
        """
        listed = self._view.members.get(member.endpoint_id)
        if listed is None or listed.leaving or listed.incarnation != member.incarnation:
            return
        running = self._checks.get(_start_key(listed))
        if running is not None:
            running.requests.add(traits)
            return
        self._checks[_start_key(listed)] = _Check({traits}, asyncio.Event())
        self.run_once(self._check(listed))

    async def wait_until_checked(self, member: Member) -> None:
        """Wait for the check of an endpoint, if one is running.

        A request that is sent again at once would crash the next endpoint before the
        first crash is attributed to it.
        """
        check = self._checks.get(_start_key(member))
        if check is None:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(_MAX_CHECK_WAIT_S):
                await check.done.wait()

    async def _check(self, member: Member) -> None:
        """Check one endpoint, and call ``on_crash`` if it crashed."""
        await self._clock.sleep(_COLLECT_S)
        refused = await self.refuses(member.address, self._connect_timeout_s)
        crashed = refused and await self.confirm(member)
        check = self._checks.pop(_start_key(member))
        requests = frozenset(check.requests)
        logger.info(
            "Connections broke amid requests.",
            endpoint=member.endpoint_id,
            born=member.incarnation,
            zone=member.zone,
            requests=len(requests),
            digests=sorted(found.digest for found in requests)[:_MAX_LOGGED_DIGESTS],
            parts=_part_counts(requests),
            refused=refused,
            crashed=crashed,
        )
        if crashed:
            self.on_crash(CrashedEndpoint(member, requests))
        check.done.set()
