"""The narrow interface of each outside system.

Decisions and tasks depend on these protocols only; the wire shape of each lives
in one adapter beside this module (see docs/INTERFACES.md). Tests put small fakes
behind them.

Every method raises `EbonydealError`. ``STORE_UNAVAILABLE`` means that nothing
took effect; ``STORE_IN_DOUBT`` means that a write may or may not have.
"""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from ebonydeal._internal.models.endpoints import EndpointView, LoadReport


# --- table service ---------------------------------------------------------
@dataclass(frozen=True)
class RowAbsent:
    """Condition: no row ``key`` exists."""

    key: str


@dataclass(frozen=True)
class RowVersion:
    """Condition: row ``key`` has just this version (a compare-and-set)."""

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
    """Remove row ``key`` if it is there."""

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
        """Do all writes if all conditions hold; return whether they did."""

    async def get(self, key: str) -> Row | None:
        """Return a row, or None."""

    async def scan(self, prefix: str, start: str = "", limit: int = 1000) -> list[Row]:
        """Return rows whose key has ``prefix`` and is >= ``start``, by key."""


class Objects(Protocol):
    """The platform's object store."""

    async def put(self, name: str, data: bytes) -> None:
        """Store an object, replacing one of the same name."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None."""

    async def delete(self, name: str) -> None:
        """Remove an object if it is there."""

    async def names(self, prefix: str) -> list[str]:
        """Return the names that start with ``prefix``, sorted."""


# --- instance list -----------------------------------------------------------
class InstanceList(Protocol):
    """The platform's lagging list of live and leaving instances."""

    async def endpoints(self) -> list[EndpointView]:
        """Return all endpoints that are listed."""

    async def own_nodes(self) -> list[tuple[str, str]]:
        """Return (node id, address) of the system's own instances."""


# --- cloud API ---------------------------------------------------------------
class Offer(NamedTuple):
    """A kind of instance that can be started now.

    ``price_per_hour`` in the document's currency; ``evict_per_hour`` expected
    reclaims an hour (0 for on-demand).
    """

    zone: str
    machine_class: str
    reclaimable: bool
    price_per_hour: float
    evict_per_hour: float
    slots: int


class CloudInstance(NamedTuple):
    """An instance that the cloud runs for us.

    ``token`` is the idempotency token it was started with; ``tags`` say for
    which deployment, by whom (fence) and why.
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
    """The cloud's word that an instance (or, id empty, a zone) is taken back."""

    seq: int
    instance_id: str
    zone: str
    deadline: float


class Cloud(Protocol):
    """The platform's cloud API."""

    async def offers(self) -> list[Offer]:
        """Return what can be started, with present prices."""

    async def start(
        self, token: str, offer: Offer, tags: dict[str, str]
    ) -> CloudInstance:
        """Start an instance; the same token again returns the same instance.

        Raises ``START_REFUSED`` where the zone has none left.
        """

    async def stop(self, instance_id: str) -> None:
        """Stop an instance; stopping a stopped one does nothing."""

    async def instances(self) -> list[CloudInstance]:
        """Return all our instances that are not stopped."""

    async def notices(self, after: int) -> list[ReclaimNotice]:
        """Return reclaim notices with a higher ``seq`` than ``after``."""


# --- weight store ------------------------------------------------------------
class WeightCopy(NamedTuple):
    """A place where weights can be loaded from: the store, or a near copy."""

    source: str
    model: str
    size_gb: float
    zone: str


class WeightStore(Protocol):
    """The platform's rate-limited weight store."""

    async def copies(self, model: str) -> list[WeightCopy]:
        """Return where ``model`` can be loaded from."""

    async def available_rate(self) -> float:
        """Return gigabytes a second that the store can still give."""


# --- model engines -------------------------------------------------------------
class Chunk(NamedTuple):
    """A piece of a streamed answer.

    ``position`` counts tokens of the whole answer from 0, also after a resume;
    ``text`` is the token's text; ``finish`` is the finish reason on the last
    chunk, else empty; ``cached_tokens`` and ``prefilled_tokens`` stand on the
    first chunk (prompt tokens found in the prefix or imported cache, and
    computed), else 0.
    """

    position: int
    text: str
    finish: str = ""
    cached_tokens: int = 0
    prefilled_tokens: int = 0


class Resume(NamedTuple):
    """How a stream goes on elsewhere: text delivered so far and a KV handle."""

    delivered: tuple[str, ...]
    kv_handle: str = ""


class CancelResult(NamedTuple):
    """The engine's word after a cancel.

    ``not_started`` is proof that the attempt never ran; ``stopped`` that it is
    no longer running; ``finished`` that it had ended; ``unknown`` is no proof.
    """

    state: str
    tokens: int


class CacheEvent(NamedTuple):
    """A prompt prefix was stored in or dropped from an engine's cache.

    ``block`` is the chained hash of a prompt block (see `utils.prefix`).
    """

    seq: int
    stored: bool
    block: str


class EngineOrder(NamedTuple):
    """The wanted end of an engine; never a step.

    ``fence`` is the holder's epoch; engines that check refuse a lower one than
    they have seen.
    """

    fence: int
    models: tuple[str, ...]
    role: str


class Engine(Protocol):
    """A model engine, or many of one wire shape: the view names which."""

    def stream(
        self,
        endpoint: EndpointView,
        path: str,
        body: dict[str, Any],
        attempt_id: str,
        resume: Resume | None = None,
    ) -> AsyncIterator[Chunk]:
        """Generate.

        Raises CONNECT_FAILED (proof: not sent), ENDPOINT_REFUSED (proof: not
        run), ENDPOINT_FAILED or ENDPOINT_GARBAGE on the way.
        """

    async def cancel(self, endpoint: EndpointView, attempt_id: str) -> CancelResult:
        """Stop an attempt and return the engine's word."""

    async def export_kv(self, endpoint: EndpointView, attempt_id: str) -> str:
        """Export a running attempt's KV cache; return its handle."""

    async def import_kv(
        self, endpoint: EndpointView, handle: str, source: EndpointView
    ) -> int:
        """Fetch an exported cache from ``source``; return its tokens."""

    async def load(self, endpoint: EndpointView) -> LoadReport:
        """Ask an engine or plain service for its load."""

    async def cache_events(
        self, endpoint: EndpointView, after: int
    ) -> list[CacheEvent]:
        """Return cache events after ``after``; late and with gaps."""

    async def order(self, endpoint: EndpointView, order: EngineOrder) -> None:
        """Give an order; raises ``STALE_ORDER`` where the engine checks."""

    async def order_state(self, endpoint: EndpointView) -> EngineOrder:
        """Read back the order in force."""


# --- plain services --------------------------------------------------------------
class ServiceAnswer(NamedTuple):
    """A plain service's whole answer."""

    status: int
    content_type: str
    body: bytes


class PlainServices(Protocol):
    """Plain services beside the engines."""

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
        """Call once.

        Raises CONNECT_FAILED or ENDPOINT_REFUSED (proof: not run),
        ENDPOINT_FAILED or ENDPOINT_GARBAGE (may have run).
        """
