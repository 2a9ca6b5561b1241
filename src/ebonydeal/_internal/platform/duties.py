"""Calls that one node at a time makes of the platform, and endpoints' reports."""

import json
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.duties import DutyAnswer, EndpointReport, RunReport

_HOLDER = "Ebonydeal-Lease-Holder"
_FENCE = "Ebonydeal-Fencing-Token"


class PlatformDuties:
    """Usage reports, scale orders and endpoints' reports; owns one session.

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

    def _open(self) -> ClientSession:
        if self._session is None:
            self._session = ClientSession(connector=TCPConnector(limit=0))
        return self._session

    async def _post(self, path: str, fence: int, message: Any) -> DutyAnswer:
        headers = {
            _HOLDER: self._holder,
            _FENCE: str(fence),
            "Content-Type": "application/json",
        }
        data = json.dumps(message).encode()
        try:
            async with self._open().post(
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

    async def endpoint_report(self, address: str) -> EndpointReport:
        """Ask an engine for its state, which is some hundred ms old."""
        try:
            async with self._open().get(
                f"http://{address}/-/report", timeout=self._timeout
            ) as resp:
                body = json.loads(await resp.read())
                status = resp.status
        except (TimeoutError, ClientError, OSError, ValueError) as exc:
            detail = f"report of {address}: {type(exc).__name__}"
            raise EbonydealError(ErrorKind.ENDPOINT_FAILED, detail) from exc
        if status != 200 or not isinstance(body, dict):
            detail = f"report of {address}: status {status}"
            raise EbonydealError(ErrorKind.ENDPOINT_FAILED, detail)
        return _report(body)

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()
            self._session = None


def _report(body: dict[str, Any]) -> EndpointReport:
    """Return a report of the wire; raises ENDPOINT_GARBAGE."""
    try:
        leaves = body.get("leaves_ms")
        return EndpointReport(
            queued=int(body.get("queued") or 0),
            active=int(body.get("active") or 0),
            cache_used=int(body.get("kv_used") or 0),
            cache_total=int(body.get("kv_total") or 0),
            leaves_in=None if leaves is None else float(leaves) / 1000.0,
            runs=tuple(
                RunReport(str(r[0]), int(r[1]), int(r[2]), int(r[3]))
                for r in body.get("runs") or ()
            ),
        )
    except (TypeError, ValueError, IndexError, KeyError) as exc:
        detail = f"an endpoint's report can't be read: {exc!r}"
        raise EbonydealError(ErrorKind.ENDPOINT_GARBAGE, detail) from exc
