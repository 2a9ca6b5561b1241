from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.utils.buckets import BUCKETS, BucketHashes, bucket_of

ENTRIES = st.dictionaries(st.text(max_size=3), st.text(max_size=3), max_size=20)


def filled(entries: dict[str, str]) -> BucketHashes:
    hashes = BucketHashes()
    for key, content in entries.items():
        hashes.put(key, content)
    return hashes


class TestBucketHashes:
    @given(ENTRIES, ENTRIES)
    def test_differing_buckets_are_those_of_differing_entries(self, left, right):
        wanted = {
            bucket_of(key) for key in {*left, *right} if left.get(key) != right.get(key)
        }
        ours, theirs = filled(left), filled(right)
        assert ours.differing_buckets(theirs.buckets()) == wanted
        assert (ours.root_hash() == theirs.root_hash()) == (not wanted)

    @given(ENTRIES, ENTRIES)
    def test_history_leaves_no_trace(self, before, after):
        hashes = filled(before)
        for key in before:
            hashes.drop(key)
        for key, content in after.items():
            hashes.put(key, "other")
            hashes.put(key, content)
        assert hashes.buckets() == filled(after).buckets()
        assert len(hashes) == len(after)

    def test_buckets_of_another_number_all_differ(self):
        assert BucketHashes().differing_buckets(["x"]) == set(range(BUCKETS))
