"""What a controller may do next about the instances of one deployment."""

from dataclasses import dataclass

from ebonydeal._internal.controller.values import InstanceRow, OfferKey
from ebonydeal._internal.outside.interfaces import CloudInstance


@dataclass(frozen=True)
class Start:
    """Record a row, then ask the cloud for an instance with its token."""

    key: OfferKey
    price_per_hour: float
    why: str
    replaces: str


@dataclass(frozen=True)
class Restart:
    """Ask the cloud again, with the token of a row whose answer is not known."""

    row: InstanceRow


@dataclass(frozen=True)
class Adopt:
    """Record that a start took effect."""

    row: InstanceRow
    instance: CloudInstance


@dataclass(frozen=True)
class Enlist:
    """Record an instance that carries the deployment's name as ours.

    Somebody else started it for the deployment; it counts and is paid from now
    on like one of our own.
    """

    instance: CloudInstance


@dataclass(frozen=True)
class Condemn:
    """Record an instance that a controller started, without a row, as to go.

    The row makes the release conditional on the lease, like everything else.
    """

    instance: CloudInstance


@dataclass(frozen=True)
class Warm:
    """Order the instance's engine to load its models."""

    row: InstanceRow


@dataclass(frozen=True)
class MarkReady:
    """Record that the instance is warm and counts for strength."""

    row: InstanceRow


@dataclass(frozen=True)
class Drain:
    """Record that the instance leaves, and spread its leaving mark."""

    row: InstanceRow
    why: str
    until: float


@dataclass(frozen=True)
class Release:
    """Record the release, then stop the instance."""

    row: InstanceRow


@dataclass(frozen=True)
class Forget:
    """Delete the row of an instance that is gone."""

    row: InstanceRow
    lost: bool


@dataclass(frozen=True)
class Hold:
    """Nothing is started: the price ceiling would be broken."""

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
