"""Deltas between documents, and diffs for operators."""

from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.config.delta import (
    Delta,
    ItemKey,
    apply,
    compute_delta,
    differences,
    join,
    split,
)
from ebonydeal._internal.config.examples import EXAMPLE_NAMES, example_document

keys = st.builds(
    ItemKey, st.sampled_from(["accounts", "deployments"]), st.sampled_from("abc")
)
contents = st.dictionaries(keys, st.fixed_dictionaries({"n": st.integers(0, 2)}))


class TestDelta:
    @given(contents, contents)
    def test_applied_delta_gives_the_new_items(self, old, new):
        assert apply(old, compute_delta(old, new)) == new

    @given(contents, contents)
    def test_wire_shape_round_trips(self, old, new):
        delta = compute_delta(old, new)
        assert Delta.from_message(delta.to_message()) == delta

    @given(contents)
    def test_delta_to_the_same_items_is_empty(self, items):
        assert not compute_delta(items, items)
        assert differences(items, items) == []


class TestSplitAndJoin:
    def test_split_and_join_round_trip(self):
        for name in EXAMPLE_NAMES:
            items = split(example_document(name))
            assert split(join(items)) == items

    def test_one_changed_field_changes_one_item(self):
        document = example_document("palermo")
        document["deployments"][0]["replicas"]["max"] = 80
        delta = compute_delta(split(example_document("palermo")), split(document))
        assert list(delta.changed) == [ItemKey("deployments", "luggage")]
        assert delta.removed == ()


class TestDifferences:
    def test_diff_is_readable(self):
        old = example_document("palermo")
        new = example_document("palermo")
        new["deployments"][0]["replicas"]["max"] = 80
        new["deployments"][1]["zones"] = ["palermo-1"]
        new["accounts"][0]["name"] = "facchini"
        lines = [str(line) for line in differences(split(old), split(new))]
        assert lines == [
            "+ accounts/facchini",
            "- accounts/porters",
            "~ deployments/luggage replicas.max: 75 -> 80",
            "~ deployments/tracking zones: "
            "[palermo-1, palermo-2, palermo-3] -> [palermo-1]",
        ]
