"""Error messages as callers see them.

They never contain an endpoint's address or text, and never a false "not run".
"""

from ebonydeal._internal.errors import EbonydealError, ErrorKind, Outcome

_CALLER_MESSAGES = {
    ErrorKind.CONNECT_FAILED: "No endpoint could be reached.",
    ErrorKind.ENDPOINT_REFUSED: "The endpoints accept no more requests at the moment.",
    ErrorKind.ENDPOINT_FAILED: "The endpoint failed.",
    ErrorKind.ENDPOINT_GARBAGE: "The endpoint sent an invalid answer.",
    ErrorKind.ENDPOINT_STALLED: "The endpoint did not answer in time.",
    ErrorKind.OUTCOME_UNKNOWN: "The endpoint did not answer.",
}


def error_for_caller(
    error: EbonydealError, may_have_run: bool = False
) -> EbonydealError:
    """Return the error for the caller; the detail stays in the decision trail.

    Parameters
    ----------
    error : EbonydealError
        The original error.
    may_have_run : bool
        Whether the request has an idempotency key and the journal wasn't called:
        an earlier call under the key may have run, so a refusal of this one says
        nothing about the outcome.
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
