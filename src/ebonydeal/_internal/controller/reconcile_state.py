"""Desired and observed state of one deployment."""

from collections.abc import Mapping, Set
from typing import NamedTuple

from ebonydeal._internal.controller.values import InstanceRow, OfferKey
from ebonydeal._internal.outside.interfaces import CloudInstance


class ReconcileConfig(NamedTuple):
    """Parameters of reconciliation, in seconds and counts.

    Attributes
    ----------
    list_grace : float
        Time for which a started instance may be missing from the cloud's list.
    warm_timeout : float
        Maximum time from start to warm; then the instance is replaced.
    min_drain_s : float
        Minimum drain of an instance that served, so that leaving marks spread.
    max_drain_s : float
        Maximum drain if the cloud sets no deadline.
    drain_over_ceiling : float
        Maximum drain of an instance that exceeds the price ceiling.
    max_starts_per_round : int
        Maximum number of starts in one round.
    """

    list_grace: float = 20.0
    warm_timeout: float = 900.0
    min_drain_s: float = 5.0
    max_drain_s: float = 600.0
    drain_over_ceiling: float = 30.0
    max_starts_per_round: int = 50


class DesiredState(NamedTuple):
    """What should run.

    Attributes
    ----------
    counts : mapping of OfferKey to int
        Instances by (zone, class, market).
    target : int
        Replicas that the deployment needs.
    ceiling : float
        Maximum price of all instances together, per hour.
    """

    counts: Mapping[OfferKey, int]
    target: int
    ceiling: float


class ObservedState(NamedTuple):
    """What is known to run.

    ``instances`` must have been listed before ``rows`` were read. Otherwise, an
    instance without a row could be one whose start was recorded in between.

    Attributes
    ----------
    instances : mapping of str to CloudInstance
        By token.
    rows : mapping of str to InstanceRow
        By token.
    warm : set of str
        Tokens of instances whose order is in force and whose engine is ready.
    idle : set of str
        Tokens of instances known to run no requests.
    leaving : mapping of str to float
        Reclaim deadlines by token, wall clock seconds.
    prices : mapping of OfferKey to float
        Current prices.
    gone : set of str
        Tokens of instances that are not listed and surely gone, not just missing
        from one list.
    """

    instances: Mapping[str, CloudInstance]
    rows: Mapping[str, InstanceRow]
    warm: Set[str]
    idle: Set[str]
    leaving: Mapping[str, float]
    prices: Mapping[OfferKey, float]
    gone: Set[str] = frozenset()

    def price(self, row: InstanceRow) -> float:
        """Return the current price of a row's instance, per hour."""
        return self.prices.get(OfferKey.of(row), row.price_per_hour)

    def committed(self) -> float:
        """Return the current price per hour of all instances that may be running."""
        return sum(self.price(row) for row in self.rows.values())
