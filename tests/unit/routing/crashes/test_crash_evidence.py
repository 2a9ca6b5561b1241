"""Which requests are held to bring endpoints down, and which aren't."""

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ebonydeal._internal.routing.crashes.crash_evidence import (
    CrashEvidence,
    QuarantinePolicy,
    QuarantineStatus,
)
from ebonydeal._internal.routing.crashes.crash_messages import ObservedCrash

FATAL, OTHER, THIRD = "fatal", "other", "third"


def crash(evidence, name, at, *digests, zone=None, born=0):
    # Each in a zone of its own, unless said otherwise.
    return evidence.record_crash(ObservedCrash(name, born, zone or name, at), digests)


def evidence(*crashes, **terms):
    found = CrashEvidence(QuarantinePolicy(**terms))
    for number, digests in enumerate(crashes):
        crash(found, f"i{number}", 100.0 + number, *digests)
    return found


class TestCount:
    def test_the_third_endpoint_is_enough(self):
        found = evidence([FATAL], [FATAL])
        assert found.status(FATAL) is QuarantineStatus.SUSPECT
        crash(found, "i2", 102.0, FATAL)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED
        assert found.crashed_endpoints(FATAL) == ("i0", "i1", "i2")

    def test_one_endpoint_seen_by_many_relays_counts_once(self):
        found = evidence()
        for _relay in range(5):
            crash(found, "i0", 100.0, FATAL)
        assert found.status(FATAL) is QuarantineStatus.SUSPECT

    def test_an_endpoint_that_started_again_counts_again(self):
        found = evidence()
        for number in range(3):
            crash(found, "i0", 100.0 + number, FATAL, born=number)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED

    def test_also_where_endpoints_dont_tell_when_they_started(self):
        found = evidence()
        for number in range(3):
            crash(found, "i0", 100.0 + 3 * number, FATAL)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED

    def test_it_can_be_switched_off(self):
        found = evidence([FATAL], [FATAL], [FATAL], crash_threshold=0)
        assert found.status(FATAL) is QuarantineStatus.CLEAR

    def test_other_requests_have_no_part_in_it(self):
        found = evidence([FATAL], [FATAL], [FATAL])
        assert found.status(OTHER) is QuarantineStatus.CLEAR


class TestInnocent:
    def test_what_was_beside_it_in_two_crashes_is_explained(self):
        found = evidence([FATAL, OTHER], [FATAL, OTHER], [FATAL])
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED
        assert found.status(OTHER) is QuarantineStatus.CLEAR

    def test_one_beside_it_each_time_isnt_refused_before_they_are_told_apart(self):
        found = evidence(*[[FATAL, OTHER]] * 3)
        assert found.status(OTHER) is QuarantineStatus.SUSPECT
        crash(found, "i3", 103.0, FATAL)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED
        assert found.status(OTHER) is QuarantineStatus.CLEAR

    def test_a_success_tells_them_apart_too(self):
        found = evidence(*[[FATAL, OTHER]] * 3)
        found.record_success(OTHER, 104.0)
        assert found.status(OTHER) is QuarantineStatus.CLEAR
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED

    def test_two_that_can_never_be_told_apart_are_both_refused(self):
        found = evidence(*[[FATAL, OTHER]] * 4)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED
        assert found.status(OTHER) is QuarantineStatus.QUARANTINED

    def test_two_that_crash_endpoints_apart_are_both_refused(self):
        found = evidence([FATAL], [OTHER], [FATAL], [OTHER], [FATAL], [OTHER])
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED
        assert found.status(OTHER) is QuarantineStatus.QUARANTINED

    def test_two_in_one_zone_dont_hide_each_other(self):
        found = evidence()
        for number in range(6):
            digest = (FATAL, OTHER)[number % 2]
            crash(found, f"i{number}", 100.0 + 0.25 * number, digest, zone="z")
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED
        assert found.status(OTHER) is QuarantineStatus.QUARANTINED

    def test_an_equal_one_that_succeeded_before_clears_it(self):
        found = evidence()
        found.record_success(OTHER, 99.0)
        for number in range(5):
            crash(found, f"i{number}", 100.0 + number, OTHER)
        assert found.status(OTHER) is QuarantineStatus.CLEAR

    def test_a_success_while_it_is_refused_ends_that(self):
        found = evidence([OTHER], [OTHER], [OTHER])
        assert found.record_success(OTHER, 103.0)
        assert found.status(OTHER) is QuarantineStatus.CLEAR

    def test_a_success_of_long_ago_doesnt(self):
        found = evidence()
        found.record_success(FATAL, 10.0)
        for number in range(3):
            crash(found, f"i{number}", 100.0 + number, FATAL)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED

    def test_the_loss_of_a_zone_is_nobodys_doing(self):
        found = evidence()
        for number in range(8):
            crash(found, f"i{number}", 100.0 + 0.01 * number, OTHER, zone="z")
        assert found.status(OTHER) is QuarantineStatus.SUSPECT

    def test_one_sent_to_a_zone_at_once_isnt_taken_for_its_loss(self):
        found = evidence()
        for number in range(4):
            at = 100.0 + 5.0 * (number // 2)
            crash(found, f"i{number}", at, FATAL, zone="z")
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED


class TestLife:
    def test_an_endpoint_heard_of_afterwards_didnt_crash(self):
        found = evidence([OTHER], [OTHER], [OTHER])
        assert not found.record_activity("i2", 0, sent_at=90.0, now=104.0)
        assert found.record_activity("i2", 0, sent_at=90.0, now=104.5)
        assert found.status(OTHER) is QuarantineStatus.SUSPECT

    def test_what_was_on_its_way_shows_nothing(self):
        found = evidence([FATAL], [FATAL], [FATAL])
        assert not found.record_activity("i2", 0, sent_at=90.0, now=102.2)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED

    def test_nor_does_what_a_relay_that_stood_still_reads_late(self):
        found = evidence([FATAL], [FATAL], [FATAL])
        for _event in range(5):
            assert not found.record_activity("i2", 0, sent_at=90.0, now=106.0)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED

    def test_nor_does_one_that_started_again(self):
        found = evidence([FATAL], [FATAL], [FATAL])
        assert not found.record_activity("i2", 0, sent_at=104.0, now=105.0)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED


class TestMemory:
    def test_it_ends(self):
        found = evidence([FATAL], [FATAL], [FATAL], retention_s=60.0)
        found.expire(159.0)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED
        found.expire(160.5)
        assert found.status(FATAL) is QuarantineStatus.SUSPECT
        found.expire(170.0)
        assert found.status(FATAL) is QuarantineStatus.CLEAR
        assert found.fingerprint == ""

    def test_requests_made_up_for_it_dont_fill_it(self):
        found = evidence([FATAL], [FATAL], [FATAL])
        for number in range(200):
            names = [f"d{number}-{n}" for n in range(400)]
            crash(found, f"j{number}", 110.0 + number, *names)
        message = found.to_message(5000.0)
        assert len(message["crashes"]) <= 64
        assert all(len(told["requests"]) <= 128 for told in message["crashes"])
        # Nor do they push out what is refused.
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED

    def test_of_too_many_at_work_relays_keep_the_same(self):
        names = [f"d{n}" for n in range(400)]
        one, other = evidence(), evidence()
        crash(one, "i0", 100.0, *names[:300])
        crash(other, "i0", 100.0, *names[100:])
        for _round in range(2):
            one.merge(other.to_message(101.0), 101.0)
            other.merge(one.to_message(101.0), 101.0)
        assert one.fingerprint == other.fingerprint
        assert not one.merge(other.to_message(102.0), 102.0)

    def test_successes_are_bounded(self):
        found = evidence()
        for number in range(10_000):
            found.record_success(f"d{number}", 100.0)
        assert len(found._recent_successes) <= 2048


class TestMerge:
    def test_relays_that_saw_parts_hold_the_same_together(self):
        relays = [evidence() for _ in range(3)]
        for number, relay in enumerate(relays):
            crash(relay, f"i{number}", 100.0 + number, FATAL)
        for one in relays:
            for other in relays:
                other.merge(one.to_message(103.0), 103.01)
        assert {relay.status(FATAL) for relay in relays} == {
            QuarantineStatus.QUARANTINED
        }
        assert len({relay.fingerprint for relay in relays}) == 1

    def test_a_success_at_another_relay_clears(self):
        one, other = evidence([OTHER], [OTHER]), evidence()
        other.record_success(OTHER, 101.0)
        other.merge(one.to_message(102.0), 102.0)
        assert other.take_unreported()
        one.merge(other.to_message(102.1), 102.1)
        crash(one, "i2", 102.5, OTHER)
        assert one.status(OTHER) is QuarantineStatus.CLEAR

    def test_the_same_again_is_no_news(self):
        one, other = evidence([FATAL]), evidence()
        assert other.merge(one.to_message(101.0), 101.0)
        assert not other.merge(one.to_message(101.5), 101.52)

    def test_times_dont_drift_as_relays_tell_each_other(self):
        one, other = evidence([OTHER]), evidence()
        one.record_success(OTHER, 101.0)
        now = 101.0
        for _round in range(100):
            now += 0.1
            other.merge(one.to_message(now), now + 0.05)
            one.merge(other.to_message(now + 0.05), now + 0.1)
        assert one.to_message(now)["served"][OTHER] == pytest.approx(now - 101.0)

    @pytest.mark.parametrize(
        "wrong",
        [
            {"age": float("nan")},
            {"age": float("inf")},
            {"age": -1.0},
            {"age": "1"},
            {"endpoint": 5},
            {"born": float("inf")},
            {"born": "1"},
            {"requests": ["x" * 1000]},
        ],
    )
    def test_what_cant_be_a_memory_is_refused_whole(self, wrong):
        message = evidence([FATAL], [FATAL]).to_message(101.0)
        message["crashes"][1].update(wrong)
        found = evidence()
        with pytest.raises(ValueError):
            found.merge(message, 101.0)
        assert found.to_message(101.0)["crashes"] == []

    def test_one_that_was_dropped_before_it_was_told_is_left_out(self):
        found = evidence([FATAL], retention_s=60.0)
        keys = list(found._crashes)
        found.expire(200.0)
        assert found.to_message(200.0, keys)["crashes"] == []


class Gossip(RuleBasedStateMachine):
    """Relays that tell each other in any order, with some words lost.

    Whatever order, once each has heard all the others they hold the same.
    """

    def __init__(self):
        super().__init__()
        self.relays = [evidence() for _ in range(3)]
        self.now = 100.0
        self.crashes = 0

    @rule(relay=st.integers(0, 2), beside=st.sets(st.sampled_from("abcd"), max_size=3))
    def crash(self, relay, beside):
        self.now += 1.5
        self.crashes += 1
        crash(self.relays[relay], f"i{self.crashes}", self.now, FATAL, *beside)

    @rule(relay=st.integers(0, 2), digest=st.sampled_from("abcd"))
    def serve(self, relay, digest):
        self.now += 0.1
        self.relays[relay].record_success(digest, self.now)

    @rule(one=st.integers(0, 2), other=st.integers(0, 2))
    def tell(self, one, other):
        self.relays[other].merge(self.relays[one].to_message(self.now), self.now)

    @invariant()
    def all_told_hold_the_same(self):
        told = [evidence() for _ in self.relays]
        for number, relay in enumerate(told):
            order = list(self.relays)
            Random(number).shuffle(order)
            for other in order:
                relay.merge(other.to_message(self.now), self.now)
        assert len({relay.fingerprint for relay in told}) == 1
        assert len({relay.status(FATAL) for relay in told}) == 1
        if self.crashes >= 4:
            assert told[0].status(FATAL) is QuarantineStatus.QUARANTINED


Gossip.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None
)
TestGossip = Gossip.TestCase
