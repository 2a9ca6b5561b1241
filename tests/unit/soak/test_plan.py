from ebonydeal._internal.soak.plan import Fault, make_plan


class TestPlan:
    def test_a_plan_depends_only_on_the_seed(self):
        assert make_plan(5, 20.0) == make_plan(5, 20.0)
        assert make_plan(5, 20.0) != make_plan(6, 20.0)

    def test_a_plan_is_ordered_and_ends_without_faults(self):
        for seed in range(50):
            plan = make_plan(seed, 20.0)
            assert plan == sorted(plan)
            assert all(0.0 < step.at < 17.0 for step in plan)

    def test_every_fault_occurs_in_some_seed_and_series_overlap(self):
        plans = [make_plan(seed, 20.0) for seed in range(50)]
        assert {step.fault for plan in plans for step in plan} == set(Fault)
        overlaps = [
            (one, two)
            for plan in plans
            for one, two in zip(plan, plan[1:], strict=False)
            if two.at < one.at + one.seconds and two.fault is not one.fault
        ]
        assert len(overlaps) > 50
