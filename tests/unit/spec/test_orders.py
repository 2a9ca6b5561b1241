import pytest
from spec.checker import always_can_reach, check, refute
from spec.orders import Guards, all_settled, specification

pytestmark = pytest.mark.model_check

CHECKING = "a settled checking endpoint stays at the new holder's end"
IGNORING = "a settled ignoring endpoint stays at the new holder's end"
FINAL = "an order that can't be undone is carried out for one holder"

# Guard turned off -> invariant that fails first, length of the counterexample,
# and whether orders may be delayed without bound.
COUNTEREXAMPLES = {
    "endpoint_checks_fence": (CHECKING, 6, False),
    "waits_for_ignoring_endpoint": (IGNORING, 6, False),
    "sender_checks_lease": (IGNORING, 7, False),
    "settled_after_read_back": (CHECKING, 2, False),
    "order_states_end": (CHECKING, 5, False),
    "final_after_settled": (FINAL, 5, False),
    "final_after_holder_gone": (FINAL, 9, True),
}
LIVENESS_GUARDS = {"read_back_repeats"}


class TestOrdersSpecification:
    @pytest.mark.parametrize("late_orders", [False, True])
    def test_invariants_hold_in_every_state(self, record_checked, late_orders):
        spec = specification(late_orders=late_orders)
        checked = check(spec)
        record_checked(checked)
        assert checked.exhaustive
        assert checked.violated == {}
        assert set(checked.reached) == set(spec.reachable)

    @pytest.mark.parametrize("guard", COUNTEREXAMPLES)
    def test_protocol_fails_without_guard(self, guard):
        invariant, length, late_orders = COUNTEREXAMPLES[guard]
        guards = Guards()._replace(**{guard: False})
        checked = refute(specification(guards, late_orders))
        assert len(checked.violated[invariant]) == checked.shortest == length

    def test_ignoring_endpoint_can_always_reach_its_target(self):
        spec = specification(late_orders=True)
        assert always_can_reach(spec, all_settled)

    def test_reaching_the_target_needs_repeated_read_backs(self):
        spec = specification(Guards(read_back_repeats=False), late_orders=True)
        assert not always_can_reach(spec, all_settled)

    def test_every_guard_is_covered(self):
        assert set(Guards._fields) == set(COUNTEREXAMPLES) | LIVENESS_GUARDS
