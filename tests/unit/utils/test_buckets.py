from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.utils.buckets import BUCKETS, BucketHashes, bucket_of

ENTRIES = st.dictionaries(st.text(max_size=3), st.text(max_size=3), max_size=20)


def build_hashes(entries: dict[str, str]) -> BucketHashes:
    hashes = BucketHashes()
    for key, content in entries.items():
        hashes.put(key, content)
    return hashes


class TestBucketHashes:
    @given(ENTRIES, ENTRIES)
    def test_differing_buckets_are_those_of_differing_entries(self, left, right):
        expected = {
            bucket_of(key) for key in {*left, *right} if left.get(key) != right.get(key)
        }
        ours, theirs = build_hashes(left), build_hashes(right)
        assert ours.differing_buckets(theirs.buckets()) == expected
        assert (ours.root_hash() == theirs.root_hash()) == (not expected)

    @given(ENTRIES, ENTRIES)
    def test_hashes_do_not_depend_on_the_history_of_changes(self, before, after):
        hashes = build_hashes(before)
        for key in before:
            hashes.drop(key)
        for key, content in after.items():
            hashes.put(key, "other")
            hashes.put(key, content)
        assert hashes.buckets() == build_hashes(after).buckets()
        assert len(hashes) == len(after)

    def test_all_buckets_differ_if_their_number_differs(self):
        assert BucketHashes().differing_buckets(["x"]) == set(range(BUCKETS))
