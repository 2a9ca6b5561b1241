"""HTTP client of the object store."""

from urllib.parse import quote

from yarl import URL

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.outside.http import (
    READ,
    WRITE,
    HttpClient,
    check_status,
    read_object,
)
from ebonydeal._internal.settings.sections import PlatformSettings


class HttpObjects:
    """`Objects` over HTTP; owns one session.

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
    def from_config(cls, cfg: PlatformSettings) -> "HttpObjects":
        """Build from ``[platform]``."""
        return cls(cfg.objects_url, cfg.timeout)

    def _object_url(self, name: str) -> str:
        return str(URL(f"{self._url}/v1/objects/{quote(name)}", encoded=True))

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; replaces an existing one of the same name."""
        url = self._object_url(name)
        reply = await self._client.fetch(
            "PUT", URL(url, encoded=True), WRITE, data=data
        )
        check_status(reply, url, WRITE)

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it doesn't exist."""
        url = self._object_url(name)
        reply = await self._client.fetch("GET", URL(url, encoded=True), READ)
        if reply.status == 404:
            return None
        check_status(reply, url, READ)
        return reply.body

    async def delete(self, name: str) -> None:
        """Delete an object if it exists."""
        url = self._object_url(name)
        reply = await self._client.fetch("DELETE", URL(url, encoded=True), WRITE)
        if reply.status != 404:
            check_status(reply, url, WRITE)

    async def names(self, prefix: str) -> list[str]:
        """Return the names that start with ``prefix``, sorted."""
        url = f"{self._url}/v1/names"
        reply = await self._client.fetch("GET", url, READ, params={"prefix": prefix})
        check_status(reply, url, READ)
        names = read_object(reply, url, READ).get("names")
        if not isinstance(names, list):
            raise EbonydealError(READ.garbage, f"response of {url} lacks 'names'")
        return sorted(str(name) for name in names)

    async def close(self) -> None:
        """Close the session."""
        await self._client.close()
