"""Tells relays which software version began a stream, so that any can continue it.

A client comes back to any relay, often because its first one is gone. While a service
has endpoints of several versions, each relay reports the streams that it begins to two
others, beside their first events. A relay where a client resumes a stream asks all
others. If none knows, the stream isn't resumed: a refusal mixes nothing.

The versions that services have had are stored with the lease as well, so that relays
that start know them after the loss of all others.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Set
from typing import Any, NamedTuple, NotRequired, Protocol, TypedDict

from xxhash import xxh3_64_intdigest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import RouteTable
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.placement.stream_versions import (
    StreamStart,
    StreamStarts,
    VersionHistory,
)
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.versions")

STREAM_STARTS = "/relay/v1/stream-starts"
STREAM_VERSION = "/relay/v1/stream-version"
# Other relays that get each report, so that the version of a stream outlives its relay.
_REPORT_COPIES = 2
# Relays that are tried, where some can't be reached.
_MAX_TRIED = 6
_REPORT_TIMEOUT_S = 0.3
# A reply takes a few milliseconds, or a third of a second from a busy instance; the
# client waits for it.
_ASK_TIMEOUT_S = 0.5
# A relay that didn't take a report gets no other one for this long.
_AVOID_S = 2.0
# Reports are collected for this long, so that a relay among hundreds sends eight calls
# a second for them and one among ten loses few of its latest streams.
_MIN_REPORT_INTERVAL_S = 0.05
_REPORT_INTERVAL_PER_RELAY_S = 0.0007
_FOLLOW_INTERVAL_S = 0.25
# A reply of the store takes some milliseconds, and polls are this far apart at most.
_READ_TIMEOUT_S = 0.4
# A list that wasn't read for longer may lack a version. A relay that gets its changes
# from the coordinator knows of the last 1.5 s only after its next report, and reports
# every second or so.
_MAX_LIST_AGE_S = 4.0
# Time for which a client may come back after its last attempt has ended.
_RETURN_S = 2.0
_LOAD_RETRY_INTERVAL_S = 0.5
# Lifetime of streams while no configuration is known.
_DEFAULT_LIFETIME_S = 30.0


class StartsMessage(TypedDict):
    """Streams that began: each as request, service, version, seconds until it ends."""

    starts: list[list]


class VersionMessage(TypedDict):
    """A stream: the client's request that brought its first event, and its service."""

    request: str
    service: str


class VersionReply(TypedDict):
    """The version that began the stream, None if unknown, and all that may have.

    ``complete_age`` are the seconds since the sender knew each version of a stream's
    lifetime, None if it didn't. Relays of the previous release read ``complete``
    instead, and don't send the age.
    """

    version: str | None
    versions: list[str]
    complete: NotRequired[bool]
    complete_age: NotRequired[float | None]


class EndpointList(Protocol):
    """How up to date this relay's list of endpoints is.

    Attributes
    ----------
    read_until : float or None
        Until when it has each change, monotonic seconds.
    """

    read_until: float | None

    async def read_since(self, since: float, timeout: float) -> bool:
        """Read all changes made until ``since``; return whether that took effect."""


class SharingParts(NamedTuple):
    """The dependencies of `StreamVersions`.

    ``others`` returns the addresses of the other relays, ``knows_others`` whether these
    are all. ``endpoint_list`` returns the list of endpoints. ``node`` is this relay's
    id.
    """

    view: RelayView
    client: PeerClient
    others: Callable[[], list[str]]
    knows_others: Callable[[], bool]
    metrics: Metrics
    clock: Clock
    endpoint_list: Callable[[], EndpointList]
    node: str


class StreamVersions(SupervisedService):
    """Knows, together with the other relays, which version began each stream."""

    def __init__(self, parts: SharingParts) -> None:
        super().__init__()
        self._parts = parts
        self._starts = StreamStarts()
        self._history = VersionHistory(_DEFAULT_LIFETIME_S)
        self._unreported: asyncio.Queue[StreamStart] = asyncio.Queue()
        self._avoid_until: dict[str, float] = {}
        self._seen_changes = -1
        self._seen_complete_lists = self._seen_unknown_removals = 0
        # Whether streams are reported since the list alone doesn't show their version.
        self._reports_all = False
        self._listed: dict[str, set[str]] = {}
        # Reads the stored versions and restores them; raises if the store fails.
        self.load_history: Callable[[], Awaitable[None]] = _load_nothing
        # Called when a service has got a second version.
        self.on_second_version: Callable[[], None] = lambda: None

    # --- streams of this relay -------------------------------------------------------
    def record_start(
        self, request_id: str, service: str, version: str, timeout_s: float
    ) -> None:
        """Record the first event of a stream, whose request has a timeout."""
        now = self._parts.clock.now()
        start = StreamStart(request_id, service, version, now + timeout_s + _RETURN_S)
        self._note_version(service, version, now)
        self._starts.record(start)
        if self._reports_all or len(self._history.versions(service, now)) > 1:
            self._unreported.put_nowait(start)

    async def find_version(
        self, request_id: str, first_attempt: str, service: str
    ) -> str:
        """Return the version that began a stream; raises STREAM_VERSION_UNKNOWN.

        ``first_attempt`` is the client's request that brought the first event.
        """
        now = self._parts.clock.now()
        self._parts.metrics.count(Event.STREAMS_RESUMED_BY_CLIENTS)
        version = self._starts.version(first_attempt, now)
        source = "this relay"
        is_read = False
        if version is None:
            # The stream began before now, at an endpoint that was listed by then.
            is_read = await self._read_list(service, now)
            version = self._history.sole_version(service, now) if is_read else None
            source = "only version"
        if version is None:
            version = await self._ask_all(first_attempt, service, is_read)
            source = "other relays"
        read_until = self._parts.endpoint_list().read_until
        logger.info(
            "Client resumes a stream.",
            request=request_id,
            first_attempt=first_attempt,
            service=service,
            version=version,
            source=source,
            noted=sorted(self._history.versions(service, now)),
            complete=self._history.is_complete(now),
            is_read=is_read,
            list_age_s=None if read_until is None else round(now - read_until, 3),
        )
        if version is None:
            detail = (
                f"no relay knows which version of {service} began {first_attempt!r}"
            )
            raise EbonydealError(ErrorKind.STREAM_VERSION_UNKNOWN, detail)
        return version

    async def _read_list(self, service: str, since: float) -> bool:
        """Return whether this relay knows all versions listed until ``since``.

        Not needed, and False, for a service that is known to have several.
        """
        self._note_list()
        if len(self._history.versions(service, since)) > 1:
            return False
        endpoint_list = self._parts.endpoint_list()
        is_read = await endpoint_list.read_since(since, _READ_TIMEOUT_S)
        self._note_list()
        return is_read

    async def _ask_all(
        self, request_id: str, service: str, is_read: bool
    ) -> str | None:
        """Return the version that began a stream by the other relays, None if unknown.

        Where nobody knows, it is the only version that any relay has seen during the
        stream's lifetime, provided that all have replied, this one's list ``is_read``
        until now, and one has seen each version of the time before that.
        """
        message = VersionMessage(request=request_id, service=service)
        asked = [
            asyncio.ensure_future(self._ask(address, message))
            for address in self._parts.others()
        ]
        now = self._parts.clock.now()
        possible = set(self._history.versions(service, now))
        possible |= self._listed_versions().get(service, set())
        all_replied = is_read and self._parts.knows_others()
        is_complete = self._history.is_complete(now)
        try:
            for reply in asyncio.as_completed(asked):
                got = await reply
                if got is None:
                    all_replied = False
                    continue
                if got["version"] is not None:
                    return got["version"]
                possible.update(got["versions"])
                is_complete = is_complete or self._covers(got, now)
        finally:
            for task in asked:
                task.cancel()
        is_sole = all_replied and is_complete and len(possible) == 1
        return possible.pop() if is_sole else None

    def _covers(self, reply: VersionReply, asked_at: float) -> bool:
        """Return whether another relay has seen the versions before this one did."""
        age, known_since = reply.get("complete_age"), self._history.known_since
        if age is None or known_since is None:
            return False
        return asked_at - age >= known_since

    async def _ask(self, address: str, message: VersionMessage) -> VersionReply | None:
        """Return another relay's reply; None if there is none, though it may know."""
        try:
            reply = await self._parts.client.call(
                address, STREAM_VERSION, message, _ASK_TIMEOUT_S
            )
        except EbonydealError as exc:
            # Its process has ended, or is of the previous release.
            knows_nothing = exc.kind in (ErrorKind.CONNECT_FAILED, ErrorKind.NOT_FOUND)
            return VersionReply(version=None, versions=[]) if knows_nothing else None
        return VersionReply(
            version=reply.get("version"),
            versions=list(reply.get("versions", [])),
            complete_age=reply.get("complete_age"),
        )

    # --- calls of other relays -------------------------------------------------------
    def receive_starts(self, message: StartsMessage) -> dict[str, Any]:
        """Record streams that another relay began."""
        now = self._parts.clock.now()
        for request_id, service, version, seconds in message["starts"]:
            until = now + float(seconds)
            start = StreamStart(str(request_id), str(service), str(version), until)
            self._note_version(start.service, start.version, now)
            self._starts.record(start)
        return {}

    def answer(self, message: VersionMessage) -> VersionReply:
        """Answer another relay at which a client resumes a stream."""
        now, service = self._parts.clock.now(), str(message["service"])
        self._note_list()
        history = self._history
        age = max(0.0, now - history.read_until)
        return VersionReply(
            version=self._starts.version(str(message["request"]), now),
            versions=sorted(history.versions(service, now)),
            complete=history.is_complete(now),
            complete_age=round(age, 3) if history.is_gapless(now) else None,
        )

    # --- versions of services --------------------------------------------------------
    def noted_versions(self) -> dict[str, list[str]]:
        """Return the versions of each service that a stream may have begun at."""
        versions = self._history.all_versions(self._parts.clock.now())
        return {service: sorted(names) for service, names in versions.items()}

    def restore_versions(self, versions: dict[str, list[str]]) -> None:
        """Go on from the versions that the last holder of the lease noted."""
        self._history.restore(versions, self._parts.clock.now())
        logger.info("Versions of services restored.", versions=versions)

    @supervised_task
    async def _load_history(self) -> None:
        """Read what the holders of the lease have noted until now."""
        while not self.should_stop:
            try:
                await self.load_history()
            except EbonydealError as exc:
                logger.info("Versions of services not read.", reason=str(exc))
                await self._parts.clock.sleep(_LOAD_RETRY_INTERVAL_S)
                continue
            return

    @supervised_task
    async def _follow_list(self) -> None:
        while not self.should_stop:
            self._note_list()
            self._starts.expire(self._parts.clock.now())
            await self._parts.clock.sleep(_FOLLOW_INTERVAL_S)

    def _note_list(self) -> None:
        """Note the listed versions, and report streams once there are several."""
        view, now = self._parts.view, self._parts.clock.now()
        if view.index is not None:
            self._history.lifetime_s = _lifetime_s(view.index.table)
        read_until = self._parts.endpoint_list().read_until
        if view.members_known and read_until is not None:
            is_continuous = view.complete_lists == self._seen_complete_lists
            self._seen_complete_lists = view.complete_lists
            self._report_all(
                self._history.update(
                    self._listed_versions(), now, read_until, is_continuous
                )
            )
        if view.unknown_removals != self._seen_unknown_removals:
            self._seen_unknown_removals = view.unknown_removals
            self._history.restart()
            logger.info("Versions may have been missed.", read_until=read_until)
        self._check_reports(now)

    def _check_reports(self, now: float) -> None:
        """Report streams while the list alone wouldn't show which version began them.

        A relay that ends then would take that knowledge with it.
        """
        history = self._history
        is_current = now - history.read_until <= _MAX_LIST_AGE_S
        needed = not (history.is_gapless(now) and is_current)
        if needed and not self._reports_all:
            for start in self._starts.all(now):
                self._unreported.put_nowait(start)
        self._reports_all = needed

    def _note_version(self, service: str, version: str, now: float) -> None:
        """Note that a service has a version, which its list may not show yet."""
        if self._history.note(service, [version], now):
            self._report_all({service})

    def _report_all(self, services: Set[str]) -> None:
        """Report the streams of services that have got a second version."""
        if services:
            self.on_second_version()
        for start in self._starts.of_services(services, self._parts.clock.now()):
            self._unreported.put_nowait(start)

    def _listed_versions(self) -> dict[str, set[str]]:
        """Return the versions of each service's endpoints, those that leave too."""
        view = self._parts.view
        if view.changes != self._seen_changes:
            self._seen_changes = view.changes
            self._listed = {}
            for member in view.members.values():
                self._listed.setdefault(member.service, set()).add(member.version)
        return self._listed

    # --- reports ---------------------------------------------------------------------
    @supervised_task
    async def _report(self) -> None:
        """Report streams to other relays, a batch at a time."""
        while not self.should_stop:
            batch = [await self._unreported.get()]
            while not self._unreported.empty():
                batch.append(self._unreported.get_nowait())
            await self._report_batch(batch)
            relays = len(self._parts.others()) + 1
            interval = relays * _REPORT_INTERVAL_PER_RELAY_S
            await self._parts.clock.sleep(max(_MIN_REPORT_INTERVAL_S, interval))

    async def _report_batch(self, batch: list[StreamStart]) -> None:
        """Report streams to the first relays by preference that can be reached."""
        now = self._parts.clock.now()
        message = StartsMessage(
            starts=[
                [start.request_id, start.service, start.version, start.until - now]
                for start in batch
                if start.until > now
            ]
        )
        relays = self._by_preference(now)[:_MAX_TRIED]
        missing = min(_REPORT_COPIES, len(self._parts.others()))
        while missing and relays:
            targets, relays = relays[:missing], relays[missing:]
            taken = await asyncio.gather(*(self._send(t, message) for t in targets))
            missing -= sum(taken)
        if missing:
            logger.info("Streams not reported.", streams=len(batch), missing=missing)

    def _by_preference(self, now: float) -> list[str]:
        """Return the other relays, in the order in which this one reports to them.

        The order depends on the names alone, so that connections are reused and each
        relay gets reports of about as many others.
        """
        self._avoid_until = {a: t for a, t in self._avoid_until.items() if t > now}
        usable: Iterable[str] = (
            address
            for address in self._parts.others()
            if address not in self._avoid_until
        )
        node = self._parts.node
        return sorted(usable, key=lambda a: xxh3_64_intdigest(f"{node}\0{a}".encode()))

    async def _send(self, address: str, message: StartsMessage) -> bool:
        """Return whether a relay took a report."""
        try:
            await self._parts.client.call(
                address, STREAM_STARTS, message, _REPORT_TIMEOUT_S
            )
        except EbonydealError as exc:
            self._avoid_until[address] = self._parts.clock.now() + _AVOID_S
            logger.info("Relay took no report.", peer=address, reason=str(exc))
            return False
        return True


async def _load_nothing() -> None:
    """Read nothing, as without a store."""


def _lifetime_s(table: RouteTable) -> float:
    """Return for how long after its first event a client may resume a stream."""
    timeouts = [route.timeout for route in table.routes if route.resumable]
    return max(timeouts, default=_DEFAULT_LIFETIME_S) + _RETURN_S
