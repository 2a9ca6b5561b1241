"""HTTP client of the platform's instance list, which lags."""

from typing import Any, TypedDict

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.outside.http import (
    READ,
    HttpClient,
    check_status,
    read_object,
)
from ebonydeal._internal.settings.sections import PlatformSettings


class EndpointMessage(TypedDict):
    """One endpoint of ``GET /v1/instances``."""

    endpoint_id: str
    incarnation: int
    kind: str
    address: str
    region: str
    zone: str
    deployment: str
    models: list[str]
    state: str
    reclaimable: bool
    evict_per_hour: float
    price_per_hour: float


def endpoint_from_message(message: EndpointMessage) -> EndpointView:
    """Parse a message; raises KeyError, TypeError or ValueError."""
    return EndpointView(
        endpoint_id=str(message["endpoint_id"]),
        incarnation=int(message["incarnation"]),
        kind=EndpointKind(message["kind"]),
        address=str(message["address"]),
        place=Place(str(message["region"]), str(message["zone"])),
        deployment=str(message["deployment"]),
        models=tuple(str(name) for name in message["models"]),
        state=EndpointState(message["state"]),
        reclaimable=bool(message["reclaimable"]),
        evict_per_hour=float(message["evict_per_hour"]),
        price_per_hour=float(message["price_per_hour"]),
    )


class HttpInstanceList:
    """`InstanceList` over HTTP; owns one session.

    Parameters
    ----------
    url : str
        Base URL.
    timeout : float
        Timeout of one call, seconds.
    """

    def __init__(self, url: str, timeout: float) -> None:
        self._url = f"{url.rstrip('/')}/v1/instances"
        self._client = HttpClient(timeout, one_address=True)

    @classmethod
    def from_config(cls, cfg: PlatformSettings) -> "HttpInstanceList":
        """Build from ``[platform]``."""
        return cls(cfg.instances_url, cfg.timeout)

    async def _read(self) -> dict[str, Any]:
        reply = await self._client.fetch("GET", self._url, READ)
        check_status(reply, self._url, READ)
        return read_object(reply, self._url, READ)

    async def endpoints(self) -> list[EndpointView]:
        """Return all listed endpoints."""
        body = await self._read()
        try:
            return [endpoint_from_message(item) for item in body["endpoints"]]
        except (KeyError, TypeError, ValueError) as exc:
            raise EbonydealError(
                READ.garbage, f"malformed endpoint in the list: {exc!r}"
            ) from exc

    async def own_nodes(self) -> list[tuple[str, str]]:
        """Return (node id, address) of the system's own instances."""
        body = await self._read()
        try:
            nodes = body.get("nodes", [])
            return [(str(item["id"]), str(item["address"])) for item in nodes]
        except (KeyError, TypeError) as exc:
            raise EbonydealError(
                READ.garbage, f"malformed node in the list: {exc!r}"
            ) from exc

    async def close(self) -> None:
        """Close the session."""
        await self._client.close()
