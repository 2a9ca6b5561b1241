"""With whom the next round is held; pure."""

import random
from collections.abc import Iterable
from typing import NamedTuple

from ebonydeal._internal.peers.membership import Membership

_JOIN_EVERY = 8


class Target(NamedTuple):
    """A peer's address; the id is empty where it isn't known yet."""

    address: str
    member_id: str


def with_port(address: str, port: int) -> str:
    """Return ``host:port``; the port is added where it is missing."""
    return address if ":" in address else f"{address}:{port}"


class PeerSelector:
    """Chooses peers.

    Most rounds go to a random live member. Some go to an address where no live
    member is known: a seed, an own instance of the list, or a member believed
    dead. So partitions heal and new processes are met.

    Parameters
    ----------
    seeds : str
        ``host:port``, comma separated.
    port : int
        Used where an address names none.
    """

    def __init__(self, seeds: str, port: int) -> None:
        self._port = port
        parts = [part.strip() for part in seeds.split(",")]
        self._seeds = [with_port(part, port) for part in parts if part]
        self._listed: list[str] = []
        self._round = 0

    def set_listed(self, nodes: Iterable[tuple[str, str]]) -> None:
        """Take in (node id, address) of the own instances that are listed."""
        self._listed = [with_port(address, self._port) for _, address in nodes]

    def choose(self, membership: Membership, rng: random.Random) -> Target | None:
        """Return the next peer, or None if no other is known."""
        self._round += 1
        member = membership.random_live(rng)
        if member is None or self._round % _JOIN_EVERY == 0:
            strangers = self._strangers(membership)
            if strangers:
                return Target(rng.choice(strangers), "")
        if member is None:
            return None
        return Target(member.address, member.id)

    def _strangers(self, membership: Membership) -> list[str]:
        """Return the addresses at which no live member is known, sorted."""
        known = {member.address for member in membership.live()}
        known.add(membership.own.address)
        gone = [member.address for member in membership.dead_members()]
        return sorted({*self._seeds, *self._listed, *gone} - known)
