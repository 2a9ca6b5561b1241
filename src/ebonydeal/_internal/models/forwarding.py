"""Configuration of forwarded routes, and what is known of their endpoints.

A forwarded route sends requests by host and path prefix to a service without
reading their bodies. All times are in seconds unless a name says otherwise.
"""

from enum import StrEnum
from typing import NamedTuple


class Repeat(StrEnum):
    """How a request of a route may be resent."""

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
        Prefix of the path; starts and ends with a slash.
    timeout : float
        Longest time that a request may take.
    objective : float
        Latency objective: time to the answer, or to a stream's first event.
    priority : int
        0 is served first.
    max_sends : int
        Largest number of sends of one request that may have run.
    has_prompt : bool
        Whether requests list the parts of their prompt.
    resumable : bool
        Whether a stream may continue at another endpoint after its last event.
    max_event_gap : float
        Longest time between events that meets the objective; 0 for no objective.
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
    """Capacity and features of the engines of a service.

    Attributes
    ----------
    token_bytes : int
        Size of one token in the KV cache.
    can_migrate_runs : bool
        Whether a run's KV cache can be transferred to another engine.
    event_tokens : int
        Output tokens in one event of a stream.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    can_migrate_runs: bool
    event_tokens: int = 1


class Scaling(NamedTuple):
    """Bounds on the endpoints of a service in each zone, and prices.

    ``boot_s`` is the time that a new endpoint needs to start. ``spot_price`` is the
    share of an on-demand endpoint's price, or None if no reclaimable endpoints are
    offered.
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

    ``rate`` is an amount per second (tokens or requests, as ``in_tokens`` says),
    ``burst`` an amount; a rate of 0 is no limit. A request that doesn't state
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
    """Limits on a client's requests and connections."""

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


DEFAULT_CLIENT_LIMITS = ClientLimits(
    header_bytes=16_384,
    body_bytes=4 * 1024 * 1024,
    header_timeout=10.0,
    idle_timeout=60.0,
)


class RouteTable(NamedTuple):
    """One complete version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ForwardService]
    limits: ClientLimits
    accounts: tuple[ForwardAccount, ...]


class EndpointProcess(NamedTuple):
    """One process of an endpoint; what it reports of itself holds for no other process.

    ``incarnation`` is that of `Member`.
    """

    endpoint_id: str
    incarnation: int


class Member(NamedTuple):
    """An endpoint of a service, as listed.

    Attributes
    ----------
    leaving : bool
        It is about to stop, and gets no new requests.
    leaves_in : float or None
        Time until it stops, from when the entry was written, if known.
    reclaimable : bool
        The platform may reclaim it at short notice.
    warmup_left : float
        Time until it is warm.
    revision : int
        Grows with each change of the entry.
    incarnation : int
        When it started, in ms since 1970; 0 if unknown. An endpoint that restarts
        under its id has a higher one and counts as another endpoint: nothing known
        of the earlier one holds for it.
    unreadable : bool
        Its entry can't be read at the moment: it gets no new requests.
    version : str
        Version of its software; empty if unknown.
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
        """The process that this entry describes."""
        return EndpointProcess(self.endpoint_id, self.incarnation)


class PromptPart(NamedTuple):
    """One part of a prompt; equal ids mean equal text."""

    part_id: str
    tokens: int


class ForwardedRequest(NamedTuple):
    """A client's request on a forwarded route, without its body.

    Attributes
    ----------
    target : str
        Path and query as the client encoded them.
    client_timeout : float or None
        Time that the client waits for its answer, seconds.
    length_hint : int or None
        Output tokens that the client expects.
    last_event : str
        Id of the event after which a broken stream continues; empty for a new one.
    first_attempt : str
        Id of the client's request that brought the first event of a stream that it
        resumes; empty if not stated.
    headers : tuple of (str, str)
        Headers that may be forwarded, without those that the system sets itself.
    retry_ticket : str
        Ticket of an earlier refusal of this request; empty for none.
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
    first_attempt: str
    headers: tuple[tuple[str, str], ...]
    retry_ticket: str = ""

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]


class KvCacheRef(NamedTuple):
    """The KV cache of a stopped run, from which the same request can continue.

    ``address`` is the endpoint of that run, ``handle`` its name for the cache.
    """

    address: str
    handle: str


class MigrationOrder(NamedTuple):
    """An order to copy a run's KV cache to an address, and whether to stop the run."""

    request_id: str
    target: str
    stops: bool


class MigrationReply(NamedTuple):
    """An endpoint's reply to the order to migrate a run, or to copy its KV cache.

    Attributes
    ----------
    handle : str
        Its name for the KV cache; empty if it gave none.
    refusal : str
        Why the KV cache isn't at the target; empty if it is.
    left_running : bool
        Whether the run goes on, or had ended before.
    """

    handle: str
    refusal: str = ""
    left_running: bool = False


class SendMetadata(NamedTuple):
    """What one send tells its endpoint in addition to the request.

    Attributes
    ----------
    time_left : float
        Time until the deadline, seconds.
    priority : int or None
        From 0 (first) to 9.
    kv_cache : KvCacheRef or None
        KV cache of the run, if it was migrated.
    fetch_from : str
        Address of an endpoint that holds parts of the prompt; empty for none.
    """

    endpoint_id: str
    account: str
    time_left: float
    priority: int | None
    last_event: str
    kv_cache: KvCacheRef | None = None
    fetch_from: str = ""


class EndpointNotice(NamedTuple):
    """What an endpoint reports of itself in an answer.

    Attributes
    ----------
    limit : float or None
        Requests per second that it accepts from all relays together; None for no
        limit.
    leaving : bool
        It is about to stop, and should get no new requests.
    backoff_s : float
        Seconds for which it wants no requests from this relay.
    max_rejections : float or None
        Requests per second that it can reject for want of room; more than these make it
        fail. None for any number.
    unreadable : tuple of str
        Headers that can't be parsed, as name and value.
    """

    limit: float | None = None
    leaving: bool = False
    backoff_s: float = 0.0
    unreadable: tuple[str, ...] = ()
    max_rejections: float | None = None


class AnswerHead(NamedTuple):
    """Status and headers of an endpoint's answer.

    Attributes
    ----------
    not_run : bool
        The endpoint states that it did not run the request.
    signed : bool
        It has the endpoint's signature, without which no success is accepted.
    request_id : str
        Id of the request that it answers; empty if not stated.
    encoded : bool
        Its body is encoded, so not as the endpoint wrote it.
    keepalive_s : float or None
        How long the endpoint keeps an idle connection, if stated.
    headers : tuple of (str, str)
        Headers for the client.
    misdirected : bool
        Another process than the one addressed has answered.
    notice : EndpointNotice
        What the endpoint reports of itself.
    """

    status: int
    not_run: bool
    signed: bool
    request_id: str
    encoded: bool
    keepalive_s: float | None
    headers: tuple[tuple[str, str], ...]
    misdirected: bool = False
    notice: EndpointNotice = EndpointNotice()
