"""Short soaks: real relay processes, faults of one seed, no violations."""

import json

from click.testing import CliRunner

from ebonydeal._internal.commands.soak import soak_command
from ebonydeal._internal.soak.regressions import REGRESSIONS

SHORT_SOAK = ["--seconds", "6", "--relays", "2", "--endpoints", "3", "--clients", "6"]


def run_soak(*options):
    result = CliRunner().invoke(soak_command, [*SHORT_SOAK, *options])
    lines = [json.loads(line) for line in result.output.splitlines()]
    return result.exit_code, lines


class TestSoak:
    def test_a_seed_has_no_violations(self):
        code, (verdict,) = run_soak("--seed", "3")
        assert verdict["violations"] == []
        assert code == 0
        assert verdict["served"] > 0 and verdict["faults"] > 0

    def test_a_crashing_request_reaches_a_bounded_number_of_endpoints(self):
        # Without the bound this seed violates the guarantee twice.
        code, (verdict,) = run_soak(
            *("--seed", "3", "--seconds", "14", "--relays", "3"),
            *("--endpoints", "5", "--clients", "8"),
        )
        assert verdict["violations"] == []
        assert code == 0

    def test_a_faulty_version_is_bounded_beside_a_crowd_and_crashes(self):
        # Most requests come to one relay while old endpoints crash amid a roll-out.
        code, (verdict,) = run_soak(
            *("--seed", "822", "--seconds", "14", "--relays", "3"),
            *("--endpoints", "4", "--clients", "12"),
        )
        assert verdict["violations"] == []
        assert code == 0

    def test_seeds_that_once_failed_pass(self):
        code, verdicts = run_soak("--regressions")
        assert {v["seed"] for v in verdicts} == set(REGRESSIONS)
        assert code == 0

    def test_a_planted_violation_is_detected_and_fails_the_run(self, tmp_path):
        code, (verdict,) = run_soak(
            *("--seed", "3", "--plant", "second-run", "--logs", str(tmp_path))
        )
        assert [v["promise"] for v in verdict["violations"]] == ["run once"]
        assert code == 1
        kept = {file.name for file in (tmp_path / "seed-3").iterdir()}
        assert {"n0.log", "n1.log", "observations.txt"} <= kept
