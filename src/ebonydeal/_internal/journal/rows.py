"""Names of the journal's rows and objects."""

NODES = "nodes/"
SHARDS = "shards/"
_SEQ_DIGITS = 12


def node_key(node_id: str) -> str:
    """Return the row of a node's lease."""
    return f"{NODES}{node_id}"


def shard_key(shard: int) -> str:
    """Return the row that names a shard's owner."""
    return f"{SHARDS}{shard:04x}"


def journal_prefix(shard: int) -> str:
    """Return what the keys of all journal rows of a shard start with."""
    return f"journal/{shard:04x}/"


def journal_key(shard: int, seq: int) -> str:
    """Return the row with number ``seq`` of a shard."""
    return f"{journal_prefix(shard)}{seq:0{_SEQ_DIGITS}d}"


def seq_of(key: str) -> int:
    """Return the number of a journal row; raises ValueError on another key."""
    return int(key.rsplit("/", 1)[1])


def snapshot_key(shard: int) -> str:
    """Return the row that names a shard's snapshot."""
    return f"snapshots/{shard:04x}"


def snapshots_prefix(shard: int) -> str:
    """Return what the names of a shard's snapshot objects start with."""
    return f"snapshots/{shard:04x}/"


def snapshot_object(shard: int, epoch: int, seq: int) -> str:
    """Return a snapshot's object, which no other snapshot shares."""
    return f"{snapshots_prefix(shard)}{epoch:08d}-{seq:0{_SEQ_DIGITS}d}"


def bodies_prefix(shard: int) -> str:
    """Return what the names of a shard's large bodies start with."""
    return f"bodies/{shard:04x}/"


def body_object(shard: int, epoch: int, request_id: str, digest: str) -> str:
    """Return the object of a large body with this digest.

    The epoch keeps a new owner's objects apart from those that a former owner
    left behind, which are swept. The digest keeps another body under the same
    idempotency key from replacing one whose record is still in doubt.
    """
    return f"{bodies_prefix(shard)}{epoch:08d}-{request_id}-{digest}"
