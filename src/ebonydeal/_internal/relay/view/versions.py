"""Versions of services to which this relay may send, given the orders it has read.

The store numbers all its writes with one counter. So a relay that has read the orders
up to an endpoint's first entry knows every order that precedes that endpoint. Until
then an endpoint of a new version may belong to a roll-out that this relay doesn't know,
and gets no requests.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.rollouts import RolloutOrder


class KnownVersions:
    """Admitted versions by service, and the last known orders."""

    def __init__(self) -> None:
        # Each order under the version by which this relay first read it.
        self.orders: dict[str, RolloutOrder] = {}
        # Versions under which a restored store lists orders of an earlier era.
        self._relisted: dict[str, int] = {}
        # Orders are known up to this version of the store, here or at another relay.
        self.read_to = 0
        # Up to here this relay has read the orders itself; other relays only report
        # how far they have read, not each order.
        self.as_of = 0
        self._admitted: dict[str, set[str]] = {}
        # The version of the store at which each endpoint was first listed.
        self._first_listed_at: dict[str, int] = {}

    def apply_orders(self, orders: Mapping[str, RolloutOrder], read_to: int) -> None:
        """Set all orders as of a version of the store; older ones are ignored."""
        if read_to >= self.as_of:
            self._relisted = {
                service: version
                for service, version in self._relisted.items()
                if orders.get(service) == self.orders.get(service)
            }
            self.orders, self.as_of = dict(orders), read_to
            self.read_up_to(read_to)

    def listed_orders(self) -> dict[str, RolloutOrder]:
        """Return the orders under the versions by which the store lists them now."""
        return {
            service: order._replace(
                revision=self._relisted.get(service, order.revision)
            )
            for service, order in self.orders.items()
        }

    def relist(self, order: RolloutOrder) -> RolloutOrder | None:
        """Return the known order if this is the same one in a restored store.

        None for another order, or one that was given again.
        """
        known = self.orders.get(order.service)
        if known is None or not order.is_same(known):
            return None
        listed_at = self._relisted.get(order.service, known.revision)
        if not order.is_same(known._replace(revision=listed_at)):
            return None
        if order.revision != known.revision:
            self._relisted[order.service] = order.revision
        return known

    def note_unchanged(self, read_to: int) -> None:
        """Note that the store has no other orders up to a version."""
        self.as_of = max(self.as_of, read_to)
        self.read_up_to(read_to)

    def read_up_to(self, read_to: int) -> None:
        """Note that another relay acts on all orders up to a version of the store."""
        self.read_to = max(self.read_to, read_to)

    def note_listed(self, member: Member) -> bool:
        """Note a new or changed endpoint; return whether its version must be admitted.

        Thousands come at once: those of an admitted version cost one look-up each.
        """
        self._first_listed_at.setdefault(member.endpoint_id, member.revision)
        return member.version not in self._admitted.get(member.service, ())

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that left."""
        self._first_listed_at.pop(endpoint_id, None)

    def first_listed(self, endpoint_id: str) -> int:
        """Return the version of the store at which an endpoint was first listed."""
        return self._first_listed_at.get(endpoint_id, 0)

    def admitted(self, service: str) -> frozenset[str]:
        """Return the versions of a service that may get requests."""
        return frozenset(self._admitted.get(service, ()))

    def update_withheld(self, members: Iterable[Member]) -> frozenset[str]:
        """Return the endpoints that get no requests until more orders are read."""
        by_service: dict[str, list[Member]] = {}
        present = {}
        for member in members:
            by_service.setdefault(member.service, []).append(member)
            present[member.endpoint_id] = self._first_listed_at.get(
                member.endpoint_id, member.revision
            )
        self._first_listed_at = present
        withheld: set[str] = set()
        for service, listed in by_service.items():
            known = self._admitted.setdefault(service, set())
            if not known:
                # The first list of this service: its most common version is current.
                counts = Counter(member.version for member in listed)
                known.add(min(counts, key=lambda v: (-counts[v], v)))
            for member in listed:
                if member.version in known:
                    continue
                if present[member.endpoint_id] <= self.read_to:
                    known.add(member.version)
                else:
                    withheld.add(member.endpoint_id)
        return frozenset(withheld)
