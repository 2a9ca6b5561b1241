import pytest
from spec.checker import check, refute
from spec.dispatch import Guards, specification

pytestmark = pytest.mark.model_check

# Guard turned off -> invariant that fails first, length of the counterexample.
COUNTEREXAMPLES = {
    "append_checks_epoch": ("the caller is told one outcome", 8),
    "dispatch_after_durable_record": ("at most one run", 8),
    "not_run_needs_proof": ("not run implies no run", 9),
    "cancel_word_must_be_not_started": ("not run implies no run", 9),
    "unknown_after_takeover": ("at most one run", 10),
    "answer_after_durable_record": ("the caller is told one outcome", 5),
    "move_after_source_stopped": ("at most one run", 7),
    "notice_clears_endpoint": (
        "an announced reclaim alone never leaves the outcome unknown",
        6,
    ),
    "no_attempt_to_leaving_endpoint": ("a leaving endpoint gets no attempt", 4),
}


class TestDispatchSpecification:
    def test_invariants_hold_in_every_state(self, record_checked):
        spec = specification()
        checked = check(spec)
        record_checked(checked)
        assert checked.exhaustive
        assert checked.violated == {}
        assert set(checked.reached) == set(spec.reachable)

    @pytest.mark.parametrize("guard", COUNTEREXAMPLES)
    def test_protocol_fails_without_guard(self, guard):
        invariant, length = COUNTEREXAMPLES[guard]
        checked = refute(specification(Guards()._replace(**{guard: False})))
        assert len(checked.violated[invariant]) == checked.shortest == length

    def test_every_guard_is_covered(self):
        assert set(Guards._fields) == set(COUNTEREXAMPLES)
