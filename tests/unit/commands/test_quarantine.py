"""What operators see of quarantined requests and prompt parts."""

from click.testing import CliRunner

from ebonydeal._internal.commands import quarantine

FOUND = [
    {"digest": "d1", "endpoints": ["e1", "e2", "e3"]},
    {"parts": ["p1", "p2"], "accounts": ["acme"], "endpoints": ["e4"]},
    {"parts": ["p3"], "accounts": [], "endpoints": ["e5"]},
]


class TestList:
    def test_names_requests_and_parts_with_the_accounts_that_are_refused(
        self, monkeypatch
    ):
        monkeypatch.setattr(quarantine, "fetch_or_exit", lambda *_call: FOUND)
        result = CliRunner().invoke(
            quarantine.quarantine_command, ["--relay", "127.0.0.1:1"]
        )
        assert result.output.splitlines() == [
            "d1  e1 e2 e3",
            "part p1+p2 (acme)  e4",
            "part p3 (all accounts)  e5",
        ]
