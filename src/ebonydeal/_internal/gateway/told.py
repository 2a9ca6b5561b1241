"""What callers are told of an endpoint's failure: never its address or text."""

from ebonydeal._internal.errors import EbonydealError, ErrorKind

_TOLD = {
    ErrorKind.CONNECT_FAILED: "No endpoint could be reached.",
    ErrorKind.ENDPOINT_REFUSED: "The endpoints take no more requests now.",
    ErrorKind.ENDPOINT_FAILED: "The endpoint failed.",
    ErrorKind.ENDPOINT_GARBAGE: "The endpoint gave no readable answer.",
    ErrorKind.ENDPOINT_STALLED: "The endpoint gave no answer for too long.",
    ErrorKind.OUTCOME_UNKNOWN: "The endpoint gave no answer.",
}


def for_caller(error: EbonydealError) -> EbonydealError:
    """Return the error as a caller may see it; the detail stays in the trail."""
    told = _TOLD.get(error.kind)
    if told is None:
        return error
    return EbonydealError(error.kind, told, retry_after=error.retry_after)
