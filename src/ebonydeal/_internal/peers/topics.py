"""Gossip topics: each spreads one kind of data in the rounds between peers."""

from collections.abc import Callable
from typing import Any, Protocol

from ebonydeal._internal.directory.marks import MarkSet
from ebonydeal._internal.models.endpoints import LeavingMark
from ebonydeal._internal.peers.membership import Member, Membership
from ebonydeal._internal.utils.buckets import BucketHashes
from ebonydeal._internal.utils.clock import Clock

_DETAIL_ROUNDS = 4
MAX_PAYLOAD_ITEMS = 256


class Topic(Protocol):
    """One kind of data that spreads by anti-entropy.

    Values are JSON. Calls neither block nor raise on malformed data of a peer:
    `payload_for` returns None and `receive` ignores it.
    """

    name: str

    def digest(self) -> Any:
        """Return a short summary of the data held."""

    def payload_for(self, peer_digest: Any) -> Any | None:
        """Return what a peer with this digest lacks; None if nothing."""

    def receive(self, payload: Any) -> None:
        """Merge a payload from a peer's `payload_for` or push."""


class HashedDigest:
    """Digest over bucket hashes.

    It always contains the hash over everything. Bucket hashes are large, so it
    contains them only for a few rounds after a difference.
    """

    def __init__(self, hashes: BucketHashes) -> None:
        self._hashes = hashes
        self._detail_rounds = 0

    def build(self) -> dict[str, Any]:
        """Return the digest."""
        digest: dict[str, Any] = {"h": self._hashes.root_hash()}
        if self._detail_rounds:
            digest["b"] = self._hashes.buckets()
        return digest

    def differing_buckets(self, peer_digest: Any) -> set[int]:
        """Return the buckets in which a peer with this digest differs.

        Empty if nothing differs, and also if the peer sent no bucket hashes yet:
        it sends them after it has seen our digest.
        """
        match peer_digest:
            case {"h": str(top)} if top == self._hashes.root_hash():
                self._detail_rounds = max(0, self._detail_rounds - 1)
                return set()
            case {"b": list(buckets)}:
                self._detail_rounds = _DETAIL_ROUNDS
                return self._hashes.differing_buckets(buckets)
        self._detail_rounds = _DETAIL_ROUNDS
        return set()


def mark_to_wire(mark: LeavingMark) -> list[Any]:
    """Return the wire shape of a mark."""
    return list(mark)


def mark_from_wire(item: Any) -> LeavingMark | None:
    """Return the mark of a wire shape, or None if it is malformed."""
    match item:
        case [
            str(i),
            int(n),
            str(z),
            float() | int() as d,
            str(s),
            float() | int() as at,
        ]:
            return LeavingMark(i, n, z, float(d), s, float(at))
    return None


class MarksTopic:
    """Leaving marks.

    Parameters
    ----------
    marks : MarkSet
        The marks that this process holds.
    mark : callable
        Called with each received mark (`Directory.mark`).
    """

    name = "marks"

    def __init__(self, marks: MarkSet, mark: Callable[[LeavingMark], bool]) -> None:
        self._marks = marks
        self._mark = mark
        self._digest = HashedDigest(marks.hashes)

    def digest(self) -> Any:
        """Return the hash over all marks, with bucket hashes after a difference."""
        return self._digest.build()

    def payload_for(self, peer_digest: Any) -> Any | None:
        """Return the marks of the buckets that differ."""
        found = self._marks.in_buckets(self._digest.differing_buckets(peer_digest))
        return [mark_to_wire(mark) for mark in found[:MAX_PAYLOAD_ITEMS]] or None

    def receive(self, payload: Any) -> None:
        """Merge a list of marks."""
        for item in payload if isinstance(payload, list) else ():
            mark = mark_from_wire(item)
            if mark is not None:
                self._mark(mark)


class MembersTopic:
    """Membership; each digest also carries recent changes.

    Parameters
    ----------
    membership : Membership
        The members that this process knows.
    clock : Clock
        For the age of suspicions.
    """

    name = "members"

    def __init__(self, membership: Membership, clock: Clock) -> None:
        self._membership = membership
        self._clock = clock
        self._digest = HashedDigest(membership.hashes)

    def digest(self) -> Any:
        """Return the hash over the live members and the recent changes."""
        digest = self._digest.build()
        updates = self._membership.updates()
        if updates:
            digest["u"] = [member.to_wire() for member in updates]
        return digest

    def payload_for(self, peer_digest: Any) -> Any | None:
        """Return the members of the buckets that differ."""
        if isinstance(peer_digest, dict):
            self.receive(peer_digest.get("u"))
        found = self._membership.in_buckets(self._digest.differing_buckets(peer_digest))
        return [member.to_wire() for member in found[:MAX_PAYLOAD_ITEMS]] or None

    def receive(self, payload: Any) -> None:
        """Merge a list of members."""
        now = self._clock.now()
        for item in payload if isinstance(payload, list) else ():
            member = Member.from_wire(item)
            if member is not None:
                self._membership.merge(member, now)
