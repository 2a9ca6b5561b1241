"""To which requests crashes are attributed, and to which they aren't."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ebonydeal._internal.routing.crashes.crash_evidence import CrashEvidence
from ebonydeal._internal.routing.crashes.crash_messages import ObservedCrash
from ebonydeal._internal.routing.crashes.quarantine import (
    QuarantineConfig,
    QuarantineStatus,
)
from ebonydeal._internal.routing.crashes.request_traits import RequestTraits
from tests.unit.routing.crashes.exchange import merge_all

FATAL, OTHER = RequestTraits("fatal"), RequestTraits("other")


def crash(evidence, name, at, *requests, zone=None, born=0):
    # By default each endpoint is in a zone of its own.
    return evidence.record_crash(ObservedCrash(name, born, zone or name, at), requests)


def evidence(*crashes, **terms):
    found = CrashEvidence(QuarantineConfig(**terms))
    for number, requests in enumerate(crashes):
        crash(found, f"i{number}", 100.0 + number, *requests)
    return found


class TestThreshold:
    def test_three_crashed_endpoints_quarantine_a_request(self):
        found = evidence([FATAL], [FATAL])
        assert found.status(FATAL) is QuarantineStatus.SUSPECT
        crash(found, "i2", 102.0, FATAL)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED
        assert found.crashed_endpoints(FATAL) == ("i0", "i1", "i2")

    def test_one_crash_seen_by_many_relays_counts_once(self):
        found = evidence()
        for _relay in range(5):
            crash(found, "i0", 100.0, FATAL)
        assert found.status(FATAL) is QuarantineStatus.SUSPECT

    def test_a_restarted_endpoint_counts_again(self):
        found = evidence()
        for number in range(3):
            crash(found, "i0", 100.0 + number, FATAL, born=number)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED

    def test_a_restart_without_a_reported_start_time_counts_again(self):
        found = evidence()
        for number in range(3):
            crash(found, "i0", 100.0 + 3 * number, FATAL)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED

    def test_a_threshold_of_zero_disables_it(self):
        found = evidence([FATAL], [FATAL], [FATAL], crash_threshold=0)
        assert found.status(FATAL) is QuarantineStatus.CLEAR

    def test_a_request_that_wasnt_in_flight_is_clear(self):
        found = evidence([FATAL], [FATAL], [FATAL])
        assert found.status(OTHER) is QuarantineStatus.CLEAR


class TestNotAttributed:
    def test_a_request_in_flight_beside_the_cause_is_clear(self):
        found = evidence([FATAL, OTHER], [FATAL, OTHER], [FATAL])
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED
        assert found.status(OTHER) is QuarantineStatus.CLEAR

    def test_two_requests_in_the_same_crashes_are_suspects_until_distinguished(self):
        found = evidence(*[[FATAL, OTHER]] * 3)
        assert found.status(OTHER) is QuarantineStatus.SUSPECT
        crash(found, "i3", 103.0, FATAL)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED
        assert found.status(OTHER) is QuarantineStatus.CLEAR

    def test_a_success_distinguishes_two_requests(self):
        found = evidence(*[[FATAL, OTHER]] * 3)
        found.record_success(OTHER, 104.0)
        assert found.status(OTHER) is QuarantineStatus.CLEAR
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED

    def test_two_requests_in_the_same_four_crashes_are_both_quarantined(self):
        found = evidence(*[[FATAL, OTHER]] * 4)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED
        assert found.status(OTHER) is QuarantineStatus.QUARANTINED

    def test_two_requests_in_different_crashes_are_both_quarantined(self):
        found = evidence([FATAL], [OTHER], [FATAL], [OTHER], [FATAL], [OTHER])
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED
        assert found.status(OTHER) is QuarantineStatus.QUARANTINED

    def test_crashes_of_two_requests_in_one_zone_all_count(self):
        found = evidence()
        for number in range(6):
            request = (FATAL, OTHER)[number % 2]
            crash(found, f"i{number}", 100.0 + 0.25 * number, request, zone="z")
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED
        assert found.status(OTHER) is QuarantineStatus.QUARANTINED

    def test_a_recent_success_of_an_equal_request_clears_it(self):
        found = evidence()
        found.record_success(OTHER, 99.0)
        for number in range(5):
            crash(found, f"i{number}", 100.0 + number, OTHER)
        assert found.status(OTHER) is QuarantineStatus.CLEAR

    def test_a_success_ends_the_quarantine(self):
        found = evidence([OTHER], [OTHER], [OTHER])
        assert found.record_success(OTHER, 103.0)
        assert found.status(OTHER) is QuarantineStatus.CLEAR

    def test_an_old_success_doesnt_clear_it(self):
        found = evidence()
        found.record_success(FATAL, 10.0)
        for number in range(3):
            crash(found, f"i{number}", 100.0 + number, FATAL)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED

    def test_a_zone_outage_quarantines_no_request(self):
        found = evidence()
        for number in range(8):
            crash(found, f"i{number}", 100.0 + 0.01 * number, OTHER, zone="z")
        assert found.status(OTHER) is QuarantineStatus.SUSPECT

    def test_two_crashes_at_once_in_a_zone_are_no_zone_outage(self):
        found = evidence()
        for number in range(4):
            at = 100.0 + 5.0 * (number // 2)
            crash(found, f"i{number}", at, FATAL, zone="z")
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED


class TestActivity:
    def test_later_activity_disproves_a_crash(self):
        found = evidence([OTHER], [OTHER], [OTHER])
        assert not found.record_activity("i2", 0, sent_at=90.0, now=104.0)
        assert found.record_activity("i2", 0, sent_at=90.0, now=104.5)
        assert found.status(OTHER) is QuarantineStatus.SUSPECT

    def test_data_sent_before_the_crash_disproves_nothing(self):
        found = evidence([FATAL], [FATAL], [FATAL])
        assert not found.record_activity("i2", 0, sent_at=90.0, now=102.2)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED

    def test_data_that_a_suspended_relay_reads_late_disproves_nothing(self):
        found = evidence([FATAL], [FATAL], [FATAL])
        for _event in range(5):
            assert not found.record_activity("i2", 0, sent_at=90.0, now=106.0)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED

    def test_activity_after_a_restart_disproves_nothing(self):
        found = evidence([FATAL], [FATAL], [FATAL])
        assert not found.record_activity("i2", 0, sent_at=104.0, now=105.0)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED


class TestRetention:
    def test_crashes_expire(self):
        found = evidence([FATAL], [FATAL], [FATAL], retention_s=60.0)
        found.expire(159.0)
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED
        found.expire(160.5)
        assert found.status(FATAL) is QuarantineStatus.SUSPECT
        found.expire(170.0)
        assert found.status(FATAL) is QuarantineStatus.CLEAR
        assert found.fingerprint == ""

    def test_fabricated_requests_dont_evict_quarantined_ones(self):
        found = evidence([FATAL], [FATAL], [FATAL])
        for number in range(200):
            names = [RequestTraits(f"d{number}-{n}") for n in range(400)]
            crash(found, f"j{number}", 110.0 + number, *names)
        message = found.to_message(5000.0)
        assert len(message["crashes"]) <= 64
        assert all(len(item["requests"]) <= 128 for item in message["crashes"])
        # The quarantined request isn't evicted.
        assert found.status(FATAL) is QuarantineStatus.QUARANTINED

    def test_relays_keep_the_same_requests_of_too_many_in_flight(self):
        names = [RequestTraits(f"d{n}") for n in range(400)]
        one, other = evidence(), evidence()
        crash(one, "i0", 100.0, *names[:300])
        crash(other, "i0", 100.0, *names[100:])
        for _round in range(2):
            one.merge(other.to_message(101.0), 101.0)
            other.merge(one.to_message(101.0), 101.0)
        assert one.fingerprint == other.fingerprint
        assert not one.merge(other.to_message(102.0), 102.0)

    def test_remembered_successes_are_bounded(self):
        found = evidence()
        for number in range(10_000):
            found.record_success(RequestTraits(f"d{number}"), 100.0)
        assert len(found._recent_successes) <= 2048


class TestMerge:
    def test_relays_that_saw_different_crashes_agree_after_a_merge(self):
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

    def test_a_success_at_another_relay_clears_a_request(self):
        one, other = evidence([OTHER], [OTHER]), evidence()
        other.record_success(OTHER, 101.0)
        other.merge(one.to_message(102.0), 102.0)
        assert other.take_unreported()
        one.merge(other.to_message(102.1), 102.1)
        crash(one, "i2", 102.5, OTHER)
        assert one.status(OTHER) is QuarantineStatus.CLEAR

    def test_merging_the_same_evidence_again_changes_nothing(self):
        one, other = evidence([FATAL]), evidence()
        assert other.merge(one.to_message(101.0), 101.0)
        assert not other.merge(one.to_message(101.5), 101.52)

    def test_times_dont_drift_when_relays_exchange_them(self):
        one, other = evidence([OTHER]), evidence()
        one.record_success(OTHER, 101.0)
        now = 101.0
        for _round in range(100):
            now += 0.1
            other.merge(one.to_message(now), now + 0.05)
            one.merge(other.to_message(now + 0.05), now + 0.1)
        assert one.to_message(now)["served"][OTHER.digest] == pytest.approx(now - 101.0)

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
    def test_an_invalid_message_is_rejected_as_a_whole(self, wrong):
        message = evidence([FATAL], [FATAL]).to_message(101.0)
        message["crashes"][1].update(wrong)
        found = evidence()
        with pytest.raises(ValueError):
            found.merge(message, 101.0)
        assert found.to_message(101.0)["crashes"] == []

    def test_a_crash_that_expired_before_its_report_is_left_out(self):
        found = evidence([FATAL], retention_s=60.0)
        keys = list(found._crashes)
        found.expire(200.0)
        assert found.to_message(200.0, keys)["crashes"] == []


class EvidenceExchange(RuleBasedStateMachine):
    """Relays that exchange evidence in any order, with some messages lost.

    In whatever order, once each has merged all the others' evidence, they agree.
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
        beside = [RequestTraits(digest) for digest in beside]
        crash(self.relays[relay], f"i{self.crashes}", self.now, FATAL, *beside)

    @rule(relay=st.integers(0, 2), digest=st.sampled_from("abcd"))
    def serve(self, relay, digest):
        self.now += 0.1
        self.relays[relay].record_success(RequestTraits(digest), self.now)

    @rule(one=st.integers(0, 2), other=st.integers(0, 2))
    def send(self, one, other):
        self.relays[other].merge(self.relays[one].to_message(self.now), self.now)

    @invariant()
    def all_agree_after_a_full_exchange(self):
        merged = merge_all(self.relays, evidence, self.now)
        assert len({relay.fingerprint for relay in merged}) == 1
        assert len({relay.status(FATAL) for relay in merged}) == 1
        if self.crashes >= 4:
            assert merged[0].status(FATAL) is QuarantineStatus.QUARANTINED


EvidenceExchange.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None
)
TestEvidenceExchange = EvidenceExchange.TestCase
