"""What is known of an endpoint: its identity, load and leaving."""

from enum import StrEnum
from typing import NamedTuple, TypedDict

from ebonydeal._internal.models.places import Place


class EndpointKind(StrEnum):
    """Kind of server that runs on an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


class EndpointState(StrEnum):
    """State of an endpoint in the instance list."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class LoadMessage(TypedDict):
    """Wire format of a load report (``X-Engine-Load`` header and ``GET /load``)."""

    running: int
    waiting: int
    slots: int
    kv_used: float
    tokens_per_s: float
    at: float


class LoadReport(NamedTuple):
    """An endpoint's report of its own load.

    Attributes
    ----------
    running, waiting, slots : int
        Requests running, requests queued, and the most that can run.
    kv_used : float
        Share of the KV cache in use, 0 to 1.
    tokens_per_s : float
        Generation rate of one running stream, tokens per second.
    at : float
        Wall clock seconds at which the endpoint measured this.
    """

    running: int
    waiting: int
    slots: int
    kv_used: float
    tokens_per_s: float
    at: float

    @classmethod
    def from_message(cls, message: LoadMessage) -> "LoadReport":
        """Build from the wire format; raises KeyError, TypeError or ValueError."""
        return cls(
            running=int(message["running"]),
            waiting=int(message["waiting"]),
            slots=int(message["slots"]),
            kv_used=float(message["kv_used"]),
            tokens_per_s=float(message["tokens_per_s"]),
            at=float(message["at"]),
        )

    def to_message(self) -> LoadMessage:
        """Return the wire format."""
        return LoadMessage(
            running=self.running,
            waiting=self.waiting,
            slots=self.slots,
            kv_used=self.kv_used,
            tokens_per_s=self.tokens_per_s,
            at=self.at,
        )


class EndpointView(NamedTuple):
    """What a process knows of one endpoint.

    Attributes
    ----------
    endpoint_id : str
        Id of the instance that the endpoint runs on.
    incarnation : int
        Grows whenever the same id restarts; a leaving mark holds for one incarnation.
    kind : EndpointKind
        Model engine or plain service.
    address : str
        ``host:port``.
    place : Place
        Region and availability zone.
    deployment : str
        Deployment (or plain service name) that the endpoint serves.
    models : tuple of str
        Models and adapters that are loaded and warm.
    state : EndpointState
        As last reported.
    reclaimable : bool
        Whether the platform may reclaim the instance.
    evict_per_hour : float
        Expected reclaims per hour, 0 or more.
    price_per_hour : float
        Current price of the instance, in the document's currency.
    load : LoadReport or None
        Last report; None before the first.
    """

    endpoint_id: str
    incarnation: int
    kind: EndpointKind
    address: str
    place: Place
    deployment: str
    models: tuple[str, ...]
    state: EndpointState
    reclaimable: bool
    evict_per_hour: float
    price_per_hour: float
    load: LoadReport | None = None


class LeavingMark(NamedTuple):
    """Mark that an incarnation of an endpoint, or a whole zone, leaves; never undone.

    Attributes
    ----------
    endpoint_id : str
        Instance id; empty for a whole availability zone.
    incarnation : int
        Marked incarnation; for a zone, 0.
    zone : str
        Availability zone of a zone-wide mark, else empty.
    deadline : float
        Wall clock seconds at which the instance is reclaimed; ``0.0`` if unknown.
    source : str
        Where this is known from: ``cloud``, ``engine``, ``peer`` or ``list``.
    at : float
        Wall clock seconds of the first notice; a zone-wide mark covers the
        incarnations that started before it.
    """

    endpoint_id: str
    incarnation: int
    zone: str
    deadline: float
    source: str
    at: float
