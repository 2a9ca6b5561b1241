"""HTTP client of model engines: streams, cancel, KV transfer, load and orders."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from typing import Any

from aiohttp import ClientResponse
from aiohttp.http_exceptions import HttpProcessingError

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.endpoints import EndpointView, LoadReport
from ebonydeal._internal.outside.backoff import BackoffListener, report_backoff
from ebonydeal._internal.outside.chunks import (
    DONE,
    ChunkOrder,
    event_data,
    parse_chunk,
)
from ebonydeal._internal.outside.http import (
    ATTEMPT_HEADER,
    ENDPOINT,
    NOT_RUN_HEADER,
    HttpClient,
    read_object,
)
from ebonydeal._internal.outside.interfaces import (
    CacheEvent,
    CancelResult,
    Chunk,
    EngineOrder,
    Resume,
)
from ebonydeal._internal.outside.load_reports import (
    LoadListener,
    read_load,
    report_load,
    report_load_header,
)
from ebonydeal._internal.settings.sections import PlatformSettings

_KV_TIMEOUT_S = 60.0
_MAX_ERROR_BYTES = 4096
_ORDERS_PATH = "/orders"
_KNOWN_CANCEL_STATES = ("not_started", "stopped", "finished", "unknown")


async def _check_accepted(resp: ClientResponse) -> None:
    """Raise the error kind of a response that is not 200."""
    if resp.status == 200:
        return
    text = (await resp.content.read(_MAX_ERROR_BYTES)).decode(errors="replace")
    detail = f"the engine responded with {resp.status}: {text[:200]}"
    if resp.status == 503 and resp.headers.get(NOT_RUN_HEADER) == "1":
        raise EbonydealError(ErrorKind.ENDPOINT_REFUSED, detail)
    if resp.status in (400, 413, 422):
        raise EbonydealError(ErrorKind.BAD_REQUEST, detail)
    raise EbonydealError(ErrorKind.ENDPOINT_FAILED, detail)


class HttpEngine:
    """`Engine` over HTTP for any number of endpoints; owns one session.

    Parameters
    ----------
    timeout : float
        Timeout of a connection attempt or a short call, seconds. Streams have none:
        the caller checks for stalls and deadlines.
    on_load : callable, optional
        Called with (endpoint id, report) for each load report in an answer.
    """

    def __init__(self, timeout: float, on_load: LoadListener | None = None) -> None:
        self._client = HttpClient(timeout)
        self.on_load = on_load
        # Called with the backoff that an endpoint asks for when it refuses a request.
        self.on_backoff: BackoffListener | None = None

    @classmethod
    def from_config(
        cls, cfg: PlatformSettings, on_load: LoadListener | None = None
    ) -> "HttpEngine":
        """Build from ``[platform]``."""
        return cls(cfg.timeout, on_load)

    async def stream(
        self,
        endpoint: EndpointView,
        path: str,
        body: dict[str, Any],
        attempt_id: str,
        resume: Resume | None = None,
    ) -> AsyncGenerator[Chunk, None]:
        """Run a request and yield its chunks; their positions are consecutive.

        Raises CONNECT_FAILED (proof that nothing was sent), ENDPOINT_REFUSED (proof
        that nothing ran), BAD_REQUEST (the engine refused the body), and
        ENDPOINT_FAILED or ENDPOINT_GARBAGE, also while streaming.
        """
        message = {**body, "stream": True}
        message.pop("resume", None)
        if resume is not None:
            message["resume"] = {
                "delivered": list(resume.delivered),
                "kv_handle": resume.kv_handle,
            }
        order = ChunkOrder(len(resume.delivered) if resume else 0)
        async with self._client.open(
            "POST",
            f"http://{endpoint.address}{path}",
            ENDPOINT,
            timeout_covers_body=False,
            json=message,
            headers={ATTEMPT_HEADER: attempt_id},
        ) as resp:
            report_load_header(self.on_load, endpoint, resp.headers)
            report_backoff(self.on_backoff, endpoint, resp.status, resp.headers)
            await _check_accepted(resp)
            async with aclosing(self._chunks(endpoint, resp, order)) as chunks:
                async for chunk in chunks:
                    yield chunk

    async def _chunks(
        self, endpoint: EndpointView, resp: ClientResponse, order: ChunkOrder
    ) -> AsyncGenerator[Chunk, None]:
        """Yield validated chunks until the end marker."""
        done = False
        async with aclosing(event_data(_lines(resp))) as events:
            async for data in events:
                if done:
                    raise EbonydealError(
                        ErrorKind.ENDPOINT_GARBAGE, "data arrived after the end marker"
                    )
                if data == DONE:
                    done = True
                    continue
                chunk, load = parse_chunk(data)
                order.check(chunk)
                if load is not None:
                    report_load(self.on_load, endpoint, load)
                yield chunk
        if not done or not order.finished:
            raise EbonydealError(ErrorKind.ENDPOINT_FAILED, "the stream ended early")

    async def _short_call(
        self,
        method: str,
        endpoint: EndpointView,
        path: str,
        *,
        timeout: float | None = None,
        **options: Any,
    ) -> dict[str, Any]:
        """Make a call whose response is one JSON object."""
        url = f"http://{endpoint.address}{path}"
        reply = await self._client.fetch(
            method, url, ENDPOINT, timeout=timeout, **options
        )
        report_load_header(self.on_load, endpoint, reply.headers)
        if reply.status == 409 and path == _ORDERS_PATH:
            raise EbonydealError(
                ErrorKind.STALE_ORDER, f"{url} has seen a newer fencing token"
            )
        if reply.status != 200:
            raise EbonydealError(
                ErrorKind.ENDPOINT_FAILED, f"{url} responded with {reply.status}"
            )
        return read_object(reply, url, ENDPOINT)

    async def cancel(self, endpoint: EndpointView, attempt_id: str) -> CancelResult:
        """Stop an attempt and return the result that the engine reports."""
        body = await self._short_call(
            "POST", endpoint, "/cancel", json={"attempt_id": attempt_id}
        )
        match body:
            case {"state": str(state), "tokens": int(tokens)}:
                known = state in _KNOWN_CANCEL_STATES
                return CancelResult(state if known else "unknown", tokens)
        return CancelResult("unknown", 0)

    async def export_kv(self, endpoint: EndpointView, attempt_id: str) -> str:
        """Export the KV cache of a running attempt and return its handle."""
        body = await self._short_call(
            "POST",
            endpoint,
            "/kv/export",
            timeout=_KV_TIMEOUT_S,
            json={"attempt_id": attempt_id},
        )
        return str(_field(body, "handle"))

    async def import_kv(
        self, endpoint: EndpointView, handle: str, source: EndpointView
    ) -> int:
        """Import an exported KV cache from ``source``; return its number of tokens."""
        body = await self._short_call(
            "POST",
            endpoint,
            "/kv/import",
            timeout=_KV_TIMEOUT_S,
            json={"handle": handle, "source": source.address},
        )
        tokens = _field(body, "tokens")
        if not isinstance(tokens, int):
            raise EbonydealError(
                ErrorKind.ENDPOINT_GARBAGE, "'tokens' is not an integer"
            )
        return tokens

    async def load(self, endpoint: EndpointView) -> LoadReport:
        """Return the load of an engine or plain service."""
        load = read_load(await self._short_call("GET", endpoint, "/load"))
        if load is None:
            raise EbonydealError(
                ErrorKind.ENDPOINT_GARBAGE, "the response holds no load report"
            )
        return load

    async def cache_events(
        self, endpoint: EndpointView, after: int
    ) -> list[CacheEvent]:
        """Return cache events after ``after``; they may be late or missing."""
        body = await self._short_call(
            "GET", endpoint, "/cache/events", params={"after": str(after)}
        )
        try:
            return [
                CacheEvent(int(item["seq"]), bool(item["stored"]), str(item["block"]))
                for item in body["events"]
            ]
        except (KeyError, TypeError, ValueError) as exc:
            raise EbonydealError(
                ErrorKind.ENDPOINT_GARBAGE, f"malformed cache event: {exc!r}"
            ) from exc

    async def order(self, endpoint: EndpointView, order: EngineOrder) -> None:
        """Send an order; raises ``STALE_ORDER`` if the engine checks fencing tokens."""
        message = {
            "fence": order.fence,
            "models": list(order.models),
            "role": order.role,
        }
        await self._short_call("POST", endpoint, _ORDERS_PATH, json=message)

    async def order_state(self, endpoint: EndpointView) -> EngineOrder:
        """Return the order in force."""
        body = await self._short_call("GET", endpoint, _ORDERS_PATH)
        try:
            return EngineOrder(
                int(body["fence"]),
                tuple(str(name) for name in body["models"]),
                str(body["role"]),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise EbonydealError(
                ErrorKind.ENDPOINT_GARBAGE, f"malformed order: {exc!r}"
            ) from exc

    async def close(self) -> None:
        """Close the session."""
        await self._client.close()


async def _lines(resp: ClientResponse) -> AsyncIterator[bytes]:
    """Yield the lines of the body; raises ENDPOINT_GARBAGE for one that is too long."""
    try:
        async for line in resp.content:
            yield line
    except (ValueError, HttpProcessingError) as exc:
        raise EbonydealError(
            ErrorKind.ENDPOINT_GARBAGE, "the stream contains a line that is too long"
        ) from exc


def _field(body: dict[str, Any], name: str) -> Any:
    """Return a field of an engine's response, or raise ENDPOINT_GARBAGE."""
    if name not in body:
        raise EbonydealError(ErrorKind.ENDPOINT_GARBAGE, f"the response lacks '{name}'")
    return body[name]
