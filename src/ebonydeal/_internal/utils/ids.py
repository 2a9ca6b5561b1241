"""Request, attempt and batch ids.

A request id carries its journal shard, so that any process finds the owner from
the id alone.
"""

import random

from xxhash import xxh3_64_intdigest, xxh3_128_hexdigest

_RANDOM_BITS = 64


def shard_of(account: str, key: str, shards: int) -> int:
    """Return the journal shard (0 to ``shards - 1``) of a client account's key."""
    return xxh3_64_intdigest(f"{account}\0{key}".encode()) % shards


def keyed_request_id(account: str, key: str, shards: int) -> str:
    """Return the one request id of a client account's idempotency key."""
    shard = shard_of(account, key, shards)
    digest = xxh3_128_hexdigest(f"{account}\0{key}".encode())
    return f"k-{shard:04x}-{digest}"


def new_request_id(shard: int, rng: random.Random) -> str:
    """Return a fresh request id on ``shard``."""
    return f"r-{shard:04x}-{rng.getrandbits(_RANDOM_BITS):016x}"


def new_token(prefix: str, rng: random.Random) -> str:
    """Return a fresh id that starts with ``prefix`` (attempt, batch, node)."""
    return f"{prefix}-{rng.getrandbits(_RANDOM_BITS):016x}"


def shard_from_id(request_id: str) -> int | None:
    """Return the shard a request id names, or None if it is not one of ours."""
    parts = request_id.split("-")
    if len(parts) != 3 or parts[0] not in ("k", "r"):
        return None
    try:
        return int(parts[1], 16)
    except ValueError:
        return None
