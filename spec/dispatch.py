"""Dispatch and outcome of one non-idempotent request.

The journal is assumed correct (see `spec.journal`): a record is appended in one
step, by the current owner only. Two nodes own the shard in turn, and each of two
endpoints can get one attempt. A request on the wire can arrive late, even after its
sender crashed. Engines keep their contract: a cancelled attempt that was queued
never starts, and an attempt is refused only before it runs.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checker import Specification, Step
from spec.dispatch_values import (
    AttemptReport,
    AttemptState,
    Owner,
    Record,
    ReportedOutcome,
    State,
)

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
    attempt_states=(AttemptState.IDLE, AttemptState.IDLE),
    runs=0,
    reported=frozenset(),
    notice=False,
    gone=False,
    sent_to_leaving=False,
    unannounced_failure=False,
)

_FINAL = {Record.COMPLETED, Record.UNKNOWN, Record.ENDED}
_OPEN = {Record.ACCEPTED, Record.NOT_RUN}
_OUTCOMES = {
    Record.COMPLETED: ReportedOutcome.ANSWERED,
    Record.UNKNOWN: ReportedOutcome.UNKNOWN,
    Record.ENDED: ReportedOutcome.NOT_RUN,
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
            "the caller is told one outcome": lambda state: len(state.reported) <= 1,
            "an announced reclaim alone never leaves the outcome unknown": (
                lambda state: (
                    state.unannounced_failure or state.record is not Record.UNKNOWN
                )
            ),
            "a leaving endpoint gets no attempt": (
                lambda state: not state.sent_to_leaving
            ),
        },
        {
            "answered at the second attempt": (
                lambda state: (
                    state.reported == {ReportedOutcome.ANSWERED} and state.attempt == 2
                )
            ),
            "answered after an attempt that was proved unrun": (
                lambda state: (
                    state.attempt_states == (AttemptState.CLEARED, AttemptState.DONE)
                    and state.reported == {ReportedOutcome.ANSWERED}
                )
            ),
            "not run": lambda state: state.reported == {ReportedOutcome.NOT_RUN},
            "unknown, and it ran": (
                lambda state: (
                    state.reported == {ReportedOutcome.UNKNOWN} and state.runs == 1
                )
            ),
            "unknown, and it did not run": (
                lambda state: (
                    state.reported == {ReportedOutcome.UNKNOWN} and state.runs == 0
                )
            ),
            "starts after its sender was fenced": _starts_after_takeover,
            "moved by a reclaim and answered": _migrated_and_answered,
        },
    )


def _not_run_is_true(state: State) -> bool:
    return ReportedOutcome.NOT_RUN not in state.reported or state.runs == 0


def _answer_is_true(state: State) -> bool:
    return ReportedOutcome.ANSWERED not in state.reported or state.runs == 1


def _starts_after_takeover(state: State) -> bool:
    return (
        state.record is Record.UNKNOWN
        and state.attempt_states[0] is AttemptState.RUNNING
    )


def _migrated_and_answered(state: State) -> bool:
    migrated = state.attempt_states == (AttemptState.STOPPED, AttemptState.DONE)
    return migrated and state.reported == {ReportedOutcome.ANSWERED}


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
            yield from _learn_outcome(guards, state, index, owner)
            yield from _record_report(guards, state, index, owner)
        else:
            yield from _decide(guards, state, index, owner)


def _with(state: State, index: int, owner: Owner) -> State:
    owners = state.owners[:index] + (owner,) + state.owners[index + 1 :]
    return state._replace(owners=owners)


def _set_attempt_state(
    state: State, attempt: int, attempt_state: AttemptState
) -> State:
    first, second = state.attempt_states
    attempt_states = (attempt_state, second) if attempt == 1 else (first, attempt_state)
    return state._replace(attempt_states=attempt_states)


def _append(
    guards: Guards, state: State, index: int, record: Record, attempt: int
) -> State | None:
    """Append a record; return None if the owner is fenced."""
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
    yield f"{index} crashes", dead._replace(unannounced_failure=True)


def _takeover(guards: Guards, state: State, index: int) -> Iterator[Step]:
    if state.epoch >= MAX_EPOCH:
        return
    epoch = state.epoch + 1
    owner = Owner(epoch=epoch, record=state.record, attempt=state.attempt)
    updated = _with(state._replace(epoch=epoch, unannounced_failure=True), index, owner)
    if state.record is Record.DISPATCHED and guards.unknown_after_takeover:
        updated = (
            _append(guards, updated, index, Record.UNKNOWN, state.attempt) or updated
        )
    yield f"{index} takes over at epoch {epoch}", updated


def _decide(guards: Guards, state: State, index: int, owner: Owner) -> Iterator[Step]:
    if owner.record is Record.NONE:
        accepted = _append(guards, state, index, Record.ACCEPTED, 0)
        yield (f"{index} accepts", accepted) if accepted else _fenced(state, index)
    elif owner.record in _FINAL:
        yield from _report_outcome(state, owner)
    elif owner.record in _OPEN:
        yield from _dispatch(guards, state, index, owner)
        yield from _end(guards, state, index, owner)
    elif not guards.unknown_after_takeover:
        yield from _dispatch(guards, state, index, owner)


def _report_outcome(state: State, owner: Owner) -> Iterator[Step]:
    outcome = _OUTCOMES[owner.record]
    reported = state._replace(reported=state.reported | {outcome})
    yield f"the caller is told: {outcome.value}", reported


def _dispatch(guards: Guards, state: State, index: int, owner: Owner) -> Iterator[Step]:
    attempt = owner.attempt + 1
    if attempt > len(state.attempt_states):
        return
    if attempt == 1 and state.notice and guards.no_attempt_to_leaving_endpoint:
        attempt = 2
    if not guards.dispatch_after_durable_record:
        unrecorded = owner._replace(sending=attempt)
        yield f"{index} sends before the record", _with(state, index, unrecorded)
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
        reported = state._replace(reported=state.reported | {ReportedOutcome.NOT_RUN})
        yield f"{index} says not run before the record", reported


def _send(guards: Guards, state: State, index: int, owner: Owner) -> Iterator[Step]:
    attempt = owner.sending
    waiting = owner._replace(sending=0, waiting=attempt)
    if attempt == 1 and state.notice and guards.no_attempt_to_leaving_endpoint:
        withheld = _with(state, index, waiting._replace(report=AttemptReport.PROOF))
        yield f"{index} holds attempt 1 back", withheld
        return
    if state.attempt_states[attempt - 1] is not AttemptState.IDLE:
        duplicated = _with(state, index, waiting)._replace(runs=state.runs + 1)
        yield f"attempt {attempt} is sent twice", duplicated
        return
    refused = _with(state, index, waiting._replace(report=AttemptReport.PROOF))
    yield f"attempt {attempt} finds no connection", refused
    if attempt == 1 and state.gone:
        return
    sent = _set_attempt_state(_with(state, index, waiting), attempt, AttemptState.WIRE)
    if attempt == 1 and state.notice:
        sent = sent._replace(sent_to_leaving=True)
    if not guards.dispatch_after_durable_record:
        recorded_late = _append(guards, sent, index, Record.DISPATCHED, attempt)
        sent = recorded_late or sent
    yield f"{index} sends attempt {attempt}", sent


def _learn_outcome(
    guards: Guards, state: State, index: int, owner: Owner
) -> Iterator[Step]:
    if owner.report is not AttemptReport.SILENCE:
        return
    attempt = owner.waiting
    attempt_state = state.attempt_states[attempt - 1]
    if attempt_state is AttemptState.DONE:
        answered = owner._replace(report=AttemptReport.ANSWER)
        yield f"{index} gets the answer", _with(state, index, answered)
    disconnected = _with(state, index, owner._replace(report=AttemptReport.BROKEN))
    yield (
        f"{index} loses the connection",
        disconnected._replace(unannounced_failure=True),
    )
    yield from _cancel(guards, state, index, owner)


def _cancel(guards: Guards, state: State, index: int, owner: Owner) -> Iterator[Step]:
    attempt = owner.waiting
    attempt_state = state.attempt_states[attempt - 1]
    proven = _with(state, index, owner._replace(report=AttemptReport.PROOF))
    if attempt_state is AttemptState.QUEUED:
        stopped = _set_attempt_state(proven, attempt, AttemptState.CLEARED)
        yield f"cancel {attempt}: not started", stopped
    elif (
        not guards.cancel_word_must_be_not_started
        and attempt_state is AttemptState.WIRE
    ):
        yield f"cancel {attempt}: unknown, taken as proof", proven


def _record_report(
    guards: Guards, state: State, index: int, owner: Owner
) -> Iterator[Step]:
    attempt = owner.waiting
    match owner.report:
        case AttemptReport.SILENCE:
            return
        case AttemptReport.PROOF:
            record = Record.NOT_RUN
        case AttemptReport.ANSWER:
            record = Record.COMPLETED
        case AttemptReport.BROKEN:
            proven = not guards.not_run_needs_proof
            record = Record.NOT_RUN if proven else Record.UNKNOWN
    appended = _append(guards, state, index, record, attempt)
    if appended is None:
        yield _fenced(state, index)
        return
    done = appended.owners[index]._replace(waiting=0, report=AttemptReport.SILENCE)
    yield f"{index} records {record.value}", _with(appended, index, done)


def _endpoint_steps(state: State) -> Iterator[Step]:
    for attempt, attempt_state in enumerate(state.attempt_states, start=1):
        if attempt_state is AttemptState.WIRE:
            yield (
                f"attempt {attempt} arrives",
                _set_attempt_state(state, attempt, AttemptState.QUEUED),
            )
        elif attempt_state is AttemptState.QUEUED:
            started = _set_attempt_state(state, attempt, AttemptState.RUNNING)
            yield f"attempt {attempt} starts", started._replace(runs=state.runs + 1)
        elif attempt_state is AttemptState.RUNNING:
            yield (
                f"attempt {attempt} finishes",
                _set_attempt_state(state, attempt, AttemptState.DONE),
            )


def _reclaim_steps(guards: Guards, state: State) -> Iterator[Step]:
    first, second = state.attempt_states
    if not state.notice:
        yield "endpoint 1 gets a notice", state._replace(notice=True)
        return
    if first is AttemptState.RUNNING and second is AttemptState.IDLE:
        yield from _migrate(guards, state)
    cleared = first not in {
        AttemptState.WIRE,
        AttemptState.QUEUED,
        AttemptState.RUNNING,
    }
    if not state.gone and (cleared or not guards.notice_clears_endpoint):
        yield from _gone(state)


def _migrate(guards: Guards, state: State) -> Iterator[Step]:
    """Migrate the run to endpoint 2; it is the same run if the source stopped."""
    source = (
        AttemptState.STOPPED
        if guards.move_after_source_stopped
        else AttemptState.RUNNING
    )
    runs = state.runs + (source is AttemptState.RUNNING)
    migrated = state._replace(attempt_states=(source, AttemptState.RUNNING), runs=runs)
    owners = tuple(
        owner._replace(waiting=2) if owner.waiting == 1 else owner
        for owner in state.owners
    )
    yield "the running state moves to endpoint 2", migrated._replace(owners=owners)


def _gone(state: State) -> Iterator[Step]:
    first = state.attempt_states[0]
    was_active = first in {AttemptState.WIRE, AttemptState.QUEUED, AttemptState.RUNNING}
    updated = state._replace(gone=True)
    if was_active:
        updated = _set_attempt_state(updated, 1, AttemptState.STOPPED)
    owners = tuple(
        owner._replace(report=AttemptReport.BROKEN)
        if was_active and owner.waiting == 1 and owner.report is AttemptReport.SILENCE
        else owner
        for owner in state.owners
    )
    yield "endpoint 1 is reclaimed", updated._replace(owners=owners)
