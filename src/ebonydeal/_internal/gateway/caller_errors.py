"""Error messages as callers see them.

They hold no address or text of an endpoint, and "not run" only where it is certain.
"""

from ebonydeal._internal.errors import EbonydealError, ErrorKind, Outcome

_CALLER_MESSAGES = {
    ErrorKind.CONNECT_FAILED: "No endpoint could be reached.",
    ErrorKind.ENDPOINT_REFUSED: "The endpoints take no more requests now.",
    ErrorKind.ENDPOINT_FAILED: "The endpoint failed.",
    ErrorKind.ENDPOINT_GARBAGE: "The endpoint gave no readable answer.",
    ErrorKind.ENDPOINT_STALLED: "The endpoint gave no answer for too long.",
    ErrorKind.OUTCOME_UNKNOWN: "The endpoint gave no answer.",
}


def error_for_caller(
    error: EbonydealError, may_have_run: bool = False
) -> EbonydealError:
    """Return the error as a caller may see it; the detail stays in the trail.

    Parameters
    ----------
    error : EbonydealError
        What went wrong.
    may_have_run : bool
        Whether the request is under an idempotency key and its journal wasn't
        asked: an earlier try under the key may have run, so a refusal of this
        one says nothing of the outcome.
    """
    message = _CALLER_MESSAGES.get(error.kind, error.detail)
    outcome = Outcome.UNKNOWN if may_have_run else error.outcome
    if message == error.detail and outcome is error.outcome:
        return error
    return EbonydealError(
        error.kind,
        message,
        retry_after=error.retry_after,
        owner=error.owner,
        outcome=outcome,
    )
