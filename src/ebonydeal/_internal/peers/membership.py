"""Membership of the system's own processes, agreed by gossip; pure.

States of a member are ordered by (incarnation, heartbeat, status), and the highest
wins, so they may arrive late, twice and in any order. Only the member itself raises
its heartbeat, to refute a suspicion. A process that restarts under the same id has
a higher incarnation.
"""

import math
import random
from collections.abc import Iterable
from enum import IntEnum
from typing import Any, NamedTuple

from ebonydeal._internal.utils.buckets import BucketHashes, bucket_of

_MAX_UPDATES_PER_MESSAGE = 8
_RETRANSMIT_FACTOR = 2
_MAX_MEMBERS = 10_000


class MemberStatus(IntEnum):
    """Believed status of a member; the higher one wins at the same heartbeat."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2
    DEAD = 3


class Member(NamedTuple):
    """One process of the system.

    Attributes
    ----------
    id : str
        Node id.
    incarnation : int
        Grows with each start of the same id.
    heartbeat : int
        Raised by the member itself to refute a suspicion.
    status : MemberStatus
        Status as this process believes it.
    address : str
        ``host:port`` of its peer listener.
    region, zone : str
        Where it runs.
    roles : tuple of str
        Programs it runs, such as ``"gateway"``.
    """

    id: str
    incarnation: int
    heartbeat: int
    status: MemberStatus
    address: str
    region: str
    zone: str
    roles: tuple[str, ...]

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key: of two states of a member, the higher one is the later one."""
        return (self.incarnation, self.heartbeat, int(self.status))

    def to_wire(self) -> list[Any]:
        """Return the wire shape."""
        return [*self[:3], int(self.status), *self[4:7], list(self.roles)]

    @classmethod
    def from_wire(cls, item: Any) -> "Member | None":
        """Return the member of a wire shape, or None if it is malformed."""
        match item:
            case [str(i), int(n), int(h), int(s), str(a), str(r), str(z), list(roles)]:
                known = 0 <= s <= max(MemberStatus)
                if not i or not known or not all_text(roles):
                    return None
                return cls(i, n, h, MemberStatus(s), a, r, z, tuple(roles))
        return None


def all_text(items: list[Any]) -> bool:
    """Return whether every item is a string."""
    return all(isinstance(item, str) for item in items)


class MembershipTimeouts(NamedTuple):
    """How long states are held, in seconds.

    Attributes
    ----------
    period : float
        Time between rounds of one node.
    min_suspicion : float
        Minimum time between suspicion and removal; longer with many members, since
        the suspicion has to reach the member and its refutation has to come back.
    dead_retention : float
        How long a dead member is remembered, so that late states don't revive it,
        and so that it is contacted again after a partition and learns what it has
        to refute.
    """

    period: float = 1.0
    min_suspicion: float = 5.0
    dead_retention: float = 600.0


class Membership:
    """The members that one process knows, itself included.

    Parameters
    ----------
    own : Member
        The process itself.
    times : MembershipTimeouts, optional
        How long states are held.
    known : iterable of Member
        Members that all processes know already, so they aren't sent as updates.
    """

    def __init__(
        self,
        own: Member,
        times: MembershipTimeouts | None = None,
        known: Iterable[Member] = (),
    ) -> None:
        self.own = own
        self._times = times or MembershipTimeouts()
        self._members: dict[str, Member] = {}
        self._since: dict[str, float] = {}
        self._updates: dict[str, int] = {}
        self.hashes = BucketHashes()
        for member in known:
            self._put(member, 0.0)
        self._updates.clear()
        self._put(own, 0.0)

    # --- reading ---------------------------------------------------------------
    def live(self) -> list[Member]:
        """Return the other members that are alive or suspected."""
        return [
            member
            for member in self._members.values()
            if member.status <= MemberStatus.SUSPECT and member.id != self.own.id
        ]

    def dead_members(self) -> list[Member]:
        """Return members believed dead; a partition may hide them."""
        return [m for m in self._members.values() if m.status is MemberStatus.DEAD]

    def get(self, member_id: str) -> Member | None:
        """Return the known state of a member."""
        return self._members.get(member_id)

    def random_live(self, rng: random.Random) -> Member | None:
        """Return a random live member."""
        live = self.live()
        return rng.choice(live) if live else None

    def suspicion_timeout(self) -> float:
        """Return seconds between suspicion and removal at the current group size."""
        spread = math.log2(len(self.hashes) + 1)
        return max(self._times.min_suspicion, 2.0 * self._times.period * spread)

    # --- changes -----------------------------------------------------------------
    def merge(self, member: Member, now: float) -> bool:
        """Merge a member's state; return whether it changed anything."""
        if member.id == self.own.id:
            return self._merge_own(member, now)
        known = self._members.get(member.id)
        if known is None and self._ignores_unknown(member):
            return False
        if known is not None and member.order <= known.order:
            return False
        self._put(member, now)
        return True

    def record_unreachable(self, member_id: str, now: float) -> bool:
        """Suspect an unreachable member; return whether it wasn't suspected before."""
        member = self._members.get(member_id)
        if member is None or member.status is not MemberStatus.ALIVE:
            return False
        return self.merge(member._replace(status=MemberStatus.SUSPECT), now)

    def set_address(self, address: str, now: float) -> None:
        """Set the address at which this process listens, before others know it."""
        self.own = self.own._replace(address=address)
        self._put(self.own, now)

    def leave(self, now: float) -> None:
        """Announce that this process is stopping on purpose."""
        self.own = self.own._replace(status=MemberStatus.LEFT)
        self._put(self.own, now)

    def tick(self, now: float) -> list[Member]:
        """Declare suspects dead after their timeout; return the newly dead."""
        dead = []
        for member in list(self._members.values()):
            age = now - self._since[member.id]
            if (
                member.status is MemberStatus.SUSPECT
                and age >= self.suspicion_timeout()
            ):
                lost = member._replace(status=MemberStatus.DEAD)
                self._put(lost, now)
                dead.append(lost)
            elif member.status > MemberStatus.SUSPECT and self._is_expired(member, age):
                self._drop(member.id)
        return dead

    # --- gossip --------------------------------------------------------------------
    def updates(self) -> list[Member]:
        """Return the least often sent recent changes; each is sent a few times only."""
        limit = _RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._members) + 1))
        chosen = sorted(self._updates, key=lambda it: (self._updates[it], it))
        chosen = chosen[:_MAX_UPDATES_PER_MESSAGE]
        for member_id in chosen:
            self._updates[member_id] += 1
            if self._updates[member_id] >= limit:
                del self._updates[member_id]
        return [self._members[member_id] for member_id in chosen]

    def in_buckets(self, buckets: Iterable[int]) -> list[Member]:
        """Return the members in these hash buckets, also dead ones."""
        wanted = set(buckets)
        return [it for it in self._members.values() if bucket_of(it.id) in wanted]

    def _is_expired(self, member: Member, age: float) -> bool:
        return member.id != self.own.id and age >= self._times.dead_retention

    def _ignores_unknown(self, member: Member) -> bool:
        """Return whether to ignore a member that was unknown: dead, or one too many."""
        return member.status > MemberStatus.SUSPECT or (
            len(self._members) >= _MAX_MEMBERS
        )

    def _merge_own(self, received: Member, now: float) -> bool:
        """Refute a wrong state of this process that others believe."""
        if received.order <= self.own.order or self.own.status is MemberStatus.LEFT:
            return False
        if received.incarnation > self.own.incarnation:
            self.own = self.own._replace(
                incarnation=received.incarnation + 1, heartbeat=0
            )
        else:
            self.own = self.own._replace(heartbeat=received.heartbeat + 1)
        self._put(self.own, now)
        return True

    def _put(self, member: Member, now: float) -> None:
        self._members[member.id] = member
        self._since[member.id] = now
        self._updates[member.id] = 0
        if member.status <= MemberStatus.SUSPECT:
            self.hashes.put(member.id, repr(member.to_wire()))
        else:
            self.hashes.drop(member.id)

    def _drop(self, member_id: str) -> None:
        del self._members[member_id]
        del self._since[member_id]
        self._updates.pop(member_id, None)
