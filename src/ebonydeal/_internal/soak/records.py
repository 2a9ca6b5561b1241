"""What clients, endpoints and the platform saw in one soak."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from ebonydeal._internal.models.rollouts import Phase


class Kind(StrEnum):
    """Kinds of requests; the value is the prefix of their route."""

    SAFE = "/safe/"
    ONCE = "/once/"
    LIVE = "/live/"
    AGAIN = "/again/"
    PROBE = "/probe/"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (Kind.LIVE, Kind.AGAIN)

    @property
    def runs_once(self) -> bool:
        """Whether it may run once at most."""
        return self in (Kind.ONCE, Kind.LIVE)


class Run(NamedTuple):
    """A request that an endpoint began to run.

    ``relay`` sent it; ``carried`` says that it goes on with a run's memory;
    ``version`` is the endpoint's.
    """

    request_id: str
    endpoint: str
    relay: str
    account: str
    at: float
    wall: float
    carried: bool
    version: str = ""


class Seen(NamedTuple):
    """What a client got for one request.

    ``status`` is 0 where no answer began; ``whole`` says that the answer looked
    complete. ``numbers`` are the ids of a stream's events. ``pid`` is the process
    that answered, and ``version`` the configuration that a probe asked for.
    """

    request_id: str
    kind: Kind
    relay: str
    pid: int
    sent: float
    ended: float
    status: int
    whole: bool
    body_id: str = ""
    numbers: tuple[int, ...] = ()
    version: int = 0


class Leave(NamedTuple):
    """An endpoint's word that it leaves, as the store took it."""

    endpoint: str
    at: float


class Publish(NamedTuple):
    """A configuration, as the store took it."""

    version: int
    at: float


class FatalRun(NamedTuple):
    """A request that reached an endpoint and crashed it; ``body`` tells which."""

    body: str
    endpoint: str
    relay: str
    at: float


class Rollout(NamedTuple):
    """A roll-out as it was ordered: its version, whether that is bad, and times."""

    to: str
    bad: bool
    at: float
    until: float


class Status(NamedTuple):
    """What the system told operators of a roll-out."""

    to: str
    phase: Phase
    at: float


class Report(NamedTuple):
    """A usage report that the platform accepted."""

    window: int
    counts: dict[str, int]
    holder: str
    fence: int


class Arrived(NamedTuple):
    """A request that reached an endpoint from a relay, whether it ran or not."""

    endpoint: str
    relay: str
    request_id: str
    at: float


class Told(NamedTuple):
    """What an endpoint said of itself in an answer to a relay.

    ``limit`` is in requests a second, None for none; ``rest`` in seconds, 0 for none.
    """

    endpoint: str
    relay: str
    at: float
    limit: float | None
    leaving: bool
    rest: float


class Trouble(NamedTuple):
    """A time in which something was harmed; ``relay`` is empty for all of them."""

    kind: str
    relay: str
    begin: float
    end: float


@dataclass
class Log:
    """Everything that was seen; times are monotonic seconds of one clock.

    ``tokens`` is what each request counts of a limit in tokens.
    """

    tokens: dict[str, int] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    seen: list[Seen] = field(default_factory=list)
    leaves: list[Leave] = field(default_factory=list)
    published: list[Publish] = field(default_factory=list)
    reports: list[Report] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    fatal: list[FatalRun] = field(default_factory=list)
    rollouts: list[Rollout] = field(default_factory=list)
    statuses: list[Status] = field(default_factory=list)
    arrived: list[Arrived] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)


def event_count(request_id: str) -> int:
    """Return how many events the stream of a request has."""
    return 5 + int(request_id[-2:], 16) % 100
