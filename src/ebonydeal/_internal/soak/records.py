"""What clients, endpoints and the platform observed in one soak."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from ebonydeal._internal.models.rollouts import Phase


class Kind(StrEnum):
    """Kinds of requests; the value is their route's prefix."""

    IDEMPOTENT = "/safe/"
    AT_MOST_ONCE = "/once/"
    STREAM = "/live/"
    RESUMABLE_STREAM = "/again/"
    PROBE = "/probe/"
    # Its clients have slow links.
    SLOW = "/slow/"
    # Requests of the plain service, whose endpoints have a capacity.
    PLAIN = "/page/"
    PLAIN_AT_MOST_ONCE = "/page-once/"

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (Kind.STREAM, Kind.RESUMABLE_STREAM)

    @property
    def runs_once(self) -> bool:
        """Whether the request may run at most once."""
        return self in (
            Kind.AT_MOST_ONCE,
            Kind.STREAM,
            Kind.SLOW,
            Kind.PLAIN_AT_MOST_ONCE,
        )

    @property
    def is_plain(self) -> bool:
        """Whether the plain service runs the request."""
        return self in (Kind.PLAIN, Kind.PLAIN_AT_MOST_ONCE)


class Run(NamedTuple):
    """A request that an endpoint started to run.

    ``relay`` sent it; ``migrated`` means that it continues from the KV cache of an
    earlier run; ``version`` is the endpoint's software version; ``plain`` means that
    the endpoint is one of the plain service, which has no roll-outs.
    """

    request_id: str
    endpoint: str
    relay: str
    account: str
    at: float
    wall_time: float
    migrated: bool
    version: str = ""
    plain: bool = False


class ClientResult(NamedTuple):
    """A client's result of one request.

    ``status`` is 0 if no response started; ``complete`` means that the response ended
    without a connection error. ``event_ids`` are the ids of a stream's events. ``pid``
    is the relay's process, and ``version`` the configuration whose route a probe used.
    ``owed`` is False for requests that may be refused: of accounts with a limit, those
    that crash endpoints, those of the plain service, which can be overloaded, and
    those that resume a stream. Such a one names its
    ``first_attempt``, and had ``events_before``. ``event_versions`` are the software
    versions that the events name. ``left`` means that the client ended it.
    """

    request_id: str
    kind: Kind
    relay: str
    pid: int
    sent: float
    ended: float
    status: int
    complete: bool
    body_request_id: str = ""
    event_ids: tuple[int, ...] = ()
    version: int = 0
    owed: bool = True
    first_attempt: str = ""
    events_before: int = 0
    event_versions: frozenset[str] = frozenset()
    account: str = ""
    left: bool = False

    @property
    def stream(self) -> str:
        """The request that began the stream."""
        return self.first_attempt or self.request_id


class ListedLeaving(NamedTuple):
    """The time at which the store listed an endpoint as leaving, or no longer."""

    endpoint: str
    at: float


class PublishedConfig(NamedTuple):
    """A configuration and the time at which the store accepted it."""

    version: int
    at: float


FATAL_PART_PREFIX = "fatal-part"


class FatalRun(NamedTuple):
    """A request that crashed the endpoint it reached.

    ``cause`` is its body, or names the part of its prompt, with `FATAL_PART_PREFIX`.
    """

    cause: str
    endpoint: str
    relay: str
    at: float


class OrderedRollout(NamedTuple):
    """A roll-out order; ``faulty`` means that the target version is defective."""

    target_version: str
    faulty: bool
    at: float
    deadline: float


class RolloutStatus(NamedTuple):
    """A roll-out's status as the system published it for operators."""

    target_version: str
    phase: Phase
    at: float


class UsageReport(NamedTuple):
    """A usage report that the platform accepted."""

    window: int
    counts: dict[str, int]
    holder: str
    fence: int


class Arrival(NamedTuple):
    """A request that reached an endpoint, whether or not it ran."""

    endpoint: str
    relay: str
    request_id: str
    at: float


class Announcement(NamedTuple):
    """What an endpoint announced to a relay in the headers of a response.

    ``limit`` is in requests per second, or None; ``backoff_s`` is 0 if none is asked.
    """

    endpoint: str
    relay: str
    at: float
    limit: float | None
    leaving: bool
    backoff_s: float


class ClosedRun(NamedTuple):
    """A run of a stream whose connection was closed while its endpoint was silent."""

    endpoint: str
    request_id: str
    at: float


class BrokenRun(NamedTuple):
    """A run of a stream that its endpoint broke off, or that ended with it."""

    endpoint: str
    request_id: str
    at: float


class LinkCutPeriod(NamedTuple):
    """The time for which some relays were cut from all endpoints."""

    relays: tuple[str, ...]
    begin: float
    end: float


class CrowdPeriod(NamedTuple):
    """The time for which clients opened most of their new connections to one relay."""

    relay: str
    begin: float
    end: float


class OverloadPeriod(NamedTuple):
    """The time for which one account sent more than the plain service can run."""

    account: str
    begin: float
    end: float


class UnequalPeriod(NamedTuple):
    """The time for which plain endpoints were of unequal speed.

    One was slower from ``begin`` on, another one from ``changed`` on.
    """

    begin: float
    changed: float
    end: float


class OwnEnd(NamedTuple):
    """A relay's process that ended though nothing told it to."""

    relay: str
    at: float
    exit_code: int


class FaultPeriod(NamedTuple):
    """The duration of an injected fault; an empty ``relay`` stands for all relays."""

    kind: str
    relay: str
    begin: float
    end: float


@dataclass
class Log:
    """All observations of a soak; times are seconds of one monotonic clock.

    ``tokens`` is the number of tokens that each request counts against a token limit.
    """

    tokens: dict[str, int] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    results: list[ClientResult] = field(default_factory=list)
    listed_leaving: list[ListedLeaving] = field(default_factory=list)
    published_configs: list[PublishedConfig] = field(default_factory=list)
    usage_reports: list[UsageReport] = field(default_factory=list)
    fault_periods: list[FaultPeriod] = field(default_factory=list)
    fatal_runs: list[FatalRun] = field(default_factory=list)
    rollouts: list[OrderedRollout] = field(default_factory=list)
    rollout_statuses: list[RolloutStatus] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    announcements: list[Announcement] = field(default_factory=list)
    closed_runs: list[ClosedRun] = field(default_factory=list)
    broken_runs: list[BrokenRun] = field(default_factory=list)
    link_cuts: list[LinkCutPeriod] = field(default_factory=list)
    crowds: list[CrowdPeriod] = field(default_factory=list)
    overloads: list[OverloadPeriod] = field(default_factory=list)
    unequal_periods: list[UnequalPeriod] = field(default_factory=list)
    own_ends: list[OwnEnd] = field(default_factory=list)

    @asynccontextmanager
    async def fault(self, kind: str, relay: str) -> AsyncIterator[None]:
        """Record the period of a fault; an empty ``relay`` stands for all."""
        begin = time.monotonic()
        try:
            yield
        finally:
            end = time.monotonic()
            self.fault_periods.append(FaultPeriod(kind, relay, begin, end))


def event_count(request_id: str) -> int:
    """Return the number of events in a request's stream."""
    return 5 + int(request_id[-2:], 16) % 100
