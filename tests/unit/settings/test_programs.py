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


class TestOneFileForAllPrograms:
    @pytest.mark.parametrize("sections", [CONSOLE, CONTROLLER, GATEWAY, JOURNAL])
    def test_every_section_of_a_program_is_in_the_example(self, sections):
        assert sections.items() <= ALL_SECTIONS.items()

    @pytest.mark.parametrize("sections", [CONSOLE, CONTROLLER, GATEWAY, JOURNAL])
    def test_every_program_follows_the_configuration_by_its_settings(self, sections):
        assert sections["config"] is ConfigSettings

    @pytest.mark.parametrize("program", PROGRAMS)
    def test_the_example_is_accepted(self, program, tmp_path, monkeypatch):
        started = []

        def run(build, settings, reread):
            started.append(build)
            return 0

        monkeypatch.setattr(program_module, "start_program", run)
        file = tmp_path / "node.ini"
        file.write_text(example_text(ALL_SECTIONS))
        result = CliRunner().invoke(program.main, ["--settings", str(file)])
        assert (result.exit_code, result.output, len(started)) == (0, "", 1)

    @pytest.mark.parametrize("program", PROGRAMS)
    def test_a_mistake_in_another_programs_section_is_named(self, program, tmp_path):
        file = tmp_path / "node.ini"
        file.write_text("[admission]\nqueue = many\n[console]\nport = -1\n")
        result = CliRunner().invoke(program.main, ["--settings", str(file)])
        assert result.exit_code == 2
        assert "[admission] queue: 'many' is not accepted" in result.output
        assert "[console] port: '-1' is not accepted" in result.output

    @pytest.mark.parametrize("program", PROGRAMS)
    def test_a_missing_file_is_named(self, program, tmp_path):
        file = tmp_path / "absent.ini"
        result = CliRunner().invoke(program.main, ["--settings", str(file)])
        assert result.exit_code == 2
        assert f"{file}: can't be read" in result.output
