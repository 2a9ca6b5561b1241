"""Three-way merge of two operators' edits, and its conflicts."""

from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.console.merge import MergeResult, merge

BASE = {"name": "a", "most": 9, "latency": {"first": 1, "between": 2}}
items = st.dictionaries(
    st.sampled_from("abc"),
    st.integers(0, 2) | st.dictionaries(st.sampled_from("xy"), st.integers(0, 2)),
)


class TestMerge:
    def test_takes_changes_made_only_by_the_other(self):
        mine = {**BASE, "most": 7}
        theirs = {**BASE, "latency": {"first": 5, "between": 2}}
        both = {"name": "a", "most": 7, "latency": {"first": 5, "between": 2}}
        assert merge(BASE, mine, theirs) == MergeResult(both, ())

    def test_keeps_my_value_where_both_changed(self):
        mine = {**BASE, "latency": {"first": 3, "between": 2}}
        theirs = {**BASE, "latency": {"first": 4, "between": 9}}
        merged = merge(BASE, mine, theirs)
        assert merged.item["latency"] == {"first": 3, "between": 9}
        assert merged.clashes == ("latency.first",)

    def test_takes_the_removal_of_a_key_by_the_other(self):
        theirs = {"name": "a", "latency": BASE["latency"]}
        assert merge(BASE, dict(BASE), theirs) == MergeResult(theirs, ())

    @given(items, items)
    def test_result_is_theirs_if_mine_is_unchanged(self, base, theirs):
        assert merge(base, base, theirs) == MergeResult(theirs, ())

    @given(items, items)
    def test_result_is_mine_if_theirs_is_unchanged(self, base, mine):
        assert merge(base, mine, base) == MergeResult(mine, ())

    @given(items, items, items)
    def test_order_of_the_edits_matters_only_in_clashes(self, base, a, b):
        one, other = merge(base, a, b), merge(base, b, a)
        assert one.clashes == other.clashes or set(one.clashes) == set(other.clashes)
        if not one.clashes:
            assert one.item == other.item
