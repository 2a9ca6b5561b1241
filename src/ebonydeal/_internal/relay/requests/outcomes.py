"""The possible outcomes of one send of a request, and what may follow them.

At-most-once execution depends on this type alone. Only `NotSent` and `ProvedNotRun`
prove that the endpoint did not run the request and never will; after any other
outcome an at-most-once request is neither sent again nor reported as "not run".
"""

from dataclasses import dataclass
from http import HTTPStatus

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.errors import Outcome as ReportedOutcome
from ebonydeal._internal.models.forwarding import AnswerHead

# By these statuses a client knows that its request has not run and never will.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


@dataclass(frozen=True)
class NotSent:
    """No byte of the request reached the endpoint.

    ``endpoint_fault`` says whether the endpoint may be the cause.
    """

    kind: ErrorKind
    detail: str
    endpoint_fault: bool = True


@dataclass(frozen=True)
class ProvedNotRun:
    """The endpoint answered that it did not run the request."""

    status: int


@dataclass(frozen=True)
class MayHaveRun:
    """The request was sent, but no complete answer came.

    ``endpoint_fault`` is as in `NotSent`.
    """

    kind: ErrorKind
    detail: str
    endpoint_fault: bool = True


@dataclass(frozen=True)
class Answered:
    """The endpoint's complete answer.

    ``close_delimited`` says that it had neither a length nor chunks.
    """

    head: AnswerHead
    body: bytes
    close_delimited: bool = False


Outcome = NotSent | ProvedNotRun | MayHaveRun | Answered


class RunProof:
    """What is known of the runs of one request, over all of its sends.

    Parameters
    ----------
    repeatable : bool
        Whether it may run more than once.
    """

    def __init__(self, repeatable: bool) -> None:
        self.repeatable = repeatable
        self.may_have_run = False

    def record(self, outcome: Outcome) -> None:
        """Record the outcome of one send."""
        match outcome:
            case MayHaveRun() | Answered():
                self.may_have_run = True
            case NotSent() | ProvedNotRun():
                pass

    @property
    def may_send(self) -> bool:
        """Whether another send can't run an at-most-once request twice."""
        return self.repeatable or not self.may_have_run

    def final_error(self, error: EbonydealError) -> EbonydealError:
        """Return ``error``, or one without the claim "not run" if it may have run."""
        if not self.may_have_run:
            return error
        if error.response.status in (502, 504):
            return error
        if error.kind is ErrorKind.REQUEST_QUARANTINED:
            return EbonydealError(
                error.kind, error.detail, outcome=ReportedOutcome.UNKNOWN
            )
        return EbonydealError(ErrorKind.OUTCOME_UNKNOWN, error.detail)
