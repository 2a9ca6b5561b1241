"""Which versions of services this relay may send to, as far as orders tell.

The store counts all its writes with one counter. So a relay that has read the orders up
to an endpoint's first entry knows every order that was given before that endpoint came;
until then an endpoint of a version not seen before may belong to a roll-out that this
relay hasn't heard of, and gets nothing.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.rollouts import RolloutOrder


class KnownVersions:
    """Versions by service, and the orders as last heard."""

    def __init__(self) -> None:
        self.orders: dict[str, RolloutOrder] = {}
        # Up to this version of the store the orders are known.
        self.read_to = 0
        # The same of what this relay read itself; others tell how far they read, and
        # not each order.
        self.as_of = 0
        self._familiar: dict[str, set[str]] = {}
        # The version of the store at which each endpoint was first listed.
        self._first: dict[str, int] = {}

    def apply_orders(self, orders: Mapping[str, RolloutOrder], read_to: int) -> None:
        """Take all orders as of a version of the store; older news are left out."""
        if read_to >= self.as_of:
            self.orders, self.as_of = dict(orders), read_to
            self.read_up_to(read_to)

    def unchanged(self, read_to: int) -> None:
        """Note that the store has no other orders up to a version."""
        self.as_of = max(self.as_of, read_to)
        self.read_up_to(read_to)

    def read_up_to(self, read_to: int) -> None:
        """Note that another relay acts on all orders up to a version of the store."""
        self.read_to = max(self.read_to, read_to)

    def listed(self, member: Member) -> bool:
        """Note an endpoint that came, or came anew; return whether its version is news.

        Thousands come at once: those of a known version cost one look-up each.
        """
        self._first.setdefault(member.endpoint_id, member.revision)
        return member.version not in self._familiar.get(member.service, ())

    def gone(self, endpoint_id: str) -> None:
        """Forget an endpoint that left."""
        self._first.pop(endpoint_id, None)

    def first_listed(self, endpoint_id: str) -> int:
        """Return the version of the store at which an endpoint was first listed."""
        return self._first.get(endpoint_id, 0)

    def admitted(self, service: str) -> frozenset[str]:
        """Return the versions that are no news."""
        return frozenset(self._familiar.get(service, ()))

    def withheld(self, members: Iterable[Member]) -> frozenset[str]:
        """Return the endpoints that get nothing until orders are read further."""
        by_service: dict[str, list[Member]] = {}
        present = {}
        for member in members:
            by_service.setdefault(member.service, []).append(member)
            present[member.endpoint_id] = self._first.get(
                member.endpoint_id, member.revision
            )
        self._first = present
        held: set[str] = set()
        for service, listed in by_service.items():
            known = self._familiar.setdefault(service, set())
            if not known:
                # Nothing was listed before: most of them are the service's own.
                counts = Counter(member.version for member in listed)
                known.add(min(counts, key=lambda v: (-counts[v], v)))
            for member in listed:
                if member.version in known:
                    continue
                if present[member.endpoint_id] <= self.read_to:
                    known.add(member.version)
                else:
                    held.add(member.endpoint_id)
        return frozenset(held)
