from click.testing import CliRunner

from ebonydeal import __version__
from ebonydeal._internal.cli.controller import main
from ebonydeal._internal.commands.settings import settings_command
from ebonydeal._internal.controller.program import ControllerProgram
from ebonydeal._internal.utils import run as running


class TestEntry:
    def test_version(self):
        shown = CliRunner().invoke(main, ["--version"])
        assert shown.exit_code == 0
        assert __version__ in shown.output

    def test_a_file_with_all_sections_serves(self, tmp_path, monkeypatch):
        built = []

        def build_only(build, reread):
            built.append(build())
            return 0

        monkeypatch.setattr(running, "run_program", build_only)
        file = tmp_path / "node.ini"
        file.write_text(CliRunner().invoke(settings_command, ["example"]).output)
        shown = CliRunner().invoke(main, ["--settings", str(file)])
        assert (shown.exit_code, shown.output) == (0, "")
        assert [type(built_one) for built_one in built] == [ControllerProgram]

    def test_every_mistake_in_the_settings_is_named(self, tmp_path):
        file = tmp_path / "node.ini"
        file.write_text("[controller]\nlease_ttl = soon\nperiodd = 1\n")
        shown = CliRunner().invoke(main, ["--settings", str(file)])
        assert shown.exit_code == 2
        assert "[controller] lease_ttl: 'soon' is not accepted" in shown.output
        assert "did you mean 'period'?" in shown.output
