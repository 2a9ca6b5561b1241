"""Waiting work with deadlines, as the controller reads it. Pure.

Work is measured in replica seconds, as an upper estimate: every request produces
its maximum output tokens at the deployment's latency targets, and a replica serves
as many requests at once as it has slots.
"""

from collections.abc import Callable, Iterable
from typing import Any

from ebonydeal._internal.models.document import Deployment, Document
from ebonydeal._internal.models.requests import Request

BACKLOG_PREFIX = "backlog/"
ASSUMED_SERVICE_CALL_S = 4.0
MAX_ENTRIES = 200
STALE_ROW_AGE_S = 3600.0

SlotsOf = Callable[[str], int]
DeadlineWork = list[list[float]]


def backlog_key(deployment: str, node_id: str) -> str:
    """Return the row key of a deployment's work at a node."""
    return f"{BACKLOG_PREFIX}{deployment}:{node_id}"


def is_row_of(key: str, node_id: str) -> bool:
    """Return whether a backlog row belongs to a node."""
    return key.removeprefix(BACKLOG_PREFIX).partition(":")[2] == node_id


def is_stale(value: dict[str, Any], wall: float) -> bool:
    """Return whether a row was left by a node that is gone.

    Its deadlines and its last renewal are more than ``STALE_ROW_AGE_S`` ago. A row
    in another format is never stale.
    """
    match value:
        case {"jobs": list(jobs), "at": float(at) | int(at)}:
            deadlines = [job[0] for job in jobs if isinstance(job, list) and job]
            return max([at, *deadlines]) + STALE_ROW_AGE_S < wall
    return False


def replica_seconds(request: Request, deployment: Deployment, slots: int) -> float:
    """Return an upper estimate of the replica seconds that a request takes."""
    if request.max_tokens <= 0:
        return ASSUMED_SERVICE_CALL_S / max(1, slots)
    tokens_s = request.max_tokens * deployment.between_tokens_s
    return (deployment.first_token_s + tokens_s) / max(1, slots)


def merge_deadlines(
    work: dict[float, float], max_entries: int = MAX_ENTRIES
) -> DeadlineWork:
    """Return at most ``max_entries`` (deadline, replica seconds) pairs, sorted.

    Neighbours are merged under the earliest of their deadlines, so that no work
    appears less urgent than it is.
    """
    deadlines = sorted(work)
    size = -(-len(deadlines) // max_entries)
    jobs: DeadlineWork = []
    for start in range(0, len(deadlines), max(1, size)):
        group = deadlines[start : start + size]
        total = sum(work[deadline] for deadline in group)
        jobs.append([group[0], round(total, 3)])
    return jobs


class Backlog:
    """Sums up the work of waiting requests by deployment and deadline.

    Parameters
    ----------
    document : Document
        Only its deployments with ``deadline_work`` are counted.
    slots_of : callable
        Returns how many requests a replica of a deployment serves at once.
    """

    def __init__(self, document: Document, slots_of: SlotsOf) -> None:
        self._deployments = document.deployments
        self._slots_of = slots_of
        self._slots: dict[str, int] = {}
        self._work: dict[str, dict[float, float]] = {}

    def add(self, requests: Iterable[Request]) -> None:
        """Add requests; those without a deadline are ignored."""
        for request in requests:
            deployment = self._deployments.get(request.deployment)
            if not request.deadline or deployment is None:
                continue
            if deployment.deadline_work:
                self._add(request, deployment)

    def _add(self, request: Request, deployment: Deployment) -> None:
        name = request.deployment
        if name not in self._slots:
            self._slots[name] = self._slots_of(name)
        seconds = replica_seconds(request, deployment, self._slots[name])
        work = self._work.setdefault(name, {})
        work[request.deadline] = work.get(request.deadline, 0.0) + seconds

    def work_by_deployment(self) -> dict[str, DeadlineWork]:
        """Return the work of each deployment that has any."""
        return {name: merge_deadlines(work) for name, work in self._work.items()}
