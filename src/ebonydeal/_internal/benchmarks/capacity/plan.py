"""Settings and shares of roles that the full size is worked out with."""

from typing import NamedTuple


class RolePlan(NamedTuple):
    """How the nodes are used at full size.

    Attributes
    ----------
    gateways, journals, controllers, consoles : int
        Processes of each program, one a node; together the nodes.
    peer_period : float
        Seconds between rounds, of ``[peers]``.
    list_period, load_period, events_period : float
        Seconds, of ``[directory]``.
    subset : int
        Endpoints that one gateway watches, of ``[routing]``.
    round_period, ask_period : float
        Seconds between rounds, and between questions for one replica's load, of
        ``[controller]``.
    config_poll_s : float
        Seconds between one process's looks at the configuration's head; 50 of
        all a second, of ``[config]``.
    """

    gateways: int = 264
    journals: int = 40
    controllers: int = 40
    consoles: int = 6
    peer_period: float = 2.0
    list_period: float = 15.0
    load_period: float = 120.0
    events_period: float = 120.0
    subset: int = 64
    round_period: float = 5.0
    ask_period: float = 60.0
    config_poll_s: float = 7.0


FULL_PLAN = RolePlan()
