"""Decision trails: what was decided for a request, step by step, and why.

Kept in bounded memory at the process that decided. A step holds ids, numbers
and words from closed lists, never text of a prompt or an answer.
"""

from collections import OrderedDict
from enum import StrEnum
from typing import Any, TypedDict

_STEPS_PER_REQUEST = 64


class Step(StrEnum):
    """What a step of a trail tells."""

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
    """One step as shown to operators; ``at`` in wall clock seconds."""

    at: float
    step: str
    what: dict[str, Any]


class Trails:
    """The trails of the latest requests.

    Parameters
    ----------
    requests : int
        Most requests kept; 0 keeps none.
    """

    def __init__(self, requests: int) -> None:
        self._limit = requests
        self._trails: OrderedDict[str, list[TrailStep]] = OrderedDict()

    def add_step(self, request_id: str, at: float, step: Step, **what: Any) -> None:
        """Add a step; further steps of a very long trail are dropped."""
        if self._limit == 0:
            return
        steps = self._trails.get(request_id)
        if steps is None:
            steps = self._trails[request_id] = []
            if len(self._trails) > self._limit:
                self._trails.popitem(last=False)
        if len(steps) < _STEPS_PER_REQUEST:
            steps.append(TrailStep(at=at, step=str(step), what=what))

    def steps(self, request_id: str) -> list[TrailStep] | None:
        """Return a request's steps, or None where it is not known any more."""
        return self._trails.get(request_id)

    def __len__(self) -> int:
        """Return how many requests are kept."""
        return len(self._trails)
