"""Roll-outs, which shift a service's traffic to endpoints of another version."""

from enum import StrEnum
from typing import NamedTuple

from ebonydeal._internal.models.shared import era_of


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
        Version of the store at which it was ordered.
    """

    service: str
    target_version: str
    duration: float
    revision: int

    def is_same(self, other: "RolloutOrder") -> bool:
        """Return whether both are one order.

        A store that comes back from a copy lists an order under a version of its new
        era. Within one era, an equal order under another version was given again.
        """
        if era_of(self.revision) == era_of(other.revision):
            return (self.service, self.revision) == (other.service, other.revision)
        return self._replace(revision=other.revision) == other

    def replaces(self, known: "RolloutOrder") -> bool:
        """Return whether this is a newer order than ``known``, not the same one."""
        return self.revision > known.revision and not self.is_same(known)


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
    duration : float
        Duration of the order, seconds.
    """

    service: str
    target_version: str
    revision: int
    phase: Phase
    shares: dict[str, float]
    canaries: tuple[str, ...]
    barred: tuple[str, ...] = ()
    duration: float = 0.0

    @property
    def order(self) -> RolloutOrder:
        """The order whose state this is."""
        return RolloutOrder(
            self.service, self.target_version, self.duration, self.revision
        )
