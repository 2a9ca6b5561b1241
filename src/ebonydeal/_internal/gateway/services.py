"""Calls of plain services.

A repeatable call is sent directly to an endpoint, with retries, and with a hedge
if it is a GET or HEAD. Any other call needs an idempotency key and goes through
the request journal, which runs it at most once.
"""

from collections.abc import Mapping
from typing import NamedTuple
from urllib.parse import unquote

from aiohttp import web

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.deferred import journal_response
from ebonydeal._internal.gateway.direct_calls import (
    DirectCall,
    DirectCalls,
    DirectParts,
)
from ebonydeal._internal.gateway.intake import (
    JOURNAL_CALLED,
    REQUEST_ID,
    Intake,
    allowed_priority,
)
from ebonydeal._internal.gateway.parse import CallOptions, body_digest, parse_options
from ebonydeal._internal.gateway.ports import AdmissionPort, JournalPort
from ebonydeal._internal.models.document import Account, Deployment
from ebonydeal._internal.models.requests import Request, RequestKind
from ebonydeal._internal.observe.counters import Event, Metrics, Timing
from ebonydeal._internal.observe.trail import Step, Trails
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.utils.clock import Clock

_SERVICE = "service"
_FORWARDED_HEADERS = ("Accept", "Accept-Language", "Content-Type")


class ServiceParts(NamedTuple):
    """Dependencies of the handler of service calls."""

    intake: Intake
    admission: AdmissionPort
    direct: DirectParts
    journal: JournalPort
    metrics: Metrics
    trails: Trails
    clock: Clock


class Services:
    """Handler of ``/services/{name}/{path}``.

    Parameters
    ----------
    parts : ServiceParts
        Dependencies.
    cfg : GatewaySettings
        Time limits.
    """

    def __init__(self, parts: ServiceParts, cfg: GatewaySettings) -> None:
        self._parts = parts
        self._cfg = cfg
        self._direct = DirectCalls(parts.direct, cfg)

    async def handle(self, req: web.Request) -> web.StreamResponse:
        """Handle any method of ``/services/{name}/{path}``."""
        parts = self._parts
        started = parts.clock.now()
        account = parts.intake.account(req)
        deployment = self._deployment(req.match_info["name"], account)
        raw = await parts.intake.body(req)
        options = parse_options(req.headers).alt(_raise).unwrap()
        path = service_path(req.raw_path, req.match_info["name"])
        idempotent = deployment.is_idempotent(req.method, unquote(path.split("?")[0]))
        request = self._request(
            req, account, deployment, options, path, raw, idempotent
        )
        req[REQUEST_ID] = request.request_id
        parts.trails.add_step(
            request.request_id,
            request.accepted_at,
            Step.RECEIVED,
            deployment=deployment.name,
            method=req.method,
            idempotent=idempotent,
        )
        ticket = await parts.admission.admit(request, deployment)
        try:
            if idempotent:
                resp = await self._direct.answer(DirectCall(request, deployment, raw))
            else:
                req[JOURNAL_CALLED] = True
                resp = await self._through_journal(request, raw)
        finally:
            ticket.release(0)
        parts.metrics.count(Event.ANSWERED)
        parts.metrics.record_duration(Timing.REQUEST, parts.clock.now() - started)
        return resp

    def _deployment(self, name: str, account: Account) -> Deployment:
        """Return the deployment of a plain service; raises NOT_FOUND."""
        found = self._parts.intake.document.deployments.get(name)
        allowed = found is not None and account.name in found.accounts
        if found is None or found.kind != _SERVICE or not allowed:
            detail = f"no service '{name}' for this account"
            raise EbonydealError(ErrorKind.NOT_FOUND, detail)
        return found

    def _request(
        self,
        req: web.Request,
        account: Account,
        deployment: Deployment,
        options: CallOptions,
        path: str,
        raw: bytes,
        idempotent: bool,
    ) -> Request:
        """Return the request; raises KEY_REQUIRED or BAD_REQUEST."""
        intake = self._parts.intake
        times = intake.request_times(options, self._cfg.service_seconds)
        request_id = req[REQUEST_ID]
        if not idempotent:
            request_id = self._keyed_id(account, options, req)
        return Request(
            request_id=request_id,
            account=account.name,
            deployment=deployment.name,
            kind=RequestKind.SERVICE,
            method=req.method,
            path=path,
            headers=forwarded_headers(req.headers),
            body="" if idempotent else _text(raw),
            body_object="",
            body_digest=body_digest(req.method, path, raw),
            key=options.key,
            idempotent=idempotent,
            priority=allowed_priority(options.priority, deployment, account),
            accepted_at=times.received_at,
            deadline=times.deadline,
            prompt_tokens=0,
            max_tokens=0,
        )

    def _keyed_id(
        self, account: Account, options: CallOptions, req: web.Request
    ) -> str:
        """Return the request id of an idempotency key; raises KEY_REQUIRED."""
        if not options.key:
            detail = f"{req.method} {req.path} needs an idempotency key"
            raise EbonydealError(ErrorKind.KEY_REQUIRED, detail)
        return self._parts.intake.keyed_id(account.name, options.key)

    # --- through the journal ---
    async def _through_journal(self, request: Request, raw: bytes) -> web.Response:
        """Let the journal run the call at most once."""
        wait = max(0.0, request.deadline - self._parts.clock.wall())
        status = await self._parts.journal.call(request, wait)
        return journal_response(status)


def service_path(raw_path: str, name: str) -> str:
    """Return the path and query for the service, as encoded by the caller.

    Raises BAD_REQUEST for dot segments: a service could resolve them to a path
    to which another call rule applies.
    """
    _head, _sep, tail = raw_path.partition("/services/")
    path = "/" + tail.partition("/")[2] if "/" in tail else "/"
    if path == "/" and "?" in tail:
        path += tail[tail.index("?") :]
    segments = unquote(path.partition("?")[0]).replace("\\", "/").split("/")
    if "." in segments or ".." in segments:
        raise EbonydealError(ErrorKind.BAD_REQUEST, "the path contains dot segments")
    return path


def forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that are forwarded to a service; never the API key."""
    return {name: headers[name] for name in _FORWARDED_HEADERS if name in headers}


def _text(raw: bytes) -> str:
    """Return a body as text for the journal; raises BAD_REQUEST."""
    try:
        return raw.decode()
    except UnicodeDecodeError:
        detail = "the body of a call with an idempotency key must be UTF-8 text"
        raise EbonydealError(ErrorKind.BAD_REQUEST, detail) from None


def _raise(error: EbonydealError) -> None:
    """Raise a parser failure, so that the error middleware handles it."""
    raise error
