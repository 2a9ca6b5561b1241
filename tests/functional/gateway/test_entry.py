import asyncio

import pytest
from click.testing import CliRunner

from ebonydeal._internal.cli import gateway
from ebonydeal._internal.cli.main import main as ebonydeal
from ebonydeal._internal.gateway.program import GatewayProgram
from ebonydeal._internal.utils import run as running


class TestEntry:
    @pytest.fixture
    def built(self, monkeypatch):
        programs = []

        async def build_only(build):
            programs.append(build())

        def run(build, reread):
            asyncio.run(build_only(build))
            return 0

        monkeypatch.setattr(running, "run_program", run)
        monkeypatch.setattr(running, "configure_logs", lambda cfg: None)
        return programs

    def run(self, file):
        return CliRunner().invoke(gateway.main, ["--settings", str(file)])

    def test_settings_of_all_programs(self, built, tmp_path):
        file = tmp_path / "node.ini"
        text = CliRunner().invoke(ebonydeal, ["settings", "example"]).stdout
        assert "[controller]" in text
        file.write_text(text)
        result = self.run(file)
        assert (result.exit_code, result.stderr) == (0, "")
        assert [type(built_one) for built_one in built] == [GatewayProgram]

    def test_every_settings_error_is_reported(self, built, tmp_path):
        file = tmp_path / "node.ini"
        file.write_text("[gateway]\nport = much\n[covers]\na = 1\n")
        result = self.run(file)
        assert result.exit_code == 2
        assert "port" in result.stderr and "covers" in result.stderr
        assert built == []

    def test_no_such_file(self, built, tmp_path):
        result = self.run(tmp_path / "none.ini")
        assert result.exit_code == 2
        assert "none.ini: can't be read" in result.stderr
        assert built == []
