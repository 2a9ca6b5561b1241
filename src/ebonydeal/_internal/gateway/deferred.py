"""Requests that are accepted now and answered later."""

from typing import NamedTuple

from aiohttp import web

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.intake import JOURNAL_CALLED, REQUEST_ID, Intake
from ebonydeal._internal.gateway.parse import parse_generation
from ebonydeal._internal.gateway.ports import AdmissionPort, JournalPort
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.peers.journal_client import JournalStatus
from ebonydeal._internal.utils.clock import Clock

DEFERRED_PATH = "/v1/deferred"
_POLL_INTERVAL_S = 1


class DeferredParts(NamedTuple):
    """Dependencies of the handlers of deferred requests."""

    intake: Intake
    admission: AdmissionPort
    journal: JournalPort
    metrics: Metrics
    clock: Clock


def journal_response(status: JournalStatus) -> web.Response:
    """Return the response for a request's status; 202 while it has no answer.

    Raises the error of a request that ended without an answer.
    """
    if status.error is not None:
        raise status.error
    if status.answer is not None:
        return web.Response(
            status=status.answer.status,
            body=status.answer.data(),
            headers={"Content-Type": status.answer.content_type},
        )
    if status.is_final:
        raise EbonydealError(ErrorKind.INTERNAL, "the journal lost the answer")
    return _accepted_response(status)


def _accepted_response(status: JournalStatus) -> web.Response:
    """Return the response for a request that is queued or running."""
    return web.json_response(
        {"id": status.request_id, "object": "deferred", "status": status.state},
        status=202,
        headers={
            "Location": f"{DEFERRED_PATH}/{status.request_id}",
            "Retry-After": str(_POLL_INTERVAL_S),
        },
    )


def _status_response(status: JournalStatus) -> web.Response:
    """Return a request's status in the form that callers receive."""
    error = None if status.error is None else status.error.to_body()["error"]
    body = {
        "id": status.request_id,
        "object": "deferred",
        "status": status.state,
        "error": error,
    }
    return web.json_response(body)


class Deferred:
    """Handlers of ``/v1/deferred``.

    Parameters
    ----------
    parts : DeferredParts
        Dependencies.
    """

    def __init__(self, parts: DeferredParts) -> None:
        self._parts = parts

    async def accept(self, req: web.Request) -> web.Response:
        """``POST /v1/deferred``: the body of a chat completion or completion."""
        parts = self._parts
        account = parts.intake.account(req)
        raw = await parts.intake.body(req)
        call = parse_generation(None, raw, req.headers).alt(_raise).unwrap()
        if call.stream:
            raise EbonydealError(
                ErrorKind.BAD_REQUEST, "a deferred request can't be a stream"
            )
        if call.options.key:
            req[REQUEST_ID] = parts.intake.keyed_id(account.name, call.options.key)
        times = parts.intake.request_times(call.options, 0.0)
        request, deployment = parts.intake.generation_request(
            call, account, req[REQUEST_ID], times, raw
        )
        ticket = parts.admission.admit_deferred(request)
        req[JOURNAL_CALLED] = True
        try:
            status = await parts.journal.accept(request)
        finally:
            ticket.release(0)
        parts.metrics.count(Event.ANSWERED)
        return _accepted_response(status)

    async def status(self, req: web.Request) -> web.Response:
        """``GET /v1/deferred/{id}``."""
        return _status_response(await self._status(req))

    async def answer(self, req: web.Request) -> web.Response:
        """``GET /v1/deferred/{id}/answer``."""
        return journal_response(await self._status(req))

    async def cancel(self, req: web.Request) -> web.Response:
        """``DELETE /v1/deferred/{id}``."""
        account = self._parts.intake.account(req)
        request_id = req.match_info["id"]
        req[JOURNAL_CALLED] = True
        status = await self._parts.journal.cancel(request_id, account.name)
        return _status_response(status)

    async def _status(self, req: web.Request) -> JournalStatus:
        """Return the status of the request in the path."""
        account = self._parts.intake.account(req)
        request_id = req.match_info["id"]
        req[JOURNAL_CALLED] = True
        return await self._parts.journal.status(request_id, account.name)


def _raise(error: EbonydealError) -> None:
    """Raise a parser failure, so that the error middleware handles it."""
    raise error
