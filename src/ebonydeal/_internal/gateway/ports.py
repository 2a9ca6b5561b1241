"""Protocols of the components that the gateway depends on.

The gateway's tasks depend only on these. `gateway.wiring` provides the real
components, tests provide fakes.
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
    """Parameters for the choice of an endpoint.

    Attributes
    ----------
    request : Request
        The caller's request.
    deployment : Deployment
        The deployment to choose an endpoint from.
    model : str
        Model name; empty for a plain service.
    prefix : tuple of str
        Chained hashes of the prompt's blocks.
    delivered : int
        Tokens that the caller already has.
    avoid : frozenset of (endpoint id, incarnation)
        Endpoints that failed the request before.
    prefer : (endpoint id, incarnation) or None
        Endpoint that may still hold the request's KV cache.
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
        The candidates with their score terms, best first, for the decision trail.
    choice : object
        Opaque value of the router, passed back with each record.
    missed_tokens : int
        Prompt tokens that another endpoint was expected to have cached beyond
        those of this one.
    """

    endpoint: EndpointView
    scores: list[dict[str, Any]]
    choice: Any = None
    cached_elsewhere_tokens: int = 0


class RoutePort(Protocol):
    """Chooses endpoints and learns from the outcome of each attempt."""

    def choose(self, query: EndpointQuery, now: float) -> Route | None:
        """Return the best endpoint or None; records the choice as sent."""

    def record_first_token(
        self, route: Route, seconds: float, cached: int, prefilled: int, now: float
    ) -> None:
        """Record the first token and the actual prefix cache hit."""

    def record_finished(self, route: Route, tokens: int, now: float) -> None:
        """Record a complete answer, or an attempt that the gateway ended."""

    def record_failure(self, route: Route, kind: ErrorKind, now: float) -> None:
        """Record a failed attempt."""


class Ticket(Protocol):
    """An admitted request's share of the limits."""

    def release(self, tokens: int) -> None:
        """Release the share; ``tokens`` is the number used."""


class AdmissionPort(Protocol):
    """Admits, queues or refuses requests."""

    async def admit(self, request: Request, deployment: Deployment) -> Ticket:
        """Wait for admission; raises `EbonydealError` if refused."""

    def admit_deferred(self, request: Request) -> Ticket:
        """Count a request that runs later; raises RATE_LIMITED without waiting."""


class FailedAttempt(NamedTuple):
    """A failed attempt.

    Attributes
    ----------
    kind : ErrorKind
        Kind of the failure.
    deployment : str
        The deployment whose retry budget applies.
    idempotent : bool
        Whether running the request twice is harmless.
    may_have_run : bool
        Whether an earlier attempt may have run.
    first_byte_received : bool
        Whether any byte of the answer was received.
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
    """Decides on retries within the deployment's retry budget."""

    def record_first_send(self, deployment: str, now: float) -> None:
        """Record a request's first attempt, which adds to the retry budget."""

    def next_delay(
        self, failure: FailedAttempt, attempts: int, now: float
    ) -> float | EbonydealError:
        """Return seconds until the next attempt, or the final error."""

    def try_hedge(self, deployment: str, deadline: float, now: float) -> bool:
        """Return whether the budget allows a hedge; if so, charge it."""


class DirectoryPort(Protocol):
    """The known endpoints, without those marked as leaving."""

    def views(self, deployment: str) -> tuple[EndpointView, ...]:
        """Return the endpoints that may receive new requests."""

    def is_leaving(self, view: EndpointView) -> bool:
        """Return whether this incarnation is marked as leaving."""

    def deadline(self, view: EndpointView) -> float:
        """Return when an endpoint is reclaimed, wall clock seconds; 0.0: unknown."""

    def connect_failed(self, endpoint_id: str) -> None:
        """Record that an endpoint refused the connection."""

    def on_mark(self, callback: Callable[[LeavingMark], None]) -> None:
        """Call ``callback`` with each new leaving mark."""


class PeerPort(Protocol):
    """Calls to other gateways, and this gateway's listener for them."""

    @property
    def address(self) -> str:
        """``host:port`` of this gateway's peer listener; set after the start."""

    def add_routes(self, routes: Iterable[web.AbstractRouteDef]) -> None:
        """Add routes to the peer listener; only before the start."""

    async def call(
        self, address: str, path: str, message: dict[str, Any]
    ) -> dict[str, Any]:
        """Call another gateway; raises its `EbonydealError`."""


class ConfigPort(Protocol):
    """The configuration in force."""

    @property
    def document(self) -> Document:
        """The document with the highest version seen."""


class JournalPort(Protocol):
    """The request journal; routes each call to the owner of the shard."""

    async def accept(self, request: Request) -> JournalStatus:
        """Accept a request; returns once it is durable."""

    async def call(self, request: Request, wait: float) -> JournalStatus:
        """Accept a request and wait up to ``wait`` seconds for its final status."""

    async def status(self, request_id: str, account: str) -> JournalStatus:
        """Return a request's status."""

    async def cancel(self, request_id: str, account: str) -> JournalStatus:
        """Cancel a request; returns its status."""
