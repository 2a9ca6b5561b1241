"""What one relay knows: the configuration in force and the listed endpoints."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import EndpointProcess, Member, RouteTable
from ebonydeal._internal.models.rollouts import RolloutOrder
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.view.removed import RemovedEndpoints
from ebonydeal._internal.relay.view.versions import KnownVersions
from ebonydeal._internal.routing.placement.route_index import RouteIndex

logger = get_logger("relay.view")

# After an endpoint announces that it leaves, it may get new work for the time set by
# the deployment, less this margin: the announcement takes time to reach a relay, and a
# request to reach the endpoint, on busy instances a third of a second each.
_LAST_RESORT_MARGIN_S = 0.7
# An endpoint whose leave time is known gets no new work in its last moments.
_LEAVE_TIME_MARGIN_S = 0.1
# Entries that expired during an outage of the store are back within about two seconds
# after it, as the platform promises; one that is still missing then has left.
MISSING_GRACE_S = 1.9
# Changes that can be pushed as a delta: some minutes of a busy day.
_MAX_CHANGES = 1000


class MissingEntry(NamedTuple):
    """An entry that was removed, but may have expired in an outage of the store.

    ``version`` is the store's when it was removed. Its endpoint stays in use until
    ``until``, monotonic seconds, unless the entry returns.
    """

    version: int
    until: float


def _differs(known: Member, member: Member) -> bool:
    """Return whether a change of an entry is worth a log line."""
    return (known.leaving, known.unreadable, known.incarnation) != (
        member.leaving,
        member.unreadable,
        member.incarnation,
    )


class RelayView:
    """Configuration and endpoints; the highest known version is in force.

    Parameters
    ----------
    drain_s : float
        Seconds after which a leaving endpoint may get no new work.

    Attributes
    ----------
    last_resort_s : float
        Seconds after which a relay that read of it at once sends it no new requests.
    """

    def __init__(self, drain_s: float) -> None:
        self.last_resort_s = max(0.0, drain_s - _LAST_RESORT_MARGIN_S)
        self.index: RouteIndex | None = None
        self.members: dict[str, Member] = {}
        self.members_version = 0
        # Version of the last change of an entry; relays with the same list agree on it.
        self.last_change = 0
        self.members_known = False
        self._raw_table = b""
        self._by_service: dict[str, tuple[Member, ...]] = {}
        self.versions = KnownVersions()
        # Called with all orders of roll-outs when they, or their versions in the store,
        # have changed.
        self.on_orders: Callable[[dict[str, RolloutOrder]], None] = lambda _orders: None
        self._listed_orders: dict[str, RolloutOrder] = {}
        # Called when endpoints are withheld until more orders are read.
        self.on_orders_needed: Callable[[], None] = lambda: None
        # The store version up to which orders have to be read.
        self._orders_wanted_to = 0
        # Whether endpoints of a new version came since the last check of versions.
        self._has_new_versions = False
        # Endpoints withheld until more orders are read.
        self._awaiting_orders: frozenset[str] = frozenset()
        self._missing: dict[str, MissingEntry] = {}
        self._removed = RemovedEndpoints()
        # Whether entries of a restored store were left out until it has settled.
        self._has_unsettled = False
        # Whether the coordinator pushes deltas to this relay: its log has each change,
        # and the logs of hundreds of relays needn't repeat it.
        self.receives_deltas: Callable[[], bool] = lambda: False
        # Called with the id of a restarted endpoint, to drop what was learned of it.
        self.on_restart: Callable[[str], None] = lambda _endpoint_id: None
        # Complete lists that were applied, and removals of entries that this relay has
        # never known: what it knows of the time before may have gaps.
        self.complete_lists = 0
        self.unknown_removals = 0
        # The number of changes, and the changed ids in order, for deltas.
        self.changes = 0
        self._changed: deque[str] = deque(maxlen=_MAX_CHANGES)
        self._leaving_since: dict[str, float] = {}
        # Returns when a process announced that it leaves, or None.
        self.own_leaving_since: Callable[[EndpointProcess], float | None] = lambda _: (
            None
        )
        self._leave_times: dict[str, float] = {}

    @property
    def version(self) -> int:
        """Version of the configuration in force; -1 before the first."""
        return -1 if self.index is None else self.index.table.version

    @property
    def raw_table(self) -> bytes:
        """The configuration in force, as it was read."""
        return self._raw_table

    def apply_table(self, table: RouteTable, raw: bytes, source: str) -> bool:
        """Put a configuration in force; return whether it was newer."""
        if table.version <= self.version:
            return False
        self.index = RouteIndex(table)
        self._raw_table = raw
        logger.info(
            "Configuration in force.",
            version=table.version,
            routes=len(table.routes),
            accounts=len(table.accounts),
            source=source,
        )
        return True

    def apply_orders(
        self, orders: dict[str, RolloutOrder], read_to: int, source: str
    ) -> None:
        """Set all orders of roll-outs as of a version of the store."""
        self.versions.apply_orders(orders, read_to)
        listed = self.versions.listed_orders()
        if listed != self._listed_orders:
            logger.info(
                "Roll-out orders changed.",
                orders={s: [o.target_version, o.revision] for s, o in listed.items()},
                version=read_to,
                source=source,
            )
            self._listed_orders = listed
            self.on_orders(listed)
        self._regroup_withheld()

    def orders_unchanged(self, read_to: int) -> None:
        """Note that the store has no other orders up to a version."""
        self.versions.note_unchanged(read_to)
        self._regroup_withheld()

    def orders_read_to(self, read_to: int) -> None:
        """Note that another relay acts on all orders up to a version of the store."""
        self.versions.read_up_to(read_to)
        self._regroup_withheld()

    def has_orders(self, version: int) -> bool:
        """Return whether this relay read all orders up to a version of the store.

        If not, they are requested now.
        """
        if self.versions.as_of >= version:
            return True
        self._orders_wanted_to = version
        self.on_orders_needed()
        return False

    @property
    def waits_for_orders(self) -> bool:
        """Whether orders have to be read now."""
        return (
            bool(self._awaiting_orders) or self.versions.as_of < self._orders_wanted_to
        )

    def _regroup_withheld(self) -> None:
        """Admit endpoints that were withheld until orders were read."""
        if self._awaiting_orders:
            self._group_by_service()

    # --- endpoints -----------------------------------------------------------
    def of_service(self, service: str) -> Sequence[Member]:
        """Return the endpoints of a service that may get new work."""
        return self._by_service.get(service, ())

    def recently_leaving(self, service: str, now: float) -> list[tuple[Member, float]]:
        """Return endpoints that began to leave so recently that they may get new work.

        With each, the seconds for which it may still get new work.
        """
        found = []
        for endpoint_id, since in self._leaving_since.items():
            member = self.members[endpoint_id]
            if member.unreadable or endpoint_id in self._awaiting_orders:
                continue
            left = self.last_resort_s - (now - since)
            leave_time = self._leave_times.get(endpoint_id)
            if leave_time is not None:
                left = min(left, leave_time - now - _LEAVE_TIME_MARGIN_S)
            if member.service == service and left > 0.0:
                found.append((member, left))
        return found

    def may_get_requests(self, member: Member, now: float) -> bool:
        """Return whether a listed endpoint may get new work, leaving or not."""
        return member in self.of_service(member.service) or any(
            leaving.endpoint_id == member.endpoint_id
            for leaving, _left in self.recently_leaving(member.service, now)
        )

    def leaves_at(self, endpoint_id: str) -> float | None:
        """Return when an endpoint will have left, or None if unknown."""
        return self._leave_times.get(endpoint_id)

    def set_leave_time(self, endpoint_id: str, at: float) -> None:
        """Set the time at which an endpoint will have left."""
        if endpoint_id in self.members:
            self._leave_times[endpoint_id] = at
            self._record_change(endpoint_id)

    def leaving_age(self, endpoint_id: str, now: float) -> float | None:
        """Return the seconds since an endpoint announced that it leaves, if known."""
        since = self._leaving_since.get(endpoint_id)
        return None if since is None else now - since

    def listing_for_peers(self, endpoint_id: str, now: float) -> Member | None:
        """Return an endpoint's entry for deltas, with the time until it leaves."""
        member = self.members.get(endpoint_id)
        at = self._leave_times.get(endpoint_id)
        if member is None or at is None:
            return member
        return member._replace(leaves_in=round(max(0.0, at - now), 3))

    def put(self, member: Member, observed_at: float | None = None) -> None:
        """Add or update a listed endpoint; entries older than the known are ignored.

        ``observed_at`` is when the change was read from the store, if that is known.
        """
        known = self.members.get(member.endpoint_id)
        if known is not None and known.revision >= member.revision:
            if _differs(known, member):
                logger.info(
                    "Entry ignored, a newer one is known.",
                    endpoint=member.endpoint_id,
                    version=member.revision,
                    known_version=known.revision,
                    leaving=member.leaving,
                )
            return
        # The process often announces that it leaves before the list shows it.
        announced_at = (
            None if member.leaving else self.own_leaving_since(member.process)
        )
        if announced_at is not None:
            member = member._replace(leaving=True)
        if self._removed.is_outdated(member):
            self._has_unsettled |= self._removed.is_unsettled(member)
            return
        if known is not None and member.incarnation < known.incarnation:
            # A late entry of an endpoint that has restarted since.
            return
        if not member.leaving and self._said_leaving(known, member):
            # A late heartbeat: a process that leaves doesn't stay.
            logger.info(
                "Leaving endpoint listed as ready; not used.",
                endpoint=member.endpoint_id,
                version=member.revision,
            )
            member = member._replace(leaving=True)
        if known is not None and member.incarnation > known.incarnation:
            self._forget_restarted(known, member)
        if known is None or known.version != member.version:
            self._has_new_versions |= self.versions.note_listed(member)
        self.members[member.endpoint_id] = member
        self.last_change = max(self.last_change, member.revision)
        self._note_leaving(known, member, observed_at)
        if announced_at is not None:
            self._leaving_since.setdefault(member.endpoint_id, announced_at)
        self._missing.pop(member.endpoint_id, None)
        if known is None or _differs(known, member):
            self._log(
                "Endpoint listed.",
                endpoint=member.endpoint_id,
                service=member.service,
                zone=member.zone,
                leaving=member.leaving,
                leaves_in=member.leaves_in,
                reclaimable=member.reclaimable,
                withheld=member.unreadable,
                born=member.incarnation,
            )
        self._record_change(member.endpoint_id)

    def _said_leaving(self, known: Member | None, member: Member) -> bool:
        """Return whether an earlier entry of this process said that it leaves."""
        if known is None:
            return self._removed.said_leaving(member)
        return known.leaving and known.process == member.process

    def _log(self, event: str, **values: object) -> None:
        """Log a change of the list, if this relay read it from the store itself."""
        if not self.receives_deltas():
            logger.info(event, **values)

    def process_leaving(self, process: EndpointProcess) -> None:
        """Apply a process's announcement that it leaves; see `own_leaving_since`."""
        known = self.members.get(process.endpoint_id)
        since = self.own_leaving_since(process)
        if known is None or known.process != process or since is None:
            return
        before = self._leaving_since.get(process.endpoint_id)
        if not known.leaving:
            self.members[process.endpoint_id] = known._replace(leaving=True)
            self._leaving_since[process.endpoint_id] = since
            self._record_change(process.endpoint_id)
        elif before is not None:
            # The earlier of the list's entry and its announcement counts.
            self._leaving_since[process.endpoint_id] = min(before, since)

    def mark_unreadable(self, endpoint_id: str, version: int) -> None:
        """Give an endpoint no new work until its entry can be decoded again."""
        known = self.members.get(endpoint_id)
        if known is not None and not known.unreadable:
            self.put(known._replace(revision=version, unreadable=True))

    def _forget_restarted(self, known: Member, member: Member) -> None:
        """Forget what was learned of an endpoint before it restarted."""
        endpoint_id = member.endpoint_id
        self._leaving_since.pop(endpoint_id, None)
        self._leave_times.pop(endpoint_id, None)
        logger.info(
            "Endpoint started again.",
            endpoint=endpoint_id,
            born=member.incarnation,
            before=known.incarnation,
        )
        self.on_restart(endpoint_id)

    def _note_leaving(
        self, known: Member | None, member: Member, observed_at: float | None
    ) -> None:
        """Note since when an endpoint leaves, or that it no longer leaves."""
        endpoint_id = member.endpoint_id
        if not member.leaving:
            self._leaving_since.pop(endpoint_id, None)
            self._leave_times.pop(endpoint_id, None)
        elif observed_at is not None and known is not None and not known.leaving:
            self._leaving_since[endpoint_id] = observed_at

    def remove(self, endpoint_id: str, version: int) -> None:
        """Drop an endpoint that is no longer listed."""
        known = self.members.get(endpoint_id)
        if known is None and self._removed.version(endpoint_id) < 0:
            self.unknown_removals += 1
        self._removed.record(endpoint_id, version, known)
        if known is None or known.revision > version:
            return
        del self.members[endpoint_id]
        self.versions.forget(endpoint_id)
        self._leaving_since.pop(endpoint_id, None)
        self._leave_times.pop(endpoint_id, None)
        self.last_change = max(self.last_change, version)
        self._missing.pop(endpoint_id, None)
        self._log("Endpoint gone.", endpoint=endpoint_id, version=version)
        self._record_change(endpoint_id)

    def replace(
        self,
        members: Iterable[Member],
        version: int,
        missing_until: float | None = None,
    ) -> None:
        """Apply a complete list.

        Endpoints that it lacks are removed, or stay in use until ``missing_until``.
        """
        self.complete_lists += 1
        listed = list(members)
        for member in listed:
            self.put(member)
        present = {member.endpoint_id for member in listed}
        for endpoint_id in list(self.members):
            if endpoint_id in present:
                continue
            if missing_until is None:
                self.remove(endpoint_id, version)
            else:
                self.mark_missing(endpoint_id, version, missing_until)
        self.members_version = version
        self.members_known = True

    def settle(self, era: int) -> bool:
        """Trust the list of a restored store from now on.

        Returns whether entries were left out, so that it has to be read again.
        """
        self._removed.settle(era)
        left_out, self._has_unsettled = self._has_unsettled, False
        return left_out

    def mark_missing(self, endpoint_id: str, version: int, until: float) -> None:
        """Note that an entry was removed, but may return until a time."""
        known = self.members.get(endpoint_id)
        if known is None or known.leaving:
            self.remove(endpoint_id, version)
            return
        if known.revision > version or endpoint_id in self._missing:
            return
        self._missing[endpoint_id] = MissingEntry(version, until)
        self.last_change = max(self.last_change, version)
        self._log(
            "Entry missing after an outage; endpoint kept for now.",
            endpoint=endpoint_id,
            version=version,
        )
        self._record_change(endpoint_id)

    def missing(self, endpoint_id: str) -> MissingEntry | None:
        """Return the record of an endpoint's missing entry, None if it is listed."""
        return self._missing.get(endpoint_id)

    def expire(self, now: float) -> None:
        """Remove endpoints whose entries did not come back in time."""
        for endpoint_id, entry in list(self._missing.items()):
            if now >= entry.until:
                self.remove(endpoint_id, entry.version)

    def changed_since(self, changes: int) -> list[str] | None:
        """Return the endpoints changed since the change count was ``changes``.

        None if that is too long ago to know.
        """
        count = self.changes - changes
        if not 0 <= count <= len(self._changed):
            return None
        return list(dict.fromkeys(list(self._changed)[len(self._changed) - count :]))

    def removed_at(self, endpoint_id: str) -> int:
        """Return the version at which an endpoint was removed; -1 if it wasn't."""
        return self._removed.version(endpoint_id)

    def _record_change(self, endpoint_id: str) -> None:
        """Record a change, and group the endpoints by service again."""
        self.changes += 1
        self._changed.append(endpoint_id)
        self._group_by_service()

    def _group_by_service(self) -> None:
        """Group the endpoints that may get work by service."""
        if self._has_new_versions or self._awaiting_orders:
            # Not with each change, since thousands of entries may come in one burst.
            self._has_new_versions = False
            previous = self._awaiting_orders
            self._awaiting_orders = self.versions.update_withheld(self.members.values())
            if self._awaiting_orders - previous:
                self.on_orders_needed()
        grouped: dict[str, list[Member]] = {}
        for member in self.members.values():
            if member.leaving or member.unreadable:
                continue
            if member.endpoint_id not in self._awaiting_orders:
                grouped.setdefault(member.service, []).append(member)
        self._by_service = {name: tuple(items) for name, items in grouped.items()}
