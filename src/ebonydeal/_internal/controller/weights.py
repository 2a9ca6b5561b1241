"""Decides which weight loads may start now within the weight store's rate.

A pure function. Loads of one model in one zone share one read of the store: the
first engine reads it, and the others copy from that engine. Deployments share
the rate by weight (one with too few ready replicas has a higher weight), so that
many replacements in one deployment never starve the others.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from heapq import heapify, heapreplace
from typing import NamedTuple

from ebonydeal._internal.outside.interfaces import WeightCopy

_EPS = 1e-9


class WeightLoadConfig(NamedTuple):
    """Parameters of weight loads.

    Attributes
    ----------
    engine_rate_gb_per_s : float
        Gigabytes per second that one engine can read.
    max_shortfall_weight : float
        Weight of a deployment without ready replicas; one at its target has the
        weight 1.
    max_readers_per_copy : int
        Maximum number of engines that copy from one source in their zone at once.
    reserved_share : float
        Share of the store's rate that only shared reads may use.
    """

    engine_rate_gb_per_s: float = 2.0
    max_shortfall_weight: float = 8.0
    max_readers_per_copy: int = 4
    reserved_share: float = 0.25


class LoadRequest(NamedTuple):
    """An engine that waits for a model.

    Attributes
    ----------
    endpoint_id, deployment, model, zone : str
        Engine, its deployment, the model to load and the engine's zone.
    shortfall : float
        Share of the target that is not ready in the deployment, 0 to 1.
    requested_at : float
        Start of the wait, wall clock seconds; orders requests.
    """

    endpoint_id: str
    deployment: str
    model: str
    zone: str
    shortfall: float
    requested_at: float


class RunningLoad(NamedTuple):
    """A load in progress; ``source`` is empty for the store itself."""

    endpoint_id: str
    deployment: str
    model: str
    zone: str
    source: str


class LoadStart(NamedTuple):
    """A load that may start now; ``source`` is empty for the store itself."""

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
        Requests of waiting engines.
    running : sequence of RunningLoad
        Loads in progress.
    copies : mapping of str to sequence of WeightCopy
        Sources by model; the store has an empty zone.
    served_gb : mapping of str to float
        Gigabytes recently read from the store, by deployment.
    store_rate : float
        Total rate of the store, gigabytes per second.
    config : WeightLoadConfig
        Parameters.
    """
    state = _State(running, copies, served_gb, store_rate, config)
    groups = _grouped(requests)
    starts = state.admit(groups, shared=True)
    # The rate that shared reads leave is used too, except for a reserve, so that
    # a deployment that loses replicas next can read from the store at once.
    state.free_rate -= config.reserved_share * store_rate
    return starts + state.admit(groups, shared=False)


class _State:
    """Resources in use while loads are admitted."""

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
        self.served_gb = defaultdict(float, served_gb)
        self.free_rate = store_rate - config.engine_rate_gb_per_s * len(direct)
        self.reading = {(load.model, load.zone) for load in direct}
        self.readers: Counter[str] = Counter(
            load.source for load in running if load.source
        )
        self._zone_copies: dict[tuple[str, str], list[tuple[int, str]]] = {}

    def admit(self, groups: _Groups, shared: bool) -> list[LoadStart]:
        """Admit the oldest requests of groups, least served deployment first."""
        starts = []
        open_groups = {key for key, queue in groups.items() if queue}
        while open_groups:
            key = min(open_groups, key=lambda item: self._priority(groups[item][0]))
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
        """Reserve a source for a load; empty for the store, None if there is none."""
        copy = self._zone_copy(req)
        if copy is not None:
            return copy
        model_zone = (req.model, req.zone)
        if (shared and model_zone in self.reading) or self.free_rate <= _EPS:
            return None
        self.reading.add(model_zone)
        self.free_rate -= self.config.engine_rate_gb_per_s
        self.served_gb[req.deployment] += _store_size(req.model, self.copies)
        return ""

    def _zone_copy(self, req: LoadRequest) -> str | None:
        """Reserve the least used copy in the engine's zone; None if all are full."""
        model_zone = (req.model, req.zone)
        if model_zone not in self._zone_copies:
            found = {
                copy.source
                for copy in self.copies.get(req.model, ())
                if copy.zone == req.zone
            }
            self._zone_copies[model_zone] = [
                (self.readers[name], name) for name in found
            ]
            heapify(self._zone_copies[model_zone])
        heap = self._zone_copies[model_zone]
        if not heap or heap[0][0] >= self.config.max_readers_per_copy:
            return None
        used, source = heap[0]
        heapreplace(heap, (used + 1, source))
        return source

    def _priority(self, req: LoadRequest) -> tuple[float, float, float, str]:
        """Return the sort key of a request: least served by weight comes first."""
        extra = self.config.max_shortfall_weight - 1.0
        weight = 1.0 + extra * min(1.0, max(0.0, req.shortfall))
        share = self.served_gb[req.deployment] / weight
        return (share, -req.shortfall, req.requested_at, req.endpoint_id)


def _grouped(requests: Iterable[LoadRequest]) -> _Groups:
    """Return requests by (deployment, model, zone), oldest first."""
    groups: _Groups = defaultdict(deque)
    for req in sorted(requests, key=lambda item: (item.requested_at, item.endpoint_id)):
        groups[(req.deployment, req.model, req.zone)].append(req)
    return groups


def _store_size(model: str, copies: Mapping[str, Sequence[WeightCopy]]) -> float:
    """Return a model's size in gigabytes; 1.0 if unknown."""
    return max((copy.size_gb for copy in copies.get(model, ())), default=1.0)
