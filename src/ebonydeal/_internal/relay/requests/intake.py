"""From a client's connection to an accepted job, and to its final answer."""

import asyncio

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
from ebonydeal._internal.relay.requests.answers import error_answer
from ebonydeal._internal.relay.requests.job import Job, SendParts
from ebonydeal._internal.relay.requests.plain import PlainForwarder
from ebonydeal._internal.relay.requests.quota import QuotaLimiter
from ebonydeal._internal.relay.requests.stream import StreamForwarder
from ebonydeal._internal.routing.placement.route_index import RouteIndex, pick_service
from ebonydeal._internal.utils.request_digest import RequestDigest

logger = get_logger("relay.intake")

_READ_SLICE = 65536
# The first requests after a start come before the configuration, which is read
# within some ten milliseconds where the store answers.
_KNOWN_WAIT_S = 0.15
_KNOWN_STEP_S = 0.005
# A plain request is expected to take no longer than this many objectives.
_OBJECTIVES = 4.0


class Intake:
    """Handler of the clients' listener."""

    def __init__(
        self, parts: SendParts, quota: QuotaLimiter, quota_wait: float = 0.0
    ) -> None:
        self._parts = parts
        self._quota = quota
        self._quota_wait = quota_wait
        self._plain = PlainForwarder(parts)
        self._stream = StreamForwarder(parts)
        self.closing = False
        self.in_flight = 0
        self._last_calls = 0.0
        self._end = 0.0

    def drain(self, last_calls: float, end: float) -> None:
        """Answer what comes until ``end``, long requests until ``last_calls``."""
        self.closing = True
        self._last_calls = last_calls
        self._end = end

    def _may_finish(self, route: Route) -> bool:
        """Return whether a request that comes now ends before this process."""
        now = self._parts.clock.now()
        if not self.closing or now < self._last_calls:
            return True
        if route.repeat is Repeat.STREAM:
            return False
        return now + min(route.timeout, route.objective * _OBJECTIVES) < self._end

    async def handle(self, http_req: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        started = self._parts.clock.now()
        self.in_flight += 1
        self._parts.metrics.count(Event.REQUESTS)
        try:
            resp = await self._answer(http_req, started)
        except ConnectionError:
            raise
        except asyncio.CancelledError:
            self._parts.metrics.refused(ErrorKind.CALLER_LEFT)
            raise
        except Exception as exc:
            logger.error("A handler failed.", path=http_req.path, exc_info=exc)
            error = EbonydealError(ErrorKind.INTERNAL, "an internal error")
            resp = self._refuse(error, "", None)
        finally:
            self.in_flight -= 1
        if self.closing and not resp.prepared:
            resp.force_close()
        self._parts.metrics.timed(Timing.REQUEST, self._parts.clock.now() - started)
        return resp

    async def _answer(
        self, http_req: web.BaseRequest, started: float
    ) -> web.StreamResponse:
        """Accept and forward; failures become the table's answers."""
        req: ForwardedRequest | None = None
        left: float | None = None
        try:
            req = self._parts.wire.read_request(
                http_req.method, http_req.raw_path, _pairs(http_req)
            )
            left = req.client_timeout
            job = await self._accept(http_req, req, started)
            left = job.until - started
            return await self._forward(job, http_req)
        except EbonydealError as exc:
            if left is not None:
                left -= self._parts.clock.now() - started
            return self._refuse(exc, req.request_id if req else "", left)

    def _refuse(
        self, error: EbonydealError, request_id: str, left: float | None
    ) -> web.Response:
        self._parts.metrics.refused(error.kind)
        logger.info(
            "Refused.",
            request=request_id,
            kind=str(error.kind),
            status=error.answer.status,
            outcome=str(error.outcome),
            detail=error.detail,
        )
        resp = error_answer(error, left)
        if error.kind is ErrorKind.BAD_REQUEST:
            resp.force_close()
        return resp

    async def _accept(
        self, http_req: web.BaseRequest, req: ForwardedRequest, started: float
    ) -> Job:
        """Return the job; raises what speaks against it."""
        index = await self._known(started)
        route = index.route(req.host, req.path)
        if route is None:
            raise EbonydealError(ErrorKind.NOT_FOUND, f"no route for {req.path}")
        if not self._may_finish(route):
            raise EbonydealError(ErrorKind.DRAINING, "this instance stops")
        account = self._account(req, route)
        limits = index.table.limits
        allowed = route.timeout
        if req.client_timeout is not None:
            allowed = min(allowed, req.client_timeout)
        name = "" if account is None else account.name
        digest = RequestDigest(name, req.host, req.method, req.target)
        body = await _read_body(http_req, limits.body_bytes, allowed, digest)
        # Before it draws on its account's limit: it isn't going to run.
        self._parts.suspects.check(digest.text())
        admission = None
        if account is not None:
            patience = min(allowed, route.objective * self._quota_wait)
            amount = _amount(req, account)
            admission = await self._quota.admit(account, amount, patience)
        return Job(
            req=req,
            route=route,
            service=pick_service(route, self._parts.rng),
            account=account,
            body=body,
            started=started,
            until=started + allowed,
            digest=digest.text(),
            admission=admission,
        )

    async def _known(self, started: float) -> RouteIndex:
        """Return the configuration, once it and endpoints are known."""
        view, clock = self._parts.view, self._parts.clock
        while view.index is None or not view.members_known:
            if clock.now() - started >= _KNOWN_WAIT_S:
                detail = "no configuration is known yet"
                raise EbonydealError(ErrorKind.NO_ENDPOINT, detail, retry_after=0.5)
            await clock.sleep(_KNOWN_STEP_S)
        return view.index

    def _account(self, req: ForwardedRequest, route: Route) -> ForwardAccount | None:
        """Return who asks; raises UNAUTHORIZED."""
        index = self._parts.view.index
        assert index is not None
        found = index.account(req.credential) if req.credential else None
        if found is None and index.table.accounts and not route.anonymous:
            raise EbonydealError(ErrorKind.UNAUTHORIZED, "the API key is not known")
        return found

    async def _forward(self, job: Job, http_req: web.BaseRequest) -> web.StreamResponse:
        if job.route.repeat is Repeat.STREAM:
            return await self._stream.answer(job, http_req, self.closing)
        return await self._plain.answer(job)


def _pairs(http_req: web.BaseRequest) -> list[tuple[str, str]]:
    """Return a client's header block as text."""
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in http_req.raw_headers
    ]


def _amount(req: ForwardedRequest, account: ForwardAccount) -> float:
    """Return what a request counts against its account's limit."""
    if not account.in_tokens:
        return 1.0
    if req.prompt_tokens is None:
        return account.plain_tokens
    return float(req.prompt_tokens + req.output_tokens)


async def _read_body(
    http_req: web.BaseRequest, most_bytes: int, allowed: float, digest: RequestDigest
) -> bytes:
    """Return the body, added to ``digest``.

    Raises BODY_TOO_LARGE, SLOW_SENDER or BAD_REQUEST.
    """
    if not http_req.body_exists:
        return b""
    slices: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(allowed):
            while data := await http_req.content.read(_READ_SLICE):
                size += len(data)
                if size > most_bytes:
                    detail = f"more than {most_bytes} bytes"
                    raise EbonydealError(ErrorKind.BODY_TOO_LARGE, detail)
                digest.update(data)
                slices.append(data)
    except TimeoutError:
        raise EbonydealError(ErrorKind.SLOW_SENDER, "the body is not in") from None
    except web.RequestPayloadError as exc:
        raise EbonydealError(ErrorKind.BAD_REQUEST, f"the body broke: {exc}") from exc
    return b"".join(slices)
