"""Calls to the platform that only the coordinator makes."""

from typing import Any

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.duties import DutyReply
from ebonydeal._internal.platform.calls import JsonCalls

HOLDER_HEADER = "Ebonydeal-Lease-Holder"
FENCE_HEADER = "Ebonydeal-Fencing-Token"


class PlatformDuties:
    """Sends usage reports and scale orders; owns one session.

    Parameters
    ----------
    url : str
        Base URL of the cloud API.
    timeout : float
        Timeout of one call, seconds.
    holder : str
        Name of this node, as lease holder.
    """

    def __init__(self, url: str, timeout: float, holder: str) -> None:
        self._url = url.rstrip("/")
        self._calls = JsonCalls(timeout)
        self._holder = holder

    async def _post(self, path: str, fence: int, message: Any) -> DutyReply:
        headers = {HOLDER_HEADER: self._holder, FENCE_HEADER: str(fence)}
        reply = await self._calls.call(
            "POST",
            f"{self._url}{path}",
            ErrorKind.STORE_IN_DOUBT,
            headers=headers,
            message=message,
        )
        status = reply.status
        text = reply.body.decode("utf-8", "replace")
        match status:
            case 200:
                return DutyReply(True, False, text)
            case 409:
                return DutyReply(False, True, text)
        if status in (429, 503):
            detail = f"POST {path} returned {status}"
            raise EbonydealError(ErrorKind.STORE_UNAVAILABLE, detail)
        return DutyReply(False, False, f"{status} {text}")

    async def report_usage(
        self, window: int, counts: dict[str, int], fence: int
    ) -> DutyReply:
        """Report how many requests of each account started in a window."""
        message = {"window_id": window, "request_counts": counts}
        return await self._post("/usage", fence, message)

    async def order(
        self, service: str, zone: str, count: int, reclaimable: bool, fence: int
    ) -> DutyReply:
        """Order ``count`` endpoints of one kind for a service in a zone."""
        message: dict[str, Any] = {"service": service, "zone": zone, "desired": count}
        if reclaimable:
            message["spot"] = True
        return await self._post("/scale", fence, message)

    async def close(self) -> None:
        """Close the session."""
        await self._calls.close()
