from click.testing import CliRunner

from ebonydeal import __version__
from ebonydeal._internal.cli.controller import main
from ebonydeal._internal.commands.settings import settings_command
from ebonydeal._internal.controller.program import ControllerProgram
from ebonydeal._internal.utils import run as running


class TestEntry:
    def test_version(self):
        result = CliRunner().invoke(main, ["--version"])
        assert result.exit_code == 0
        assert __version__ in result.output

    def test_example_settings_build_the_program(self, tmp_path, monkeypatch):
        built = []

        def build_only(build, reread):
            built.append(build())
            return 0

        monkeypatch.setattr(running, "run_program", build_only)
        file = tmp_path / "node.ini"
        file.write_text(CliRunner().invoke(settings_command, ["example"]).output)
        result = CliRunner().invoke(main, ["--settings", str(file)])
        assert (result.exit_code, result.output) == (0, "")
        assert [type(program) for program in built] == [ControllerProgram]

    def test_all_settings_errors_are_reported(self, tmp_path):
        file = tmp_path / "node.ini"
        file.write_text("[controller]\nlease_ttl = soon\nperiodd = 1\n")
        result = CliRunner().invoke(main, ["--settings", str(file)])
        assert result.exit_code == 2
        assert "[controller] lease_ttl: 'soon' is not accepted" in result.output
        assert "did you mean 'period'?" in result.output
