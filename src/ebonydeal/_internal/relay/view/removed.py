"""Endpoints that are no longer listed, so that no late entry brings them back."""

from typing import NamedTuple

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.shared import era_of

# Entries older than the store's change history don't arrive any more.
_MAX_REMOVED = 1000


class _Removal(NamedTuple):
    """The store version at which an endpoint was removed, and its last process.

    ``leaving`` says that an entry of that process had said that it leaves.
    """

    version: int
    incarnation: int
    leaving: bool


_NEVER_REMOVED = _Removal(-1, 0, False)


class RemovedEndpoints:
    """The endpoints that were removed last."""

    def __init__(self) -> None:
        self._removals: dict[str, _Removal] = {}
        # Up to this era of the store, its lists are as they were before it came back.
        self._settled_era = 0

    def _get(self, endpoint_id: str) -> _Removal:
        return self._removals.get(endpoint_id, _NEVER_REMOVED)

    def record(self, endpoint_id: str, version: int, known: Member | None) -> None:
        """Record that an endpoint was removed; ``known`` is its entry until then."""
        before = self._removals.pop(endpoint_id, _NEVER_REMOVED)
        incarnation, leaving = before.incarnation, before.leaving
        if known is not None and known.incarnation >= incarnation:
            incarnation, leaving = known.incarnation, known.leaving
        self._removals[endpoint_id] = _Removal(
            max(version, before.version), incarnation, leaving
        )
        while len(self._removals) > _MAX_REMOVED:
            del self._removals[next(iter(self._removals))]

    def version(self, endpoint_id: str) -> int:
        """Return the version at which an endpoint was removed; -1 if it wasn't."""
        return self._get(endpoint_id).version

    def is_outdated(self, member: Member) -> bool:
        """Return whether an entry is older than the removal, or than its process."""
        removal = self._get(member.endpoint_id)
        return (
            member.revision <= removal.version
            or member.incarnation < removal.incarnation
            or self.is_unsettled(member)
        )

    def is_unsettled(self, member: Member) -> bool:
        """Return whether an entry may be older than the removal despite its version.

        A store that comes back from a copy lists endpoints again that left since.
        """
        removal = self._removals.get(member.endpoint_id)
        if removal is None or member.incarnation > removal.incarnation:
            return False
        known_era = max(era_of(removal.version), self._settled_era)
        return era_of(member.revision) > known_era

    def settle(self, era: int) -> None:
        """Trust the lists of a restored store from now on."""
        self._settled_era = max(self._settled_era, era)

    def said_leaving(self, member: Member) -> bool:
        """Return whether an earlier entry of a process said that it leaves."""
        removal = self._get(member.endpoint_id)
        return removal.leaving and member.incarnation == removal.incarnation
