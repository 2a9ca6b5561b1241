"""What became of one send of a request: the closed list, and what follows.

Safety rests on this type alone. Only `NotSent` and `ProvedNotRun` prove that
the endpoint did not run the request and never will; after any other outcome a
request that may run once is neither sent again nor called "not run".
"""

from dataclasses import dataclass

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.errors import Outcome as Told
from ebonydeal._internal.models.forwarding import AnswerHead


@dataclass(frozen=True)
class NotSent:
    """No byte of the request left this process."""

    kind: ErrorKind
    detail: str


@dataclass(frozen=True)
class ProvedNotRun:
    """The endpoint said that it did not run the request."""

    status: int


@dataclass(frozen=True)
class MayHaveRun:
    """The request was sent and there is no whole answer to it."""

    kind: ErrorKind
    detail: str


@dataclass(frozen=True)
class Answered:
    """The endpoint's whole answer."""

    head: AnswerHead
    body: bytes


Outcome = NotSent | ProvedNotRun | MayHaveRun | Answered


class RunProof:
    """What is known of the runs of one request over all of its sends.

    Parameters
    ----------
    repeatable : bool
        Whether running it twice is harmless.
    """

    def __init__(self, repeatable: bool) -> None:
        self.repeatable = repeatable
        self.may_have_run = False

    def note(self, outcome: Outcome) -> None:
        """Take the outcome of one send."""
        match outcome:
            case MayHaveRun() | Answered():
                self.may_have_run = True
            case NotSent() | ProvedNotRun():
                pass

    @property
    def may_send(self) -> bool:
        """Whether another send can't run it twice against its kind."""
        return self.repeatable or not self.may_have_run

    def refusal(self, error: EbonydealError) -> EbonydealError:
        """Return ``error``, or one without a promise if the request may have run."""
        if not self.may_have_run:
            return error
        if error.answer.status in (502, 504):
            return error
        if error.kind is ErrorKind.REQUEST_QUARANTINED:
            return EbonydealError(error.kind, error.detail, outcome=Told.UNKNOWN)
        return EbonydealError(ErrorKind.OUTCOME_UNKNOWN, error.detail)
