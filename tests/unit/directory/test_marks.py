import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.directory.marks import (
    MarkLimits,
    MarkSet,
    join_marks,
    mark_key,
)
from ebonydeal._internal.models.endpoints import LeavingMark
from ebonydeal._internal.models.places import Place
from tests.lib.endpoints import make_mark, make_view

NOW = 1_000_000.0
TIMES = st.sampled_from([NOW - 50.0, NOW - 3.0, NOW, NOW + 4.0])
DEADLINES = st.sampled_from([0.0, NOW + 10.0, NOW + 30.0])
SOURCES = st.sampled_from(["cloud", "engine", "list", "peer"])
ENDPOINT_MARKS = st.builds(
    LeavingMark,
    st.sampled_from(["i-1", "i-2", "i-3"]),
    st.integers(1, 3),
    st.just(""),
    DEADLINES,
    SOURCES,
    TIMES,
)
ZONE_MARKS = st.builds(
    LeavingMark,
    st.just(""),
    st.just(0),
    st.sampled_from(["wales-1", "wales-2"]),
    DEADLINES,
    SOURCES,
    TIMES,
)
MARKS = st.lists(ENDPOINT_MARKS | ZONE_MARKS, max_size=12)


def merged(marks: list[LeavingMark], limits: MarkLimits | None = None) -> MarkSet:
    held = MarkSet(limits)
    for mark in marks:
        held.merge(mark, NOW)
    return held


class TestMerge:
    @given(MARKS, st.randoms(use_true_random=False))
    def test_any_order_and_repeats_end_the_same(self, marks, rng):
        other = marks + [rng.choice(marks) for _ in marks]
        rng.shuffle(other)
        assert set(merged(marks)) == set(merged(other))
        assert merged(marks).hashes.root_hash() == merged(other).hashes.root_hash()

    @given(MARKS, st.randoms(use_true_random=False))
    def test_any_order_ends_the_same_within_limits(self, marks, rng):
        limits = MarkLimits(max_zone_marks=2)
        other = list(marks)
        rng.shuffle(other)
        assert set(merged(marks, limits)) == set(merged(other, limits))

    @given(MARKS, MARKS)
    def test_exchange_of_marks_converges(self, left, right):
        a, b = merged(left), merged(right)
        for mark in list(a):
            b.merge(mark, NOW)
        for mark in list(b):
            a.merge(mark, NOW)
        assert set(a) == set(b)

    @given(MARKS, ENDPOINT_MARKS | ZONE_MARKS)
    def test_coverage_only_grows(self, marks, mark):
        held = merged(marks)
        views = [
            make_view(f"i-{i}", incarnation=n, place=Place("wales", f"wales-{i % 2}"))
            for i in range(1, 4)
            for n in range(1, 4)
        ]
        before = [held.covers(view, NOW - 20.0) for view in views]
        held.merge(mark, NOW)
        after = [held.covers(view, NOW - 20.0) for view in views]
        assert all(new or not old for old, new in zip(before, after, strict=True))

    @given(ENDPOINT_MARKS, ENDPOINT_MARKS, ENDPOINT_MARKS)
    def test_join_is_associative_and_commutative(self, a, b, c):
        b, c = (
            b._replace(endpoint_id=a.endpoint_id),
            c._replace(endpoint_id=a.endpoint_id),
        )
        assert join_marks(a, join_marks(b, c)) == join_marks(join_marks(a, b), c)
        assert join_marks(a, b) == join_marks(b, a)
        assert join_marks(a, a) == a

    def test_repeated_mark_is_not_new(self):
        held = MarkSet()
        assert held.merge(make_mark(), NOW) is True
        assert held.merge(make_mark(), NOW) is False
        assert held.merge(make_mark(at=NOW - 5.0), NOW) is False

    def test_deadline_that_becomes_known_is_new(self):
        held = MarkSet()
        held.merge(make_mark(), NOW)
        assert held.merge(make_mark(deadline=NOW + 10.0), NOW) is True
        assert held.deadline(make_view(), NOW) == NOW + 10.0

    @pytest.mark.parametrize(
        "bad",
        [
            make_mark(""),
            make_mark(at=math.nan),
            make_mark(deadline=math.inf),
        ],
    )
    def test_invalid_mark_is_ignored(self, bad):
        held = MarkSet()
        assert held.merge(bad, NOW) is False
        assert len(held) == 0


class TestCoverage:
    def test_newer_incarnation_is_not_covered(self):
        held = merged([make_mark(incarnation=2)])
        assert held.covers(make_view(incarnation=1), 0.0)
        assert held.covers(make_view(incarnation=2), 0.0)
        assert not held.covers(make_view(incarnation=3), 0.0)

    def test_zone_mark_covers_only_incarnations_seen_before_it(self):
        held = merged([make_mark("", zone="wales-1", at=NOW)])
        view = make_view("i-9")
        assert held.covers(view, 0.0)
        assert held.covers(view, NOW + 10.0)
        assert not held.covers(view, NOW + 10.1)
        assert not held.covers(view._replace(place=Place("wales", "wales-2")), 0.0)

    def test_mark_from_a_clock_ahead_does_not_cover_the_future(self):
        held = merged([make_mark("", zone="wales-1", at=NOW + 500.0)])
        assert not held.covers(make_view(), NOW + 100.0)

    def test_second_reclaim_of_a_zone_covers_endpoints_added_in_between(self):
        held = merged([make_mark("", zone="wales-1", at=NOW - 50, deadline=NOW - 40)])
        assert not held.covers(make_view(), NOW - 20.0)
        held.merge(make_mark("", zone="wales-1", at=NOW, deadline=NOW + 10), NOW)
        assert held.covers(make_view(), NOW - 20.0)
        assert held.deadline(make_view(), NOW) == NOW + 10


class TestLimits:
    def test_old_marks_expire_and_are_not_merged_again(self):
        held = merged([make_mark(deadline=NOW + 10.0)])
        later = NOW + 10.0 + 3600.0
        assert held.expire(later) == 0
        assert held.expire(later + 0.1) == 1
        assert held.merge(make_mark(deadline=NOW + 10.0), later + 0.1) is False
        assert list(held) == []
        assert len(held.hashes) == 0

    def test_number_of_marks_is_bounded(self):
        held = MarkSet(MarkLimits(max_marks=5))
        for number in range(20):
            held.merge(make_mark(f"i-{number}", at=NOW + number), NOW)
        assert {mark.endpoint_id for mark in held} == {f"i-{n}" for n in range(15, 20)}

    def test_marks_of_one_zone_are_bounded(self):
        held = MarkSet()
        for number in range(20):
            held.merge(make_mark("", zone="z", deadline=NOW + number), NOW)
        assert len(held) == 8
        assert min(mark.deadline for mark in held) == NOW + 12

    def test_endpoint_and_zone_marks_have_different_keys(self):
        keys = {mark_key(make_mark("z")), mark_key(make_mark("", zone="z"))}
        assert len(keys) == 2
