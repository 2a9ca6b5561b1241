"""Who may call the peer listener."""

import hmac
from collections.abc import Callable

from aiohttp import web
from aiohttp.typedefs import Handler

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.utils.peerclient import PEER_HEADER

_OPEN_PATHS = ("/health/live", "/metrics")


def credential_middleware(credential: str) -> Callable:
    """Return a middleware that refuses calls without the shared credential."""
    expected = credential.encode()

    @web.middleware
    async def middleware(req: web.Request, handler: Handler) -> web.StreamResponse:
        given = req.headers.get(PEER_HEADER, "").encode()
        allowed = hmac.compare_digest(given, expected)
        if not allowed and req.path not in _OPEN_PATHS:
            raise EbonydealError(ErrorKind.UNAUTHORIZED, "the peer credential is wrong")
        return await handler(req)

    return middleware
