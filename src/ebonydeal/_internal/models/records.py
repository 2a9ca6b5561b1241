"""Journal records: the complete durable history of a request.

A request's state follows from its records alone. The field ``record`` of each class is
its type tag on the wire.
"""

from dataclasses import asdict, dataclass
from typing import Any

from ebonydeal._internal.models.requests import Request, StoredAnswer


@dataclass(frozen=True)
class Accepted:
    """The request is accepted: it will be answered, "not run" or "unknown"."""

    request: Request
    record: str = "accepted"


@dataclass(frozen=True)
class Dispatched:
    """An attempt may have reached ``endpoint_id`` from now on."""

    request_id: str
    attempt: int
    endpoint_id: str
    incarnation: int
    record: str = "dispatched"


@dataclass(frozen=True)
class NotRun:
    """Proof exists that ``attempt`` did not run."""

    request_id: str
    attempt: int
    proof: str
    record: str = "not_run"


@dataclass(frozen=True)
class Completed:
    """The first complete answer; later ones are dropped and counted."""

    request_id: str
    attempt: int
    answer: StoredAnswer
    at: float
    record: str = "completed"


@dataclass(frozen=True)
class Unknown:
    """The outcome can no longer be known; the request is never run again."""

    request_id: str
    attempt: int
    why: str
    at: float
    record: str = "unknown"


@dataclass(frozen=True)
class Ended:
    """Ended without an answer and known not to have run: cancelled or refused."""

    request_id: str
    kind: str
    why: str
    at: float
    record: str = "ended"


@dataclass(frozen=True)
class Expired:
    """The retention time has passed; the request is deleted."""

    request_id: str
    record: str = "expired"


Record = Accepted | Dispatched | NotRun | Completed | Unknown | Ended | Expired

_CLASSES: dict[str, type] = {
    cls.record: cls
    for cls in (Accepted, Dispatched, NotRun, Completed, Unknown, Ended, Expired)
}


def record_to_message(record: Record) -> dict[str, Any]:
    """Return the wire format of a record."""
    match record:
        case Accepted(request=request):
            return {"record": record.record, "request": request.to_message()}
        case Completed():
            message = asdict(record)
            message["answer"] = record.answer._asdict()
            return message
    return asdict(record)


def record_from_message(message: dict[str, Any]) -> Record:
    """Build a record; raises KeyError, TypeError or ValueError on invalid input."""
    fields = dict(message)
    cls = _CLASSES[fields.pop("record")]
    if cls is Accepted:
        return Accepted(Request.from_message(fields["request"]))
    if cls is Completed:
        fields["answer"] = StoredAnswer(**fields["answer"])
    return cls(**fields)
