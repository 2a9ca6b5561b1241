"""HTTP client of the cloud API."""

from collections.abc import Callable
from typing import Any, TypeVar

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.http import (
    READ,
    WRITE,
    FailureKinds,
    HttpClient,
    check_status,
    read_object,
)
from ebonydeal._internal.outside.interfaces import CloudInstance, Offer, ReclaimNotice
from ebonydeal._internal.settings.sections import PlatformSettings

T = TypeVar("T")


def _offer(message: dict[str, Any]) -> Offer:
    return Offer(
        zone=str(message["zone"]),
        machine_class=str(message["machine_class"]),
        reclaimable=bool(message["reclaimable"]),
        price_per_hour=float(message["price_per_hour"]),
        evict_per_hour=float(message["evict_per_hour"]),
        slots=int(message["slots"]),
    )


def _instance(message: dict[str, Any]) -> CloudInstance:
    return CloudInstance(
        instance_id=str(message["instance_id"]),
        token=str(message["token"]),
        zone=str(message["zone"]),
        machine_class=str(message["machine_class"]),
        reclaimable=bool(message["reclaimable"]),
        state=str(message["state"]),
        address=str(message["address"]),
        started_at=float(message["started_at"]),
        tags={str(name): str(value) for name, value in message["tags"].items()},
    )


def _notice(message: dict[str, Any]) -> ReclaimNotice:
    return ReclaimNotice(
        seq=int(message["seq"]),
        instance_id=str(message["instance_id"]),
        zone=str(message["zone"]),
        deadline=float(message["deadline"]),
    )


def _parse(
    build: Callable[[dict[str, Any]], T], message: Any, kinds: FailureKinds
) -> T:
    """Build a value from a message; raises the garbage kind if it is malformed."""
    try:
        return build(message)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise EbonydealError(
            kinds.garbage, f"malformed response of the cloud: {exc!r}"
        ) from exc


class HttpCloud:
    """`Cloud` over HTTP; owns one session.

    Parameters
    ----------
    url : str
        Base URL.
    timeout : float
        Timeout of one call, seconds.
    """

    def __init__(self, url: str, timeout: float) -> None:
        self._url = url.rstrip("/")
        self._client = HttpClient(timeout, one_address=True)

    @classmethod
    def from_config(cls, cfg: PlatformSettings) -> "HttpCloud":
        """Build from ``[platform]``."""
        return cls(cfg.cloud_url, cfg.timeout)

    async def _list(self, path: str, name: str, **options: Any) -> list[Any]:
        url = f"{self._url}{path}"
        reply = await self._client.fetch("GET", url, READ, **options)
        check_status(reply, url, READ)
        items = read_object(reply, url, READ).get(name)
        if not isinstance(items, list):
            raise EbonydealError(READ.garbage, f"response of {url} lacks '{name}'")
        return items

    async def offers(self) -> list[Offer]:
        """Return what can be started, with current prices."""
        items = await self._list("/v1/offers", "offers")
        return [_parse(_offer, item, READ) for item in items]

    async def start(
        self, token: str, offer: Offer, tags: dict[str, str]
    ) -> CloudInstance:
        """Start an instance; a repeat with the same token returns the same instance.

        Raises ``START_REFUSED`` if the zone has none available.
        """
        url = f"{self._url}/v1/instances"
        message = {
            "token": token,
            "zone": offer.zone,
            "machine_class": offer.machine_class,
            "reclaimable": offer.reclaimable,
            "tags": tags,
        }
        reply = await self._client.fetch("POST", url, WRITE, json=message)
        if reply.status == 409:
            reason = read_object(reply, url, WRITE).get("refused", "refused")
            raise EbonydealError(ErrorKind.START_REFUSED, str(reason))
        check_status(reply, url, WRITE)
        return _parse(_instance, read_object(reply, url, WRITE), WRITE)

    async def stop(self, instance_id: str) -> None:
        """Stop an instance; has no effect on a stopped one."""
        url = f"{self._url}/v1/instances/{instance_id}"
        reply = await self._client.fetch("DELETE", url, WRITE)
        check_status(reply, url, WRITE)

    async def instances(self) -> list[CloudInstance]:
        """Return all instances of this system that are not stopped."""
        items = await self._list("/v1/instances", "instances")
        return [_parse(_instance, item, READ) for item in items]

    async def notices(self, after: int) -> list[ReclaimNotice]:
        """Return reclaim notices with a higher ``seq`` than ``after``."""
        params = {"after": str(after)}
        items = await self._list("/v1/notices", "notices", params=params)
        return [_parse(_notice, item, READ) for item in items]

    async def close(self) -> None:
        """Close the session."""
        await self._client.close()
