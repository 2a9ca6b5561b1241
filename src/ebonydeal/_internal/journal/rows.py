"""Keys of the journal's rows and names of its objects."""

NODES_PREFIX = "nodes/"
SHARDS_PREFIX = "shards/"
_SEQ_DIGITS = 12


def node_key(node_id: str) -> str:
    """Return the row key of a node's lease."""
    return f"{NODES_PREFIX}{node_id}"


def shard_key(shard: int) -> str:
    """Return the key of the row that names a shard's owner."""
    return f"{SHARDS_PREFIX}{shard:04x}"


def journal_prefix(shard: int) -> str:
    """Return the key prefix of a shard's journal rows."""
    return f"journal/{shard:04x}/"


def journal_key(shard: int, seq: int) -> str:
    """Return the key of a shard's journal row ``seq``."""
    return f"{journal_prefix(shard)}{seq:0{_SEQ_DIGITS}d}"


def seq_of(key: str) -> int:
    """Return the number of a journal row; raises ValueError for another key."""
    return int(key.rsplit("/", 1)[1])


def snapshot_key(shard: int) -> str:
    """Return the key of the row that names a shard's snapshot."""
    return f"snapshots/{shard:04x}"


def snapshots_prefix(shard: int) -> str:
    """Return the name prefix of a shard's snapshot objects."""
    return f"snapshots/{shard:04x}/"


def snapshot_object(shard: int, epoch: int, seq: int) -> str:
    """Return the object name of a snapshot, unique to it."""
    return f"{snapshots_prefix(shard)}{epoch:08d}-{seq:0{_SEQ_DIGITS}d}"


def bodies_prefix(shard: int) -> str:
    """Return the name prefix of a shard's large bodies."""
    return f"bodies/{shard:04x}/"


def body_object(shard: int, epoch: int, request_id: str, digest: str) -> str:
    """Return the object name of a large body with this digest.

    The epoch separates a new owner's objects from those left by earlier owners,
    which are swept. The digest prevents a different body with the same idempotency
    key from replacing one whose record is still in doubt.
    """
    return f"{bodies_prefix(shard)}{epoch:08d}-{request_id}-{digest}"
