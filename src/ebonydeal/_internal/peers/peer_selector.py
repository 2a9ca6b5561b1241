"""Choice of the peer for the next gossip round; pure."""

import random
from collections.abc import Iterable
from typing import NamedTuple

from ebonydeal._internal.peers.membership import Membership

_JOIN_INTERVAL_ROUNDS = 8


class Target(NamedTuple):
    """A peer's address; the id is empty while it isn't known."""

    address: str
    member_id: str


def with_port(address: str, port: int) -> str:
    """Return ``host:port``; adds the port if it is missing."""
    return address if ":" in address else f"{address}:{port}"


class PeerSelector:
    """Chooses the peer of each round.

    Most rounds go to a random live member. Some go to an address without a known
    live member: a seed, one of the system's own instances from the instance list,
    or a member believed dead. This heals partitions and finds new processes.

    Parameters
    ----------
    seeds : str
        ``host:port``, comma separated.
    port : int
        Default port of addresses that name none.
    """

    def __init__(self, seeds: str, port: int) -> None:
        self._port = port
        parts = [part.strip() for part in seeds.split(",")]
        self._seeds = [with_port(part, port) for part in parts if part]
        self._listed: list[str] = []
        self._round = 0

    def set_listed(self, nodes: Iterable[tuple[str, str]]) -> None:
        """Set (node id, address) of the system's own instances in the instance list."""
        self._listed = [with_port(address, self._port) for _, address in nodes]

    def choose(self, membership: Membership, rng: random.Random) -> Target | None:
        """Return the next peer, or None if no other is known."""
        self._round += 1
        member = membership.random_live(rng)
        if member is None or self._round % _JOIN_INTERVAL_ROUNDS == 0:
            addresses = self._unknown_addresses(membership)
            if addresses:
                return Target(rng.choice(addresses), "")
        if member is None:
            return None
        return Target(member.address, member.id)

    def _unknown_addresses(self, membership: Membership) -> list[str]:
        """Return the addresses without a known live member, sorted."""
        known = {member.address for member in membership.live()}
        known.add(membership.own.address)
        dead = [member.address for member in membership.dead_members()]
        return sorted({*self._seeds, *self._listed, *dead} - known)
