"""Access control of the peer listener."""

import hmac
from collections.abc import Callable

from aiohttp import web
from aiohttp.typedefs import Handler

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.utils.peerclient import PEER_HEADER

_OPEN_PATHS = ("/health/live", "/metrics")


def check_credential(req: web.BaseRequest, credential: str) -> None:
    """Raise UNAUTHORIZED if a call doesn't carry the shared credential."""
    given = req.headers.get(PEER_HEADER, "").encode()
    if not hmac.compare_digest(given, credential.encode()):
        raise EbonydealError(ErrorKind.UNAUTHORIZED, "the peer credential is wrong")


def credential_middleware(credential: str) -> Callable:
    """Return a middleware that rejects calls without the shared credential."""

    @web.middleware
    async def middleware(req: web.Request, handler: Handler) -> web.StreamResponse:
        if req.path not in _OPEN_PATHS:
            check_credential(req, credential)
        return await handler(req)

    return middleware
