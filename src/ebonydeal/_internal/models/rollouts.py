"""Roll-outs, which shift a service's traffic to endpoints of another version."""

from enum import StrEnum
from typing import NamedTuple


class Phase(StrEnum):
    """Phase of a roll-out; the last two are final for their order."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutOrder(NamedTuple):
    """An operator's order of a roll-out.

    Attributes
    ----------
    target_version : str
        Version that is to get all requests of the service.
    duration : float
        Seconds from the order within which the roll-out must be decided.
    revision : int
        Grows with each order and identifies it.
    """

    service: str
    target_version: str
    duration: float
    revision: int


class RolloutGate(NamedTuple):
    """State of one roll-out, as relays get it from the coordinator.

    Attributes
    ----------
    revision : int
        Revision of the order.
    shares : dict of str to float
        Share of a route's requests that the new version gets, by route.
    canaries : tuple of str
        Ids of the new version's endpoints that get them.
    barred : tuple of str
        Versions that get no requests, because they were rolled back.
    """

    service: str
    target_version: str
    revision: int
    phase: Phase
    shares: dict[str, float]
    canaries: tuple[str, ...]
    barred: tuple[str, ...] = ()
