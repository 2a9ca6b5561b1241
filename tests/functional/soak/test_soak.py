"""A short soak: real relays as processes, faults of one seed, no broken promise."""

import json

from click.testing import CliRunner

from ebonydeal._internal.commands.soak import soak_command
from ebonydeal._internal.soak.regressions import REGRESSIONS

SHORT = ["--seconds", "6", "--relays", "2", "--endpoints", "3", "--clients", "6"]


def soak(*options):
    result = CliRunner().invoke(soak_command, [*SHORT, *options])
    lines = [json.loads(line) for line in result.output.splitlines()]
    return result.exit_code, lines


class TestSoak:
    def test_a_seed_breaks_no_promise(self):
        code, (verdict,) = soak("--seed", "3")
        assert verdict["violations"] == []
        assert code == 0
        assert verdict["served"] > 0 and verdict["faults"] > 0

    def test_a_request_that_crashes_endpoints_is_bound(self):
        # Without the bound this seed breaks the promise twice.
        code, (verdict,) = soak(
            *("--seed", "3", "--seconds", "14", "--relays", "3"),
            *("--endpoints", "5", "--clients", "8"),
        )
        assert verdict["violations"] == []
        assert code == 0

    def test_seeds_that_ever_failed_keep_their_promises(self):
        code, verdicts = soak("--regressions")
        assert {v["seed"] for v in verdicts} == set(REGRESSIONS)
        assert code == 0

    def test_a_planted_fault_is_found_and_fails_the_run(self):
        code, (verdict,) = soak("--seed", "3", "--plant", "second-run")
        assert [v["promise"] for v in verdict["violations"]] == ["run once"]
        assert code == 1
