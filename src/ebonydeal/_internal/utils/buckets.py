"""Hashes over a keyed set, so that two holders find their differences cheaply.

Entries fall into a fixed number of buckets by their key. Each bucket keeps the
XOR of its entries' hashes, which is updated in constant time and doesn't depend
on the order of changes.
"""

from xxhash import xxh3_64_intdigest

BUCKETS = 32
_HEX = 8
_MASK = (1 << (4 * _HEX)) - 1


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
        """Remove the entry ``key`` if it is there."""
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._hashes[bucket_of(key)] ^= entry

    def root_hash(self) -> str:
        """Return one hash over everything, as hexadecimal text."""
        text = ",".join(self.buckets())
        return f"{xxh3_64_intdigest(text.encode()) & _MASK:0{_HEX}x}"

    def buckets(self) -> list[str]:
        """Return the hash of each bucket; empty text for a hash of zero."""
        return [f"{h & _MASK:0{_HEX}x}" if h else "" for h in self._hashes]

    def differing_buckets(self, theirs: list[str]) -> set[int]:
        """Return the buckets whose hash isn't the one in ``theirs``."""
        mine = self.buckets()
        if len(theirs) != len(mine):
            return set(range(BUCKETS))
        return {i for i, pair in enumerate(zip(mine, theirs, strict=True)) if _ne(pair)}


def _ne(pair: tuple[str, str]) -> bool:
    """Return whether the two hashes differ."""
    return pair[0] != pair[1]
