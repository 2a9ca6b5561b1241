"""What peers tell each other in a round, one topic for each kind of knowledge."""

from collections.abc import Callable
from typing import Any, Protocol

from ebonydeal._internal.directory.marks import MarkSet
from ebonydeal._internal.models.endpoints import LeavingMark
from ebonydeal._internal.peers.membership import Member, Membership
from ebonydeal._internal.utils.buckets import BucketHashes
from ebonydeal._internal.utils.clock import Clock

_DETAIL_ROUNDS = 4
MAX_ITEMS = 256


class Topic(Protocol):
    """One kind of knowledge that spreads by anti-entropy.

    Values are JSON. Calls don't block and don't raise on a peer's garbage:
    `payload_for` gives None and `receive` ignores it.
    """

    name: str

    def digest(self) -> Any:
        """Return a short summary of what is held."""

    def payload_for(self, peer_digest: Any) -> Any | None:
        """Return what the holder of digest ``peer_digest`` lacks; None if nothing."""

    def receive(self, payload: Any) -> None:
        """Take in what a peer's `payload_for` (or a push) gave."""


class HashedDigest:
    """Digest over bucket hashes.

    The hash over everything is always shown. Bucket hashes are costly, so they
    are shown for a few rounds after a difference only.
    """

    def __init__(self, hashes: BucketHashes) -> None:
        self._hashes = hashes
        self._detail_rounds = 0

    def build(self) -> dict[str, Any]:
        """Return the digest."""
        digest: dict[str, Any] = {"h": self._hashes.top()}
        if self._detail_rounds:
            digest["b"] = self._hashes.buckets()
        return digest

    def differing_buckets(self, peer_digest: Any) -> set[int]:
        """Return the buckets in which a peer with digest ``peer_digest`` differs.

        Empty when nothing differs, and also when the peer shows no details
        yet: it does after it has seen ours.
        """
        match peer_digest:
            case {"h": str(top)} if top == self._hashes.top():
                self._detail_rounds = max(0, self._detail_rounds - 1)
                return set()
            case {"b": list(buckets)}:
                self._detail_rounds = _DETAIL_ROUNDS
                return self._hashes.differing(buckets)
        self._detail_rounds = _DETAIL_ROUNDS
        return set()


def mark_to_wire(mark: LeavingMark) -> list[Any]:
    """Return the wire shape of a mark."""
    return list(mark)


def mark_from_wire(item: Any) -> LeavingMark | None:
    """Return the mark of a wire shape, or None for garbage."""
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
        What is held.
    mark : callable
        Takes in one mark (`Directory.mark`).
    """

    name = "marks"

    def __init__(self, marks: MarkSet, mark: Callable[[LeavingMark], bool]) -> None:
        self._marks = marks
        self._mark = mark
        self._digest = HashedDigest(marks.hashes)

    def digest(self) -> Any:
        """Return the hash over all marks, with bucket hashes when they help."""
        return self._digest.build()

    def payload_for(self, peer_digest: Any) -> Any | None:
        """Return the marks of the buckets that differ."""
        found = self._marks.in_buckets(self._digest.differing_buckets(peer_digest))
        return [mark_to_wire(mark) for mark in found[:MAX_ITEMS]] or None

    def receive(self, payload: Any) -> None:
        """Merge a list of marks."""
        for item in payload if isinstance(payload, list) else ():
            mark = mark_from_wire(item)
            if mark is not None:
                self._mark(mark)


class MembersTopic:
    """Membership; recent changes ride on each digest.

    Parameters
    ----------
    membership : Membership
        What is held.
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
        return [member.to_wire() for member in found[:MAX_ITEMS]] or None

    def receive(self, payload: Any) -> None:
        """Merge a list of members."""
        now = self._clock.now()
        for item in payload if isinstance(payload, list) else ():
            member = Member.from_wire(item)
            if member is not None:
                self._membership.merge(member, now)
