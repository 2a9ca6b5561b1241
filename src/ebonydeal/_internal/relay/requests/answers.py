"""Final answers of the relay itself, from the table of error kinds."""

from aiohttp import web

from ebonydeal._internal.errors import EbonydealError, Outcome

# Longest share of the time left that a client is asked to wait: clients don't
# honour more.
_WAIT_SHARE = 0.33
_LEAST_WAIT_S = 0.02


def error_answer(error: EbonydealError, left: float | None) -> web.Response:
    """Return the answer for ``error``.

    Parameters
    ----------
    error : EbonydealError
        What happened.
    left : float or None
        Time that the client has left, seconds.
    """
    headers = {"X-Outcome": str(error.outcome)}
    wait = error.wait
    if wait is not None and error.outcome is Outcome.NOT_RUN:
        if left is not None:
            wait = min(wait, max(_LEAST_WAIT_S, left * _WAIT_SHARE))
        headers["Retry-After"] = f"{wait:.3f}"
    return web.json_response(
        error.to_body(), status=error.answer.status, headers=headers
    )
