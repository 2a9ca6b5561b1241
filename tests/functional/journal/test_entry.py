import pytest
from click.testing import CliRunner

from ebonydeal import __version__
from ebonydeal._internal.cli import journal
from ebonydeal._internal.commands.settings import settings_command
from ebonydeal._internal.journal.program import JournalProgram
from ebonydeal._internal.utils import run as running


class TestEntry:
    def test_version(self):
        result = CliRunner().invoke(journal.main, ["--version"])
        assert result.exit_code == 0
        assert __version__ in result.output

    def test_settings_file_with_all_sections_is_accepted(self, tmp_path, monkeypatch):
        built = []

        def build_only(build, reread):
            built.append(build())
            return 0

        monkeypatch.setattr(running, "run_program", build_only)
        file = tmp_path / "node.ini"
        file.write_text(CliRunner().invoke(settings_command, ["example"]).output)
        result = CliRunner().invoke(journal.main, ["--settings", str(file)])
        assert (result.exit_code, result.output) == (0, "")
        assert [type(built_one) for built_one in built] == [JournalProgram]

    @pytest.mark.parametrize(
        ("text", "words"),
        [
            ("[journal]\nshards = many\n", "[journal] shards: 'many' is not accepted"),
            ("[journal]\nshardss = 1\n", "did you mean 'shards'?"),
        ],
    )
    def test_invalid_settings_are_reported(self, tmp_path, text, words):
        file = tmp_path / "node.ini"
        file.write_text(text)
        result = CliRunner().invoke(journal.main, ["--settings", str(file)])
        assert result.exit_code == 2
        assert words in result.output

    def test_missing_settings_file_is_reported(self, tmp_path):
        file = tmp_path / "none.ini"
        result = CliRunner().invoke(journal.main, ["--settings", str(file)])
        assert result.exit_code == 2
        assert f"{file}: can't be read" in result.output
