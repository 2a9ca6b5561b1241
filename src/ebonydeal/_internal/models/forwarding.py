"""What operators declare for forwarded routes, and what is known of endpoints.

A forwarded route sends requests by host and path prefix to a service without
reading their bodies. All times are in seconds unless a name says otherwise.
"""

from enum import StrEnum
from typing import NamedTuple


class Repeat(StrEnum):
    """What may be done a second time with a request of a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Target(NamedTuple):
    """A service that a route may use, with its share of the requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """A forwarded route.

    Attributes
    ----------
    prefix : str
        Begins the path; starts and ends with a slash.
    timeout : float
        Longest time that a request is kept waiting.
    objective : float
        Time to the answer, or a stream's first event, that earns full credit.
    priority : int
        0 is served first.
    max_sends : int
        Endpoints that one request may be sent to.
    has_prompt : bool
        Whether requests name the parts of their prompt.
    resumable : bool
        Whether a stream may go on at another endpoint after its last event.
    max_event_gap : float
        Longest pause between events that is still on time; 0 for none.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout: float
    objective: float
    priority: int
    targets: tuple[Target, ...]
    max_sends: int
    anonymous: bool
    has_prompt: bool
    resumable: bool
    max_event_gap: float


class EngineCapabilities(NamedTuple):
    """What the engines of a service can hold and do.

    Attributes
    ----------
    token_bytes : int
        Size of one token's memory.
    can_migrate_runs : bool
        Whether memory can be passed from engine to engine.
    event_tokens : int
        Output tokens in one event of a stream.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    can_migrate_runs: bool
    event_tokens: int = 1


class Scaling(NamedTuple):
    """How many endpoints of a service may be ordered in each zone, and prices.

    ``spot_price`` is the share of an on-demand endpoint's price, or None where
    no reclaimable ones are offered.
    """

    min_endpoints: int
    max_endpoints: int
    boot_s: float
    spot_price: float | None
    zone_prices: dict[str, float]


class ForwardService(NamedTuple):
    """A service behind forwarded routes."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineCapabilities | None
    scaling: Scaling | None


class ForwardAccount(NamedTuple):
    """A client account of forwarded routes.

    ``rate`` is an amount a second (tokens or requests, as ``in_tokens`` says),
    ``burst`` an amount; a rate of 0 is no limit. A request that doesn't tell
    its tokens counts as ``plain_tokens``.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float
    burst: float
    in_tokens: bool
    plain_tokens: float


class ClientLimits(NamedTuple):
    """What a client may send, and how long it may be idle."""

    header_bytes: int
    body_bytes: int
    header_time: float
    idle_time: float


class RouteTable(NamedTuple):
    """One version of what operators declared, whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ForwardService]
    limits: ClientLimits
    accounts: tuple[ForwardAccount, ...]


class EndpointProcess(NamedTuple):
    """One process of an endpoint: what it said of itself holds for no other.

    ``incarnation`` as of `Member`.
    """

    endpoint_id: str
    incarnation: int


class Member(NamedTuple):
    """An endpoint of a service as listed.

    Attributes
    ----------
    leaving : bool
        It has said that it leaves, and gets no new work.
    leaves_in : float or None
        Time that was left when the entry was written, if known.
    reclaimable : bool
        The platform may take it back at short notice.
    revision : int
        Grows with each change of the entry.
    incarnation : int
        When it started, in ms since 1970; 0 where endpoints don't tell. An endpoint
        that starts again under its id has a later one, and is another endpoint:
        nothing that was learned of the one before holds.
    unreadable : bool
        Its entry can't be read at the moment: it gets no new work.
    version : str
        Version of its software; empty where it doesn't say.
    """

    endpoint_id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    leaves_in: float | None
    reclaimable: bool
    warmup_left: float
    revision: int
    incarnation: int = 0
    unreadable: bool = False
    version: str = ""

    @property
    def process(self) -> EndpointProcess:
        """The process behind this entry."""
        return EndpointProcess(self.endpoint_id, self.incarnation)


class PromptPart(NamedTuple):
    """One part of a prompt, in order; equal ids mean equal text."""

    part_id: str
    tokens: int


class ForwardedRequest(NamedTuple):
    """A client's request on a forwarded route, without its body.

    Attributes
    ----------
    target : str
        Path and query as the client encoded them.
    client_timeout : float or None
        Time that the client waits, seconds.
    length_hint : int or None
        Output tokens as the client guesses them.
    last_event : str
        The id after which a broken stream goes on; empty at the first time.
    headers : tuple of (str, str)
        What may be passed on, without what the system sets itself.
    """

    request_id: str
    method: str
    target: str
    host: str
    credential: str
    client_timeout: float | None
    prompt_tokens: int | None
    output_tokens: int
    parts: tuple[PromptPart, ...]
    length_hint: int | None
    last_event: str
    headers: tuple[tuple[str, str], ...]

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]


class KvCacheRef(NamedTuple):
    """The memory of a run that was stopped, for the same request to go on from.

    ``address`` is the endpoint that the run was at, ``handle`` its word for it.
    """

    address: str
    handle: str


class MigrationReply(NamedTuple):
    """What an endpoint said to the order to pass a run's memory on.

    ``handle`` is empty where it wasn't passed on; ``detail`` tells why.
    """

    handle: str
    detail: str


class SendMetadata(NamedTuple):
    """What one send of a request tells its endpoint beside the request.

    Attributes
    ----------
    time_left : float
        Time left, seconds.
    priority : int or None
        From 0 (first) to 9.
    carried : Carried or None
        Where the run's memory comes from, if it goes on.
    fetch_from : str
        Address of an endpoint that holds parts of the prompt; empty for none.
    """

    endpoint_id: str
    account: str
    time_left: float
    priority: int | None
    last_event: str
    carried: KvCacheRef | None = None
    fetch_from: str = ""


class EndpointNotice(NamedTuple):
    """What an endpoint says of itself in an answer.

    Attributes
    ----------
    limit : float or None
        Requests a second that it takes from all relays together; None for no limit.
    leaving : bool
        It leaves, and is to get no new work.
    backoff_s : float
        Seconds for which it wants nothing from who asked.
    unreadable : tuple of str
        What it said that can't be read, as name and value.
    """

    limit: float | None = None
    leaving: bool = False
    backoff_s: float = 0.0
    unreadable: tuple[str, ...] = ()


class AnswerHead(NamedTuple):
    """The beginning of an endpoint's answer.

    Attributes
    ----------
    not_run : bool
        The endpoint says that it did not run the request.
    signed : bool
        It bears the endpoint's signature, without which no success counts.
    request_id : str
        The request that it answers; empty if it doesn't say.
    encoded : bool
        Its body is encoded, so it isn't what the endpoint made.
    idle_time : float or None
        How long the endpoint keeps the connection, where it says so.
    headers : tuple of (str, str)
        What the client gets.
    misdirected : bool
        The process that was meant isn't the one that answers.
    notice : Notice
        What the endpoint says of itself.
    """

    status: int
    not_run: bool
    signed: bool
    request_id: str
    encoded: bool
    idle_time: float | None
    headers: tuple[tuple[str, str], ...]
    misdirected: bool = False
    notice: EndpointNotice = EndpointNotice()
