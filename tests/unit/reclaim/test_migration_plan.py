from collections import Counter, defaultdict

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.models.places import Place
from ebonydeal._internal.routing.reclaim.migration_plan import (
    ExportFailure,
    ExportTo,
    KeepRunning,
    MigrationTarget,
    PlannerAssumptions,
    Recompute,
    RunningStream,
    plan_migrations,
    replan_failed_exports,
)
from tests.lib.endpoints import make_view

NOW = 500.0
ASSUMPTIONS = PlannerAssumptions(
    margin_s=0.0, overhead_s=0.0, import_share=0.0, immediate_export_factor=0.0
)
WAITING = ASSUMPTIONS._replace(immediate_export_factor=3.0)


def stream(request_id: str, **changes) -> RunningStream:
    base = RunningStream(request_id, "i-src", 1000, 500.0, 50.0, 1.0)
    return base._replace(**changes)


def target(
    endpoint_id: str, zone: str = "wales-2", room: int = 8, cached=()
) -> MigrationTarget:
    place = Place("wales", zone)
    return MigrationTarget(make_view(endpoint_id, place=place), room, cached)


def plan(streams, notice, targets, rate=1.0, assumptions=ASSUMPTIONS, **kwargs):
    return plan_migrations(
        streams, notice, rate, targets, NOW, assumptions=assumptions, **kwargs
    )


class TestActions:
    def test_export_waits_as_long_as_is_safe(self):
        short = stream("a", remaining_tokens_estimate=5.0)
        actions = plan([short, stream("b")], 10.0, [target("t")], assumptions=WAITING)
        reviews = {action.review_at - NOW for action in actions}
        assert [type(action) for action in actions] == [KeepRunning, KeepRunning]
        assert len(reviews) == 1
        needed = 10.0 - reviews.pop()
        assert needed == pytest.approx(2.0 * 1.0 * 0.5 + 1.0, abs=0.01)

    def test_stream_that_cannot_end_in_time_is_exported_at_once(self):
        long = stream("a", remaining_tokens_estimate=1501.0)
        actions = plan([long], 10.0, [target("t")], assumptions=WAITING)
        assert actions == [ExportTo("a", target("t").view, NOW, 1.0)]

    def test_stream_that_will_likely_end_is_not_exported(self):
        short = stream("a", remaining_tokens_estimate=5.0)
        assert plan([short], 10.0, [target("t")]) == [KeepRunning("a", NOW + 10.0)]

    def test_review_comes_after_the_exports_before_it(self):
        short = stream("a", remaining_tokens_estimate=5.0)
        actions = plan([short, stream("b")], 10.0, [target("t")])
        assert actions == [
            ExportTo("b", target("t").view, NOW, 1.0),
            KeepRunning("a", NOW + 1.0),
        ]

    def test_review_too_late_to_export_is_at_the_deadline(self):
        actions = plan([stream("a", remaining_tokens_estimate=10.0)], 0.5, [])
        assert actions == [KeepRunning("a", NOW + 0.5)]
        actions = plan([stream("a", remaining_tokens_estimate=0.0)], 0.0, [])
        assert actions == [Recompute("a", None, NOW)]

    def test_stream_with_long_remainder_without_export_is_resumed_at_once(self):
        long = stream("a", context_tokens=100, remaining_tokens_estimate=101.0)
        assert plan([long], 1.0, [target("t")], rate=0.0) == [
            Recompute("a", target("t").view, NOW)
        ]

    def test_exports_planned_earlier_use_up_time(self):
        actions = plan([stream("a")], 3.0, [target("t")], source_busy={"i-src": 2.0})
        assert actions == [ExportTo("a", target("t").view, NOW + 2.0, 1.0)]
        actions = plan([stream("a")], 3.0, [target("t")], source_busy={"i-src": 2.1})
        assert actions == [KeepRunning("a", NOW + 3.0)]

    def test_exports_are_ordered_by_tokens_saved_per_second(self):
        streams = [
            stream("thin", context_tokens=1000, kv_gb=2.0),
            stream("dense", context_tokens=4000, kv_gb=2.0),
            stream("light", context_tokens=1000, kv_gb=0.25),
        ]
        actions = plan(streams, 4.0, [target("t")])
        view = target("t").view
        assert actions == [
            ExportTo("light", view, NOW, 0.25),
            ExportTo("dense", view, NOW + 0.25, 2.0),
            KeepRunning("thin", NOW + 4.0),
        ]

    def test_tokens_cached_by_a_target_are_not_exported(self):
        prefix = tuple(f"b{n}" for n in range(60))
        streams = [stream("cached", prefix=prefix), stream("cold", context_tokens=500)]
        actions = plan(streams, 1.0, [target("t", cached=frozenset(prefix))])
        assert isinstance(actions[0], ExportTo) and actions[0].request_id == "cold"
        assert actions[1] == Recompute("cached", target("t").view, NOW)

    def test_each_source_has_its_own_export_time(self):
        streams = [stream("a"), stream("b", endpoint_id="i-2")]
        actions = plan(streams, 1.0, [target("t")])
        assert [type(action) for action in actions] == [ExportTo, ExportTo]

    def test_without_notice_all_recompute_at_once(self):
        actions = plan([stream("a"), stream("b")], 0.0, [target("t")])
        assert actions == [
            Recompute("a", target("t").view, NOW),
            Recompute("b", target("t").view, NOW),
        ]

    def test_without_room_the_target_is_left_to_the_router(self):
        actions = plan([stream("a"), stream("b")], 0.0, [target("t", room=1)])
        assert actions[1] == Recompute("b", None, NOW)

    def test_without_export_rate_streams_run_until_the_deadline(self):
        actions = plan([stream("a")], 10.0, [target("t")], rate=0.0)
        assert actions == [KeepRunning("a", NOW + 10.0)]


class TestTargets:
    def test_targets_in_leaving_zones_are_not_used(self):
        targets = [target("bad", "wales-1", room=50), target("good", "wales-2", room=1)]
        actions = plan([stream("a")], 10.0, targets, leaving_zones={"wales-1"})
        assert actions[0].target.endpoint_id == "good"

    def test_exports_spread_over_zones_and_targets(self):
        targets = [
            target(f"t-{zone}-{n}", f"wales-{zone}") for zone in (2, 3) for n in (1, 2)
        ]
        streams = [stream(f"s{n}", kv_gb=0.01) for n in range(8)]
        actions = plan(streams, 10.0, targets)
        taken = Counter(action.target.endpoint_id for action in actions)
        assert set(taken.values()) == {2}

    def test_shared_prefix_is_computed_once(self):
        prefix = tuple(f"b{n}" for n in range(50))
        streams = [stream(f"s{n}", prefix=(*prefix, f"own{n}")) for n in range(3)]
        actions = plan(streams, 0.0, [target("t1"), target("t2")])
        assert {action.target.endpoint_id for action in actions} == {"t2"}
        assert actions[0].start_at == NOW
        wait = 50 * 16 / ASSUMPTIONS.prefill_tokens_per_s
        assert [action.start_at for action in actions[1:]] == [NOW + wait, NOW + wait]

    def test_lost_events_in_the_middle_do_not_hide_a_cached_prefix(self):
        prefix = tuple(f"b{n}" for n in range(50))
        gappy = target("gappy", room=1, cached={*prefix[:3], *prefix[40:45]})
        targets = [target("short", room=9, cached=set(prefix[:20])), gappy]
        actions = plan([stream("a", prefix=prefix)], 0.0, targets)
        assert actions == [Recompute("a", gappy.view, NOW)]

    def test_target_with_cached_prefix_is_preferred_while_it_has_room(self):
        prefix = ("b1", "b2")
        targets = [target("cold"), target("warm", room=1, cached={"b1", "b2"})]
        streams = [stream("a", prefix=prefix), stream("b", prefix=prefix)]
        actions = plan(streams, 0.0, targets)
        assert [action.target.endpoint_id for action in actions] == ["warm", "cold"]
        assert actions[0].start_at == NOW


class TestReplanFailedExports:
    def test_usable_handle_is_imported_elsewhere(self):
        assumptions = ASSUMPTIONS._replace(import_share=0.5)
        actions = replan_failed_exports(
            [stream("a"), stream("b")],
            [ExportFailure("a", True), ExportFailure("b", False)],
            2.0,
            1.0,
            [target("t")],
            NOW,
            assumptions=assumptions,
        )
        assert actions == [
            ExportTo("a", target("t").view, NOW, 0.5),
            Recompute("b", target("t").view, NOW),
        ]

    def test_usable_handle_without_time_left_is_recomputed(self):
        actions = replan_failed_exports(
            [stream("a")], [ExportFailure("a", True)], 0.0, 1.0, [target("t")], NOW
        )
        assert actions == [Recompute("a", target("t").view, NOW)]

    def test_target_in_another_reclaimed_zone_is_not_used(self):
        targets = [target("t2", "wales-2"), target("t3", "wales-3")]
        actions = replan_failed_exports(
            [stream("a")],
            [ExportFailure("a", False)],
            5.0,
            1.0,
            targets,
            NOW,
            leaving_zones={"wales-1", "wales-2"},
        )
        assert actions == [Recompute("a", targets[1].view, NOW)]


STREAMS = st.lists(
    st.builds(
        RunningStream,
        st.uuids().map(str),
        st.sampled_from(["i-1", "i-2"]),
        st.integers(1, 9000),
        st.floats(0, 4000),
        st.floats(0, 100),
        st.floats(0, 3),
        st.lists(st.sampled_from("abcd"), max_size=4).map(tuple),
    ),
    max_size=15,
    unique_by=lambda it: it.request_id,
)
TARGETS = st.lists(
    st.builds(
        target,
        st.sampled_from(["t1", "t2", "t3"]),
        st.sampled_from(["wales-1", "wales-2", "wales-3"]),
        st.integers(-1, 6),
        st.sets(st.sampled_from("abcd")),
    ),
    unique_by=lambda it: it.view.endpoint_id,
)


class TestInvariants:
    @given(STREAMS, TARGETS, st.floats(0, 30), st.floats(0, 5))
    def test_every_stream_has_one_action_within_all_bounds(
        self, streams, targets, notice, rate
    ):
        assumptions = PlannerAssumptions()
        actions = plan_migrations(
            streams,
            notice,
            rate,
            targets,
            NOW,
            leaving_zones={"wales-1"},
            assumptions=assumptions,
        )
        assert Counter(a.request_id for a in actions) == Counter(
            s.request_id for s in streams
        )
        assert all(a.review_at > NOW for a in actions if isinstance(a, KeepRunning))
        room = {it.view.endpoint_id: it.room for it in targets}
        taken = Counter(
            a.target.endpoint_id
            for a in actions
            if not isinstance(a, KeepRunning) and a.target is not None
        )
        assert all(taken[it] <= room[it] for it in taken)
        sources = {s.request_id: s.endpoint_id for s in streams}
        busy = defaultdict(list)
        for action in actions:
            if isinstance(action, ExportTo):
                assert action.target.place.zone != "wales-1"
                busy[sources[action.request_id]].append(action)
        for exports in busy.values():
            end = NOW
            for action in exports:
                assert action.start_at == pytest.approx(end)
                end = action.start_at + action.seconds
            assert end <= NOW + notice - assumptions.margin_s + 1e-6

    @given(STREAMS, TARGETS, st.floats(0, 30), st.randoms(use_true_random=False))
    def test_order_of_the_input_does_not_matter(self, streams, targets, notice, rng):
        actions = plan_migrations(streams, notice, 1.0, targets, NOW)
        rng.shuffle(streams)
        rng.shuffle(targets)
        again = plan_migrations(streams, notice, 1.0, targets, NOW)
        assert {a.request_id: a for a in actions} == {a.request_id: a for a in again}
