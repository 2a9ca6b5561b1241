"""State of a request as a pure fold over its journal records.

``apply(state, record)`` is total: a record that a correct owner would never
write in this state leaves it unchanged, so that every replay of the same rows
gives the same state.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from ebonydeal._internal.models.records import (
    Accepted,
    Completed,
    Dispatched,
    Ended,
    Expired,
    NotRun,
    Record,
    Unknown,
)
from ebonydeal._internal.models.requests import Request, StoredAnswer


class Phase(StrEnum):
    """Progress of a request; the last three phases are final."""

    ACCEPTED = "accepted"
    DISPATCHED = "dispatched"
    COMPLETED = "completed"
    UNKNOWN = "unknown"
    ENDED = "ended"


FINAL = (Phase.COMPLETED, Phase.UNKNOWN, Phase.ENDED)


class RequestState(NamedTuple):
    """State of one request in the journal.

    Attributes
    ----------
    request : Request
        As accepted; body text and headers are dropped once the phase is final.
    phase : Phase
        Its progress.
    attempt : int
        Number of the last dispatched attempt; 0 for none.
    endpoint_id, incarnation : str, int
        Endpoint of that attempt.
    answer : StoredAnswer or None
        With ``COMPLETED``.
    kind, why : str
        With ``ENDED`` (an error kind and the reason) and ``UNKNOWN`` (reason).
    done_at : float
        Wall clock seconds at which the phase became final; 0.0 before.
    """

    request: Request
    phase: Phase = Phase.ACCEPTED
    attempt: int = 0
    endpoint_id: str = ""
    incarnation: int = 0
    answer: StoredAnswer | None = None
    kind: str = ""
    why: str = ""
    done_at: float = 0.0

    @property
    def is_final(self) -> bool:
        """Whether only expiry can change this state."""
        return self.phase in FINAL


def _close(state: RequestState, phase: Phase, at: float) -> RequestState:
    """Return ``state`` in a final phase, without body text and headers."""
    request = state.request._replace(body="", headers={})
    return state._replace(request=request, phase=phase, done_at=at)


def _dispatch(state: RequestState, record: Dispatched) -> RequestState:
    """Grant an attempt; a non-idempotent request has at most one open grant."""
    if state.phase is not Phase.ACCEPTED or record.attempt <= state.attempt:
        return state
    return state._replace(
        phase=Phase.DISPATCHED,
        attempt=record.attempt,
        endpoint_id=record.endpoint_id,
        incarnation=record.incarnation,
    )


def _withdraw(state: RequestState, record: NotRun) -> RequestState:
    """Withdraw the grant of an attempt that is proven not to have run."""
    if state.phase is not Phase.DISPATCHED or record.attempt != state.attempt:
        return state
    return state._replace(phase=Phase.ACCEPTED)


def apply(state: RequestState | None, record: Record) -> RequestState | None:
    """Return the state after ``record``; None for an unknown or expired request.

    The first final record wins. ``Ended`` means that the request is known not to
    have run, so it is ignored while a grant is open.
    """
    if isinstance(record, Accepted):
        return RequestState(record.request) if state is None else state
    if state is None:
        return None
    if isinstance(record, Expired):
        return None if state.is_final else state
    if state.is_final:
        return state
    match record:
        case Dispatched():
            return _dispatch(state, record)
        case NotRun():
            return _withdraw(state, record)
        case Completed(answer=answer, at=at):
            return _close(state, Phase.COMPLETED, at)._replace(answer=answer)
        case Unknown(why=why, at=at):
            return _close(state, Phase.UNKNOWN, at)._replace(why=why)
        case Ended(kind=kind, why=why, at=at) if state.phase is Phase.ACCEPTED:
            return _close(state, Phase.ENDED, at)._replace(kind=kind, why=why)
    return state


def request_id_of(record: Record) -> str:
    """Return the id of the request that a record belongs to."""
    if isinstance(record, Accepted):
        return record.request.request_id
    return record.request_id


def apply_all(states: dict[str, RequestState], records: Iterable[Record]) -> None:
    """Apply ``records`` to a shard's ``states`` (request id to state)."""
    for record in records:
        request_id = request_id_of(record)
        state = apply(states.get(request_id), record)
        if state is None:
            states.pop(request_id, None)
        else:
            states[request_id] = state


def expiry_records(
    states: dict[str, RequestState], before: float, limit: int
) -> list[Expired]:
    """Return up to ``limit`` records that expire requests final ``before`` a time."""
    records: list[Expired] = []
    for request_id, state in states.items():
        if len(records) >= limit:
            break
        if state.is_final and state.done_at < before:
            records.append(Expired(request_id))
    return records
