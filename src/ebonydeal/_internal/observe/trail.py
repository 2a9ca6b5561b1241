"""Decision trails: the decisions made for a request, step by step, and why.

The process that decided keeps them in bounded memory. A step holds ids, numbers
and enum values, never text of a prompt or an answer.
"""

from collections import OrderedDict
from enum import StrEnum
from typing import Any, TypedDict

_MAX_STEPS_PER_REQUEST = 64


class Step(StrEnum):
    """Kind of a step in a trail."""

    RECEIVED = "received"
    ADMITTED = "admitted"
    QUEUED = "queued"
    SCORED = "scored"
    TRIED = "tried"
    FIRST_TOKEN = "first_token"
    FAILED = "failed"
    RETRIED = "retried"
    HEDGED = "hedged"
    RESUMED = "resumed"
    EXPORTED = "exported"
    MOVED = "moved"
    RECONNECTED = "reconnected"
    REFUSED = "refused"
    CALLER_LEFT = "caller_left"
    ANSWERED = "answered"


class TrailStep(TypedDict):
    """One step as shown to operators.

    ``at`` is wall clock time, seconds since the epoch; ``what`` holds the details.
    """

    at: float
    step: str
    what: dict[str, Any]


class Trails:
    """Trails of the most recent requests.

    Parameters
    ----------
    requests : int
        Maximum number of requests kept; 0 keeps none.
    """

    def __init__(self, requests: int) -> None:
        self._max_requests = requests
        self._trails: OrderedDict[str, list[TrailStep]] = OrderedDict()

    def add_step(self, request_id: str, at: float, step: Step, **details: Any) -> None:
        """Add a step, unless the trail already has the maximum number of steps."""
        if self._max_requests == 0:
            return
        steps = self._trails.get(request_id)
        if steps is None:
            steps = self._trails[request_id] = []
            if len(self._trails) > self._max_requests:
                self._trails.popitem(last=False)
        if len(steps) < _MAX_STEPS_PER_REQUEST:
            steps.append(TrailStep(at=at, step=str(step), what=details))

    def steps(self, request_id: str) -> list[TrailStep] | None:
        """Return a request's steps, or None if they are not kept."""
        return self._trails.get(request_id)

    def __len__(self) -> int:
        """Return the number of requests kept."""
        return len(self._trails)
