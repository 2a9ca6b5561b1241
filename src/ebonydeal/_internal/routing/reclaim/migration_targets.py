"""Where streams of leaving endpoints go on: room, zones and prefix caches."""

from collections import defaultdict
from collections.abc import Collection, Iterable
from typing import NamedTuple

from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.utils.prefix import BLOCK_TOKENS


class MigrationTarget(NamedTuple):
    """An endpoint that may take streams.

    Attributes
    ----------
    view : EndpointView
        The endpoint.
    room : int
        Streams that it can take without queueing.
    cached : collection of str
        Prompt blocks that its prefix cache is believed to hold.
    """

    view: EndpointView
    room: int
    cached: Collection[str] = ()


class Place(NamedTuple):
    """A target taken for a resume by prefill.

    ``pending_tokens`` are the tokens of the shared prefix that a resume placed
    before is still to compute there.
    """

    view: EndpointView
    pending_tokens: int


class TargetPool:
    """Room that is left while a plan is made.

    Parameters
    ----------
    targets : iterable of MigrationTarget
        Candidates.
    leaving_zones : collection of str
        Candidates there are dropped.
    """

    def __init__(
        self, targets: Iterable[MigrationTarget], leaving_zones: Collection[str]
    ) -> None:
        usable = [it for it in targets if it.view.place.zone not in leaving_zones]
        usable.sort(key=lambda it: it.view.endpoint_id)
        self._targets = {it.view.endpoint_id: it for it in usable}
        self._room = {it.view.endpoint_id: it.room for it in usable}
        self._zone_room: dict[str, int] = defaultdict(int)
        for item in usable:
            self._zone_room[item.view.place.zone] += max(0, item.room)
        self._holders: dict[str, set[str]] = defaultdict(set)
        for item in usable:
            for block in item.cached:
                self._holders[block].add(item.view.endpoint_id)

    def best_hit(self, prefix: tuple[str, ...]) -> int:
        """Return the most prompt tokens that a target with room has cached."""
        return self._warmest(prefix)[1] * BLOCK_TOKENS

    def take_emptiest(self) -> EndpointView | None:
        """Take a slot of the target with most room in the zone with most room."""
        ids = self._with_room(self._targets)
        if not ids:
            return None
        return self._take(max(ids, key=self._emptiness))

    def take_warmest(self, prefix: tuple[str, ...]) -> Place | None:
        """Take a slot where most of a prompt is cached or about to be."""
        ids, hit = self._warmest(prefix)
        if not ids:
            ids = self._with_room(self._targets)
        if not ids:
            return None
        best = max(ids, key=self._emptiness)
        pending = self._pending(best, prefix[:hit])
        self._plan(best, prefix)
        return Place(self._take(best), pending * BLOCK_TOKENS)

    def _warmest(self, prefix: tuple[str, ...]) -> tuple[list[str], int]:
        """Return the targets that hold most of a prompt, and how many blocks.

        Hashes are chained and caches evict from the end, so whoever holds a
        block holds those before it, also where their events were lost.
        """
        for index in range(len(prefix), 0, -1):
            ids = self._with_room(self._holders.get(prefix[index - 1], ()))
            if ids:
                return ids, index
        return [], 0

    def _with_room(self, ids: Iterable[str]) -> list[str]:
        return [endpoint_id for endpoint_id in ids if self._room[endpoint_id] > 0]

    def _emptiness(self, endpoint_id: str) -> tuple[int, int, float, str]:
        """Order targets: zone's room, own room, then the lower eviction chance."""
        view = self._targets[endpoint_id].view
        zone_room = self._zone_room[view.place.zone]
        chance = -view.evict_per_hour
        return (zone_room, self._room[endpoint_id], chance, endpoint_id)

    def _pending(self, endpoint_id: str, blocks: tuple[str, ...]) -> int:
        """Return how many of the blocks are planned there but not cached yet."""
        cached = self._targets[endpoint_id].cached
        for index in range(len(blocks), 0, -1):
            if blocks[index - 1] in cached:
                return len(blocks) - index
        return len(blocks)

    def _plan(self, endpoint_id: str, prefix: tuple[str, ...]) -> None:
        for block in prefix:
            self._holders[block].add(endpoint_id)

    def _take(self, endpoint_id: str) -> EndpointView:
        view = self._targets[endpoint_id].view
        self._room[endpoint_id] -= 1
        self._zone_room[view.place.zone] -= 1
        return view
