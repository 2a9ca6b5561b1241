"""Two operators commit versions by compare-and-set on the head.

The version row, the items and the head are written in one transaction. A commit
that was sent can be applied late, twice or never, and its reply can be lost; the
operator's process then determines the outcome before it reports one.
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
    """``base`` is the version read; ``in_doubt`` the one sent without a reply."""

    base: int = ABSENT
    in_doubt: int = 0
    accepted: frozenset[int] = frozenset()
    refused: frozenset[int] = frozenset()


class Message(NamedTuple):
    """A commit in flight to the table."""

    operator: int
    version: int


class State(NamedTuple):
    """``authors[v - 1]`` is the operator whose document is version v."""

    authors: tuple[int, ...]
    operators: tuple[Operator, ...]
    in_flight: frozenset[Message]
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
            "an accepted document stands in the history": _accepted_in_history,
            "a refused document never takes effect": _refused_not_in_history,
        },
        {
            "a conflict": lambda state: any(one.refused for one in state.operators),
            "both operators win": lambda state: all(
                one.accepted for one in state.operators
            ),
            "an old commit is still on its way": lambda state: any(
                message.version < len(state.authors) for message in state.in_flight
            ),
        },
    )


def _one_winner(state: State) -> bool:
    accepted = [version for one in state.operators for version in one.accepted]
    return len(set(accepted)) == len(accepted)


def _author(state: State, version: int) -> int:
    return state.authors[version - 1] if version <= len(state.authors) else ABSENT


def _accepted_in_history(state: State) -> bool:
    return all(
        _author(state, version) == index
        for index, one in enumerate(state.operators)
        for version in one.accepted
    )


def _refused_not_in_history(state: State) -> bool:
    return not any(
        _author(state, version) == index
        for index, one in enumerate(state.operators)
        for version in one.refused
    )


def _transitions(guards: Guards, state: State) -> Iterator[Step]:
    yield from _deliveries(guards, state)
    for index, operator in enumerate(state.operators):
        if operator.in_doubt:
            yield from _resolve_doubt(guards, state, index, operator)
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
    in_flight = state.in_flight | {message}
    return state._replace(in_flight=in_flight, sends=state.sends + 1)


def _propose(state: State, index: int, operator: Operator) -> Iterator[Step]:
    version = operator.base + 1
    if version > MAX_VERSION or state.sends >= MAX_SENDS:
        return
    sent = _send(state, Message(index, version))
    waiting = operator._replace(base=ABSENT, in_doubt=version)
    yield f"{index} sends version {version}", _with(sent, index, waiting)


def _deliveries(guards: Guards, state: State) -> Iterator[Step]:
    for message in sorted(state.in_flight):
        name = f"version {message.version} of {message.operator} lands"
        delivered = _deliver(guards, state, message)
        yield f"{name}, and will again", delivered
        delivered = delivered._replace(in_flight=state.in_flight - {message})
        yield f"{name}, answer lost", delivered
        operator = state.operators[message.operator]
        if delivered.authors != state.authors and operator.in_doubt == message.version:
            yield f"{name}, answered", _accept(delivered, message.operator)


def _deliver(guards: Guards, state: State, message: Message) -> State:
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
    accepted = operator.accepted | {operator.in_doubt}
    return _with(state, index, operator._replace(in_doubt=0, accepted=accepted))


def _refuse(state: State, index: int) -> State:
    operator = state.operators[index]
    refused = operator.refused | {operator.in_doubt}
    return _with(state, index, operator._replace(in_doubt=0, refused=refused))


def _resolve_doubt(
    guards: Guards, state: State, index: int, operator: Operator
) -> Iterator[Step]:
    version = operator.in_doubt
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
        resent = _send(state, Message(index, version))
        yield f"{index} sends version {version} again", resent
