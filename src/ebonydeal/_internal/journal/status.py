"""Status message of a request."""

from typing import Any, TypedDict

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.fold import Phase, RequestState
from ebonydeal._internal.models.requests import StoredAnswer


class StatusMessage(TypedDict):
    """Wire format of the reply to status, call and cancel."""

    request_id: str
    state: str
    answer: dict[str, Any] | None
    error: Any


def state_error(state: RequestState) -> EbonydealError | None:
    """Return the error of a final state without an answer."""
    match state.phase:
        case Phase.UNKNOWN:
            return EbonydealError(ErrorKind.OUTCOME_UNKNOWN, f"{state.why}.")
        case Phase.ENDED:
            return EbonydealError(ErrorKind(state.kind), f"{state.why}.")
    return None


def status_message(state: RequestState, answer: StoredAnswer | None) -> StatusMessage:
    """Return the status message; ``answer`` has its body text loaded."""
    error = state_error(state)
    return StatusMessage(
        request_id=state.request.request_id,
        state=str(state.phase),
        answer=None if answer is None else answer._asdict(),
        error=None if error is None else error.to_body()["error"],
    )
