import pytest
from spec.checker import check, refute
from spec.config_commit import Guards, specification

pytestmark = pytest.mark.model_check

# Guard turned off -> invariant that fails first, length of the counterexample.
COUNTEREXAMPLES = {
    "commit_compares_head": ("each version has one winner at most", 6),
    "answer_after_read_back": ("a refused document never takes effect", 4),
    "read_back_compares_author": ("an accepted document stands in the history", 6),
    "absent_is_sent_again": ("a refused document never takes effect", 4),
}


class TestConfigCommitSpecification:
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
