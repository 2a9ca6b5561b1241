"""Chooses the endpoints that a gateway watches.

Rendezvous hashing is used in both directions. A gateway watches the endpoints that
rank highest for it, mostly in its own zone and a share in other zones. Each endpoint
is also watched by the gateway that ranks highest for it, so that none is left out.
All processes that know the same members compute the same sets, and adding or removing
one member changes few of them.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from ebonydeal._internal.models.places import Distance, Place, distance


class PlacedProcess(NamedTuple):
    """A gateway or an endpoint, by id and place."""

    id: str
    place: Place


def rank(first: str, second: str) -> int:
    """Return the rendezvous rank of a pair; the highest is preferred."""
    return xxh3_64_intdigest(f"{first}|{second}".encode())


def choose_subset(
    gateway: PlacedProcess,
    gateways: Sequence[PlacedProcess],
    endpoints: Sequence[PlacedProcess],
    size: int,
    spill_share: float,
) -> frozenset[str]:
    """Return the ids of the endpoints that ``gateway`` watches.

    Parameters
    ----------
    gateway : PlacedProcess
        This gateway.
    gateways : sequence of PlacedProcess
        All known gateways; this one may be missing.
    endpoints : sequence of PlacedProcess
        Endpoints of one deployment.
    size : int
        Maximum of endpoints chosen by rank; those that only this gateway covers are
        added.
    spill_share : float
        Share of ``size`` reserved for other zones, so that connections which are known
        to work exist when a zone is lost.
    """
    if len(endpoints) <= size:
        return frozenset(item.id for item in endpoints)
    near = _ranked(gateway, endpoints, Distance.SAME_ZONE)
    others = _ranked(gateway, endpoints, Distance.SAME_REGION)
    others += _ranked(gateway, endpoints, Distance.OTHER_REGION)
    spilled = min(len(others), int(size * spill_share))
    chosen = near[: size - spilled]
    chosen += others[: size - len(chosen)]
    members = {item.id: item for item in gateways} | {gateway.id: gateway}
    covered = (
        item.id for item in endpoints if _covering(members.values(), item) == gateway.id
    )
    return frozenset(chosen).union(covered)


def _ranked(
    gateway: PlacedProcess, endpoints: Sequence[PlacedProcess], at: Distance
) -> list[str]:
    """Return endpoint ids at one distance, highest rank first."""
    ids = [item.id for item in endpoints if distance(gateway.place, item.place) is at]
    return sorted(ids, key=lambda name: rank(gateway.id, name), reverse=True)


def _covering(gateways: Iterable[PlacedProcess], endpoint: PlacedProcess) -> str:
    """Return the id of the gateway that must watch ``endpoint``.

    Gateways in the endpoint's zone are preferred, since the distance is short.
    """

    def order(item: PlacedProcess) -> tuple[int, int]:
        return (-distance(item.place, endpoint.place), rank(item.id, endpoint.id))

    return max(gateways, key=order).id
