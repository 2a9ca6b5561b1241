"""What callers are told of a failure.

Never an endpoint's address or text, and never a false "not run".
"""

from ebonydeal._internal.errors import EbonydealError, ErrorKind, Outcome

_TOLD = {
    ErrorKind.CONNECT_FAILED: "No endpoint could be reached.",
    ErrorKind.ENDPOINT_REFUSED: "The endpoints take no more requests now.",
    ErrorKind.ENDPOINT_FAILED: "The endpoint failed.",
    ErrorKind.ENDPOINT_GARBAGE: "The endpoint gave no readable answer.",
    ErrorKind.ENDPOINT_STALLED: "The endpoint gave no answer for too long.",
    ErrorKind.OUTCOME_UNKNOWN: "The endpoint gave no answer.",
}


def for_caller(error: EbonydealError, keyed: bool = False) -> EbonydealError:
    """Return the error as a caller may see it; the detail stays in the trail.

    Parameters
    ----------
    error : EbonydealError
        What went wrong.
    keyed : bool
        Whether the request is under an idempotency key and its journal wasn't
        asked: an earlier try under the key may have run, so a refusal of this
        one says nothing of the outcome.
    """
    told = _TOLD.get(error.kind, error.detail)
    outcome = Outcome.UNKNOWN if keyed else error.outcome
    if told == error.detail and outcome is error.outcome:
        return error
    return EbonydealError(
        error.kind,
        told,
        retry_after=error.retry_after,
        owner=error.owner,
        outcome=outcome,
    )
