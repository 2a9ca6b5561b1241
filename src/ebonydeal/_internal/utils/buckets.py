"""Bucket hashes of a keyed set, with which two replicas find differences cheaply.

Entries are assigned to a fixed number of buckets by key. The hash of a bucket is
the XOR of its entries' hashes: it is updated in constant time and doesn't depend
on the order of changes.
"""

from xxhash import xxh3_64_intdigest

BUCKETS = 32
_HEX_DIGITS = 8
_MASK = (1 << (4 * _HEX_DIGITS)) - 1


def bucket_of(key: str) -> int:
    """Return the bucket (0 to ``BUCKETS - 1``) of a key."""
    return xxh3_64_intdigest(key.encode()) % BUCKETS


class BucketHashes:
    """Hash of each bucket, and one hash over all of them."""

    def __init__(self) -> None:
        self._hashes = [0] * BUCKETS
        self._entries: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def put(self, key: str, content: str) -> None:
        """Set the entry ``key`` to ``content``."""
        self.drop(key)
        entry = xxh3_64_intdigest(f"{key}\0{content}".encode())
        self._entries[key] = entry
        self._hashes[bucket_of(key)] ^= entry

    def drop(self, key: str) -> None:
        """Remove the entry ``key`` if it exists."""
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._hashes[bucket_of(key)] ^= entry

    def root_hash(self) -> str:
        """Return one hash over all buckets, as hexadecimal text."""
        text = ",".join(self.buckets())
        return f"{xxh3_64_intdigest(text.encode()) & _MASK:0{_HEX_DIGITS}x}"

    def buckets(self) -> list[str]:
        """Return the hash of each bucket; an empty string for a hash of zero."""
        return [f"{h & _MASK:0{_HEX_DIGITS}x}" if h else "" for h in self._hashes]

    def differing_buckets(self, theirs: list[str]) -> set[int]:
        """Return the buckets whose hash differs from the one in ``theirs``."""
        mine = self.buckets()
        if len(theirs) != len(mine):
            return set(range(BUCKETS))
        return {
            i for i, pair in enumerate(zip(mine, theirs, strict=True)) if _differs(pair)
        }


def _differs(pair: tuple[str, str]) -> bool:
    """Return whether the two hashes differ."""
    return pair[0] != pair[1]
