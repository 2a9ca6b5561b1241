"""Dispatch and outcome of one non-idempotent request.

The journal is taken as correct (see `spec.journal`): a record is appended in one
step, by the present owner only. Two nodes own the shard in turn, two endpoints
can each get one attempt. A request on the wire can arrive late, also after its
sender died. Engines keep their contract: a cancelled attempt that was queued
never starts, and a refusal comes before running.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checker import Specification, Step
from spec.dispatch_values import Owner, Place, Record, State, Told, Word

MAX_EPOCH = 3
NOBODY = 0


class Guards(NamedTuple):
    """The rules of the protocol; each can be turned off."""

    append_checks_epoch: bool = True
    dispatch_after_durable_record: bool = True
    not_run_needs_proof: bool = True
    cancel_word_must_be_not_started: bool = True
    unknown_after_takeover: bool = True
    answer_after_durable_record: bool = True
    move_after_source_stopped: bool = True
    notice_clears_endpoint: bool = True
    no_attempt_to_leaving_endpoint: bool = True


ALL_GUARDS = Guards()


INITIAL = State(
    epoch=1,
    record=Record.NONE,
    attempt=0,
    owners=(Owner(epoch=1), Owner()),
    places=(Place.IDLE, Place.IDLE),
    runs=0,
    told=frozenset(),
    notice=False,
    gone=False,
    sent_to_leaving=False,
    surprise=False,
)

_FINAL = {Record.COMPLETED, Record.UNKNOWN, Record.ENDED}
_OPEN = {Record.ACCEPTED, Record.NOT_RUN}
_OUTCOMES = {
    Record.COMPLETED: Told.ANSWERED,
    Record.UNKNOWN: Told.UNKNOWN,
    Record.ENDED: Told.NOT_RUN,
}


def specification(guards: Guards = ALL_GUARDS) -> Specification:
    """Return the protocol under ``guards``."""
    return Specification(
        "dispatch",
        INITIAL,
        lambda state: _transitions(guards, state),
        {
            "at most one run": lambda state: state.runs <= 1,
            "not run implies no run": _not_run_is_true,
            "an answer implies one run": _answer_is_true,
            "the caller is told one outcome": lambda state: len(state.told) <= 1,
            "an announced reclaim alone never leaves the outcome unknown": (
                lambda state: state.surprise or state.record is not Record.UNKNOWN
            ),
            "a leaving endpoint gets no attempt": (
                lambda state: not state.sent_to_leaving
            ),
        },
        {
            "answered at the second attempt": (
                lambda state: state.told == {Told.ANSWERED} and state.attempt == 2
            ),
            "answered after an attempt that was proved unrun": (
                lambda state: (
                    state.places == (Place.CLEARED, Place.DONE)
                    and state.told == {Told.ANSWERED}
                )
            ),
            "not run": lambda state: state.told == {Told.NOT_RUN},
            "unknown, and it ran": (
                lambda state: state.told == {Told.UNKNOWN} and state.runs == 1
            ),
            "unknown, and it did not run": (
                lambda state: state.told == {Told.UNKNOWN} and state.runs == 0
            ),
            "starts after its sender was fenced": _starts_after_takeover,
            "moved by a reclaim and answered": _moved_and_answered,
        },
    )


def _not_run_is_true(state: State) -> bool:
    return Told.NOT_RUN not in state.told or state.runs == 0


def _answer_is_true(state: State) -> bool:
    return Told.ANSWERED not in state.told or state.runs == 1


def _starts_after_takeover(state: State) -> bool:
    return state.record is Record.UNKNOWN and state.places[0] is Place.RUNNING


def _moved_and_answered(state: State) -> bool:
    moved = state.places == (Place.STOPPED, Place.DONE)
    return moved and state.told == {Told.ANSWERED}


# --- steps -----------------------------------------------------------------
def _transitions(guards: Guards, state: State) -> Iterator[Step]:
    yield from _endpoint_steps(state)
    yield from _reclaim_steps(guards, state)
    for index, owner in enumerate(state.owners):
        if owner.epoch == NOBODY:
            yield from _takeover(guards, state, index)
            continue
        yield from _crash(state, index)
        if owner.sending:
            yield from _send(guards, state, index, owner)
        elif owner.waiting:
            yield from _learn(guards, state, index, owner)
            yield from _record_word(guards, state, index, owner)
        else:
            yield from _decide(guards, state, index, owner)


def _with(state: State, index: int, owner: Owner) -> State:
    owners = state.owners[:index] + (owner,) + state.owners[index + 1 :]
    return state._replace(owners=owners)


def _place(state: State, attempt: int, place: Place) -> State:
    first, second = state.places
    places = (place, second) if attempt == 1 else (first, place)
    return state._replace(places=places)


def _append(
    guards: Guards, state: State, index: int, record: Record, attempt: int
) -> State | None:
    """Append a record; None where the owner is fenced."""
    owner = state.owners[index]
    if guards.append_checks_epoch and owner.epoch != state.epoch:
        return None
    state = state._replace(record=record, attempt=attempt)
    known = owner._replace(record=record, attempt=attempt)
    return _with(state, index, known)


def _fenced(state: State, index: int) -> Step:
    return f"{index} learns that it is fenced", _with(state, index, Owner())


def _crash(state: State, index: int) -> Iterator[Step]:
    dead = _with(state, index, Owner())
    yield f"{index} crashes", dead._replace(surprise=True)


def _takeover(guards: Guards, state: State, index: int) -> Iterator[Step]:
    if state.epoch >= MAX_EPOCH:
        return
    epoch = state.epoch + 1
    owner = Owner(epoch=epoch, record=state.record, attempt=state.attempt)
    taken = _with(state._replace(epoch=epoch, surprise=True), index, owner)
    if state.record is Record.DISPATCHED and guards.unknown_after_takeover:
        taken = _append(guards, taken, index, Record.UNKNOWN, state.attempt) or taken
    yield f"{index} takes over at epoch {epoch}", taken


def _decide(guards: Guards, state: State, index: int, owner: Owner) -> Iterator[Step]:
    if owner.record is Record.NONE:
        accepted = _append(guards, state, index, Record.ACCEPTED, 0)
        yield (f"{index} accepts", accepted) if accepted else _fenced(state, index)
    elif owner.record in _FINAL:
        yield from _tell(state, owner)
    elif owner.record in _OPEN:
        yield from _dispatch(guards, state, index, owner)
        yield from _end(guards, state, index, owner)
    elif not guards.unknown_after_takeover:
        yield from _dispatch(guards, state, index, owner)


def _tell(state: State, owner: Owner) -> Iterator[Step]:
    outcome = _OUTCOMES[owner.record]
    told = state._replace(told=state.told | {outcome})
    yield f"the caller is told: {outcome.value}", told


def _dispatch(guards: Guards, state: State, index: int, owner: Owner) -> Iterator[Step]:
    attempt = owner.attempt + 1
    if attempt > len(state.places):
        return
    if attempt == 1 and state.notice and guards.no_attempt_to_leaving_endpoint:
        attempt = 2
    if not guards.dispatch_after_durable_record:
        bare = owner._replace(sending=attempt)
        yield f"{index} sends before the record", _with(state, index, bare)
        return
    durable = _append(guards, state, index, Record.DISPATCHED, attempt)
    if durable is None:
        yield _fenced(state, index)
        return
    sending = durable.owners[index]._replace(sending=attempt)
    yield f"{index} records dispatch {attempt}", _with(durable, index, sending)


def _end(guards: Guards, state: State, index: int, owner: Owner) -> Iterator[Step]:
    ended = _append(guards, state, index, Record.ENDED, owner.attempt)
    yield (f"{index} ends it unrun", ended) if ended else _fenced(state, index)
    if not guards.answer_after_durable_record:
        told = state._replace(told=state.told | {Told.NOT_RUN})
        yield f"{index} says not run before the record", told


def _send(guards: Guards, state: State, index: int, owner: Owner) -> Iterator[Step]:
    attempt = owner.sending
    waiting = owner._replace(sending=0, waiting=attempt)
    if attempt == 1 and state.notice and guards.no_attempt_to_leaving_endpoint:
        held = _with(state, index, waiting._replace(word=Word.PROOF))
        yield f"{index} holds attempt 1 back", held
        return
    if state.places[attempt - 1] is not Place.IDLE:
        twice = _with(state, index, waiting)._replace(runs=state.runs + 1)
        yield f"attempt {attempt} is sent twice", twice
        return
    refused = _with(state, index, waiting._replace(word=Word.PROOF))
    yield f"attempt {attempt} finds no connection", refused
    if attempt == 1 and state.gone:
        return
    sent = _place(_with(state, index, waiting), attempt, Place.WIRE)
    if attempt == 1 and state.notice:
        sent = sent._replace(sent_to_leaving=True)
    if not guards.dispatch_after_durable_record:
        late = _append(guards, sent, index, Record.DISPATCHED, attempt)
        sent = late or sent
    yield f"{index} sends attempt {attempt}", sent


def _learn(guards: Guards, state: State, index: int, owner: Owner) -> Iterator[Step]:
    if owner.word is not Word.SILENCE:
        return
    attempt = owner.waiting
    place = state.places[attempt - 1]
    if place is Place.DONE:
        answered = owner._replace(word=Word.ANSWER)
        yield f"{index} gets the answer", _with(state, index, answered)
    broken = _with(state, index, owner._replace(word=Word.BROKEN))
    yield f"{index} loses the connection", broken._replace(surprise=True)
    yield from _cancel(guards, state, index, owner)


def _cancel(guards: Guards, state: State, index: int, owner: Owner) -> Iterator[Step]:
    attempt = owner.waiting
    place = state.places[attempt - 1]
    proven = _with(state, index, owner._replace(word=Word.PROOF))
    if place is Place.QUEUED:
        stopped = _place(proven, attempt, Place.CLEARED)
        yield f"cancel {attempt}: not started", stopped
    elif not guards.cancel_word_must_be_not_started and place is Place.WIRE:
        yield f"cancel {attempt}: unknown, taken as proof", proven


def _record_word(
    guards: Guards, state: State, index: int, owner: Owner
) -> Iterator[Step]:
    attempt = owner.waiting
    match owner.word:
        case Word.SILENCE:
            return
        case Word.PROOF:
            record = Record.NOT_RUN
        case Word.ANSWER:
            record = Record.COMPLETED
        case Word.BROKEN:
            proven = not guards.not_run_needs_proof
            record = Record.NOT_RUN if proven else Record.UNKNOWN
    appended = _append(guards, state, index, record, attempt)
    if appended is None:
        yield _fenced(state, index)
        return
    done = appended.owners[index]._replace(waiting=0, word=Word.SILENCE)
    yield f"{index} records {record.value}", _with(appended, index, done)


def _endpoint_steps(state: State) -> Iterator[Step]:
    for attempt, place in enumerate(state.places, start=1):
        if place is Place.WIRE:
            yield f"attempt {attempt} arrives", _place(state, attempt, Place.QUEUED)
        elif place is Place.QUEUED:
            started = _place(state, attempt, Place.RUNNING)
            yield f"attempt {attempt} starts", started._replace(runs=state.runs + 1)
        elif place is Place.RUNNING:
            yield f"attempt {attempt} finishes", _place(state, attempt, Place.DONE)


def _reclaim_steps(guards: Guards, state: State) -> Iterator[Step]:
    first, second = state.places
    if not state.notice:
        yield "endpoint 1 gets a notice", state._replace(notice=True)
        return
    if first is Place.RUNNING and second is Place.IDLE:
        yield from _move(guards, state)
    cleared = first not in {Place.WIRE, Place.QUEUED, Place.RUNNING}
    if not state.gone and (cleared or not guards.notice_clears_endpoint):
        yield from _gone(state)


def _move(guards: Guards, state: State) -> Iterator[Step]:
    """Move the running state: the same run, if the source stopped first."""
    source = Place.STOPPED if guards.move_after_source_stopped else Place.RUNNING
    runs = state.runs + (source is Place.RUNNING)
    moved = state._replace(places=(source, Place.RUNNING), runs=runs)
    owners = tuple(
        owner._replace(waiting=2) if owner.waiting == 1 else owner
        for owner in state.owners
    )
    yield "the running state moves to endpoint 2", moved._replace(owners=owners)


def _gone(state: State) -> Iterator[Step]:
    first = state.places[0]
    lost = first in {Place.WIRE, Place.QUEUED, Place.RUNNING}
    taken = state._replace(gone=True)
    if lost:
        taken = _place(taken, 1, Place.STOPPED)
    owners = tuple(
        owner._replace(word=Word.BROKEN)
        if lost and owner.waiting == 1 and owner.word is Word.SILENCE
        else owner
        for owner in state.owners
    )
    yield "endpoint 1 is reclaimed", taken._replace(owners=owners)
