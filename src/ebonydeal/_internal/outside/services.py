"""HTTP client of plain services."""

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.outside.backoff import BackoffListener, report_backoff
from ebonydeal._internal.outside.http import (
    ATTEMPT_HEADER,
    ENDPOINT,
    NOT_RUN_HEADER,
    HttpClient,
)
from ebonydeal._internal.outside.interfaces import ServiceAnswer
from ebonydeal._internal.outside.load_reports import LoadListener, report_load_header
from ebonydeal._internal.settings.sections import PlatformSettings
from ebonydeal._internal.utils.http_framing import is_final_status

_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
_NOT_FORWARDED_HEADERS = frozenset(
    (
        "host",
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "accept-encoding",
    )
)


class HttpPlainServices:
    """`PlainServices` over HTTP for any number of endpoints.

    Calls with a safe method share pooled connections. Every other call opens its
    own connection: a pooled one that the service has just closed would make a
    request that never arrived look like one that may have run.

    Parameters
    ----------
    timeout : float
        Timeout of a connection attempt, seconds.
    on_load : callable, optional
        Called with (endpoint id, report) for each load report in an answer.
    """

    def __init__(self, timeout: float, on_load: LoadListener | None = None) -> None:
        self._pooled = HttpClient(timeout)
        self._single = HttpClient(timeout, pooled=False)
        self.on_load = on_load
        # Called with the backoff that an endpoint asks for when it refuses a request.
        self.on_backoff: BackoffListener | None = None

    @classmethod
    def from_config(
        cls, cfg: PlatformSettings, on_load: LoadListener | None = None
    ) -> "HttpPlainServices":
        """Build from ``[platform]``."""
        return cls(cfg.timeout, on_load)

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
        """Send a request once, without retries.

        Raises CONNECT_FAILED or ENDPOINT_REFUSED (proof that the request didn't run),
        ENDPOINT_FAILED or ENDPOINT_GARBAGE (the request may have run).
        """
        client = self._pooled if method in _SAFE_METHODS else self._single
        forwarded = {
            name: value
            for name, value in headers.items()
            if name.lower() not in _NOT_FORWARDED_HEADERS
        }
        forwarded[ATTEMPT_HEADER] = attempt_id
        reply = await client.fetch(
            method,
            f"http://{endpoint.address}{path}",
            ENDPOINT,
            timeout=timeout,
            headers=forwarded,
            data=body or None,
        )
        report_load_header(self.on_load, endpoint, reply.headers)
        report_backoff(self.on_backoff, endpoint, reply.status, reply.headers)
        if reply.status == 503 and reply.headers.get(NOT_RUN_HEADER) == "1":
            raise EbonydealError(
                ErrorKind.ENDPOINT_REFUSED,
                f"{endpoint.endpoint_id} refused the request",
            )
        if not is_final_status(reply.status):
            raise EbonydealError(
                ErrorKind.ENDPOINT_GARBAGE,
                f"{endpoint.endpoint_id} answered with status {reply.status:03}",
            )
        return ServiceAnswer(reply.status, reply.content_type, reply.body)

    async def close(self) -> None:
        """Close both sessions."""
        await self._pooled.close()
        await self._single.close()
