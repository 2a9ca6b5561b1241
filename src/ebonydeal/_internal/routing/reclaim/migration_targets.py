"""Targets for the streams of leaving endpoints: free slots, zones, prefix caches."""

from collections import defaultdict
from collections.abc import Collection, Iterable
from typing import NamedTuple

from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.utils.prefix import BLOCK_TOKENS


class MigrationTarget(NamedTuple):
    """An endpoint that may take migrated streams.

    Attributes
    ----------
    view : EndpointView
        The endpoint.
    room : int
        Streams that it can take without queueing.
    cached : collection of str
        Prompt blocks that its prefix cache is expected to hold.
    """

    view: EndpointView
    room: int
    cached: Collection[str] = ()


class PrefillPlacement(NamedTuple):
    """A target reserved for a resume by prefill.

    ``pending_tokens`` are the tokens of the shared prefix that a resume placed there
    earlier has yet to compute.
    """

    view: EndpointView
    pending_tokens: int


class TargetPool:
    """Tracks the free slots and planned caches of targets while a plan is made.

    Parameters
    ----------
    targets : iterable of MigrationTarget
        Candidates.
    leaving_zones : collection of str
        Zones whose candidates are excluded.
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
        """Return the highest number of prompt tokens cached by a target with room."""
        return self._best_cached(prefix)[1] * BLOCK_TOKENS

    def reserve_emptiest(self) -> EndpointView | None:
        """Reserve a slot of the emptiest target in the zone with the most room."""
        ids = self._with_room(self._targets)
        if not ids:
            return None
        return self._reserve(max(ids, key=self._emptiness))

    def reserve_best_cached(self, prefix: tuple[str, ...]) -> PrefillPlacement | None:
        """Reserve a slot where most of a prompt is cached or about to be."""
        ids, hit = self._best_cached(prefix)
        if not ids:
            ids = self._with_room(self._targets)
        if not ids:
            return None
        best = max(ids, key=self._emptiness)
        pending = self._pending_blocks(best, prefix[:hit])
        self._add_planned(best, prefix)
        return PrefillPlacement(self._reserve(best), pending * BLOCK_TOKENS)

    def _best_cached(self, prefix: tuple[str, ...]) -> tuple[list[str], int]:
        """Return the targets that hold most of a prompt, and how many blocks.

        Hashes are chained and caches evict from the end, so an endpoint that holds a
        block holds all blocks before it, even if their events were lost.
        """
        for index in range(len(prefix), 0, -1):
            ids = self._with_room(self._holders.get(prefix[index - 1], ()))
            if ids:
                return ids, index
        return [], 0

    def _with_room(self, ids: Iterable[str]) -> list[str]:
        return [endpoint_id for endpoint_id in ids if self._room[endpoint_id] > 0]

    def _emptiness(self, endpoint_id: str) -> tuple[int, int, float, str]:
        """Return the sort key: the zone's room, own room, then low eviction rate."""
        view = self._targets[endpoint_id].view
        zone_room = self._zone_room[view.place.zone]
        stability = -view.evict_per_hour
        return (zone_room, self._room[endpoint_id], stability, endpoint_id)

    def _pending_blocks(self, endpoint_id: str, blocks: tuple[str, ...]) -> int:
        """Return how many of the blocks are planned there but not cached yet."""
        cached = self._targets[endpoint_id].cached
        for index in range(len(blocks), 0, -1):
            if blocks[index - 1] in cached:
                return len(blocks) - index
        return len(blocks)

    def _add_planned(self, endpoint_id: str, prefix: tuple[str, ...]) -> None:
        for block in prefix:
            self._holders[block].add(endpoint_id)

    def _reserve(self, endpoint_id: str) -> EndpointView:
        view = self._targets[endpoint_id].view
        self._room[endpoint_id] -= 1
        self._zone_room[view.place.zone] -= 1
        return view
