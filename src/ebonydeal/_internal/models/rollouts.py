"""Roll-outs: a service's traffic moves to endpoints of another version."""

from enum import StrEnum
from typing import NamedTuple


class Phase(StrEnum):
    """Where a roll-out stands; the last two are final for their order."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutOrder(NamedTuple):
    """What an operator orders.

    Attributes
    ----------
    target_version : str
        The version that is to take the service's requests.
    duration : float
        Seconds from the order within which it is to be decided.
    revision : int
        Grows with each order; another revision is another order.
    """

    service: str
    target_version: str
    duration: float
    revision: int


class RolloutGate(NamedTuple):
    """What relays are told of one roll-out.

    Attributes
    ----------
    revision : int
        The order's.
    shares : dict of str to float
        Part of a route's requests that the new version gets, by route.
    canaries : tuple of str
        Ids of the new endpoints that get them.
    barred : tuple of str
        Versions that get nothing: those rolled back before.
    """

    service: str
    target_version: str
    revision: int
    phase: Phase
    shares: dict[str, float]
    canaries: tuple[str, ...]
    barred: tuple[str, ...] = ()
