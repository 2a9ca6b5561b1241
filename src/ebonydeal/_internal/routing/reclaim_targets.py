"""Where streams of leaving endpoints go on: room, zones and prefix caches."""

from collections import defaultdict
from collections.abc import Collection, Iterable
from typing import NamedTuple

from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.utils.prefix import BLOCK_TOKENS


class Target(NamedTuple):
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
    targets : iterable of Target
        Candidates.
    leaving_zones : collection of str
        Candidates there are dropped.
    """

    def __init__(
        self, targets: Iterable[Target], leaving_zones: Collection[str]
    ) -> None:
        usable = [it for it in targets if it.view.place.zone not in leaving_zones]
        usable.sort(key=lambda it: it.view.endpoint_id)
        self._targets = {it.view.endpoint_id: it for it in usable}
        self._room = {it.view.endpoint_id: it.room for it in usable}
        self._zone_room: dict[str, int] = defaultdict(int)
        for item in usable:
            self._zone_room[item.view.place.zone] += max(0, item.room)
        self._planned: dict[str, set[str]] = defaultdict(set)
        self._holders: dict[str, list[str]] = defaultdict(list)
        for item in usable:
            for block in item.cached:
                self._holders[block].append(item.view.endpoint_id)

    def best_hit(self, prefix: tuple[str, ...]) -> int:
        """Return the most prompt tokens that a target with room has cached."""
        hits = [
            self._hit(endpoint_id, prefix)
            for endpoint_id in self._with_room(self._candidates(prefix))
        ]
        return max(hits, default=0) * BLOCK_TOKENS

    def take_emptiest(self) -> EndpointView | None:
        """Take a slot of the target with most room in the zone with most room."""
        ids = self._with_room(self._targets)
        if not ids:
            return None
        return self._take(max(ids, key=self._emptiness))

    def take_warmest(self, prefix: tuple[str, ...]) -> Place | None:
        """Take a slot where most of a prompt is cached or about to be."""
        warm = self._with_room(self._candidates(prefix))
        ids = warm or self._with_room(self._targets)
        if not ids:
            return None
        best = max(ids, key=lambda it: (self._hit(it, prefix), *self._emptiness(it)))
        pending = self._pending(best, prefix)
        self._plan(best, prefix)
        return Place(self._take(best), pending * BLOCK_TOKENS)

    def _candidates(self, prefix: tuple[str, ...]) -> Collection[str]:
        """Return the targets that hold at least the first block."""
        return self._holders.get(prefix[0], ()) if prefix else ()

    def _with_room(self, ids: Iterable[str]) -> list[str]:
        return [endpoint_id for endpoint_id in ids if self._room[endpoint_id] > 0]

    def _emptiness(self, endpoint_id: str) -> tuple[float, ...]:
        """Order targets: zone's room, own room, then the lower eviction chance."""
        view = self._targets[endpoint_id].view
        zone_room = self._zone_room[view.place.zone]
        return (zone_room, self._room[endpoint_id], -view.evict_per_hour)

    def _hit(self, endpoint_id: str, prefix: tuple[str, ...]) -> int:
        """Return the leading blocks that are cached or planned there."""
        cached = self._targets[endpoint_id].cached
        planned = self._planned[endpoint_id]
        count = 0
        for block in prefix:
            if block not in cached and block not in planned:
                break
            count += 1
        return count

    def _pending(self, endpoint_id: str, prefix: tuple[str, ...]) -> int:
        """Return the leading blocks that are planned but not cached there yet."""
        cached = self._targets[endpoint_id].cached
        hit = prefix[: self._hit(endpoint_id, prefix)]
        return sum(block not in cached for block in hit)

    def _plan(self, endpoint_id: str, prefix: tuple[str, ...]) -> None:
        planned = self._planned[endpoint_id]
        for block in prefix:
            if endpoint_id not in self._holders[block]:
                self._holders[block].append(endpoint_id)
            planned.add(block)

    def _take(self, endpoint_id: str) -> EndpointView:
        view = self._targets[endpoint_id].view
        self._room[endpoint_id] -= 1
        self._zone_room[view.place.zone] -= 1
        return view
