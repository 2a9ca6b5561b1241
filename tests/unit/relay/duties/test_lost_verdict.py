"""A roll-out whose verdict a restored store has lost, at a new lease holder.

All relays were lost with the store's last seconds. A completed version was tested
again with no old endpoint to compare it with, and rolled back: the service then had
no endpoint that might get requests.
"""

import pytest

from ebonydeal._internal.models.rollouts import Phase
from ebonydeal._internal.models.shared import ordered_version
from ebonydeal._internal.relay.view.view import MISSING_GRACE_S
from ebonydeal._internal.routing.rollout.traffic_split import TrafficSplit
from tests.unit.relay.duties.test_rollouts import ORDER, LeaseHolder, world

RESTORED = ORDER._replace(revision=ordered_version(1, ORDER.revision))


class Restored:
    """A new lease holder after a restore, which has read a row without a verdict."""

    def __init__(self, old_listed, same_era=False):
        self.clock, self.view, self.listed, store, relays = world()
        first = LeaseHolder(store, self.clock, self.view, relays)
        first.take_lease()
        for _ in range(4):
            self.clock._now += 0.25
            for relay in relays:
                relay.serve(self.listed, False)
            first.step()
            first.renew()
        if not same_era:
            self.view.versions.relist(RESTORED)
        if not old_listed:
            for name in [m.endpoint_id for m in self.listed if m.version == "v1"]:
                self.view.remove(name, ordered_version(1, 60))
            self.listed = [m for m in self.listed if m.version == "v2"]
        for relay in relays:
            relay.split = TrafficSplit(relay.name, 2.0)
            relay.split.set_orders(self.view.versions.listed_orders())
        self.relays = relays
        self.holder = LeaseHolder(store, self.clock, self.view, relays)
        self.coordinator = self.holder.rollouts._parts.coordinator
        self.holder.take_lease()

    def play(self, seconds, failing=False, served=True):
        for _ in range(round(seconds / 0.25)):
            self.clock._now += 0.25
            for relay in self.relays if served else ():
                relay.serve(self.listed, failing)
            self.holder.step()

    @property
    def phase(self):
        return self.holder.rollouts._registry.runs["s"].state.phase

    @property
    def told(self):
        return [gate.phase for gate in self.holder.rollouts.gates()]


class TestOnlyTheNewVersionIsLeft:
    def test_is_completed_though_it_fails_answers(self):
        found = Restored(old_listed=False)
        found.play(MISSING_GRACE_S + 0.5, failing=True)
        assert found.phase is Phase.COMPLETED

    def test_not_before_expired_entries_would_be_back(self):
        found = Restored(old_listed=False)
        found.play(MISSING_GRACE_S - 0.5)
        assert found.phase is Phase.RUNNING and found.told == []

    def test_without_a_restore_all_old_endpoints_have_crashed(self):
        found = Restored(old_listed=False, same_era=True)
        found.play(MISSING_GRACE_S + 0.5, failing=True)
        assert found.phase is not Phase.COMPLETED


class TestOldVersionIsThere:
    def test_is_tested_once_relays_had_time_to_report(self):
        found = Restored(old_listed=True)
        found.coordinator.warmed_up = False
        found.play(1.0)
        assert found.told == []
        found.coordinator.warmed_up = True
        found.play(0.5)
        assert found.told == [Phase.RUNNING]

    @pytest.mark.parametrize("phase", [Phase.COMPLETED, Phase.ROLLED_BACK])
    def test_a_verdict_that_a_relay_reports_is_applied_at_once(self, phase):
        found = Restored(old_listed=True)
        found.coordinator.warmed_up = False
        run = found.holder.rollouts._registry.runs["s"]
        gate = run.state.gate(run.verdict, ())._replace(phase=phase)
        found.relays[1].split.apply_gates([gate], 0.0)
        found.play(0.25)
        assert found.told == [phase]

    def test_entries_of_endpoints_that_stopped_are_removed_first(self):
        found = Restored(old_listed=True)
        found.play(4.0, served=False)
        assert found.told == []
        for name in [m.endpoint_id for m in found.listed if m.version == "v1"]:
            found.view.remove(name, ordered_version(1, 70))
        found.play(0.5, served=False)
        assert found.phase is Phase.COMPLETED

    def test_without_requests_it_goes_on_after_that(self):
        found = Restored(old_listed=True)
        found.play(6.0, served=False)
        assert found.told == [Phase.RUNNING]


class TestStart:
    """The order isn't in the store's copy, and is written again."""

    def started(self, warmed_up, old_listed):
        clock, view, listed, store, relays = world()
        if not old_listed:
            for name in [m.endpoint_id for m in listed if m.version == "v1"]:
                view.remove(name, 60)
        holder = LeaseHolder(store, clock, view, relays)
        holder.rollouts._parts.coordinator.warmed_up = warmed_up
        holder.take_lease()
        holder.step()
        return holder.rollouts.gates()

    def test_of_a_new_order_begins_at_once(self):
        assert len(self.started(warmed_up=True, old_listed=True)) == 1

    def test_at_a_new_holder_waits_for_reports(self):
        assert self.started(warmed_up=False, old_listed=True) == []

    def test_with_the_new_version_alone_waits_for_expired_entries(self):
        assert self.started(warmed_up=True, old_listed=False) == []
