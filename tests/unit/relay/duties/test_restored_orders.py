"""A restored store gives an order of a roll-out another version; it stays one order.

Each part of the relays that knew an order by its version alone started the roll-out
again when the store came back from a copy, and dropped its verdict.
"""

import asyncio
import json
from random import Random
from types import SimpleNamespace

import pytest

from ebonydeal._internal.models.rollouts import Phase, RolloutGate, RolloutOrder
from ebonydeal._internal.models.shared import ordered_version
from ebonydeal._internal.relay.duties.rollout_run import RolloutRun
from ebonydeal._internal.relay.peers.rollouts import RolloutReceiver, encode_gates
from ebonydeal._internal.relay.view.config_follower import ConfigTableFollower
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.rollout.rollout_state import RolloutState
from ebonydeal._internal.routing.rollout.traffic_split import TrafficSplit
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import MemoryStore, relay, relay_report

FIRST = RolloutOrder("s", "v2", 9.0, ordered_version(1, 50))
RESTORED = FIRST._replace(revision=ordered_version(2, 40))
AGAIN = FIRST._replace(revision=ordered_version(2, 90))
OTHERS = [
    RESTORED._replace(target_version="v3"),
    RESTORED._replace(duration=5.0),
    FIRST._replace(revision=ordered_version(1, 60)),
]
VERDICTS = [Phase.COMPLETED, Phase.ROLLED_BACK]


def gate(order, phase):
    return RolloutGate(
        "s", order.target_version, order.revision, phase, {}, (), (), order.duration
    )


def split(order, phase=None):
    found = TrafficSplit("n1", 2.0)
    found.set_orders({"s": order})
    if phase is not None:
        found.apply_gates([gate(order, phase)], 100.0)
    return found


def phases(found):
    return [g.phase for g in found.gates()]


class TestIdentity:
    def test_the_order_of_a_restored_store_is_the_same(self):
        assert RESTORED.is_same(FIRST) and FIRST.is_same(RESTORED)
        assert not RESTORED.replaces(FIRST)

    @pytest.mark.parametrize("other", OTHERS)
    def test_another_order_is_newer(self, other):
        assert not other.is_same(FIRST) and other.replaces(FIRST)

    def test_an_order_given_again_in_the_new_era_is_newer(self):
        assert AGAIN.replaces(RESTORED)


class TestFollower:
    def read(self, view, *orders):
        """Read orders one after the other; returns what the view passed on."""
        wire, passed = relay(MemoryStore()).ports.wire, []
        view.on_orders = lambda found: passed.append(found["s"])
        follower = ConfigTableFollower(
            MemoryStore(), wire, view, ManualClock(), Random(1), None
        )
        for order in orders:
            message = {"service": "s", "to": "v2", "duration_s": order.duration}
            row = SimpleNamespace(
                key="rollout/s",
                value=json.dumps(message).encode(),
                version=order.revision,
            )
            follower._apply_rows((row,), order.revision, {})
        return passed

    def test_an_order_given_again_after_the_restore_is_a_new_one(self):
        view = RelayView(2.0)
        passed = self.read(view, FIRST, RESTORED, AGAIN)
        assert view.versions.orders["s"] == AGAIN
        assert passed == [FIRST, RESTORED, AGAIN]

    def test_the_known_order_stays_when_its_row_is_read_again(self):
        view = RelayView(2.0)
        later = FIRST._replace(revision=ordered_version(3, 7))
        assert self.read(view, FIRST, RESTORED, RESTORED, later)[-1] == later
        assert view.versions.orders["s"] == FIRST


class TestMissingOrder:
    """The copy is older than the order, which the operator writes again."""

    def follower(self, clock):
        wire, view = relay(MemoryStore()).ports.wire, RelayView(2.0)
        view.apply_orders({"s": FIRST}, FIRST.revision, "test")
        found = ConfigTableFollower(MemoryStore(), wire, view, clock, Random(1), None)
        found._settling.observe(FIRST.revision)
        clock._now += 10.0
        found._settle_restored()
        return found, view

    def read(self, follower, version):
        asyncio.run(follower.apply_snapshot([], version, True))

    def test_isnt_withdrawn_before_the_store_has_settled(self):
        follower, view = self.follower(ManualClock(100.0))
        self.read(follower, ordered_version(2, 30))
        assert view.versions.orders == {"s": FIRST}

    def test_is_withdrawn_if_it_isnt_written_again(self):
        clock = ManualClock(100.0)
        follower, view = self.follower(clock)
        self.read(follower, ordered_version(2, 30))
        clock._now += 5.1
        follower._settle_restored()
        assert follower._read_again
        self.read(follower, ordered_version(2, 35))
        assert view.versions.orders == {}

    def test_is_withdrawn_at_once_without_a_restore(self):
        follower, view = self.follower(ManualClock(100.0))
        self.read(follower, ordered_version(1, 60))
        assert view.versions.orders == {}


class TestRelay:
    @pytest.mark.parametrize("phase", VERDICTS)
    def test_a_restored_order_keeps_its_verdict(self, phase):
        found = split(FIRST, phase)
        found.set_orders({"s": RESTORED})
        assert phases(found) == [phase]
        assert found.tallies(100.0)["s"]["revision"] == RESTORED.revision

    @pytest.mark.parametrize("phase", VERDICTS)
    def test_a_gate_of_the_restored_order_doesnt_revert_the_verdict(self, phase):
        found = split(FIRST, phase)
        found.apply_gates([gate(RESTORED, Phase.RUNNING)], 101.0)
        assert phases(found) == [phase]

    @pytest.mark.parametrize("phase", VERDICTS)
    def test_a_verdict_under_the_earlier_version_is_applied(self, phase):
        found = split(RESTORED, Phase.RUNNING)
        found.apply_verdicts([gate(FIRST, phase)])
        assert phases(found) == [phase]

    def test_an_order_given_again_starts_a_new_roll_out(self):
        found = split(FIRST, Phase.ROLLED_BACK)
        found.set_orders({"s": RESTORED})
        found.set_orders({"s": AGAIN})
        assert phases(found) == [] and found.has_rollout("s")

    def test_counts_continue_under_the_new_version(self):
        found = split(FIRST, Phase.RUNNING)
        member = SimpleNamespace(version="v1", endpoint_id="a")
        found.record_send("s", "r", member, first=True)
        found.set_orders({"s": RESTORED})
        assert found.tallies(100.0)["s"]["requests"] == {"r": 1}


class TestCoordinator:
    def run(self, order):
        return RolloutRun(RolloutState(order, 109.0))

    def report(self, found):
        return relay_report("n1", rollouts=found.tallies(100.0))

    @pytest.mark.parametrize("phase", VERDICTS)
    def test_a_verdict_applied_under_the_earlier_version_counts(self, phase):
        report = self.report(split(FIRST, phase))
        assert self.run(RESTORED).applied_verdict([report]) is phase

    def test_requests_counted_under_the_earlier_version_count(self):
        found, run = split(FIRST), self.run(RESTORED)
        member = SimpleNamespace(version="v2", endpoint_id="b")
        found.record_send("s", "r", member, first=True)
        run.add_reports([self.report(found)], False, 101.0)
        assert run.counts()["exposed"] == 1

    def test_a_report_of_the_previous_release_counts_by_its_revision(self):
        report = self.report(split(FIRST, Phase.COMPLETED))
        tally = report["rollouts"]["s"]
        del tally["to"], tally["duration"]
        assert self.run(FIRST).applied_verdict([report]) is Phase.COMPLETED
        assert self.run(RESTORED).applied_verdict([report]) is None


class TestMessage:
    def receive(self, message, phase):
        found = split(FIRST, phase)
        receiver = RolloutReceiver(found, RelayView(2.0), ManualClock())
        receiver.receive(json.loads(json.dumps(message)))
        return found

    def test_gates_name_the_whole_order(self):
        message = encode_gates([gate(RESTORED, Phase.RUNNING)], 0)
        found = self.receive(message, Phase.ROLLED_BACK)
        assert phases(found) == [Phase.ROLLED_BACK]

    def test_the_previous_release_can_read_them(self):
        message = encode_gates([gate(FIRST, Phase.COMPLETED)], 0)
        assert len(message["gates"][0]) == 7

    def test_gates_of_the_previous_release_apply_by_their_revision(self):
        message = encode_gates([gate(FIRST, Phase.COMPLETED)], 0)
        del message["durations"]
        assert phases(self.receive(message, Phase.RUNNING)) == [Phase.COMPLETED]


class TestStatus:
    """The status is read for orders that the coordinator's stored row lacks."""

    def test_a_status_before_the_restored_order_is_of_another_one(self):
        program = relay(MemoryStore())
        view, rollouts = program.view, program._rollouts
        view.apply_orders({"s": FIRST}, FIRST.revision, "test")
        view.versions.relist(RESTORED)
        value = json.dumps({"state": "rolled_back", "to": "v2"}).encode()
        store = program.ports.store
        store.version = ordered_version(2, 30)
        asyncio.run(store.put("status", "rollout/s", value))
        asyncio.run(rollouts.store._read_status())
        assert not rollouts._registry.runs


class TestEndpoints:
    def coordinator(self, era, listed_at):
        """Return a relay, with when each version's endpoint was first listed."""
        program = relay(MemoryStore())
        program.coordinator._keeper.held_since = program._clock.now() - 60.0
        view = program.view
        for version, raw in listed_at.items():
            listing = SimpleNamespace(endpoint_id=version, service="s", version=version)
            view.members[version] = listing
            view.versions._first_listed_at[version] = ordered_version(era, raw)
        return program

    def test_versions_before_the_order_are_those_of_its_own_era(self):
        program = self.coordinator(1, {"v1": 10, "v2": 60})
        program.view.apply_orders({"s": FIRST}, FIRST.revision, "test")
        program.view.versions.relist(RESTORED)
        assert program._rollouts._versions_before(RESTORED) == {"v1"}

    def test_a_new_version_listed_before_the_order_is_not_the_current_one(self):
        """Endpoints and operator write again in any order."""
        program = self.coordinator(2, {"v1": 60, "v2": 30})
        program.view.apply_orders({"s": RESTORED}, RESTORED.revision, "test")
        program._rollouts._start(RESTORED)
        assert program._rollouts._registry.runs["s"].is_running
