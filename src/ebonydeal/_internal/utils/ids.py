"""Request, attempt and batch ids.

A request id contains its journal shard, so that any process can find the owner
from the id alone.
"""

import random

from xxhash import xxh3_64_intdigest, xxh3_128_hexdigest

_RANDOM_BITS = 64


def shard_of(account: str, key: str, shards: int) -> int:
    """Return the journal shard (0 to ``shards - 1``) of an idempotency key."""
    return xxh3_64_intdigest(f"{account}\0{key}".encode()) % shards


def keyed_request_id(account: str, key: str, shards: int) -> str:
    """Return the request id of an idempotency key, the same at every call."""
    shard = shard_of(account, key, shards)
    digest = xxh3_128_hexdigest(f"{account}\0{key}".encode())
    return f"k-{shard:04x}-{digest}"


def new_request_id(shard: int, rng: random.Random) -> str:
    """Return a new random request id on ``shard``."""
    return f"r-{shard:04x}-{rng.getrandbits(_RANDOM_BITS):016x}"


def new_token(prefix: str, rng: random.Random) -> str:
    """Return a new random id that starts with ``prefix`` (attempt, batch, node)."""
    return f"{prefix}-{rng.getrandbits(_RANDOM_BITS):016x}"


def shard_from_id(request_id: str) -> int | None:
    """Return the shard in a request id, or None if the id has another format."""
    parts = request_id.split("-")
    if len(parts) != 3 or parts[0] not in ("k", "r"):
        return None
    try:
        return int(parts[1], 16)
    except ValueError:
        return None
