"""Propagation of committed versions to nodes, and restarts of nodes.

Nodes get versions from the table and from each other, as deltas. A delta that was
sent to a node can arrive at any later time, any number of times and in any order.
The table can become unavailable and available. Nodes restart without state.

The document has two items, the even and the odd; version v changes item v mod 2,
so the correct content of each version is known.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checker import Specification, Step

NODES = 2
MAX_VERSION = 3
MAX_RESTARTS = 1
ABSENT = -1

Content = tuple[int, int]


class Guards(NamedTuple):
    """The rules of the protocol; each can be turned off."""

    head_and_items_together: bool = True
    node_refuses_older: bool = True
    delta_needs_its_base: bool = True
    start_reads_table: bool = True
    whole_read_checks_head: bool = True


ALL_GUARDS = Guards()


class Node(NamedTuple):
    """A node that applies versions.

    ``version`` is ABSENT while it starts; ``reading`` has the head and the items
    read so far in a full read.
    """

    version: int = ABSENT
    content: Content = (0, 0)
    reading: tuple[int, ...] = ()


class State(NamedTuple):
    """Table, nodes and network.

    ``highest`` is the highest version that each node has had in force; ``sent``
    has the deltas sent to each node; ``unfinished`` is a version whose items are
    not yet written.
    """

    head: int
    items: Content
    unfinished: int
    table_up: bool
    nodes: tuple[Node, ...]
    sent: tuple[frozenset[int], ...]
    highest: tuple[int, ...]
    restarts: int


INITIAL = State(
    head=0,
    items=(0, 0),
    unfinished=0,
    table_up=True,
    nodes=(Node(version=0),) * NODES,
    sent=(frozenset(),) * NODES,
    highest=(0,) * NODES,
    restarts=0,
)


def specification(guards: Guards = ALL_GUARDS) -> Specification:
    """Return the protocol under ``guards``."""
    return Specification(
        "config spread",
        INITIAL,
        lambda state: _transitions(guards, state),
        {
            "a place never goes back": _versions_never_decrease,
            "a version in force has its own content": _content_matches,
        },
        {
            "a version reaches every place during an outage": _spread_in_outage,
            "a late message of an older version": _older_delta_pending,
            "a restart with the highest version elsewhere": _restarted,
            "a version is skipped by a whole read": lambda state: any(
                node.version == MAX_VERSION and not sent
                for node, sent in zip(state.nodes, state.sent, strict=True)
            ),
        },
    )


# --- predicates ------------------------------------------------------------
def _versions_never_decrease(state: State) -> bool:
    return all(
        node.version in (ABSENT, highest)
        for node, highest in zip(state.nodes, state.highest, strict=True)
    )


def _content_matches(state: State) -> bool:
    return all(
        node.version == ABSENT or node.content == content_of(node.version)
        for node in state.nodes
    )


def _spread_in_outage(state: State) -> bool:
    everywhere = all(node.version == MAX_VERSION for node in state.nodes)
    return everywhere and not state.table_up


def _older_delta_pending(state: State) -> bool:
    return any(
        min(sent, default=MAX_VERSION) < node.version
        for sent, node in zip(state.sent, state.nodes, strict=True)
    )


def _restarted(state: State) -> bool:
    versions = {node.version for node in state.nodes}
    return state.restarts > 0 and versions == {ABSENT, MAX_VERSION}


def content_of(version: int) -> Content:
    """Return the version that last changed each item, as of ``version``."""
    even = version - version % 2
    odd = version - 1 + version % 2
    return (even, max(0, odd))


# --- steps -----------------------------------------------------------------
def _transitions(guards: Guards, state: State) -> Iterator[Step]:
    yield "the table goes down or up", state._replace(table_up=not state.table_up)
    if state.table_up:
        yield from _commit(guards, state)
    for index, node in enumerate(state.nodes):
        yield from _node_steps(guards, state, index, node)


def _commit(guards: Guards, state: State) -> Iterator[Step]:
    if state.unfinished:
        items = _change(state.items, state.unfinished)
        yield "the items are written", state._replace(items=items, unfinished=0)
    elif state.head < MAX_VERSION:
        version = state.head + 1
        committed = state._replace(head=version)
        if guards.head_and_items_together:
            committed = committed._replace(items=_change(state.items, version))
        else:
            committed = committed._replace(unfinished=version)
        yield f"version {version} is committed", committed


def _change(content: Content, version: int) -> Content:
    even, odd = content
    return (even, version) if version % 2 else (version, odd)


def _set(state: State, index: int, node: Node) -> State:
    nodes = list(state.nodes)
    nodes[index] = node
    return state._replace(nodes=tuple(nodes))


def _node_steps(guards: Guards, state: State, index: int, node: Node) -> Iterator[Step]:
    if state.table_up:
        yield from _full_read(guards, state, index, node)
    if node.version == ABSENT:
        yield from _start_from_peer(guards, state, index)
        return
    if state.restarts < MAX_RESTARTS:
        fresh = _set(state, index, Node())._replace(restarts=state.restarts + 1)
        yield f"node {index} restarts", fresh
    if state.table_up and state.head not in state.sent[index] | {0}:
        yield f"node {index} asks for the head", _send(state, index, state.head)
    yield from _send_to_peers(state, index, node)
    yield from _receive(guards, state, index, node)


def _send(state: State, index: int, version: int) -> State:
    sent = list(state.sent)
    sent[index] = sent[index] | {version}
    return state._replace(sent=tuple(sent))


def _send_to_peers(state: State, index: int, node: Node) -> Iterator[Step]:
    for other in range(NODES):
        if other != index and node.version not in state.sent[other] | {0}:
            sent = _send(state, other, node.version)
            yield f"node {index} tells {other} of {node.version}", sent


def _receive(guards: Guards, state: State, index: int, node: Node) -> Iterator[Step]:
    for version in sorted(state.sent[index] - {node.version}):
        if guards.node_refuses_older and version < node.version:
            continue
        if guards.delta_needs_its_base and version > node.version + 1:
            continue
        content = _change(node.content, version)
        applied = _apply(state, index, version, content)
        yield f"node {index} applies {version}", applied


def _start_from_peer(guards: Guards, state: State, index: int) -> Iterator[Step]:
    versions = [node.version for node in state.nodes if node.version != ABSENT]
    if guards.start_reads_table or not versions:
        return
    version = max(versions)
    started = _apply(state, index, version, content_of(version))
    yield f"node {index} starts from its peers at {version}", started


def _apply(state: State, index: int, version: int, content: Content) -> State:
    highest = list(state.highest)
    highest[index] = max(highest[index], version)
    applied = _set(state, index, Node(version, content))
    return applied._replace(highest=tuple(highest))


def _full_read(guards: Guards, state: State, index: int, node: Node) -> Iterator[Step]:
    """Read the head, each item, and the head again, which is not atomic.

    Only a node that starts or has missed a delta reads the full document.
    """
    reading = node.reading
    if not reading:
        if node.version == ABSENT or state.head > node.version + 1:
            started = node._replace(reading=(state.head,))
            yield f"node {index} reads the head", _set(state, index, started)
    elif len(reading) <= len(state.items):
        item = state.items[len(reading) - 1]
        extended = node._replace(reading=(*reading, item))
        yield f"node {index} reads an item", _set(state, index, extended)
    else:
        yield _finish_read(guards, state, index, node)


def _finish_read(guards: Guards, state: State, index: int, node: Node) -> Step:
    head, even, odd = node.reading
    if guards.whole_read_checks_head and head != state.head:
        restarted = _set(state, index, node._replace(reading=()))
        return f"node {index} reads again", restarted
    if guards.node_refuses_older and head <= node.version:
        dropped = _set(state, index, node._replace(reading=()))
        return f"node {index} drops what it read", dropped
    complete = _apply(state, index, head, (even, odd))
    return f"node {index} takes {head} whole", complete
