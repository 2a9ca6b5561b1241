"""Which version one relay's requests go to, and what the relay counts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.rollouts import Phase, RolloutGate, RolloutOrder
from ebonydeal._internal.routing.rollout.tally import FAILED, category_of
from ebonydeal._internal.routing.rollout.traffic_split import (
    AwaitedAnswer,
    TrafficSplit,
)

ORDER = RolloutOrder("s", "v2", 20.0, 7)


def member(name, version):
    return Member(name, "s", "1:1", "z", 8, False, None, False, 0.0, 1, version=version)


OLD = [member(f"a{n}", "v1") for n in range(3)]
NEW = [member(f"b{n}", "v2") for n in range(3)]
BOTH = OLD + NEW


def gate(share=0.0, phase=Phase.RUNNING, revision=7, to="v2", barred=()):
    canaries = tuple(m.endpoint_id for m in NEW[:2])
    return RolloutGate("s", to, revision, phase, {"r": share}, canaries, barred)


def split(name="n1", gates=(), orders=True):
    found = TrafficSplit(name, gate_ttl_s=2.0)
    if orders:
        found.set_orders({"s": ORDER})
    found.apply_gates(list(gates), 100.0)
    return found


def versions(choice):
    return {m.version for m in choice.members}


class TestWithoutOrder:
    def test_all_endpoints_may_get_requests(self):
        found = TrafficSplit("n1", 2.0)
        assert not found.has_rollout("s")
        assert found.choose_version("s", "r", BOTH, 0.0).members == BOTH


class TestRunning:
    def test_nothing_goes_over_before_the_first_gate(self):
        assert versions(split().choose_version("s", "r", BOTH, 100.0)) == {"v1"}

    def test_nothing_goes_over_once_the_gate_is_stale(self):
        found = split(gates=[gate(1.0)])
        assert versions(found.choose_version("s", "r", BOTH, 101.9)) == {"v2"}
        assert versions(found.choose_version("s", "r", BOTH, 102.1)) == {"v1"}

    def test_a_retry_goes_to_the_old_version(self):
        found = split(gates=[gate(1.0)])
        assert versions(found.choose_version("s", "r", BOTH, 100.0, resend=True)) == {
            "v1"
        }

    def test_only_canaries_get_requests(self):
        choice = split(gates=[gate(1.0)]).choose_version("s", "r", BOTH, 100.0)
        assert choice.is_new and [m.endpoint_id for m in choice.members] == ["b0", "b1"]

    def test_new_endpoints_serve_without_a_gate_if_no_old_ones_are_left(self):
        assert versions(split().choose_version("s", "r", NEW, 100.0)) == {"v2"}

    def test_the_share_is_kept_if_no_old_endpoints_are_left(self):
        found = split(gates=[gate(0.25)])
        served = 0
        for _ in range(40):
            choice = found.choose_version("s", "r", NEW, 100.0)
            # A second choice for the same request adds no credit.
            choice = (
                choice
                if choice.members
                else found.choose_version("s", "r", NEW, 100.0, first=0)
            )
            if choice.members:
                found.record_send("s", "r", choice.members[0], first=True)
                served += 1
        assert 9 <= served <= 11

    def test_a_barred_version_gets_nothing(self):
        third = member("c", "v3")
        found = split(gates=[gate(barred=("v3",))])
        assert versions(found.choose_version("s", "r", [*OLD, third], 100.0)) == {"v1"}

    @given(share=st.floats(0.0, 1.0), relays=st.integers(1, 60), each=st.integers(1, 9))
    def test_the_share_is_kept_by_counting_over_all_relays(self, share, relays, each):
        over = 0
        for number in range(relays):
            found = split(f"n{number}", [gate(share)])
            for _ in range(each):
                choice = found.choose_version("s", "r", BOTH, 100.0)
                found.record_send("s", "r", choice.members[0], first=True)
                over += choice.is_new
        # Each relay is off by less than one request.
        assert abs(over - share * relays * each) <= relays
        if relays >= 30 and share:
            assert abs(over - share * relays * each) <= relays / 2

    def test_credit_without_new_endpoints_is_limited(self):
        found = split(gates=[gate(0.5)])
        for _ in range(20):
            found.choose_version("s", "r", OLD, 100.0)
            found.record_send("s", "r", OLD[0], first=True)
        taken = 0
        for _ in range(4):
            choice = found.choose_version("s", "r", BOTH, 100.0)
            found.record_send("s", "r", choice.members[0], first=True)
            taken += choice.is_new
        assert taken <= 3


class TestVerdict:
    def test_completed_sends_nothing_to_the_old_version(self):
        found = split(gates=[gate(phase=Phase.COMPLETED)])
        assert versions(found.choose_version("s", "r", BOTH, 999.0)) == {"v2"}

    def test_a_rolled_back_version_gets_nothing_even_if_no_other_is_left(self):
        found = split(gates=[gate(phase=Phase.ROLLED_BACK)])
        assert versions(found.choose_version("s", "r", BOTH, 999.0)) == {"v1"}
        assert not found.choose_version("s", "r", NEW, 999.0).members

    @pytest.mark.parametrize("phase", [Phase.COMPLETED, Phase.ROLLED_BACK])
    @pytest.mark.parametrize("later", list(Phase))
    def test_is_never_reverted(self, phase, later):
        found = split(gates=[gate(phase=phase)])
        found.apply_gates([gate(1.0, phase=later)], 101.0)
        assert found.gates()[0].phase is phase

    def test_a_newer_order_starts_a_new_roll_out(self):
        found = split(gates=[gate(phase=Phase.ROLLED_BACK)])
        found.set_orders({"s": ORDER._replace(revision=9)})
        assert versions(found.choose_version("s", "r", BOTH, 100.0)) == {"v1"}
        found.apply_gates([gate(1.0, revision=9)], 100.0)
        assert versions(found.choose_version("s", "r", BOTH, 100.0)) == {"v2"}

    @pytest.mark.parametrize("phase", [Phase.RUNNING, Phase.ROLLED_BACK])
    def test_a_version_that_wasnt_completed_gets_nothing_after_the_next_order(
        self, phase
    ):
        found = split(gates=[gate(phase=phase, barred=("v0",))])
        found.set_orders({"s": ORDER._replace(target_version="v3", revision=9)})
        listed = [*BOTH, member("c", "v3"), member("z", "v0")]
        assert versions(found.choose_version("s", "r", listed, 100.0)) == {"v1"}

    def test_a_completed_version_is_the_old_one_of_the_next_order(self):
        found = split(gates=[gate(phase=Phase.COMPLETED)])
        found.set_orders({"s": ORDER._replace(target_version="v3", revision=9)})
        listed = [*NEW, member("c", "v3")]
        assert versions(found.choose_version("s", "r", listed, 100.0)) == {"v2"}

    @pytest.mark.parametrize("phase", [Phase.COMPLETED, Phase.ROLLED_BACK])
    def test_nothing_is_counted_afterwards(self, phase):
        found = split(gates=[gate(phase=phase)])
        assert not found.record_send("s", "r", NEW[0], first=True)
        assert not found.record_failure("s", "r", NEW[0])
        assert (
            found.expect_answer(AwaitedAnswer("s", "r", NEW[0], 0.1, 1.0, 100.0)) == 0
        )
        assert not found.tallies(200.0)["s"]["new"] and not found._pending

    def test_a_gate_of_an_older_order_is_ignored(self):
        found = split()
        found.apply_gates([gate(1.0, revision=6)], 100.0)
        assert versions(found.choose_version("s", "r", BOTH, 100.0)) == {"v1"}

    def test_stays_after_the_order_is_withdrawn(self):
        found = split(gates=[gate(phase=Phase.ROLLED_BACK)])
        found.set_orders({})
        assert versions(found.choose_version("s", "r", BOTH, 100.0)) == {"v1"}

    def test_a_relay_that_isnt_the_coordinator_passes_on_verdicts_only(self):
        found = split()
        found.apply_verdicts([gate(1.0)])
        assert versions(found.choose_version("s", "r", BOTH, 100.0)) == {"v1"}
        found.apply_verdicts([gate(phase=Phase.COMPLETED)])
        assert versions(found.choose_version("s", "r", BOTH, 100.0)) == {"v2"}


class TestCounts:
    def expect_one(self, found, where, expected=0.1, at=100.0):
        return found.expect_answer(AwaitedAnswer("s", "r", where, expected, 1.0, at))

    def tally(self, found, now=100.0):
        return found.tallies(now)["s"]

    def test_requests_and_exposed_requests_are_counted(self):
        found = split()
        assert not found.record_send("s", "r", OLD[0], first=True)
        assert found.record_send("s", "r", NEW[0], first=True)
        assert found.record_send("s", "r", NEW[0], first=False)
        tally = self.tally(found)
        assert tally["requests"] == {"r": 2} and tally["exposed"] == {"r": 2}

    def test_an_answer_counts_by_its_time(self):
        found = split()
        found.record_answer(self.expect_one(found, NEW[0]), 100.2)
        assert self.tally(found)["new"]["r"]["b0"][category_of(0.21, 0.11)] == 1

    def test_an_answer_recorded_after_its_send_ended_counts_until_the_end(self):
        found = split()
        number = self.expect_one(found, OLD[0])
        found.record_end(number, 100.15)
        found.record_answer(number, 105.0)
        assert self.tally(found)["old"]["r"][category_of(0.16, 0.11)] == 1

    def test_a_late_answer_counts_before_it_arrives_and_only_once(self):
        found = split()
        number = self.expect_one(found, NEW[0])
        assert found.has_new_bad_answers(100.5)
        assert not found.has_new_bad_answers(100.6)
        found.record_answer(number, 101.0)
        assert sum(self.tally(found, 101.0)["new"]["r"]["b0"]) == 1

    def test_a_caller_that_left_counts_for_nothing(self):
        found = split()
        found.record_end(self.expect_one(found, NEW[0]), 100.1)
        assert not found.has_new_bad_answers(103.0) and not self.tally(found)["new"]
        assert not found.has_new_bad_answers(110.0) and not found._pending

    def test_a_failure_is_reported_at_once(self):
        found = split()
        assert found.record_failure("s", "r", NEW[0])
        assert not found.record_failure("s", "r", OLD[0])
        assert found.has_new_bad_answers(100.0)
        assert self.tally(found)["new"]["r"]["b0"][FAILED] == 1

    def test_times_without_an_estimate_are_compared_with_old_ones(self):
        found = split()
        for _ in range(50):
            found.record_answer(self.expect_one(found, OLD[0], expected=None), 100.02)
        found.record_answer(self.expect_one(found, NEW[0], expected=None), 100.2)
        counts = self.tally(found)["new"]["r"]["b0"]
        assert sum(counts[category_of(0.16, 0.03) :]) == 1

    def test_after_the_verdict_only_the_phase_is_reported(self):
        found = split(gates=[gate(phase=Phase.ROLLED_BACK)])
        found.record_send("s", "r", OLD[0], first=True)
        tally = self.tally(found)
        assert tally["phase"] == "rolled_back" and not tally["requests"]


class TestBarredVersions:
    """A stream that began at a version goes on there, unless it was rolled back."""

    def test_version_of_a_running_order_is_not_barred(self):
        assert not split(gates=[gate(1.0)]).is_barred("s", "v2")

    def test_version_that_was_rolled_back_is_barred(self):
        found = split(gates=[gate(phase=Phase.ROLLED_BACK)])
        assert found.is_barred("s", "v2")
        assert not found.is_barred("s", "v1")

    def test_barred_version_of_an_earlier_order_stays_barred(self):
        assert split(gates=[gate(1.0, barred=("v0",))]).is_barred("s", "v0")

    def test_nothing_is_barred_without_an_order(self):
        assert not TrafficSplit("n1", 2.0).is_barred("s", "v2")
