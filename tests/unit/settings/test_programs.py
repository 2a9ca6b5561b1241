import pytest
from click.testing import CliRunner

from ebonydeal._internal.cli import console, controller, gateway, journal
from ebonydeal._internal.cli import program as program_module
from ebonydeal._internal.console.program import SECTIONS as CONSOLE
from ebonydeal._internal.controller.program import SECTIONS as CONTROLLER
from ebonydeal._internal.gateway.wiring import SECTIONS as GATEWAY
from ebonydeal._internal.journal.program import SECTIONS as JOURNAL
from ebonydeal._internal.settings.config import ConfigSettings
from ebonydeal._internal.settings.registry import ALL_SECTIONS
from ebonydeal._internal.settings.text import example_text

PROGRAMS = (console, controller, gateway, journal)


class TestSharedSettingsFile:
    @pytest.mark.parametrize("sections", [CONSOLE, CONTROLLER, GATEWAY, JOURNAL])
    def test_example_has_every_section_of_a_program(self, sections):
        assert sections.items() <= ALL_SECTIONS.items()

    @pytest.mark.parametrize("sections", [CONSOLE, CONTROLLER, GATEWAY, JOURNAL])
    def test_every_program_has_the_configuration_section(self, sections):
        assert sections["config"] is ConfigSettings

    @pytest.mark.parametrize("program", PROGRAMS)
    def test_example_is_accepted(self, program, tmp_path, monkeypatch):
        builds = []

        def run(build, settings, reread):
            builds.append(build)
            return 0

        monkeypatch.setattr(program_module, "start_program", run)
        file = tmp_path / "node.ini"
        file.write_text(example_text(ALL_SECTIONS))
        result = CliRunner().invoke(program.main, ["--settings", str(file)])
        assert (result.exit_code, result.output, len(builds)) == (0, "", 1)

    @pytest.mark.parametrize("program", PROGRAMS)
    def test_mistake_in_a_section_of_another_program_is_reported(
        self, program, tmp_path
    ):
        file = tmp_path / "node.ini"
        file.write_text("[admission]\nqueue = many\n[console]\nport = -1\n")
        result = CliRunner().invoke(program.main, ["--settings", str(file)])
        assert result.exit_code == 2
        assert "[admission] queue: 'many' is not accepted" in result.output
        assert "[console] port: '-1' is not accepted" in result.output

    @pytest.mark.parametrize("program", PROGRAMS)
    def test_missing_file_is_reported(self, program, tmp_path):
        file = tmp_path / "absent.ini"
        result = CliRunner().invoke(program.main, ["--settings", str(file)])
        assert result.exit_code == 2
        assert f"{file}: can't be read" in result.output
