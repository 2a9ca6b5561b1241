"""What the gateway asks of the other parts, as narrow protocols.

The gateway's tasks depend on these only; `gateway.wiring` puts the real parts
behind them and tests put fakes.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Protocol

from aiohttp import web

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.document import Deployment, Document
from ebonydeal._internal.models.endpoints import EndpointView, LeavingMark
from ebonydeal._internal.models.requests import Request
from ebonydeal._internal.peers.journal_client import JournalStatus

Incarnation = tuple[str, int]


class EndpointQuery(NamedTuple):
    """What an endpoint is wanted for.

    Attributes
    ----------
    request : Request
        The caller's request.
    deployment : Deployment
        Whose endpoints may be chosen.
    model : str
        Model name; empty for a plain service.
    prefix : tuple of str
        Chained hashes of the prompt's blocks.
    delivered : int
        Tokens that the caller already has.
    avoid : frozenset of (endpoint id, incarnation)
        Already tried without success.
    prefer : (endpoint id, incarnation) or None
        Where the request's KV cache may still be warm.
    """

    request: Request
    deployment: Deployment
    model: str
    prefix: tuple[str, ...] = ()
    delivered: int = 0
    avoid: frozenset[Incarnation] = frozenset()
    prefer: Incarnation | None = None


class Route(NamedTuple):
    """A chosen endpoint.

    Attributes
    ----------
    endpoint : EndpointView
        The endpoint.
    scores : list of dict
        Best choices with their terms, best first, for the decision trail.
    choice : object
        The router's own value, handed back with each report.
    missed_tokens : int
        Prompt tokens that another endpoint was believed to have cached.
    """

    endpoint: EndpointView
    scores: list[dict[str, Any]]
    choice: Any = None
    cached_elsewhere_tokens: int = 0


class RoutePort(Protocol):
    """Chooses endpoints and learns from what became of each try."""

    def choose(self, query: EndpointQuery, now: float) -> Route | None:
        """Return the best endpoint, already counted as sent, or None."""

    def record_first_token(
        self, route: Route, seconds: float, cached: int, prefilled: int, now: float
    ) -> None:
        """Report the first token and what the prefix cache really held."""

    def record_finished(self, route: Route, tokens: int, now: float) -> None:
        """Report a whole answer, or a try that ended by our own wish."""

    def record_failure(self, route: Route, kind: ErrorKind, now: float) -> None:
        """Report a failed try."""


class Ticket(Protocol):
    """An admitted request's share of the limits."""

    def release(self, tokens: int) -> None:
        """Give the share back; ``tokens`` were really used."""


class AdmissionPort(Protocol):
    """Admits, queues or refuses requests."""

    async def admit(self, request: Request, deployment: Deployment) -> Ticket:
        """Return when admitted; raises the refusal's `EbonydealError`."""

    def admit_deferred(self, request: Request) -> Ticket:
        """Count a request that runs later; raises RATE_LIMITED at once."""


class FailedAttempt(NamedTuple):
    """A try that failed.

    Attributes
    ----------
    kind : ErrorKind
        How.
    deployment : str
        Whose retry budget counts.
    idempotent : bool
        Whether running the request twice is harmless.
    may_have_run : bool
        Whether an earlier try may have run.
    first_byte_received : bool
        Whether a byte of the answer came.
    deadline : float
        Wall clock seconds; 0.0 means none.
    """

    kind: ErrorKind
    deployment: str
    idempotent: bool
    may_have_run: bool
    first_byte_received: bool
    deadline: float


class RetryPort(Protocol):
    """Decides on further tries within the deployment's budget."""

    def record_first_send(self, deployment: str, now: float) -> None:
        """Count a request's first try, from which the budget grows."""

    def next_delay(
        self, failure: FailedAttempt, attempts: int, now: float
    ) -> float | EbonydealError:
        """Return seconds until the next try, or the error to give up with."""

    def try_hedge(self, deployment: str, deadline: float, now: float) -> bool:
        """Take a hedge from the budget; return whether it allowed one."""


class DirectoryPort(Protocol):
    """The endpoints known, without those marked as leaving."""

    def views(self, deployment: str) -> tuple[EndpointView, ...]:
        """Return the endpoints that may get new work."""

    def is_leaving(self, view: EndpointView) -> bool:
        """Return whether this incarnation is marked as leaving."""

    def deadline(self, view: EndpointView) -> float:
        """Return when an endpoint is taken, wall clock seconds; 0.0: unknown."""

    def connect_failed(self, endpoint_id: str) -> None:
        """Note that an endpoint refused the connection."""

    def on_mark(self, callback: Callable[[LeavingMark], None]) -> None:
        """Call ``callback`` with each new mark."""


class PeerPort(Protocol):
    """Other gateways, and this one's listener for them."""

    @property
    def address(self) -> str:
        """``host:port`` of this gateway's peer listener; after the start."""

    def add_routes(self, routes: Iterable[web.AbstractRouteDef]) -> None:
        """Serve further routes on the peer listener; before the start."""

    async def call(
        self, address: str, path: str, message: dict[str, Any]
    ) -> dict[str, Any]:
        """Call another gateway; raises its `EbonydealError`."""


class ConfigPort(Protocol):
    """The configuration in force."""

    @property
    def document(self) -> Document:
        """Highest version seen."""


class JournalPort(Protocol):
    """The request journal's owners, wherever they are."""

    async def accept(self, request: Request) -> JournalStatus:
        """Return once ``request`` is durable."""

    async def call(self, request: Request, wait: float) -> JournalStatus:
        """Accept, and wait up to ``wait`` seconds for the end."""

    async def status(self, request_id: str, account: str) -> JournalStatus:
        """Return a request's status."""

    async def cancel(self, request_id: str, account: str) -> JournalStatus:
        """Stop a request; returns its status."""
