"""Settings and process counts of the roles that the capacity model assumes."""

from typing import NamedTuple


class RolePlan(NamedTuple):
    """How the nodes are used at full size.

    Attributes
    ----------
    gateways, journals, controllers, consoles : int
        Processes of each program, one for each node; their sum is the node count.
    peer_period : float
        Seconds between gossip rounds, of ``[peers]``.
    list_period, load_period, events_period : float
        Seconds, of ``[directory]``.
    subset : int
        Endpoints that one gateway polls, of ``[routing]``.
    round_period, ask_period : float
        Seconds between rounds, and between polls of one replica's load, of
        ``[controller]``.
    config_poll_s : float
        Seconds between one process's polls of the configuration's head; all
        processes together make 50 a second, of ``[config]``.
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
    load_poll_period: float = 60.0
    config_poll_s: float = 7.0


FULL_PLAN = RolePlan()
