"""Which weight loads may start now, under the weight store's rate.

A pure decision. Loads of one model in one zone share one read of the store: the
first engine reads it, the others copy from it. Deployments are served by
weighted shares (a deployment below strength has a higher weight), so that a
wave of replacements in one never starves the rest.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from heapq import heapify, heapreplace
from typing import NamedTuple

from ebonydeal._internal.outside.interfaces import WeightCopy

_EPS = 1e-9


class WeightLoadConfig(NamedTuple):
    """Constants of loading.

    Attributes
    ----------
    rate_of_one : float
        Gigabytes a second that one engine can read.
    below_strength_weight : float
        Weight of a deployment that has lost all its strength; 1 is the weight
        of one at full strength.
    near_at_once : int
        Most engines that copy from one near copy together.
    reserve : float
        Share of the store's rate that only shared reads may use.
    """

    rate_of_one: float = 2.0
    below_strength_weight: float = 8.0
    near_at_once: int = 4
    reserve: float = 0.25


class LoadRequest(NamedTuple):
    """An engine that waits for a model.

    Attributes
    ----------
    endpoint_id, deployment, model, zone : str
        Which engine, for whom, what and where.
    shortfall : float
        Share of its strength that the deployment lacks, 0 to 1.
    asked_at : float
        Monotonic seconds.
    """

    endpoint_id: str
    deployment: str
    model: str
    zone: str
    shortfall: float
    asked_at: float


class RunningLoad(NamedTuple):
    """A load that goes on; ``source`` is empty for the store itself."""

    endpoint_id: str
    deployment: str
    model: str
    zone: str
    source: str


class LoadStart(NamedTuple):
    """A load that may start now, and from where."""

    endpoint_id: str
    deployment: str
    model: str
    zone: str
    source: str


_Groups = dict[tuple[str, str, str], deque[LoadRequest]]


def admit_loads(
    requests: Iterable[LoadRequest],
    running: Sequence[RunningLoad],
    copies: Mapping[str, Sequence[WeightCopy]],
    served_gb: Mapping[str, float],
    store_rate: float,
    config: WeightLoadConfig,
) -> list[LoadStart]:
    """Return the loads that may start now.

    Parameters
    ----------
    requests : iterable of LoadRequest
        Engines that wait.
    running : sequence of RunningLoad
        Loads that go on.
    copies : mapping of str to sequence of WeightCopy
        Sources by model; an empty zone is the store.
    served_gb : mapping of str to float
        Gigabytes that the store has lately given to each deployment.
    store_rate : float
        Gigabytes a second that the store gives altogether.
    config : WeightLoadConfig
        Constants.
    """
    state = _State(running, copies, served_gb, store_rate, config)
    groups = _grouped(requests)
    starts = state.admit(groups, shared=True)
    # What the shared reads leave free is used too, but for a reserve: a
    # deployment that falls below strength next finds the store open.
    state.free -= config.reserve * store_rate
    return starts + state.admit(groups, shared=False)


class _State:
    """What is used while loads are admitted."""

    def __init__(
        self,
        running: Sequence[RunningLoad],
        copies: Mapping[str, Sequence[WeightCopy]],
        served_gb: Mapping[str, float],
        store_rate: float,
        config: WeightLoadConfig,
    ) -> None:
        direct = [load for load in running if not load.source]
        self.copies = copies
        self.config = config
        self.served = defaultdict(float, served_gb)
        self.free = store_rate - config.rate_of_one * len(direct)
        self.reading = {(load.model, load.zone) for load in direct}
        self.near: Counter[str] = Counter(
            load.source for load in running if load.source
        )
        self._sources: dict[tuple[str, str], list[tuple[int, str]]] = {}

    def admit(self, groups: _Groups, shared: bool) -> list[LoadStart]:
        """Admit from the front of groups, the least served deployment first."""
        starts = []
        open_groups = {key for key, queue in groups.items() if queue}
        while open_groups:
            key = min(open_groups, key=lambda item: self._share(groups[item][0]))
            req = groups[key][0]
            source = self._source(req, shared)
            if source is None:
                open_groups.discard(key)
                continue
            groups[key].popleft()
            if not groups[key]:
                open_groups.discard(key)
            starts.append(
                LoadStart(req.endpoint_id, req.deployment, req.model, req.zone, source)
            )
        return starts

    def _source(self, req: LoadRequest, shared: bool) -> str | None:
        """Take a source for a load; empty for the store, None for none."""
        near = self._near_copy(req)
        if near is not None:
            return near
        place = (req.model, req.zone)
        if (shared and place in self.reading) or self.free <= _EPS:
            return None
        self.reading.add(place)
        self.free -= self.config.rate_of_one
        self.served[req.deployment] += _store_size(req.model, self.copies)
        return ""

    def _near_copy(self, req: LoadRequest) -> str | None:
        """Take the least used copy in the engine's zone that has room."""
        place = (req.model, req.zone)
        if place not in self._sources:
            found = {
                copy.source
                for copy in self.copies.get(req.model, ())
                if copy.zone == req.zone
            }
            self._sources[place] = [(self.near[name], name) for name in found]
            heapify(self._sources[place])
        heap = self._sources[place]
        if not heap or heap[0][0] >= self.config.near_at_once:
            return None
        used, source = heap[0]
        heapreplace(heap, (used + 1, source))
        return source

    def _share(self, req: LoadRequest) -> tuple[float, float, float, str]:
        """Return the order of a request: least served by weight comes first."""
        extra = self.config.below_strength_weight - 1.0
        weight = 1.0 + extra * min(1.0, max(0.0, req.shortfall))
        share = self.served[req.deployment] / weight
        return (share, -req.shortfall, req.asked_at, req.endpoint_id)


def _grouped(requests: Iterable[LoadRequest]) -> _Groups:
    """Return requests by (deployment, model, zone), oldest first."""
    groups: _Groups = defaultdict(deque)
    for req in sorted(requests, key=lambda item: (item.asked_at, item.endpoint_id)):
        groups[(req.deployment, req.model, req.zone)].append(req)
    return groups


def _store_size(model: str, copies: Mapping[str, Sequence[WeightCopy]]) -> float:
    """Return a model's gigabytes, 1.0 where nobody says."""
    return max((copy.size_gb for copy in copies.get(model, ())), default=1.0)
