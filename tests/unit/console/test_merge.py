"""Three-way merge: what both want, and where they clash."""

from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.console.merge import Merged, merge

BASE = {"name": "a", "most": 9, "latency": {"first": 1, "between": 2}}
items = st.dictionaries(
    st.sampled_from("abc"),
    st.integers(0, 2) | st.dictionaries(st.sampled_from("xy"), st.integers(0, 2)),
)


class TestMerge:
    def test_takes_over_what_only_the_other_changed(self):
        mine = {**BASE, "most": 7}
        theirs = {**BASE, "latency": {"first": 5, "between": 2}}
        both = {"name": "a", "most": 7, "latency": {"first": 5, "between": 2}}
        assert merge(BASE, mine, theirs) == Merged(both, ())

    def test_keeps_mine_where_both_changed(self):
        mine = {**BASE, "latency": {"first": 3, "between": 2}}
        theirs = {**BASE, "latency": {"first": 4, "between": 9}}
        merged = merge(BASE, mine, theirs)
        assert merged.item["latency"] == {"first": 3, "between": 9}
        assert merged.clashes == ("latency.first",)

    def test_removed_by_the_other(self):
        theirs = {"name": "a", "latency": BASE["latency"]}
        assert merge(BASE, dict(BASE), theirs) == Merged(theirs, ())

    @given(items, items)
    def test_without_a_change_of_mine_theirs_holds(self, base, theirs):
        assert merge(base, base, theirs) == Merged(theirs, ())

    @given(items, items)
    def test_without_a_change_of_theirs_mine_holds(self, base, mine):
        assert merge(base, mine, base) == Merged(mine, ())

    @given(items, items, items)
    def test_order_of_the_two_matters_only_in_clashes(self, base, a, b):
        one, other = merge(base, a, b), merge(base, b, a)
        assert one.clashes == other.clashes or set(one.clashes) == set(other.clashes)
        if not one.clashes:
            assert one.item == other.item
