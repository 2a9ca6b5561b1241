"""Error responses, from the table of error kinds."""

from aiohttp import web

from ebonydeal._internal.errors import EbonydealError


def error_response(exc: EbonydealError) -> web.Response:
    """Return the response that the error table defines for ``exc``."""
    headers = {"X-Outcome": str(exc.outcome)}
    if exc.retry_delay is not None:
        headers["Retry-After"] = str(max(0, round(exc.retry_delay + 0.499)))
    return web.json_response(exc.to_body(), status=exc.response.status, headers=headers)
