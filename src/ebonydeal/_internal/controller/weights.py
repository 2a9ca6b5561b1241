"""Which weight loads may start now, under the weight store's rate.

A pure decision. Loads of one model in one zone share one read of the store: the
first engine reads it, the others copy from it. Deployments are served by
weighted shares (a deployment below strength has a higher weight), so that a
wave of replacements in one never starves the rest.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from ebonydeal._internal.platform.interfaces import WeightCopy

_EPS = 1e-9


class LoadPolicy(NamedTuple):
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
    """

    rate_of_one: float = 2.0
    below_strength_weight: float = 8.0
    near_at_once: int = 4


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


def admit_loads(
    requests: Iterable[LoadRequest],
    running: Sequence[RunningLoad],
    copies: Mapping[str, Sequence[WeightCopy]],
    served_gb: Mapping[str, float],
    store_rate: float,
    policy: LoadPolicy,
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
    policy : LoadPolicy
        Constants.
    """
    near: dict[str, int] = defaultdict(int)
    reading = {(load.model, load.zone) for load in running if not load.source}
    for load in running:
        if load.source:
            near[load.source] += 1
    free = store_rate - policy.rate_of_one * len(
        [load for load in running if not load.source]
    )
    served = dict(served_gb)
    queue = sorted(requests, key=lambda req: (req.asked_at, req.endpoint_id))
    starts = []
    while queue:
        req = min(queue, key=lambda item: _share(item, served, policy))
        queue.remove(req)
        source = _near_copy(req, copies, near, policy)
        if source is not None:
            near[source] += 1
        elif (req.model, req.zone) in reading or free <= _EPS:
            continue
        else:
            reading.add((req.model, req.zone))
            free -= policy.rate_of_one
            size = _store_size(req.model, copies)
            served[req.deployment] = served.get(req.deployment, 0.0) + size
        starts.append(
            LoadStart(
                req.endpoint_id, req.deployment, req.model, req.zone, source or ""
            )
        )
    return starts


def _share(
    req: LoadRequest, served: Mapping[str, float], policy: LoadPolicy
) -> tuple[float, float, float, str]:
    """Return the order of a request: least served by weight comes first."""
    extra = policy.below_strength_weight - 1.0
    weight = 1.0 + extra * min(1.0, max(0.0, req.shortfall))
    share = served.get(req.deployment, 0.0) / weight
    return (share, -req.shortfall, req.asked_at, req.endpoint_id)


def _near_copy(
    req: LoadRequest,
    copies: Mapping[str, Sequence[WeightCopy]],
    near: Mapping[str, int],
    policy: LoadPolicy,
) -> str | None:
    """Return the least used copy in the engine's zone that has room."""
    sources = [
        copy.source
        for copy in copies.get(req.model, ())
        if copy.zone == req.zone
        and copy.source != req.endpoint_id
        and near.get(copy.source, 0) < policy.near_at_once
    ]
    return min(sources, key=lambda source: (near.get(source, 0), source), default=None)


def _store_size(model: str, copies: Mapping[str, Sequence[WeightCopy]]) -> float:
    """Return a model's gigabytes, 1.0 where nobody says."""
    return max((copy.size_gb for copy in copies.get(model, ())), default=1.0)
