"""Which version one relay's requests go to."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.rollouts import Phase, RolloutGate, RolloutOrder
from ebonydeal._internal.routing.rollout.split import Awaited, Split
from ebonydeal._internal.routing.rollout.tally import FAILED, category_of

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
    found = Split(name, patience=2.0)
    if orders:
        found.ordered({"s": ORDER})
    found.told(list(gates), 100.0)
    return found


def versions(part):
    return {m.version for m in part.members}


class TestWithoutOrder:
    def test_all_may_get_requests(self):
        found = Split("n1", 2.0)
        assert not found.watches("s")
        assert found.part("s", "r", BOTH, 0.0).members == BOTH


class TestRunning:
    def test_nothing_goes_over_before_the_coordinator_spoke(self):
        assert versions(split().part("s", "r", BOTH, 100.0)) == {"v1"}

    def test_nothing_goes_over_once_it_is_silent(self):
        found = split(gates=[gate(1.0)])
        assert versions(found.part("s", "r", BOTH, 101.9)) == {"v2"}
        assert versions(found.part("s", "r", BOTH, 102.1)) == {"v1"}

    def test_a_repeat_goes_to_the_old_version(self):
        found = split(gates=[gate(1.0)])
        assert versions(found.part("s", "r", BOTH, 100.0, again=True)) == {"v1"}

    def test_only_the_canaries_get_them(self):
        part = split(gates=[gate(1.0)]).part("s", "r", BOTH, 100.0)
        assert part.new and [m.endpoint_id for m in part.members] == ["b0", "b1"]

    def test_where_only_new_ones_are_left_and_nobody_speaks_they_serve(self):
        assert versions(split().part("s", "r", NEW, 100.0)) == {"v2"}

    def test_where_only_new_ones_are_left_the_share_holds(self):
        found = split(gates=[gate(0.25)])
        served = 0
        for _ in range(40):
            part = found.part("s", "r", NEW, 100.0)
            # Asked again while the request waits: that earns nothing.
            part = part if part.members else found.part("s", "r", NEW, 100.0, first=0)
            if part.members:
                found.sent("s", "r", part.members[0], first=True)
                served += 1
        assert 9 <= served <= 11

    def test_a_version_given_up_before_gets_nothing(self):
        third = member("c", "v3")
        found = split(gates=[gate(barred=("v3",))])
        assert versions(found.part("s", "r", [*OLD, third], 100.0)) == {"v1"}

    @given(share=st.floats(0.0, 1.0), relays=st.integers(1, 60), each=st.integers(1, 9))
    def test_the_share_is_kept_by_counting_over_all_relays(self, share, relays, each):
        over = 0
        for number in range(relays):
            found = split(f"n{number}", [gate(share)])
            for _ in range(each):
                part = found.part("s", "r", BOTH, 100.0)
                found.sent("s", "r", part.members[0], first=True)
                over += part.new
        # Each relay is off by less than one request.
        assert abs(over - share * relays * each) <= relays
        if relays >= 30 and share:
            assert abs(over - share * relays * each) <= relays / 2

    def test_a_request_that_found_no_new_endpoint_is_made_up_for_once(self):
        found = split(gates=[gate(0.5)])
        for _ in range(20):
            found.part("s", "r", OLD, 100.0)
            found.sent("s", "r", OLD[0], first=True)
        taken = 0
        for _ in range(4):
            part = found.part("s", "r", BOTH, 100.0)
            found.sent("s", "r", part.members[0], first=True)
            taken += part.new
        assert taken <= 3


class TestVerdict:
    def test_completed_leaves_the_old_version(self):
        found = split(gates=[gate(phase=Phase.COMPLETED)])
        assert versions(found.part("s", "r", BOTH, 999.0)) == {"v2"}

    def test_rolled_back_gets_nothing_even_where_nothing_else_is_left(self):
        found = split(gates=[gate(phase=Phase.ROLLED_BACK)])
        assert versions(found.part("s", "r", BOTH, 999.0)) == {"v1"}
        assert not found.part("s", "r", NEW, 999.0).members

    @pytest.mark.parametrize("phase", [Phase.COMPLETED, Phase.ROLLED_BACK])
    @pytest.mark.parametrize("later", list(Phase))
    def test_is_never_turned_back(self, phase, later):
        found = split(gates=[gate(phase=phase)])
        found.told([gate(1.0, phase=later)], 101.0)
        assert found.gates()[0].phase is phase

    def test_a_newer_order_begins_anew(self):
        found = split(gates=[gate(phase=Phase.ROLLED_BACK)])
        found.ordered({"s": ORDER._replace(revision=9)})
        assert versions(found.part("s", "r", BOTH, 100.0)) == {"v1"}
        found.told([gate(1.0, revision=9)], 100.0)
        assert versions(found.part("s", "r", BOTH, 100.0)) == {"v2"}

    @pytest.mark.parametrize("phase", [Phase.RUNNING, Phase.ROLLED_BACK])
    def test_a_version_that_wasnt_found_good_gets_nothing_after_the_next_order(
        self, phase
    ):
        found = split(gates=[gate(phase=phase, barred=("v0",))])
        found.ordered({"s": ORDER._replace(target_version="v3", revision=9)})
        listed = [*BOTH, member("c", "v3"), member("z", "v0")]
        assert versions(found.part("s", "r", listed, 100.0)) == {"v1"}

    def test_one_that_was_is_the_old_version_of_the_next_order(self):
        found = split(gates=[gate(phase=Phase.COMPLETED)])
        found.ordered({"s": ORDER._replace(target_version="v3", revision=9)})
        listed = [*NEW, member("c", "v3")]
        assert versions(found.part("s", "r", listed, 100.0)) == {"v2"}

    @pytest.mark.parametrize("phase", [Phase.COMPLETED, Phase.ROLLED_BACK])
    def test_nothing_is_counted_afterwards(self, phase):
        found = split(gates=[gate(phase=phase)])
        assert not found.sent("s", "r", NEW[0], first=True)
        assert not found.failed("s", "r", NEW[0])
        assert found.awaits(Awaited("s", "r", NEW[0], 0.1, 1.0, 100.0)) == 0
        assert not found.tallies(200.0)["s"]["new"] and not found._waits

    def test_word_of_an_older_order_is_left_out(self):
        found = split()
        found.told([gate(1.0, revision=6)], 100.0)
        assert versions(found.part("s", "r", BOTH, 100.0)) == {"v1"}

    def test_stands_after_the_order_is_withdrawn(self):
        found = split(gates=[gate(phase=Phase.ROLLED_BACK)])
        found.ordered({})
        assert versions(found.part("s", "r", BOTH, 100.0)) == {"v1"}

    def test_who_only_heard_of_it_tells_verdicts_and_no_shares(self):
        found = split()
        found.learn([gate(1.0)])
        assert versions(found.part("s", "r", BOTH, 100.0)) == {"v1"}
        found.learn([gate(phase=Phase.COMPLETED)])
        assert versions(found.part("s", "r", BOTH, 100.0)) == {"v2"}


class TestCounts:
    def await_one(self, found, where, expected=0.1, at=100.0):
        return found.awaits(Awaited("s", "r", where, expected, 1.0, at))

    def tally(self, found, now=100.0):
        return found.tallies(now)["s"]

    def test_requests_and_exposed_ones(self):
        found = split()
        assert not found.sent("s", "r", OLD[0], first=True)
        assert found.sent("s", "r", NEW[0], first=True)
        assert found.sent("s", "r", NEW[0], first=False)
        tally = self.tally(found)
        assert tally["requests"] == {"r": 2} and tally["exposed"] == {"r": 2}

    def test_an_answer_counts_by_its_time(self):
        found = split()
        found.answered(self.await_one(found, NEW[0]), 100.2)
        assert self.tally(found)["new"]["r"]["b0"][category_of(0.21, 0.11)] == 1

    def test_what_was_over_before_it_was_told_counts_until_then(self):
        found = split()
        number = self.await_one(found, OLD[0])
        found.over(number, 100.15)
        found.answered(number, 105.0)
        assert self.tally(found)["old"]["r"][category_of(0.16, 0.11)] == 1

    def test_a_late_answer_counts_before_it_comes_and_only_once(self):
        found = split()
        number = self.await_one(found, NEW[0])
        assert found.troubled(100.5)
        assert not found.troubled(100.6)
        found.answered(number, 101.0)
        assert sum(self.tally(found, 101.0)["new"]["r"]["b0"]) == 1

    def test_a_caller_that_left_says_nothing(self):
        found = split()
        found.over(self.await_one(found, NEW[0]), 100.1)
        assert not found.troubled(103.0) and not self.tally(found)["new"]
        assert not found.troubled(110.0) and not found._waits

    def test_a_failure_is_told_at_once(self):
        found = split()
        assert found.failed("s", "r", NEW[0])
        assert not found.failed("s", "r", OLD[0])
        assert found.troubled(100.0)
        assert self.tally(found)["new"]["r"]["b0"][FAILED] == 1

    def test_times_without_expectation_are_put_against_old_ones(self):
        found = split()
        for _ in range(50):
            found.answered(self.await_one(found, OLD[0], expected=None), 100.02)
        found.answered(self.await_one(found, NEW[0], expected=None), 100.2)
        counts = self.tally(found)["new"]["r"]["b0"]
        assert sum(counts[category_of(0.16, 0.03) :]) == 1

    def test_of_a_decided_roll_out_the_phase_only_is_told(self):
        found = split(gates=[gate(phase=Phase.ROLLED_BACK)])
        found.sent("s", "r", OLD[0], first=True)
        tally = self.tally(found)
        assert tally["phase"] == "rolled_back" and not tally["requests"]
