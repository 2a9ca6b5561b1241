"""Accepts clients' requests as jobs, has them forwarded, and answers."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import (
    ForwardAccount,
    ForwardedRequest,
    Repeat,
    Route,
)
from ebonydeal._internal.observe.counters import Event, Timing
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.requests.answer_memory import hold_nothing
from ebonydeal._internal.relay.requests.answers import error_answer
from ebonydeal._internal.relay.requests.job import Job, SendParts
from ebonydeal._internal.relay.requests.plain import PlainForwarder
from ebonydeal._internal.relay.requests.quota import QuotaLimiter
from ebonydeal._internal.relay.requests.stream import StreamForwarder
from ebonydeal._internal.routing.crashes.request_traits import RequestTraits
from ebonydeal._internal.routing.placement.route_index import RouteIndex, pick_service
from ebonydeal._internal.utils.clients.connection import BoundedConnection
from ebonydeal._internal.utils.request_digest import RequestDigest
from ebonydeal._internal.utils.tracebacks import drop_frames
from ebonydeal._internal.utils.written_answers import write_out

logger = get_logger("relay.intake")

_READ_CHUNK_BYTES = 65536
# The first requests after a start arrive before the configuration, which is read
# within some ten milliseconds if the store answers.
_CONFIG_TIMEOUT_S = 0.15
_CONFIG_POLL_INTERVAL_S = 0.005


class Intake:
    """Request handler of the clients' listener."""

    def __init__(
        self, parts: SendParts, quota: QuotaLimiter, quota_wait: float = 0.0
    ) -> None:
        self._parts = parts
        self._quota = quota
        self._quota_wait = quota_wait
        self._plain = PlainForwarder(parts)
        self._stream = StreamForwarder(parts)

    async def handle(self, http_req: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        started = self._parts.clock.now()
        self._parts.metrics.count(Event.REQUESTS)
        try:
            resp = await self._answer(http_req, started)
        except ConnectionError:
            raise
        except asyncio.CancelledError:
            self._parts.metrics.count_refusal(ErrorKind.CALLER_LEFT)
            raise
        except Exception as exc:
            logger.error("Request handler failed.", path=http_req.path, exc_info=exc)
            error = EbonydealError(ErrorKind.INTERNAL, "an internal error")
            resp = self._refuse(error, "", None)
        self._parts.stop.record_answer()
        self._close_after(resp)
        self._parts.metrics.record_duration(
            Timing.REQUEST, self._parts.clock.now() - started
        )
        return resp

    async def _answer(
        self, http_req: web.BaseRequest, started: float
    ) -> web.StreamResponse:
        """Accept and forward; errors become answers by the table of error kinds."""
        req: ForwardedRequest | None = None
        time_left: float | None = None
        try:
            req = self._parts.wire.read_request(
                http_req.method, http_req.raw_path, _pairs(http_req)
            )
            time_left = req.client_timeout
            job = await self._accept(http_req, req, started)
            time_left = job.deadline - started
            accepted_at = self._parts.clock.now()
            resp = await self._forward(job, http_req)
            self._close_after(resp)
            await write_out(http_req, resp)
            self._parts.stop.record_duration(job.route, accepted_at)
            return resp
        except EbonydealError as exc:
            if time_left is not None:
                time_left -= self._parts.clock.now() - started
            return self._refuse(exc, req.request_id if req else "", time_left)
        except asyncio.CancelledError:
            conn = http_req.protocol
            closed_for = conn.closed_for if isinstance(conn, BoundedConnection) else ""
            logger.info(
                "Request ended without an answer.",
                request=req.request_id if req else "",
                reason=closed_for or "its client closed the connection",
                after_s=round(self._parts.clock.now() - started, 3),
            )
            raise

    def _close_after(self, resp: web.StreamResponse) -> None:
        """Let the connection close after an answer of a stopping relay."""
        if self._parts.stop.has_begun and not resp.prepared:
            resp.force_close()

    def _refuse(
        self, error: EbonydealError, request_id: str, time_left: float | None
    ) -> web.Response:
        self._parts.metrics.count_refusal(error.kind)
        if error.kind is ErrorKind.DRAINING:
            self._parts.stop.refused += 1
        logger.info(
            "Refused.",
            request=request_id,
            kind=str(error.kind),
            status=error.response.status,
            outcome=str(error.outcome),
            detail=error.detail,
        )
        drop_frames(error)
        resp = error_answer(error, time_left)
        if error.kind is ErrorKind.BAD_REQUEST:
            resp.force_close()
        return resp

    async def _accept(
        self, http_req: web.BaseRequest, req: ForwardedRequest, started: float
    ) -> Job:
        """Return the job; raises the error by which the request is refused."""
        index = await self._wait_for_config(started)
        route = index.route(req.host, req.path)
        if route is None:
            raise EbonydealError(ErrorKind.NOT_FOUND, f"no route for {req.path}")
        timeout = route.timeout
        if req.client_timeout is not None:
            timeout = min(timeout, req.client_timeout)
        deadline = started + timeout
        self._parts.stop.check(route, deadline)
        account = self._account(req, route)
        limits = index.table.limits
        name = "" if account is None else account.name
        digest = RequestDigest(name, req.host, req.method, req.target)
        try:
            async with asyncio.timeout(timeout) as limit:
                with self._parts.stop.limit_body(limit, route, deadline):
                    body = await _read_body(http_req, limits.body_bytes, digest)
        except TimeoutError:
            self._parts.stop.check(route, deadline)
            detail = "the body did not arrive in time"
            raise EbonydealError(ErrorKind.SLOW_SENDER, detail) from None
        conn = http_req.protocol
        hold_answer: Callable[[int], None] = hold_nothing
        if isinstance(conn, BoundedConnection):
            conn.accept()
            hold_answer = conn.hold_answer
        part_ids = [part.part_id for part in req.parts]
        traits = RequestTraits.of_prompt(digest.hexdigest(), name, part_ids)
        # A quarantined request won't run, so it mustn't use up its account's limit.
        self._parts.suspects.check(traits)
        admission = None
        if account is not None:
            # A request that is too late mustn't use up its account's limit either.
            self._parts.stop.check(route, deadline)
            max_wait_s = min(timeout, route.objective * self._quota_wait)
            amount = _amount(req, account)
            admission = await self._quota.admit(account, amount, max_wait_s)
        return Job(
            req=req,
            route=route,
            service=pick_service(route, self._parts.rng),
            account=account,
            body=body,
            started=started,
            deadline=deadline,
            traits=traits,
            admission=admission,
            hold_answer=hold_answer,
        )

    async def _wait_for_config(self, started: float) -> RouteIndex:
        """Return the routes once configuration and endpoints are known."""
        view, clock = self._parts.view, self._parts.clock
        while view.index is None or not view.members_known:
            if clock.now() - started >= _CONFIG_TIMEOUT_S:
                detail = "no configuration is known yet"
                raise EbonydealError(ErrorKind.NO_ENDPOINT, detail, retry_after=0.5)
            await clock.sleep(_CONFIG_POLL_INTERVAL_S)
        return view.index

    def _account(self, req: ForwardedRequest, route: Route) -> ForwardAccount | None:
        """Return the client account of a request; raises UNAUTHORIZED."""
        index = self._parts.view.index
        assert index is not None
        account = index.account(req.credential) if req.credential else None
        if account is None and index.table.accounts and not route.anonymous:
            raise EbonydealError(ErrorKind.UNAUTHORIZED, "the API key is not known")
        return account

    async def _forward(self, job: Job, http_req: web.BaseRequest) -> web.StreamResponse:
        if job.route.repeat is Repeat.STREAM:
            return await self._stream.answer(job, http_req)
        return await self._plain.answer(job)


def _pairs(http_req: web.BaseRequest) -> list[tuple[str, str]]:
    """Return a client's headers as text."""
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in http_req.raw_headers
    ]


def _amount(req: ForwardedRequest, account: ForwardAccount) -> float:
    """Return the amount that a request uses of its account's limit."""
    if not account.in_tokens:
        return 1.0
    if req.prompt_tokens is None:
        return account.plain_tokens
    return float(req.prompt_tokens + req.output_tokens)


async def _read_body(
    http_req: web.BaseRequest, max_bytes: int, digest: RequestDigest
) -> bytes:
    """Return the body, and add it to ``digest``.

    Raises BODY_TOO_LARGE or BAD_REQUEST.
    """
    if not http_req.body_exists:
        return b""
    chunks: list[bytes] = []
    size = 0
    try:
        while data := await http_req.content.read(_READ_CHUNK_BYTES):
            size += len(data)
            if size > max_bytes:
                detail = f"the body is larger than {max_bytes} bytes"
                raise EbonydealError(ErrorKind.BODY_TOO_LARGE, detail)
            digest.update(data)
            chunks.append(data)
    except web.RequestPayloadError as exc:
        raise EbonydealError(
            ErrorKind.BAD_REQUEST, f"the body could not be read: {exc}"
        ) from exc
    return b"".join(chunks)
