"""Access checks of pages and forms, error pages and security headers."""

import hmac
from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

from aiohttp import web

from ebonydeal._internal.console.parts import ConsoleParts
from ebonydeal._internal.console.posted import read_form
from ebonydeal._internal.console.sessions import SESSION, Session
from ebonydeal._internal.errors import EbonydealError, ErrorKind

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

LOGIN_PATH = "/login"
_PUBLIC_PATHS = (LOGIN_PATH, "/health/live", "/metrics")
_NON_PAGE_PREFIXES = ("/api/", "/metrics", "/health/")
_SECURITY_HEADERS = {
    "Content-Security-Policy": (
        "default-src 'none'; style-src 'self'; img-src 'self'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    ),
    "X-Content-Type-Options": "nosniff",
    "Referrer-Policy": "same-origin",
    "Cache-Control": "no-store",
}


def page_middleware(parts: ConsoleParts) -> Callable:
    """Return the middleware of all pages; the JSON API checks access itself."""

    @web.middleware
    async def middleware(req: web.Request, handler: Handler) -> web.StreamResponse:
        if req.path.startswith(_NON_PAGE_PREFIXES):
            return await handler(req)
        req[SESSION] = parts.sessions.read(req)
        try:
            resp = await _call_if_allowed(req, handler)
        except EbonydealError as exc:
            resp = _error_page(parts, req, exc)
        except web.HTTPNotFound:
            missing = EbonydealError(ErrorKind.NOT_FOUND, "There is no such page.")
            resp = _error_page(parts, req, missing)
        if not req.path.startswith("/static/"):
            resp.headers.update(_SECURITY_HEADERS)
        return resp

    return middleware


async def _call_if_allowed(req: web.Request, handler: Handler) -> web.StreamResponse:
    """Call the handler if the session, origin and CSRF token allow it."""
    is_open = req.path in _PUBLIC_PATHS or req.path.startswith("/static/")
    session = req[SESSION]
    if session is None and not is_open:
        return web.Response(status=303, headers={"Location": LOGIN_PATH})
    if req.method == "POST":
        _check_origin(req)
        if session is not None and req.path != LOGIN_PATH:
            await _check_csrf(req, session)
    return await handler(req)


def _check_origin(req: web.Request) -> None:
    """Refuse a post that was sent from another site's page."""
    origin = req.headers.get("Origin")
    if origin and urlsplit(origin).netloc != req.host:
        raise EbonydealError(ErrorKind.FORBIDDEN, "The form came from another site.")


async def _check_csrf(req: web.Request, session: Session) -> None:
    """Refuse a post without the session's CSRF token."""
    given = (await read_form(req)).get("csrf", "").encode()
    if not hmac.compare_digest(given, session.csrf.encode()):
        raise EbonydealError(
            ErrorKind.FORBIDDEN, "The form is from another session; load it again."
        )


def _error_page(
    parts: ConsoleParts, req: web.Request, exc: EbonydealError
) -> web.Response:
    """Count an error and return its page."""
    parts.metrics.count_refusal(exc.kind)
    return parts.render.page(
        req, "error", status=exc.response.status, error=exc, hint=exc.response.hint
    )
