from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.controller.actions import (
    Adopt,
    Condemn,
    Drain,
    Enlist,
    Forget,
    Hold,
    MarkReady,
    Release,
    Restart,
    Start,
    Warm,
)
from ebonydeal._internal.controller.reconcile import plan
from ebonydeal._internal.controller.reconcile_state import (
    DesiredState,
    ObservedState,
    ReconcileConfig,
)
from ebonydeal._internal.controller.values import (
    InstanceRow,
    InstanceState,
    OfferKey,
)
from ebonydeal._internal.outside.interfaces import CloudInstance

CONFIG = ReconcileConfig()
A, B, C = (OfferKey(zone, "l", True) for zone in "abc")
PRICES = {A: 1.0, B: 2.0, C: 3.0}
READY, WARMING = InstanceState.READY, InstanceState.WARMING
NOW = 10_000.0


def row(token: str, key: OfferKey, state: InstanceState, **changes) -> InstanceRow:
    base = InstanceRow(
        token, "d", *key, state, PRICES[key], f"i-{token}", 1, NOW - 100.0, ""
    )
    return base._replace(**changes)


def machine(token: str, key: OfferKey, managed: bool = True) -> CloudInstance:
    tags = {"managed_by": "ebonydeal"} if managed else {}
    return CloudInstance(f"i-{token}", token, *key, "running", "", 0.0, tags)


def observed(rows, missing=(), extra=(), **changes) -> ObservedState:
    machines = [machine(r.token, OfferKey.of(r)) for r in rows]
    listed = {m.token: m for m in [*machines, *extra] if m.token not in missing}
    by_token = {r.token: r for r in rows}
    base = ObservedState(
        listed, by_token, set(), set(), {}, dict(PRICES), frozenset(missing)
    )
    return base._replace(**changes)


def actions(rows, counts=None, target=0, ceiling=100.0, **changes):
    wanted = DesiredState(counts or {}, target, ceiling)
    return plan(wanted, observed(rows, **changes), CONFIG, NOW)


class TestOneInstance:
    def test_each_state_has_its_next_action(self):
        starting = row("s", A, InstanceState.STARTING)
        warming = row("w", A, WARMING)
        ready = row("r", A, READY)
        draining = row("d", A, InstanceState.DRAINING, drain_until=NOW + 1)
        going = row("g", A, InstanceState.RELEASING)
        one = {"counts": {A: 1}}
        assert actions([starting], missing={"s"}, **one) == [Restart(starting)]
        assert actions([starting], **one) == [Adopt(starting, machine("s", A))]
        assert actions([warming], **one) == [Warm(warming)]
        assert actions([warming], warm={"w"}, **one) == [MarkReady(warming)]
        assert actions([ready], **one) == []
        assert actions([draining]) == []
        assert actions([draining], idle={"d"}) == [Release(draining)]
        assert actions([draining._replace(drain_until=NOW)])[0] == Release(
            draining._replace(drain_until=NOW)
        )
        assert actions([going]) == [Release(going)]
        assert actions([going], missing={"g"}) == [Forget(going, lost=False)]

    def test_idle_drain_lasts_until_marks_have_spread(self):
        young = row("d", A, InstanceState.DRAINING, at=NOW - 1, drain_until=NOW + 60)
        assert actions([young], idle={"d"}) == []

    def test_instance_that_never_warms_up_is_drained(self):
        old = row("w", A, WARMING, at=NOW - CONFIG.warm_timeout - 1)
        found = actions([old], counts={A: 1})
        assert found[0] == Drain(old, "did not warm up in time", NOW)

    def test_new_instance_may_be_missing_from_the_list_for_a_while(self):
        young = row("w", A, WARMING, at=NOW - 1)
        assert actions([young], counts={A: 1}, missing={"w"}) == []

    def test_missing_instance_that_is_not_gone_is_kept(self):
        ready = row("r", A, READY)
        assert actions([ready], counts={A: 1}, missing={"r"}, gone=set()) == []

    def test_without_a_row_managed_are_released_and_others_taken_over(self):
        late = machine("late", A)
        theirs = machine("theirs", A, managed=False)
        assert actions([], extra=[late]) == [Condemn(late)]
        assert actions([], extra=[theirs]) == []
        found = actions([], extra=[theirs], counts={A: 2}, target=1)
        assert found == [Enlist(theirs)]


class TestReplacement:
    def test_start_names_the_lost_instance_that_it_replaces(self):
        lost = row("x", A, READY)
        found = actions([lost], counts={A: 1}, missing={"x"})
        assert found == [
            Forget(lost, lost=True),
            Start(A, 1.0, "replacement", "x"),
        ]

    def test_reclaim_notice_drains_and_starts_a_replacement_elsewhere(self):
        leaving = row("x", A, READY)
        found = actions([leaving], counts={B: 1}, leaving={"x": NOW + 30})
        assert found == [
            Drain(leaving, "reclaim notice", NOW + 30),
            Start(B, 2.0, "replacement", "x"),
        ]

    def test_old_instance_is_drained_only_after_the_new_one_is_ready(self):
        old = [row("1", A, READY), row("2", B, READY)]
        new = row("3", C, WARMING)
        counts = {A: 1, C: 1}
        assert actions([*old, new], counts, 1) == [Warm(new)]
        ready = new._replace(state=READY)
        assert actions([*old, ready], counts, 1) == [
            Drain(old[1], "not wanted any more", NOW + CONFIG.max_drain_s)
        ]

    def test_no_drain_if_the_target_would_not_survive_a_zone_loss(self):
        rows = [row(str(n), key, READY) for n, key in enumerate((A, A, B, B))]
        found = actions(rows, {A: 1, B: 1, C: 1}, 2)
        assert found == [Start(C, 3.0, "below wanted number", "")]


class TestCeiling:
    def test_draining_instances_count_towards_the_ceiling(self):
        draining = row("d", C, InstanceState.DRAINING, drain_until=NOW + 9)
        assert actions([draining], {A: 2}, 1, ceiling=4.0) == [
            Start(A, 1.0, "below wanted number", ""),
            Hold(A, 1),
        ]

    def test_most_expensive_instance_over_the_ceiling_is_drained_first(self):
        rows = [row("1", A, READY), row("2", B, READY), row("3", C, READY)]
        found = actions(rows, {A: 1, B: 1}, 2, ceiling=3.0)
        assert found == [
            Drain(rows[2], "price ceiling", NOW + CONFIG.drain_over_ceiling)
        ]

    @given(
        st.dictionaries(st.sampled_from((A, B, C)), st.integers(0, 9)),
        st.lists(st.tuples(st.sampled_from((A, B, C)), st.sampled_from(InstanceState))),
        st.floats(0.0, 40.0),
    )
    def test_starts_stay_within_ceiling_and_no_instance_has_two_actions(
        self, counts, states, ceiling
    ):
        rows = [row(str(n), key, state) for n, (key, state) in enumerate(states)]
        found = actions(rows, counts, 2, ceiling=ceiling)
        new = [a for a in found if isinstance(a, Start)]
        if new:
            paid = sum(PRICES[OfferKey.of(r)] for r in rows)
            assert paid + sum(a.price_per_hour for a in new) <= ceiling + 1e-6
        touched = [a.row.token for a in found if hasattr(a, "row")]
        assert len(touched) == len(set(touched))
