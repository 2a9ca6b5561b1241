"""Calls that one node at a time makes of the platform."""

import json
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.duties import DutyAnswer

_HOLDER = "Ebonydeal-Lease-Holder"
_FENCE = "Ebonydeal-Fencing-Token"


class PlatformDuties:
    """Usage reports and scale orders; owns one session.

    Parameters
    ----------
    url : str
        Base URL of the cloud API.
    timeout : float
        Longest wait for one call, seconds.
    holder : str
        Name of this node.
    """

    def __init__(self, url: str, timeout: float, holder: str) -> None:
        self._url = url.rstrip("/")
        self._timeout = ClientTimeout(total=timeout)
        self._holder = holder
        self._session: ClientSession | None = None

    async def _post(self, path: str, fence: int, message: Any) -> DutyAnswer:
        headers = {
            _HOLDER: self._holder,
            _FENCE: str(fence),
            "Content-Type": "application/json",
        }
        data = json.dumps(message).encode()
        if self._session is None:
            self._session = ClientSession(connector=TCPConnector(limit=0))
        try:
            async with self._session.post(
                f"{self._url}{path}", data=data, headers=headers, timeout=self._timeout
            ) as resp:
                text = (await resp.read()).decode("utf-8", "replace")
                status = resp.status
        except (TimeoutError, ClientError, OSError) as exc:
            detail = f"POST {path}: no answer ({type(exc).__name__})"
            raise EbonydealError(ErrorKind.STORE_IN_DOUBT, detail) from exc
        match status:
            case 200:
                return DutyAnswer(True, False, text)
            case 409:
                return DutyAnswer(False, True, text)
        if status in (429, 503):
            detail = f"POST {path} answered {status}"
            raise EbonydealError(ErrorKind.STORE_UNAVAILABLE, detail)
        return DutyAnswer(False, False, f"{status} {text}")

    async def report_usage(
        self, window: int, counts: dict[str, int], fence: int
    ) -> DutyAnswer:
        """Report how many requests of each account began in a window."""
        message = {"window_id": window, "request_counts": counts}
        return await self._post("/usage", fence, message)

    async def order(
        self, service: str, zone: str, count: int, reclaimable: bool, fence: int
    ) -> DutyAnswer:
        """Order that many endpoints of one kind for a service in a zone."""
        message: dict[str, Any] = {"service": service, "zone": zone, "desired": count}
        if reclaimable:
            message["spot"] = True
        return await self._post("/scale", fence, message)

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()
            self._session = None
