"""Places: regions and availability zones."""

from enum import IntEnum
from typing import NamedTuple


class Place(NamedTuple):
    """Where a process or an endpoint runs.

    Attributes
    ----------
    region : str
        Region name, such as ``"wales"``.
    zone : str
        Availability zone name, unique over all regions.
    """

    region: str
    zone: str


class Distance(IntEnum):
    """Distance of two places."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


def distance(a: Place, b: Place) -> Distance:
    """Return the distance of ``a`` and ``b``."""
    if a.zone == b.zone:
        return Distance.SAME_ZONE
    if a.region == b.region:
        return Distance.SAME_REGION
    return Distance.OTHER_REGION
