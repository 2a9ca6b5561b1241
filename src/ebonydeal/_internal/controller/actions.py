"""Actions of a controller on the instances of one deployment."""

from dataclasses import dataclass

from ebonydeal._internal.controller.values import InstanceRow, OfferKey
from ebonydeal._internal.outside.interfaces import CloudInstance


@dataclass(frozen=True)
class Start:
    """Write a row, then request an instance from the cloud with the row's token."""

    key: OfferKey
    price_per_hour: float
    why: str
    replaces: str


@dataclass(frozen=True)
class Restart:
    """Repeat a start request whose outcome is unknown, with the same token."""

    row: InstanceRow


@dataclass(frozen=True)
class Adopt:
    """Record that the cloud has started the instance of a row."""

    row: InstanceRow
    instance: CloudInstance


@dataclass(frozen=True)
class Enlist:
    """Take over an instance that is tagged with the deployment but not managed.

    Something other than a controller started it. From now on it counts towards
    replicas and spend like a managed instance.
    """

    instance: CloudInstance


@dataclass(frozen=True)
class Condemn:
    """Record a managed instance that has no row, so that it is released.

    The row makes the release conditional on the lease, like all other changes.
    """

    instance: CloudInstance


@dataclass(frozen=True)
class Warm:
    """Keep warming up; `ReplicaManager` sends the orders to the engine."""

    row: InstanceRow


@dataclass(frozen=True)
class MarkReady:
    """Record that the instance is warm and counts as a ready replica."""

    row: InstanceRow


@dataclass(frozen=True)
class Drain:
    """Record that the instance is draining, and publish its leaving mark."""

    row: InstanceRow
    why: str
    until: float


@dataclass(frozen=True)
class Release:
    """Record the release, then stop the instance."""

    row: InstanceRow


@dataclass(frozen=True)
class Forget:
    """Delete the row of an instance that no longer exists."""

    row: InstanceRow
    lost: bool


@dataclass(frozen=True)
class Hold:
    """Start nothing, as ``number`` instances would exceed the price ceiling."""

    key: OfferKey
    number: int


Action = (
    Start
    | Restart
    | Adopt
    | Enlist
    | Condemn
    | Warm
    | MarkReady
    | Drain
    | Release
    | Forget
    | Hold
)
