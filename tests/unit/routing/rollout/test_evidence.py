"""What counts as evidence against a new version, and what doesn't."""

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
    add_counts,
    category_of,
    empty_counts,
    subtract_counts,
)

TESTS = [MixtureTest, SingleEffectTest]


def answers(rng, count, failing=0.0, slower=1.0, part=1.0):
    """Return random answers by category."""
    counts = empty_counts()
    for _ in range(count):
        if rng.random() < failing:
            counts[FAILED] += 1
            continue
        times = slower if rng.random() < part else 1.0
        counts[category_of(rng.lognormvariate(0.0, 0.4) * times, 1.0)] += 1
    return counts


def play(evidence, rng, steps, old, new, endpoints=("x", "y"), begin=0):
    """Play quarter seconds; ``old`` and ``new`` are arguments of `answers`."""
    for step in range(begin, begin + steps):
        fresh = {e: answers(rng, 2, **new) for e in endpoints}
        evidence.add({"r": answers(rng, 40, **old)}, {"r": fresh}, step * 0.25)
    return evidence.summary()


class TestTally:
    def test_twice_as_slow_is_two_categories_higher(self):
        assert category_of(0.2, 0.1) - category_of(0.1, 0.1) == 2

    @pytest.mark.parametrize("seconds", [0.0, -1.0, 1e-9, 1e9])
    def test_any_time_has_a_category(self, seconds):
        assert 1 <= category_of(seconds, 0.1) < CATEGORIES

    def test_without_an_expected_time_it_is_the_lowest_category(self):
        assert category_of(1.0, 0.0) == 1

    def test_counts_are_added_and_subtracted(self):
        one, two = answers(random.Random(1), 9), answers(random.Random(2), 5)
        assert subtract_counts(add_counts(one, two), two) == one


class TestGoodVersion:
    @pytest.mark.parametrize("test", TESTS)
    @pytest.mark.parametrize("seed", range(5))
    def test_it_stays_below_the_threshold(self, test, seed):
        summary = play(Evidence(test()), random.Random(seed), 80, {}, {})
        assert summary.total < 7.0

    @pytest.mark.parametrize(
        "disturbance",
        [{"failing": 0.4}, {"slower": 6.0}, {"failing": 0.1, "slower": 3.0}],
    )
    def test_a_disturbance_of_both_versions_is_no_evidence(self, disturbance):
        evidence, rng = Evidence(MixtureTest()), random.Random(3)
        play(evidence, rng, 20, {}, {})
        play(evidence, rng, 16, disturbance, disturbance, begin=20)
        assert play(evidence, rng, 20, {}, {}, begin=36).total < 7.0

    def test_one_faulty_endpoint_is_identified(self):
        evidence, rng = Evidence(MixtureTest()), random.Random(4)
        for step in range(60):
            fresh = {"x": answers(rng, 2), "ill": answers(rng, 2, failing=0.6)}
            evidence.add({"r": answers(rng, 40)}, {"r": fresh}, step * 0.25)
        summary = evidence.summary()
        assert summary.worst_endpoint == "ill"
        assert summary.total > 7.0 > 2.0 > summary.total_without_worst

    def test_the_total_without_an_endpoint_is_as_if_it_had_never_answered(self):
        whole, others = Evidence(MixtureTest()), Evidence(MixtureTest())
        rng = random.Random(6)
        for step in range(40):
            old = {"r": answers(rng, 40), "s": answers(rng, 20)}
            faulty = {e: answers(rng, 2, failing=0.7) for e in ("ill",)}
            sound = {e: answers(rng, 2) for e in "xy"}
            whole.add(old, {"r": faulty | sound, "s": sound}, step * 0.25)
            others.add(old, {"r": sound, "s": sound}, step * 0.25)
        found = whole.summary()
        assert found.worst_endpoint == "ill"
        assert found.total_without_worst == pytest.approx(others.summary().total)
        assert found.other_answers == others.answers

    def test_a_route_without_new_endpoints_is_no_evidence(self):
        evidence, rng = Evidence(MixtureTest()), random.Random(1)
        play(evidence, rng, 8, {}, {})
        before = evidence.summary()
        evidence.add({"s": answers(rng, 40)}, {"s": {}}, 3.0)
        assert evidence.summary() == before

    def test_without_a_baseline_nothing_counts(self):
        evidence = Evidence(MixtureTest())
        evidence.add({}, {"r": {"x": answers(random.Random(1), 30, failing=1.0)}}, 0.0)
        assert evidence.summary().total <= 0.0


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
    def test_few_answers_are_enough_if_the_difference_is_clear(self, bad, seed):
        evidence, rng = Evidence(MixtureTest()), random.Random(seed)
        play(evidence, rng, 12, {}, {}, endpoints=())
        summary = play(evidence, rng, 8, {}, bad, begin=12)
        assert summary.total >= 7.0 and summary.total_without_worst >= 2.0

    @pytest.mark.parametrize("seed", range(5))
    def test_a_version_that_turns_bad_later_is_detected_as_soon(self, seed):
        evidence, rng = Evidence(MixtureTest()), random.Random(seed)
        play(evidence, rng, 100, {}, {})
        assert play(evidence, rng, 8, {}, {"failing": 0.6}, begin=100).total >= 7.0

    def test_the_route_is_named_if_only_one_is_bad(self):
        evidence, rng = Evidence(MixtureTest()), random.Random(7)
        for step in range(40):
            old = {"good": answers(rng, 40), "bad": answers(rng, 20)}
            new = {
                "good": {e: answers(rng, 3) for e in "xy"},
                "bad": {e: answers(rng, 1, failing=0.7) for e in "xy"},
            }
            evidence.add(old, new, step * 0.25)
        summary = evidence.summary()
        assert summary.total >= 7.0 and summary.worst_route == "bad"
