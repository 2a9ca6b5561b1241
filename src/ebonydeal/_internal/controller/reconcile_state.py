"""What one deployment should run, and what it does."""

from collections.abc import Mapping, Set
from typing import NamedTuple

from ebonydeal._internal.controller.values import InstanceRow, OfferKey
from ebonydeal._internal.outside.interfaces import CloudInstance


class ReconcileConfig(NamedTuple):
    """Constants of reconciling, in seconds and counts.

    Attributes
    ----------
    list_grace : float
        How long a started instance may be absent from the cloud's list.
    warm_timeout : float
        Longest time from start to warm before the instance is replaced.
    drain_least : float
        Least drain of an instance that served: leaving marks spread meanwhile.
    drain_longest : float
        Longest drain where the cloud sets no deadline.
    drain_over_ceiling : float
        Longest drain of an instance that breaks the price ceiling.
    starts_at_once : int
        Most starts in one round.
    """

    list_grace: float = 20.0
    warm_timeout: float = 900.0
    drain_least: float = 5.0
    drain_longest: float = 600.0
    drain_over_ceiling: float = 30.0
    starts_at_once: int = 50


class DesiredState(NamedTuple):
    """What should run.

    Attributes
    ----------
    counts : mapping of OfferKey to int
        Instances by (zone, class, market).
    target : int
        Replicas without which the deployment is below strength.
    ceiling : float
        Most that all instances together may cost an hour.
    """

    counts: Mapping[OfferKey, int]
    target: int
    ceiling: float


class ObservedState(NamedTuple):
    """What is known to run.

    ``instances`` must have been listed before ``rows`` were read: then an
    instance without a row can't be one whose start was recorded meanwhile.

    Attributes
    ----------
    instances : mapping of str to CloudInstance
        By token.
    rows : mapping of str to InstanceRow
        By token.
    warm : set of str
        Tokens of instances whose order is in force and whose engine is ready.
    idle : set of str
        Tokens of instances known to run nothing.
    leaving : mapping of str to float
        Tokens under a reclaim notice, with its deadline (wall seconds).
    prices : mapping of OfferKey to float
        Present prices.
    gone : set of str
        Tokens of instances that are not listed, and surely not by a lapse of
        the list.
    """

    instances: Mapping[str, CloudInstance]
    rows: Mapping[str, InstanceRow]
    warm: Set[str]
    idle: Set[str]
    leaving: Mapping[str, float]
    prices: Mapping[OfferKey, float]
    gone: Set[str] = frozenset()

    def price(self, row: InstanceRow) -> float:
        """Return the present price of a row's instance, an hour."""
        return self.prices.get(OfferKey.of(row), row.price_per_hour)

    def committed(self) -> float:
        """Return the present price of everything that may still be running."""
        return sum(self.price(row) for row in self.rows.values())
