"""Two operators commit versions by compare-and-set on the head.

The version row, the items and the head are one transaction. A commit that was
sent can land late, twice or never, and its answer can be lost; the operator's
process then finds out what became of it before it says anything.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checker import Specification, Step

OPERATORS = 2
MAX_VERSION = 3
MAX_SENDS = 5
ABSENT = -1


class Guards(NamedTuple):
    """The rules of the protocol; each can be turned off."""

    commit_compares_head: bool = True
    answer_after_read_back: bool = True
    read_back_compares_author: bool = True
    absent_is_sent_again: bool = True


ALL_GUARDS = Guards()


class Operator(NamedTuple):
    """``base`` is the version read; ``doubt`` the one whose answer is missing."""

    base: int = ABSENT
    doubt: int = 0
    accepted: frozenset[int] = frozenset()
    refused: frozenset[int] = frozenset()


class Message(NamedTuple):
    """A commit on its way to the table."""

    operator: int
    version: int


class State(NamedTuple):
    """``authors[v - 1]`` is the operator whose document is version v."""

    authors: tuple[int, ...]
    operators: tuple[Operator, ...]
    flight: frozenset[Message]
    sends: int


INITIAL = State((), (Operator(),) * OPERATORS, frozenset(), 0)


def specification(guards: Guards = ALL_GUARDS) -> Specification:
    """Return the protocol under ``guards``."""
    return Specification(
        "config commit",
        INITIAL,
        lambda state: _transitions(guards, state),
        {
            "each version has one winner at most": _one_winner,
            "an accepted document stands in the history": _accepted_stands,
            "a refused document never takes effect": _refused_is_nowhere,
        },
        {
            "a conflict": lambda state: any(one.refused for one in state.operators),
            "both operators win": lambda state: all(
                one.accepted for one in state.operators
            ),
            "an old commit is still on its way": lambda state: any(
                message.version < len(state.authors) for message in state.flight
            ),
        },
    )


def _one_winner(state: State) -> bool:
    accepted = [version for one in state.operators for version in one.accepted]
    return len(set(accepted)) == len(accepted)


def _author(state: State, version: int) -> int:
    return state.authors[version - 1] if version <= len(state.authors) else ABSENT


def _accepted_stands(state: State) -> bool:
    return all(
        _author(state, version) == index
        for index, one in enumerate(state.operators)
        for version in one.accepted
    )


def _refused_is_nowhere(state: State) -> bool:
    return not any(
        _author(state, version) == index
        for index, one in enumerate(state.operators)
        for version in one.refused
    )


def _transitions(guards: Guards, state: State) -> Iterator[Step]:
    yield from _landings(guards, state)
    for index, operator in enumerate(state.operators):
        if operator.doubt:
            yield from _find_out(guards, state, index, operator)
        elif operator.base == ABSENT:
            read = operator._replace(base=len(state.authors))
            yield f"{index} reads the head", _with(state, index, read)
        else:
            yield from _propose(state, index, operator)


def _with(state: State, index: int, operator: Operator) -> State:
    operators = list(state.operators)
    operators[index] = operator
    return state._replace(operators=tuple(operators))


def _send(state: State, message: Message) -> State:
    flight = state.flight | {message}
    return state._replace(flight=flight, sends=state.sends + 1)


def _propose(state: State, index: int, operator: Operator) -> Iterator[Step]:
    version = operator.base + 1
    if version > MAX_VERSION or state.sends >= MAX_SENDS:
        return
    sent = _send(state, Message(index, version))
    doubtful = operator._replace(base=ABSENT, doubt=version)
    yield f"{index} sends version {version}", _with(sent, index, doubtful)


def _landings(guards: Guards, state: State) -> Iterator[Step]:
    for message in sorted(state.flight):
        name = f"version {message.version} of {message.operator} lands"
        landed = _land(guards, state, message)
        yield f"{name}, and will again", landed
        landed = landed._replace(flight=state.flight - {message})
        yield f"{name}, answer lost", landed
        operator = state.operators[message.operator]
        if landed.authors != state.authors and operator.doubt == message.version:
            yield f"{name}, answered", _accept(landed, message.operator)


def _land(guards: Guards, state: State, message: Message) -> State:
    head = len(state.authors)
    if message.version == head + 1:
        return state._replace(authors=(*state.authors, message.operator))
    if guards.commit_compares_head or message.version > head:
        return state
    authors = list(state.authors)
    authors[message.version - 1] = message.operator
    return state._replace(authors=tuple(authors))


def _accept(state: State, index: int) -> State:
    operator = state.operators[index]
    accepted = operator.accepted | {operator.doubt}
    return _with(state, index, operator._replace(doubt=0, accepted=accepted))


def _refuse(state: State, index: int) -> State:
    operator = state.operators[index]
    refused = operator.refused | {operator.doubt}
    return _with(state, index, operator._replace(doubt=0, refused=refused))


def _find_out(
    guards: Guards, state: State, index: int, operator: Operator
) -> Iterator[Step]:
    version = operator.doubt
    author = _author(state, version)
    if not guards.answer_after_read_back:
        yield f"{index} is told that {version} failed", _refuse(state, index)
    elif author == ABSENT:
        yield from _retry(guards, state, index, version)
    elif author == index or not guards.read_back_compares_author:
        yield f"{index} finds its version {version}", _accept(state, index)
    else:
        yield f"{index} finds another's version {version}", _refuse(state, index)


def _retry(guards: Guards, state: State, index: int, version: int) -> Iterator[Step]:
    if not guards.absent_is_sent_again:
        yield f"{index} takes {version} for lost", _refuse(state, index)
    elif state.sends < MAX_SENDS:
        again = _send(state, Message(index, version))
        yield f"{index} sends version {version} again", again
