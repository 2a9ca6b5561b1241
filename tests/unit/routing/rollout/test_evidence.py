"""What speaks against a new version, and what doesn't."""

import random

import pytest

from ebonydeal._internal.routing.rollout.evidence import (
    Evidence,
    MixtureTest,
    SingleEffectTest,
)
from ebonydeal._internal.routing.rollout.tally import (
    CATEGORIES,
    FAILED,
    added,
    category_of,
    empty,
    less,
)

TESTS = [MixtureTest, SingleEffectTest]


def answers(rng, count, failing=0.0, slower=1.0, part=1.0):
    """Return answers by category."""
    counts = empty()
    for _ in range(count):
        if rng.random() < failing:
            counts[FAILED] += 1
            continue
        times = slower if rng.random() < part else 1.0
        counts[category_of(rng.lognormvariate(0.0, 0.4) * times, 1.0)] += 1
    return counts


def watch(evidence, rng, steps, old, new, endpoints=("x", "y"), begin=0):
    """Play steps of a quarter second; ``old`` and ``new`` are terms of answers."""
    for step in range(begin, begin + steps):
        fresh = {e: answers(rng, 2, **new) for e in endpoints}
        evidence.add({"r": answers(rng, 40, **old)}, {"r": fresh}, step * 0.25)
    return evidence.standing()


class TestTally:
    def test_twice_as_slow_is_two_categories_more(self):
        assert category_of(0.2, 0.1) - category_of(0.1, 0.1) == 2

    @pytest.mark.parametrize("seconds", [0.0, -1.0, 1e-9, 1e9])
    def test_any_time_has_a_category(self, seconds):
        assert 1 <= category_of(seconds, 0.1) < CATEGORIES

    def test_without_an_expectation_it_is_the_least(self):
        assert category_of(1.0, 0.0) == 1

    def test_counts_add_and_are_taken_off(self):
        one, two = answers(random.Random(1), 9), answers(random.Random(2), 5)
        assert less(added(one, two), two) == one


class TestGoodVersion:
    @pytest.mark.parametrize("test", TESTS)
    @pytest.mark.parametrize("seed", range(5))
    def test_nothing_speaks_against_it(self, test, seed):
        standing = watch(Evidence(test()), random.Random(seed), 80, {}, {})
        assert standing.total < 7.0

    @pytest.mark.parametrize(
        "trouble", [{"failing": 0.4}, {"slower": 6.0}, {"failing": 0.1, "slower": 3.0}]
    )
    def test_a_trouble_of_both_versions_is_not_its_own(self, trouble):
        evidence, rng = Evidence(MixtureTest()), random.Random(3)
        watch(evidence, rng, 20, {}, {})
        watch(evidence, rng, 16, trouble, trouble, begin=20)
        assert watch(evidence, rng, 20, {}, {}, begin=36).total < 7.0

    def test_one_ill_endpoint_is_told_apart(self):
        evidence, rng = Evidence(MixtureTest()), random.Random(4)
        for step in range(60):
            fresh = {"x": answers(rng, 2), "ill": answers(rng, 2, failing=0.6)}
            evidence.add({"r": answers(rng, 40)}, {"r": fresh}, step * 0.25)
        standing = evidence.standing()
        assert standing.loudest == "ill"
        assert standing.total > 7.0 > 2.0 > standing.without

    def test_without_an_endpoint_is_as_if_it_had_never_answered(self):
        whole, others = Evidence(MixtureTest()), Evidence(MixtureTest())
        rng = random.Random(6)
        for step in range(40):
            old = {"r": answers(rng, 40), "s": answers(rng, 20)}
            ill = {e: answers(rng, 2, failing=0.7) for e in ("ill",)}
            sound = {e: answers(rng, 2) for e in "xy"}
            whole.add(old, {"r": ill | sound, "s": sound}, step * 0.25)
            others.add(old, {"r": sound, "s": sound}, step * 0.25)
        found = whole.standing()
        assert found.loudest == "ill"
        assert found.without == pytest.approx(others.standing().total)
        assert found.others == others.answers

    def test_a_route_without_new_endpoints_says_nothing(self):
        evidence, rng = Evidence(MixtureTest()), random.Random(1)
        watch(evidence, rng, 8, {}, {})
        before = evidence.standing()
        evidence.add({"s": answers(rng, 40)}, {"s": {}}, 3.0)
        assert evidence.standing() == before

    def test_before_the_old_version_answered_nothing_counts(self):
        evidence = Evidence(MixtureTest())
        evidence.add({}, {"r": {"x": answers(random.Random(1), 30, failing=1.0)}}, 0.0)
        assert evidence.standing().total <= 0.0


class TestBadVersion:
    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize(
        "bad",
        [
            {"failing": 0.5},
            {"failing": 1.0},
            {"slower": 4.0},
            {"slower": 8.0, "part": 0.5},
        ],
    )
    def test_few_answers_are_enough_where_they_are_clear(self, bad, seed):
        evidence, rng = Evidence(MixtureTest()), random.Random(seed)
        watch(evidence, rng, 12, {}, {}, endpoints=())
        standing = watch(evidence, rng, 8, {}, bad, begin=12)
        assert standing.total >= 7.0 and standing.without >= 2.0

    @pytest.mark.parametrize("seed", range(5))
    def test_one_that_turns_bad_is_found_as_soon(self, seed):
        evidence, rng = Evidence(MixtureTest()), random.Random(seed)
        watch(evidence, rng, 100, {}, {})
        assert watch(evidence, rng, 8, {}, {"failing": 0.6}, begin=100).total >= 7.0

    def test_one_that_is_bad_on_one_route_names_it(self):
        evidence, rng = Evidence(MixtureTest()), random.Random(7)
        for step in range(40):
            old = {"good": answers(rng, 40), "bad": answers(rng, 20)}
            new = {
                "good": {e: answers(rng, 3) for e in "xy"},
                "bad": {e: answers(rng, 1, failing=0.7) for e in "xy"},
            }
            evidence.add(old, new, step * 0.25)
        standing = evidence.standing()
        assert standing.total >= 7.0 and standing.route == "bad"
