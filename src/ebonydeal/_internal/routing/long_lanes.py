"""Endpoints that read the long prompts of a service, so that others needn't wait.

An engine that reads a prompt for a second makes every short one behind it late, and
other relays hear of it only after a while. So all relays, without a word to each
other, send long prompts to the same few endpoints, and short ones rather elsewhere:
to the first of a fixed order by hash, as many as the long prompts' share of the
reading asks for. Both are only preferred, so that none waits while another idles.
"""

from collections.abc import Sequence
from math import inf

from xxhash import xxh3_64_intdigest

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.routing.demand import RateMeter

# With fewer endpoints a lane would be half of them.
_LEAST_ENDPOINTS = 3
# Time over which the share of long prompts is averaged, and after which none is
# expected any more.
_WINDOW_S = 20.0
_FORGET_S = 60.0
_SEED = 1


class _Work:
    """What was read for one service."""

    def __init__(self) -> None:
        self.whole = RateMeter(_WINDOW_S)
        self.long = RateMeter(_WINDOW_S)
        self.last_long = -inf


class LongLanes:
    """The lanes of all services, as one relay sees them.

    Parameters
    ----------
    least : float
        Seconds of reading from which on a prompt is long; 0 is off.
    """

    def __init__(self, least: float) -> None:
        self._least = least
        self._work: dict[str, _Work] = {}
        self._order: tuple[tuple[str, ...], list[str]] = ((), [])

    def is_long(self, seconds: float) -> bool:
        """Return whether a prompt that takes so long to read is a long one."""
        return 0.0 < self._least <= seconds

    def note(self, service: str, seconds: float, now: float) -> None:
        """Count a prompt that was sent, and the seconds it takes to read."""
        if not self._least:
            return
        work = self._work.setdefault(service, _Work())
        work.whole.add(seconds, now)
        if self.is_long(seconds):
            work.long.add(seconds, now)
            work.last_long = now

    def of(self, members: Sequence[Member], now: float) -> frozenset[str]:
        """Return the endpoints among ``members`` that long prompts go to."""
        if len(members) < _LEAST_ENDPOINTS:
            return frozenset()
        work = self._work.get(members[0].service)
        if work is None or now - work.last_long > _FORGET_S:
            return frozenset()
        share = work.long.rate(now) / max(1e-9, work.whole.rate(now))
        count = min(len(members) - 1, max(1, round(len(members) * share)))
        return frozenset(self._ranked(members)[:count])

    def _ranked(self, members: Sequence[Member]) -> list[str]:
        """Return the endpoints' ids in the order that all relays use."""
        ids = tuple(member.endpoint_id for member in members)
        if self._order[0] != ids:
            rank = sorted(ids, key=_rank)
            self._order = (ids, rank)
        return self._order[1]


def _rank(endpoint_id: str) -> int:
    """Return an endpoint's place in the order, other than for sessions' homes."""
    return xxh3_64_intdigest(endpoint_id.encode(), seed=_SEED)
