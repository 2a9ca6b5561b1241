import pytest
from spec.checker import check, refute
from spec.config_spread import Guards, content_of, specification

pytestmark = pytest.mark.model_check

# Guard turned off -> invariant that fails first, length of the counterexample.
COUNTEREXAMPLES = {
    "head_and_items_together": ("a version in force has its own content", 6),
    "node_refuses_older": ("a place never goes back", 7),
    "delta_needs_its_base": ("a version in force has its own content", 4),
    "start_reads_table": ("a place never goes back", 5),
    "whole_read_checks_head": ("a version in force has its own content", 6),
}


class TestConfigSpreadSpecification:
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

    def test_version_determines_content(self):
        assert [content_of(version) for version in range(4)] == [
            (0, 0),
            (0, 1),
            (2, 1),
            (2, 3),
        ]
