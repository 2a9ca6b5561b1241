"""Error answers that the relay itself gives, from the table of error kinds."""

from aiohttp import web

from ebonydeal._internal.errors import EbonydealError, Outcome

# Largest share of its remaining time that a client is asked to wait: clients ignore
# a longer Retry-After.
_MAX_WAIT_SHARE = 0.33
_MIN_WAIT_S = 0.02
# A client may send it back with the request that it repeats.
RETRY_TICKET = "X-Retry-Ticket"


def error_answer(error: EbonydealError, time_left: float | None) -> web.Response:
    """Return the answer for ``error``.

    Parameters
    ----------
    error : EbonydealError
        Why the request has no other answer.
    time_left : float or None
        Time until the client's deadline, seconds; None if it has none.
    """
    headers = {"X-Outcome": str(error.outcome)}
    wait = error.retry_delay
    if wait is not None and error.outcome is Outcome.NOT_RUN:
        if time_left is not None:
            wait = min(wait, max(_MIN_WAIT_S, time_left * _MAX_WAIT_SHARE))
        headers["Retry-After"] = f"{wait:.3f}"
        if error.retry_ticket is not None:
            headers[RETRY_TICKET] = error.retry_ticket
    return web.json_response(
        error.to_body(), status=error.response.status, headers=headers
    )
