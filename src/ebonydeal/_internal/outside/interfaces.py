"""Narrow interfaces of the external systems.

The rest of the code depends on these protocols only. One adapter in this package
implements the wire format of each (see docs/INTERFACES.md); tests use small fakes.

Every method raises `EbonydealError`. ``STORE_UNAVAILABLE`` means that nothing
took effect; ``STORE_IN_DOUBT`` means that a write may have taken effect.
"""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from ebonydeal._internal.models.endpoints import EndpointView, LoadReport


# --- table service ---------------------------------------------------------
@dataclass(frozen=True)
class RowAbsent:
    """Condition: row ``key`` doesn't exist."""

    key: str


@dataclass(frozen=True)
class RowVersion:
    """Condition: row ``key`` has exactly this version (compare-and-set)."""

    key: str
    version: int


@dataclass(frozen=True)
class FieldEquals:
    """Condition: row ``key`` exists and its value's ``field`` equals ``value``."""

    key: str
    field: str
    value: Any


Condition = RowAbsent | RowVersion | FieldEquals


@dataclass(frozen=True)
class Put:
    """Write ``value`` (a JSON object) as row ``key``."""

    key: str
    value: dict[str, Any]


@dataclass(frozen=True)
class Delete:
    """Delete row ``key`` if it exists."""

    key: str


Write = Put | Delete


class Row(NamedTuple):
    """A row; ``version`` grows by one with each write of the key."""

    key: str
    value: dict[str, Any]
    version: int


class Tables(Protocol):
    """The platform's transactional table service."""

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> bool:
        """Apply all writes if all conditions hold; return whether they did."""

    async def get(self, key: str) -> Row | None:
        """Return a row, or None if it doesn't exist."""

    async def scan(self, prefix: str, start: str = "", limit: int = 1000) -> list[Row]:
        """Return rows whose key has ``prefix`` and is >= ``start``, by key."""


class Objects(Protocol):
    """The platform's object store."""

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; replaces an existing one of the same name."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it doesn't exist."""

    async def delete(self, name: str) -> None:
        """Delete an object if it exists."""

    async def names(self, prefix: str) -> list[str]:
        """Return the names that start with ``prefix``, sorted."""


# --- instance list -----------------------------------------------------------
class InstanceList(Protocol):
    """The platform's list of live and leaving instances; it lags."""

    async def endpoints(self) -> list[EndpointView]:
        """Return all listed endpoints."""

    async def own_nodes(self) -> list[tuple[str, str]]:
        """Return (node id, address) of the system's own instances."""


# --- cloud API ---------------------------------------------------------------
class Offer(NamedTuple):
    """A type of instance that can be started now.

    ``price_per_hour`` is in the document's currency; ``evict_per_hour`` is the
    expected number of reclaims per hour (0 for on-demand).
    """

    zone: str
    machine_class: str
    reclaimable: bool
    price_per_hour: float
    evict_per_hour: float
    slots: int


class CloudInstance(NamedTuple):
    """An instance that the cloud runs for this system.

    ``token`` is the idempotency token it was started with; ``tags`` hold its
    deployment, the fencing token of the controller that started it, and the reason.
    """

    instance_id: str
    token: str
    zone: str
    machine_class: str
    reclaimable: bool
    state: str
    address: str
    started_at: float
    tags: dict[str, str]


class ReclaimNotice(NamedTuple):
    """Notice that the cloud reclaims an instance, or a zone if the id is empty."""

    seq: int
    instance_id: str
    zone: str
    deadline: float


class Cloud(Protocol):
    """The platform's cloud API."""

    async def offers(self) -> list[Offer]:
        """Return what can be started, with current prices."""

    async def start(
        self, token: str, offer: Offer, tags: dict[str, str]
    ) -> CloudInstance:
        """Start an instance; a repeat with the same token returns the same instance.

        Raises ``START_REFUSED`` if the zone has none available.
        """

    async def stop(self, instance_id: str) -> None:
        """Stop an instance; has no effect on a stopped one."""

    async def instances(self) -> list[CloudInstance]:
        """Return all instances of this system that are not stopped."""

    async def notices(self, after: int) -> list[ReclaimNotice]:
        """Return reclaim notices with a higher ``seq`` than ``after``."""


# --- weight store ------------------------------------------------------------
class WeightCopy(NamedTuple):
    """A source from which weights can be loaded: the store or a nearby copy."""

    source: str
    model: str
    size_gb: float
    zone: str


class WeightStore(Protocol):
    """The platform's rate-limited weight store."""

    async def copies(self, model: str) -> list[WeightCopy]:
        """Return the sources from which ``model`` can be loaded."""

    async def available_rate(self) -> float:
        """Return the store's unused bandwidth, gigabytes per second."""


# --- model engines -------------------------------------------------------------
class Chunk(NamedTuple):
    """A part of a streamed answer.

    ``position`` counts tokens of the whole answer from 0, also after a resume;
    ``text`` is the token's text; ``finish`` is the finish reason on the last
    chunk, else empty. ``cached_tokens`` (prompt tokens found in the prefix or
    imported cache) and ``prefilled_tokens`` (prompt tokens computed) are set on
    the first chunk, else 0.
    """

    position: int
    text: str
    finish: str = ""
    cached_tokens: int = 0
    prefilled_tokens: int = 0


class Resume(NamedTuple):
    """How a stream resumes: the tokens delivered so far and a KV cache handle."""

    delivered: tuple[str, ...]
    kv_handle: str = ""


class CancelResult(NamedTuple):
    """The result that an engine reports for a cancel.

    ``not_started`` proves that the attempt never ran, ``stopped`` that it no longer
    runs, ``finished`` that it had already ended; ``unknown`` proves nothing.
    """

    state: str
    tokens: int


class CacheEvent(NamedTuple):
    """A prompt prefix was stored in or evicted from an engine's cache.

    ``block`` is the chained hash of a prompt block (see `utils.prefix`).
    """

    seq: int
    stored: bool
    block: str


class EngineOrder(NamedTuple):
    """The complete desired state of an engine, never a change to it.

    ``fence`` is the epoch of the lease holder; engines that check it refuse an
    order with a lower one than they have seen.
    """

    fence: int
    models: tuple[str, ...]
    role: str


class Engine(Protocol):
    """Model engines with a common wire format; each call names the endpoint."""

    def stream(
        self,
        endpoint: EndpointView,
        path: str,
        body: dict[str, Any],
        attempt_id: str,
        resume: Resume | None = None,
    ) -> AsyncIterator[Chunk]:
        """Run a request and yield its chunks.

        Raises CONNECT_FAILED (proof that nothing was sent), ENDPOINT_REFUSED (proof
        that nothing ran), and ENDPOINT_FAILED or ENDPOINT_GARBAGE, also while
        streaming.
        """

    async def cancel(self, endpoint: EndpointView, attempt_id: str) -> CancelResult:
        """Stop an attempt and return the result that the engine reports."""

    async def export_kv(self, endpoint: EndpointView, attempt_id: str) -> str:
        """Export the KV cache of a running attempt and return its handle."""

    async def import_kv(
        self, endpoint: EndpointView, handle: str, source: EndpointView
    ) -> int:
        """Import an exported KV cache from ``source``; return its number of tokens."""

    async def load(self, endpoint: EndpointView) -> LoadReport:
        """Return the load of an engine or plain service."""

    async def cache_events(
        self, endpoint: EndpointView, after: int
    ) -> list[CacheEvent]:
        """Return cache events after ``after``; they may be late or missing."""

    async def order(self, endpoint: EndpointView, order: EngineOrder) -> None:
        """Send an order; raises ``STALE_ORDER`` if the engine checks fencing tokens."""

    async def order_state(self, endpoint: EndpointView) -> EngineOrder:
        """Return the order in force."""


# --- plain services --------------------------------------------------------------
class ServiceAnswer(NamedTuple):
    """The complete answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainServices(Protocol):
    """HTTP services that are not model engines."""

    async def call(
        self,
        endpoint: EndpointView,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        attempt_id: str,
        timeout: float,
    ) -> ServiceAnswer:
        """Send a request once, without retries.

        Raises CONNECT_FAILED or ENDPOINT_REFUSED (proof that the request didn't run),
        ENDPOINT_FAILED or ENDPOINT_GARBAGE (the request may have run).
        """
