"""Claim, append, takeover, snapshot and trim of one shard.

Two nodes, one shard row, a few journal rows. Time is not modelled on purpose: a
takeover can happen at any moment and an owner can be paused between any two
steps, so safety can't depend on lease expiry. A write that was sent can be applied
late, twice, or not at all, and its reply can be lost.

A replay is one step, separate from the claim before it. The object store is one
flag: whether the object that the snapshot row names is stored.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checker import Specification, Step

NODES = 2
ROWS = 3
MAX_EPOCH = 3
MAX_SENDS = 3
MAX_DUPLICATES = 1
NOBODY = -1
NONE = 0


class Guards(NamedTuple):
    """The rules of the protocol; each can be turned off."""

    append_checks_epoch: bool = True
    row_must_be_absent: bool = True
    claim_compares: bool = True
    replay_after_claim: bool = True
    read_back_compares_batch: bool = True
    doubt_keeps_row: bool = True
    acknowledge_after_answer: bool = True
    snapshot_checks_epoch: bool = True
    snapshot_before_trim: bool = True
    object_before_snapshot_row: bool = True
    replay_ignores_below_snapshot: bool = True


ALL_GUARDS = Guards()


class Node(NamedTuple):
    """Local state of one process; a crash resets it to the default.

    ``epoch`` is 0 unless it believes that it owns the shard; ``read_epoch`` is the
    epoch it read before a claim; ``batch``, unless 0, is in doubt at row ``seq``;
    ``object_upto`` and ``trim_upto`` are the stages of a snapshot.
    """

    epoch: int = 0
    ready: bool = False
    read_epoch: int = NOBODY
    view: tuple[int, ...] = ()
    seq: int = 0
    batch: int = NONE
    object_upto: int = 0
    object_view: tuple[int, ...] = ()
    trim_upto: int = 0


class Message(NamedTuple):
    """An append in flight to the table."""

    epoch: int
    seq: int
    batch: int


class State(NamedTuple):
    """Table, nodes and network; ``acked`` holds all acknowledged batches."""

    rows: tuple[int, ...]
    owner: int
    epoch: int
    snapshot_upto: int
    snapshot_view: tuple[int, ...]
    snapshot_stored: bool
    nodes: tuple[Node, ...]
    in_flight: tuple[Message, ...]
    acked: frozenset[int]
    batches: int
    sends: int
    duplicates: int


INITIAL = State(
    rows=(NONE,) * ROWS,
    owner=0,
    epoch=1,
    snapshot_upto=0,
    snapshot_view=(),
    snapshot_stored=True,
    nodes=(Node(epoch=1, ready=True), Node()),
    in_flight=(),
    acked=frozenset(),
    batches=0,
    sends=0,
    duplicates=0,
)


def specification(guards: Guards = ALL_GUARDS) -> Specification:
    """Return the protocol under ``guards``."""
    return Specification(
        "journal",
        INITIAL,
        lambda state: _transitions(guards, state),
        {
            "the present owner's view holds every acknowledged batch": _view_complete,
            "a replay finds every acknowledged batch": _replay_complete,
            "a view folds each batch once": _batches_folded_once,
            "one node at most believes an epoch": _one_owner_per_epoch,
        },
        {
            "a takeover with acknowledged batches": _taken_over,
            "a paused owner holds a batch in doubt after a takeover": _paused_in_doubt,
            "a trimmed row is filled again": _trimmed_row_rewritten,
            "a takeover after a trim": _taken_over_after_trim,
        },
    )


# --- invariants ------------------------------------------------------------
def _view_complete(state: State) -> bool:
    return all(
        state.acked <= set(node.view)
        for node in state.nodes
        if node.ready and node.epoch == state.epoch
    )


def _replay_complete(state: State) -> bool:
    view, _ = replay(ALL_GUARDS, state)
    return state.acked <= set(view)


def _batches_folded_once(state: State) -> bool:
    return all(len(set(node.view)) == len(node.view) for node in state.nodes)


def _one_owner_per_epoch(state: State) -> bool:
    epochs = [node.epoch for node in state.nodes if node.epoch]
    return len(set(epochs)) == len(epochs)


def _taken_over(state: State) -> bool:
    return state.epoch > 1 and len(state.acked) > 1 and state.nodes[1].ready


def _paused_in_doubt(state: State) -> bool:
    old, new = state.nodes
    return bool(old.batch) and new.ready and new.epoch > old.epoch


def _trimmed_row_rewritten(state: State) -> bool:
    return any(state.rows[: state.snapshot_upto]) and state.duplicates > 0


def _taken_over_after_trim(state: State) -> bool:
    trimmed = state.snapshot_upto > 0 and not any(state.rows[: state.snapshot_upto])
    return trimmed and any(
        node.ready and node.epoch == state.epoch > 1 for node in state.nodes
    )


# --- steps -----------------------------------------------------------------
def replay(guards: Guards, state: State) -> tuple[tuple[int, ...], int]:
    """Return the view and next row number that a node replays from the table."""
    view = state.snapshot_view if state.snapshot_stored else ()
    if not guards.replay_ignores_below_snapshot:
        view += tuple(row for row in state.rows[: state.snapshot_upto] if row)
    seq = state.snapshot_upto
    while seq < ROWS and state.rows[seq]:
        view += (state.rows[seq],)
        seq += 1
    return view, seq


def _transitions(guards: Guards, state: State) -> Iterator[Step]:
    yield from _deliveries(guards, state)
    for index, node in enumerate(state.nodes):
        if node != Node():
            yield f"{index} crashes", _with(state, index, Node())
        if node.epoch:
            yield from _owner_steps(guards, state, index, node)
        else:
            yield from _claim_steps(guards, state, index, node)


def _with(state: State, index: int, node: Node) -> State:
    nodes = state.nodes[:index] + (node,) + state.nodes[index + 1 :]
    return state._replace(nodes=nodes)


def _claim_steps(
    guards: Guards, state: State, index: int, node: Node
) -> Iterator[Step]:
    if node.read_epoch == NOBODY:
        read_epoch = node._replace(read_epoch=state.epoch)
        if not guards.replay_after_claim:
            view, seq = replay(guards, state)
            read_epoch = read_epoch._replace(view=view, seq=seq)
        yield f"{index} reads the shard row", _with(state, index, read_epoch)
        return
    if node.read_epoch >= MAX_EPOCH:
        return
    if guards.claim_compares and node.read_epoch != state.epoch:
        yield f"{index} loses the claim", _with(state, index, Node())
        return
    epoch = node.read_epoch + 1
    claimed = state._replace(owner=index, epoch=max(epoch, state.epoch))
    owner = Node(
        epoch=epoch,
        ready=not guards.replay_after_claim,
        view=node.view,
        seq=node.seq,
    )
    yield f"{index} claims epoch {epoch}", _with(claimed, index, owner)
    yield f"{index} claims, answer lost", _with(claimed, index, Node())


def _owner_steps(
    guards: Guards, state: State, index: int, node: Node
) -> Iterator[Step]:
    if not node.ready:
        view, seq = replay(guards, state)
        ready = node._replace(ready=True, view=view, seq=seq)
        yield f"{index} replays", _with(state, index, ready)
        return
    if node.batch == NONE:
        yield from _append_steps(guards, state, index, node)
        yield from _snapshot_steps(guards, state, index, node)
    else:
        yield from _in_doubt_steps(guards, state, index, node)


def _append_steps(
    guards: Guards, state: State, index: int, node: Node
) -> Iterator[Step]:
    if node.seq >= ROWS or state.sends >= MAX_SENDS:
        return
    batch = state.batches + 1
    sent = _send(state, Message(node.epoch, node.seq, batch))
    sent = sent._replace(batches=batch)
    if not guards.acknowledge_after_answer:
        sent = sent._replace(acked=sent.acked | {batch})
    in_doubt = node._replace(batch=batch)
    yield f"{index} sends batch {batch}", _with(sent, index, in_doubt)


def _send(state: State, message: Message) -> State:
    in_flight = tuple(sorted((*state.in_flight, message)))
    return state._replace(in_flight=in_flight, sends=state.sends + 1)


def _in_doubt_steps(
    guards: Guards, state: State, index: int, node: Node
) -> Iterator[Step]:
    row = state.rows[node.seq]
    trimmed = node.seq < state.snapshot_upto
    own = row == node.batch or not guards.read_back_compares_batch
    if row and own:
        yield f"{index} reads its batch back", _acknowledge(state, index, node)
    elif row or trimmed:
        yield f"{index} learns that it is fenced", _with(state, index, Node())
    elif state.sends < MAX_SENDS:
        yield from _retry_steps(guards, state, index, node)


def _retry_steps(
    guards: Guards, state: State, index: int, node: Node
) -> Iterator[Step]:
    if guards.doubt_keeps_row:
        resent = _send(state, Message(node.epoch, node.seq, node.batch))
        yield f"{index} sends batch {node.batch} again", resent
    elif node.seq + 1 < ROWS:
        seq = node.seq + 1
        moved = _send(state, Message(node.epoch, seq, node.batch))
        moved = _with(moved, index, node._replace(seq=seq))
        yield f"{index} sends batch {node.batch} to the next row", moved


def _acknowledge(state: State, index: int, node: Node) -> State:
    acknowledged = node._replace(
        view=(*node.view, node.batch), seq=node.seq + 1, batch=NONE
    )
    acked = state._replace(acked=state.acked | {node.batch})
    return _with(acked, index, acknowledged)


def _deliveries(guards: Guards, state: State) -> Iterator[Step]:
    for position, message in enumerate(state.in_flight):
        in_flight = state.in_flight[:position] + state.in_flight[position + 1 :]
        removed = state._replace(in_flight=in_flight)
        delivered, applied = _deliver(guards, removed, message)
        name = f"batch {message.batch} lands"
        yield f"{name}, answer lost", delivered
        if state.duplicates < MAX_DUPLICATES:
            duplicated, _ = _deliver(guards, state, message)
            duplicated = duplicated._replace(duplicates=state.duplicates + 1)
            yield f"{name}, and will again", duplicated
        for index, node in enumerate(state.nodes):
            if applied and node.batch == message.batch and node.seq == message.seq:
                yield f"{name}, answered", _acknowledge(delivered, index, node)


def _deliver(guards: Guards, state: State, message: Message) -> tuple[State, bool]:
    if guards.append_checks_epoch and message.epoch != state.epoch:
        return state, False
    if guards.row_must_be_absent and state.rows[message.seq]:
        return state, False
    return state._replace(rows=_put(state.rows, message.seq, message.batch)), True


def _put(rows: tuple[int, ...], seq: int, batch: int) -> tuple[int, ...]:
    return rows[:seq] + (batch,) + rows[seq + 1 :]


def _snapshot_steps(
    guards: Guards, state: State, index: int, node: Node
) -> Iterator[Step]:
    if node.seq > max(node.object_upto, node.trim_upto):
        put = node._replace(object_upto=node.seq, object_view=node.view)
        yield f"{index} stores a snapshot object", _with(state, index, put)
        if not guards.object_before_snapshot_row:
            yield from _snapshot_row(guards, state, index, put, stored=False)
        if not guards.snapshot_before_trim:
            early = node._replace(trim_upto=node.seq)
            yield f"{index} means to trim first", _with(state, index, early)
    if node.object_upto:
        yield from _snapshot_row(guards, state, index, node, stored=True)
    if any(state.rows[: node.trim_upto]):
        rows = (NONE,) * node.trim_upto + state.rows[node.trim_upto :]
        yield f"{index} trims", state._replace(rows=rows)


def _snapshot_row(
    guards: Guards, state: State, index: int, node: Node, stored: bool
) -> Iterator[Step]:
    if guards.snapshot_checks_epoch and node.epoch != state.epoch:
        yield f"{index} is fenced at its snapshot", _with(state, index, Node())
        return
    written = state._replace(
        snapshot_upto=node.object_upto,
        snapshot_view=node.object_view,
        snapshot_stored=stored,
    )
    done = node._replace(object_upto=0, object_view=(), trim_upto=node.object_upto)
    yield f"{index} writes the snapshot row", _with(written, index, done)
