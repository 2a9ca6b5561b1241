"""HTTP client of the weight store."""

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.outside.http import (
    READ,
    HttpClient,
    check_status,
    read_object,
)
from ebonydeal._internal.outside.interfaces import WeightCopy
from ebonydeal._internal.settings.sections import PlatformSettings


class HttpWeightStore:
    """`WeightStore` over HTTP; owns one session.

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
    def from_config(cls, cfg: PlatformSettings) -> "HttpWeightStore":
        """Build from ``[platform]``."""
        return cls(cfg.weights_url, cfg.timeout)

    async def copies(self, model: str) -> list[WeightCopy]:
        """Return the sources from which ``model`` can be loaded."""
        url = f"{self._url}/v1/copies"
        reply = await self._client.fetch("GET", url, READ, params={"model": model})
        check_status(reply, url, READ)
        body = read_object(reply, url, READ)
        try:
            return [
                WeightCopy(
                    str(item["source"]),
                    str(item["model"]),
                    float(item["size_gb"]),
                    str(item["zone"]),
                )
                for item in body["copies"]
            ]
        except (KeyError, TypeError, ValueError) as exc:
            raise EbonydealError(
                READ.garbage, f"malformed weight copy: {exc!r}"
            ) from exc

    async def available_rate(self) -> float:
        """Return the store's unused bandwidth, gigabytes per second."""
        url = f"{self._url}/v1/rate"
        reply = await self._client.fetch("GET", url, READ)
        check_status(reply, url, READ)
        try:
            return float(read_object(reply, url, READ)["gb_per_s"])
        except (KeyError, TypeError, ValueError) as exc:
            raise EbonydealError(
                READ.garbage, f"malformed rate of the weight store: {exc!r}"
            ) from exc

    async def close(self) -> None:
        """Close the session."""
        await self._client.close()
