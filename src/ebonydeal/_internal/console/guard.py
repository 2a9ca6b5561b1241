"""Who may see a page and post a form; errors as pages, safe headers."""

import hmac
from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

from aiohttp import web

from ebonydeal._internal.console.parts import ConsoleParts
from ebonydeal._internal.console.posted import read_form
from ebonydeal._internal.console.sessions import SESSION, Session
from ebonydeal._internal.errors import EbonydealError, ErrorKind

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

LOGIN = "/login"
_OPEN = (LOGIN, "/health/live", "/metrics")
_PLAIN = ("/api/", "/metrics", "/health/")
_HEADERS = {
    "Content-Security-Policy": (
        "default-src 'none'; style-src 'self'; img-src 'self'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    ),
    "X-Content-Type-Options": "nosniff",
    "Referrer-Policy": "same-origin",
    "Cache-Control": "no-store",
}


def page_middleware(parts: ConsoleParts) -> Callable:
    """Return the middleware of all pages; the JSON API has its own check."""

    @web.middleware
    async def middleware(req: web.Request, handler: Handler) -> web.StreamResponse:
        if req.path.startswith(_PLAIN):
            return await handler(req)
        req[SESSION] = parts.sessions.read(req)
        try:
            resp = await _guarded(req, handler)
        except EbonydealError as exc:
            resp = _error_page(parts, req, exc)
        except web.HTTPNotFound:
            missing = EbonydealError(ErrorKind.NOT_FOUND, "There is no such page.")
            resp = _error_page(parts, req, missing)
        if not req.path.startswith("/static/"):
            resp.headers.update(_HEADERS)
        return resp

    return middleware


async def _guarded(req: web.Request, handler: Handler) -> web.StreamResponse:
    """Call the handler if the session, origin and form token allow it."""
    is_open = req.path in _OPEN or req.path.startswith("/static/")
    session = req[SESSION]
    if session is None and not is_open:
        return web.Response(status=303, headers={"Location": LOGIN})
    if req.method == "POST":
        _check_origin(req)
        if session is not None and req.path != LOGIN:
            await _check_csrf(req, session)
    return await handler(req)


def _check_origin(req: web.Request) -> None:
    """Refuse a post that another site's page sent."""
    origin = req.headers.get("Origin")
    if origin and urlsplit(origin).netloc != req.host:
        raise EbonydealError(ErrorKind.FORBIDDEN, "The form came from another site.")


async def _check_csrf(req: web.Request, session: Session) -> None:
    """Refuse a post without the session's form token."""
    given = (await read_form(req)).get("csrf", "").encode()
    if not hmac.compare_digest(given, session.csrf.encode()):
        raise EbonydealError(
            ErrorKind.FORBIDDEN, "The form is from another session; load it again."
        )


def _error_page(
    parts: ConsoleParts, req: web.Request, exc: EbonydealError
) -> web.Response:
    """Return a page for an error, counted."""
    parts.metrics.count_refusal(exc.kind)
    return parts.render.page(
        req, "error", status=exc.response.status, error=exc, hint=exc.response.hint
    )
