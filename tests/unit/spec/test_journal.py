import pytest
from spec import journal
from spec.checker import check, refute
from spec.journal import Guards, specification

pytestmark = pytest.mark.model_check

VIEW = "the present owner's view holds every acknowledged batch"
REPLAY = "a replay finds every acknowledged batch"
ONCE = "a view folds each batch once"
ONE_OWNER = "one node at most believes an epoch"

# Guard turned off -> invariants that fail first, length of the counterexample.
COUNTEREXAMPLES = {
    "append_checks_epoch": ({VIEW}, 5),
    "claim_compares": ({ONE_OWNER}, 5),
    "replay_after_claim": ({VIEW}, 4),
    "read_back_compares_batch": ({VIEW, REPLAY}, 7),
    "doubt_keeps_row": ({REPLAY}, 3),
    "acknowledge_after_answer": ({VIEW, REPLAY}, 1),
    "snapshot_checks_epoch": ({REPLAY}, 12),
    "snapshot_before_trim": ({REPLAY}, 4),
    "object_before_snapshot_row": ({REPLAY}, 3),
    "replay_ignores_below_snapshot": ({ONCE}, 7),
}
REDUNDANT_GUARDS = {"row_must_be_absent"}


class TestJournalSpecification:
    def test_invariants_hold_in_every_state(self, record_checked):
        spec = specification()
        checked = check(spec)
        record_checked(checked)
        assert checked.exhaustive
        assert checked.violated == {}
        assert set(checked.reached) == set(spec.reachable)

    @pytest.mark.parametrize("guard", COUNTEREXAMPLES)
    def test_protocol_fails_without_guard(self, guard):
        checked = refute(specification(Guards()._replace(**{guard: False})))
        assert (set(checked.violated), checked.shortest) == COUNTEREXAMPLES[guard]

    def test_every_guard_is_covered(self):
        assert set(Guards._fields) == set(COUNTEREXAMPLES) | REDUNDANT_GUARDS

    def test_row_check_is_redundant_while_epochs_are_checked(self, monkeypatch):
        monkeypatch.setattr(journal, "MAX_SENDS", 2)
        checked = check(specification(Guards(row_must_be_absent=False)))
        assert checked.exhaustive
        assert checked.violated == {}

    def test_row_check_protects_acknowledged_rows_without_epochs(self):
        spec = specification(
            Guards(append_checks_epoch=False, row_must_be_absent=False)
        )
        rows_only = spec._replace(invariants={REPLAY: spec.invariants[REPLAY]})
        checked = refute(rows_only)
        assert checked.shortest == 7
