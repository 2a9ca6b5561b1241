"""How many requests of a deployment one gateway may run at once; pure."""

from collections.abc import Sequence

from ebonydeal._internal.models.endpoints import EndpointView

# Engines batch continuously: a few requests queued there keep batches full.
_AHEAD_SHARE = 0.25
_SLOTS_UNKNOWN = 16


def capacity(views: Sequence[EndpointView], own: int) -> int:
    """Return the most own requests in flight at a deployment's endpoints.

    What the endpoints report beyond our own requests is other gateways' share.
    Each endpoint counts for at least one, so that a gateway which comes late
    to a full deployment still gets its turn.

    Parameters
    ----------
    views : sequence of EndpointView
        Endpoints that may get new work, with their lagging reports.
    own : int
        Own requests in flight now.
    """
    slots = 0
    reported = 0
    for view in views:
        if view.load is None:
            slots += _SLOTS_UNKNOWN
            continue
        slots += view.load.slots
        reported += view.load.running + view.load.waiting
    room = int(slots * (1.0 + _AHEAD_SHARE))
    others = max(0, reported - own)
    return max(len(views), room - others)
