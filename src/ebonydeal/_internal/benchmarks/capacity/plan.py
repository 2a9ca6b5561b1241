"""Settings and shares of roles that the full size is worked out with."""

from typing import NamedTuple


class RolePlan(NamedTuple):
    """How the nodes are used at full size.

    Attributes
    ----------
    gateways, journals, controllers, consoles : int
        Processes of each program; a node may run several.
    list_period, load_period, events_period : float
        Seconds, of ``[directory]``.
    subset : int
        Endpoints that one gateway watches, of ``[routing]``.
    renew_seconds : float
        Seconds between lease renewals, of ``[journal]``.
    round_period : float
        Seconds between rounds, of ``[controller]``.
    config_poll_s : float
        Seconds between looks at the configuration's head.
    push_fanout : int
        Peers that news is pushed to.
    """

    gateways: int = 350
    journals: int = 40
    controllers: int = 14
    consoles: int = 6
    list_period: float = 5.0
    load_period: float = 30.0
    events_period: float = 30.0
    subset: int = 64
    renew_seconds: float = 3.0
    round_period: float = 5.0
    config_poll_s: float = 1.75
    push_fanout: int = 8


FULL_PLAN = RolePlan()
